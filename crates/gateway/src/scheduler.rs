//! Runs [`Admission`] behind a lock, with one channel per waiting request.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use flaxward_clock::Clock;
use flaxward_control::admission::{
    Admission, AdmissionAction, AdmissionEvent, Arrival, ArtifactView, BackEndFault, RequestId,
};
use flaxward_types::routing::Demand;
use flaxward_types::{Refusal, ResultCode, RunnerName, Timestamp, ZoneName};
use tokio::sync::{mpsc, oneshot};

use crate::counters;

/// Demands for the coordinators of zones.
pub(crate) type DemandSender = mpsc::UnboundedSender<(ZoneName, Vec<Demand>)>;

/// A back end for one attempt.
#[derive(Clone, Debug)]
pub(crate) struct BackEnd {
    /// The machine.
    pub runner: RunnerName,
    /// Its address, `ip:port`.
    pub address: String,
}

/// The decision on a waiting request.
type Decision = Result<BackEnd, Refusal>;

/// Admission and the channels of the waiting requests.
pub(crate) struct Scheduler {
    state: Mutex<State>,
    demands: DemandSender,
    clock: Clock,
}

struct State {
    admission: Admission,
    waiters: HashMap<RequestId, oneshot::Sender<Decision>>,
    next_request: u64,
}

impl Scheduler {
    /// Creates a scheduler for an admission.
    pub fn new(admission: Admission, demands: DemandSender, clock: Clock) -> Self {
        Self {
            state: Mutex::new(State {
                admission,
                waiters: HashMap::new(),
                next_request: 0,
            }),
            demands,
            clock,
        }
    }

    /// No code that holds the lock can panic during a change, so a poisoned lock is still usable.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles an external event.
    pub fn handle(&self, event: AdmissionEvent) {
        let mut state = self.lock();
        self.apply(&mut state, event);
    }

    fn apply(&self, state: &mut State, event: AdmissionEvent) {
        let actions = state.admission.handle(self.clock.now(), event);
        let mut demands: BTreeMap<ZoneName, Vec<Demand>> = BTreeMap::new();
        for action in actions {
            match action {
                AdmissionAction::Dispatch {
                    request,
                    runner,
                    address,
                } => deliver_decision(state, request, Ok(BackEnd { runner, address })),
                AdmissionAction::Refuse { request, refusal } => {
                    deliver_decision(state, request, Err(refusal));
                }
                AdmissionAction::SendDemand { zone, demand } => {
                    demands.entry(zone).or_default().push(demand);
                }
            }
        }
        for message in demands {
            // Fails only if the receiver is dropped, which happens when the daemon shuts down.
            let _ = self.demands.send(message);
        }
    }

    /// Checks deadlines and demands.
    pub fn tick(&self) {
        let mut state = self.lock();
        self.apply(&mut state, AdmissionEvent::Tick);
        counters::set_occupancy(state.admission.waiting(), state.admission.running());
    }

    /// The state of each artifact.
    pub fn views(&self) -> Vec<ArtifactView> {
        self.lock().admission.views(self.clock.now())
    }

    /// Queues a request. `arrival` builds the arrival from the id assigned to the request.
    pub fn enqueue(self: &Arc<Self>, arrival: impl FnOnce(RequestId) -> Arrival) -> Ticket {
        let mut state = self.lock();
        let request = RequestId(state.next_request);
        state.next_request += 1;
        let decision = self.submit(
            &mut state,
            request,
            AdmissionEvent::Arrive(arrival(request)),
        );
        drop(state);
        Ticket {
            scheduler: Arc::clone(self),
            request,
            decision: Some(decision),
        }
    }

    fn submit(
        &self,
        state: &mut State,
        request: RequestId,
        event: AdmissionEvent,
    ) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        state.waiters.insert(request, sender);
        self.apply(state, event);
        receiver
    }
}

fn deliver_decision(state: &mut State, request: RequestId, decision: Decision) {
    if let Some(waiter) = state.waiters.remove(&request) {
        // Fails only if the ticket is being dropped, which reports the caller as gone.
        let _ = waiter.send(decision);
    }
}

/// The entry of one request in the admission. Dropping it ends the request.
pub(crate) struct Ticket {
    scheduler: Arc<Scheduler>,
    request: RequestId,
    decision: Option<oneshot::Receiver<Decision>>,
}

impl Ticket {
    /// Waits for a back end or a refusal, once after arrival and once after each return.
    pub async fn back_end(&mut self) -> Decision {
        let Some(decision) = self.decision.take() else {
            return Err(Refusal::new(ResultCode::Internal));
        };
        decision
            .await
            .unwrap_or_else(|_| Err(Refusal::new(ResultCode::Internal)))
    }

    /// Returns the back end after a fault and asks for another one.
    pub fn return_back_end(&mut self, fault: BackEndFault, deadline: Timestamp) {
        let mut state = self.scheduler.lock();
        let event = AdmissionEvent::Returned {
            request: self.request,
            fault,
            deadline,
        };
        let decision = self.scheduler.submit(&mut state, self.request, event);
        drop(state);
        self.decision = Some(decision);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.scheduler.lock();
        state.waiters.remove(&self.request);
        let event = AdmissionEvent::CallerGone(self.request);
        self.scheduler.apply(&mut state, event);
    }
}
