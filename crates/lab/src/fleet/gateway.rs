//! A hollow gateway: real admission, and callers whose requests run for a while at no engine.
//!
//! A simulated request for a busy model stands for many, so that the counts in demands are those of
//! the target without as many events.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use flaxward_control::admission::{
    Admission, AdmissionAction, AdmissionEvent, AdmissionSettings, Arrival, RequestId,
};
use flaxward_types::routing::Demand;
use flaxward_types::{ArtifactId, Timestamp, ZoneName};

/// Deadline of every request.
const DEADLINE: Duration = Duration::from_mins(3);
/// Requests waiting for one artifact, at most.
const QUEUE_LIMIT: usize = 1_000;
/// Rank of every request.
const PRIORITY: u8 = 5;

/// What one simulated request for a busy model stands for.
#[derive(Clone, Debug)]
pub struct Weights {
    /// The busy models.
    pub busy: BTreeSet<ArtifactId>,
    /// Requests running that one simulated request stands for.
    pub running: u32,
    /// Arrivals that one simulated arrival stands for.
    pub arrivals: u32,
}

/// A caller who sends one request after the other.
#[derive(Clone, Debug)]
pub struct Caller {
    /// What it wants.
    pub artifact: ArtifactId,
    /// When it stops, in milliseconds of the simulation; `None` for never.
    pub until: Option<u64>,
}

/// What follows from an event at a gateway.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Requests that run from now on.
    pub running: Vec<RequestId>,
    /// Callers whose request was refused.
    pub refused: Vec<Caller>,
    /// Demands for coordinators.
    pub demands: BTreeMap<ZoneName, Vec<Demand>>,
}

/// One gateway.
#[derive(Debug)]
pub struct HollowGateway {
    admission: Admission,
    callers: BTreeMap<RequestId, Caller>,
    next: u64,
    weights: Arc<Weights>,
}

impl HollowGateway {
    /// A gateway that knows these zones, its own first.
    pub fn new(zones: Vec<ZoneName>, seed: u64, weights: Arc<Weights>) -> Self {
        Self {
            admission: Admission::new(AdmissionSettings::default(), zones, seed),
            callers: BTreeMap::new(),
            next: 0,
            weights,
        }
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.admission.waiting()
    }

    /// A caller sends a request.
    pub fn arrive(&mut self, caller: Caller, now: Timestamp) -> Outcome {
        let request = RequestId(self.next);
        self.next += 1;
        let arrival = Arrival {
            request,
            artifact: caller.artifact.clone(),
            priority: PRIORITY,
            deadline: now + DEADLINE,
            queue_limit: QUEUE_LIMIT,
            prefix: None,
        };
        self.callers.insert(request, caller);
        self.handle(AdmissionEvent::Arrive(arrival), now)
    }

    /// A request has run to its end. Returns its caller.
    pub fn finish(&mut self, request: RequestId, now: Timestamp) -> (Option<Caller>, Outcome) {
        let caller = self.callers.remove(&request);
        let outcome = self.handle(AdmissionEvent::Finished(request), now);
        (caller, outcome)
    }

    /// Takes an event of admission.
    pub fn handle(&mut self, event: AdmissionEvent, now: Timestamp) -> Outcome {
        let mut outcome = Outcome::default();
        for action in self.admission.handle(now, event) {
            match action {
                AdmissionAction::Dispatch { request, .. } => outcome.running.push(request),
                AdmissionAction::Refuse { request, .. } => {
                    outcome.refused.extend(self.callers.remove(&request));
                }
                AdmissionAction::SendDemand { zone, demand } => {
                    let demand = self.weighed(demand);
                    outcome.demands.entry(zone).or_default().push(demand);
                }
            }
        }
        outcome
    }

    fn weighed(&self, demand: Demand) -> Demand {
        if !self.weights.busy.contains(&demand.artifact) {
            return demand;
        }
        Demand {
            running: demand.running * self.weights.running,
            arrivals: demand.arrivals * self.weights.arrivals,
            ..demand
        }
    }
}
