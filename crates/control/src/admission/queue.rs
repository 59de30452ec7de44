//! The queue of waiting requests of all artifacts, ordered by rank and by deadline.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use flaxward_types::{ArtifactId, RunnerName, Timestamp};

use super::interface::{Arrival, RequestId};

/// A queued request.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    /// The request as it arrived.
    pub arrival: Arrival,
    /// When it was queued.
    pub since: Timestamp,
    /// Whether its arrival is counted in a demand, sent or pending.
    pub counted: bool,
    /// Runners it must not be sent to, with the time at which the exclusion ends.
    pub avoided: BTreeMap<RunnerName, Timestamp>,
}

/// Order of the queue: the lowest rank is dropped first when the queue is full, the highest is
/// served first.
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
    /// Number of requests for all artifacts.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Number of requests waiting for one artifact.
    pub fn count(&self, artifact: &ArtifactId) -> usize {
        self.by_artifact
            .get(artifact)
            .map_or(0, |queue| queue.ranks.len())
    }

    pub fn get(&self, request: RequestId) -> Option<&Waiting> {
        self.requests.get(&request)
    }

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

    /// The request to drop when an artifact's queue is full.
    pub fn lowest_of(&self, artifact: &ArtifactId) -> Option<RequestId> {
        let lowest = self.by_artifact.get(artifact)?.ranks.first()?;
        Some(lowest.request.0)
    }

    /// The request to drop when the total limit is exceeded.
    pub fn lowest(&self) -> Option<RequestId> {
        self.ranks.first().map(|rank| rank.request.0)
    }

    /// Requests for an artifact, highest rank first.
    pub fn in_order(&self, artifact: &ArtifactId) -> impl Iterator<Item = &Waiting> {
        self.by_artifact
            .get(artifact)
            .into_iter()
            .flat_map(|queue| queue.ranks.iter().rev())
            .filter_map(|rank| self.requests.get(&rank.request.0))
    }

    /// Highest priority among the requests waiting for an artifact.
    pub fn highest_priority(&self, artifact: &ArtifactId) -> Option<u8> {
        let queue = self.by_artifact.get(artifact)?;
        queue.ranks.last().map(|rank| rank.priority)
    }

    /// Earliest deadline among the requests waiting for an artifact.
    pub fn earliest_deadline(&self, artifact: &ArtifactId) -> Option<Timestamp> {
        let queue = self.by_artifact.get(artifact)?;
        queue.deadlines.first().map(|&(deadline, _)| deadline)
    }

    /// A request whose deadline has passed, if any.
    pub fn overdue(&self, now: Timestamp) -> Option<RequestId> {
        let &(deadline, request) = self.deadlines.first()?;
        (deadline <= now).then_some(request)
    }
}
