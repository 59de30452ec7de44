//! The waiting requests of all artifacts, in order of rank and of deadline.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use flaxward_types::{ArtifactId, RunnerName, Timestamp};

use super::interface::{Arrival, RequestId};

/// A request that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    /// What arrived.
    pub arrival: Arrival,
    /// Since when it waits.
    pub since: Timestamp,
    /// Whether a demand tells, or has told, of its arrival.
    pub counted: bool,
    /// Runners it must not be sent to before the time given.
    pub avoided: BTreeMap<RunnerName, Timestamp>,
}

/// Place in the order: the least goes first when the queue is full, the greatest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: u8,
    deadline: Reverse<Timestamp>,
    request: Reverse<RequestId>,
}

impl Rank {
    fn of(arrival: &Arrival) -> Self {
        Self {
            priority: arrival.priority,
            deadline: Reverse(arrival.deadline),
            request: Reverse(arrival.request),
        }
    }
}

/// All waiting requests.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingQueue {
    requests: BTreeMap<RequestId, Waiting>,
    ranks: BTreeSet<Rank>,
    by_artifact: BTreeMap<ArtifactId, ArtifactQueue>,
    deadlines: BTreeSet<(Timestamp, RequestId)>,
}

#[derive(Clone, Debug, Default)]
struct ArtifactQueue {
    ranks: BTreeSet<Rank>,
    deadlines: BTreeSet<(Timestamp, RequestId)>,
}

impl WaitingQueue {
    /// Requests in all.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Requests waiting for one artifact.
    pub fn count(&self, artifact: &ArtifactId) -> usize {
        self.by_artifact
            .get(artifact)
            .map_or(0, |queue| queue.ranks.len())
    }

    /// One request.
    pub fn get(&self, request: RequestId) -> Option<&Waiting> {
        self.requests.get(&request)
    }

    /// Adds a request.
    pub fn insert(&mut self, waiting: Waiting) {
        let rank = Rank::of(&waiting.arrival);
        let deadline = (waiting.arrival.deadline, waiting.arrival.request);
        let queue = self
            .by_artifact
            .entry(waiting.arrival.artifact.clone())
            .or_default();
        queue.ranks.insert(rank);
        queue.deadlines.insert(deadline);
        self.ranks.insert(rank);
        self.deadlines.insert(deadline);
        self.requests.insert(waiting.arrival.request, waiting);
    }

    /// Takes a request out.
    pub fn remove(&mut self, request: RequestId) -> Option<Waiting> {
        let waiting = self.requests.remove(&request)?;
        let rank = Rank::of(&waiting.arrival);
        let deadline = (waiting.arrival.deadline, request);
        self.ranks.remove(&rank);
        self.deadlines.remove(&deadline);
        if let Some(queue) = self.by_artifact.get_mut(&waiting.arrival.artifact) {
            queue.ranks.remove(&rank);
            queue.deadlines.remove(&deadline);
            if queue.ranks.is_empty() {
                self.by_artifact.remove(&waiting.arrival.artifact);
            }
        }
        Some(waiting)
    }

    /// The request that goes first when an artifact's queue is full.
    pub fn lowest_of(&self, artifact: &ArtifactId) -> Option<RequestId> {
        let lowest = self.by_artifact.get(artifact)?.ranks.first()?;
        Some(lowest.request.0)
    }

    /// The request that goes first when all queues together are full.
    pub fn lowest(&self) -> Option<RequestId> {
        self.ranks.first().map(|rank| rank.request.0)
    }

    /// Requests for an artifact, first to be served first.
    pub fn in_order(&self, artifact: &ArtifactId) -> impl Iterator<Item = &Waiting> {
        self.by_artifact
            .get(artifact)
            .into_iter()
            .flat_map(|queue| queue.ranks.iter().rev())
            .filter_map(|rank| self.requests.get(&rank.request.0))
    }

    /// Highest priority among those waiting for an artifact.
    pub fn highest_priority(&self, artifact: &ArtifactId) -> Option<u8> {
        let queue = self.by_artifact.get(artifact)?;
        queue.ranks.last().map(|rank| rank.priority)
    }

    /// Earliest deadline among those waiting for an artifact.
    pub fn earliest_deadline(&self, artifact: &ArtifactId) -> Option<Timestamp> {
        let queue = self.by_artifact.get(artifact)?;
        queue.deadlines.first().map(|&(deadline, _)| deadline)
    }

    /// A request whose deadline has come.
    pub fn overdue(&self, now: Timestamp) -> Option<RequestId> {
        let &(deadline, request) = self.deadlines.first()?;
        (deadline <= now).then_some(request)
    }
}
