//! Drives [`Admission`]: one lock around it, one channel per waiting request.

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

/// What became of a waiting request.
type Decision = Result<BackEnd, Refusal>;

/// Admission with the channels of those who wait.
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
    /// A scheduler around an admission.
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

    /// The admission and its waiters. No code that holds the lock can panic half-way through a
    /// change, so a poisoned lock is still usable.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an event from outside.
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
                } => decide(state, request, Ok(BackEnd { runner, address })),
                AdmissionAction::Refuse { request, refusal } => {
                    decide(state, request, Err(refusal));
                }
                AdmissionAction::SendDemand { zone, demand } => {
                    demands.entry(zone).or_default().push(demand);
                }
            }
        }
        for message in demands {
            // Without a receiver the daemon is on its way out.
            let _ = self.demands.send(message);
        }
    }

    /// Looks at deadlines and demands.
    pub fn tick(&self) {
        let mut state = self.lock();
        self.apply(&mut state, AdmissionEvent::Tick);
        counters::occupancy(state.admission.waiting(), state.admission.running());
    }

    /// How each artifact stands.
    pub fn views(&self) -> Vec<ArtifactView> {
        self.lock().admission.views(self.clock.now())
    }

    /// Takes a request in; `arrival` makes the arrival from its number.
    pub fn enter(self: &Arc<Self>, arrival: impl FnOnce(RequestId) -> Arrival) -> Ticket {
        let mut state = self.lock();
        let request = RequestId(state.next_request);
        state.next_request += 1;
        let decision = self.ask(
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

    fn ask(
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

fn decide(state: &mut State, request: RequestId, decision: Decision) {
    if let Some(waiter) = state.waiters.remove(&request) {
        // If nobody listens, the ticket is being dropped and reports that the caller is gone.
        let _ = waiter.send(decision);
    }
}

/// One request's place in the admission. When it is dropped, the request has ended.
pub(crate) struct Ticket {
    scheduler: Arc<Scheduler>,
    request: RequestId,
    decision: Option<oneshot::Receiver<Decision>>,
}

impl Ticket {
    /// Waits for a back end or a refusal, after arrival and after each return.
    pub async fn back_end(&mut self) -> Decision {
        let Some(decision) = self.decision.take() else {
            return Err(Refusal::new(ResultCode::Internal));
        };
        decision
            .await
            .unwrap_or_else(|_| Err(Refusal::new(ResultCode::Internal)))
    }

    /// Asks for another back end.
    pub fn give_back(&mut self, fault: BackEndFault, deadline: Timestamp) {
        let mut state = self.scheduler.lock();
        let event = AdmissionEvent::Returned {
            request: self.request,
            fault,
            deadline,
        };
        let decision = self.scheduler.ask(&mut state, self.request, event);
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
