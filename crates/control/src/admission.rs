//! Admission of requests at one gateway: what waits, what is sent where, what is refused and when.
//!
//! A request that finds a ready replica is sent at once. Any other waits, under a timer, while one
//! demand per artifact and zone tells a coordinator about all of them. As soon as an answer shows
//! that a request cannot be served before its deadline, it is refused with the time to come back;
//! the demand is kept up until then, so that coming back is worth it.

mod demands;
mod dispatching;
mod interface;
mod queue;
mod refusing;
mod routes;

use std::collections::{BTreeMap, BTreeSet};

use flaxward_types::routing::{HeldAnswers, RouteAnswer};
use flaxward_types::{ArtifactId, ResultCode, RunnerName, Timestamp, ZoneName};

pub use interface::{
    AdmissionAction, AdmissionEvent, AdmissionSettings, Arrival, ArtifactView, BackEndFault,
    RequestId,
};
use queue::{Waiting, WaitingQueue};
use routes::{Hope, Routes, ZoneRoute, Zones};

use crate::router::Router;

/// Admission at one gateway.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    zones: Zones,
    router: Router,
    queue: WaitingQueue,
    artifacts: BTreeMap<ArtifactId, ArtifactState>,
    running: BTreeMap<RequestId, Running>,
    /// Runners that could not be reached, and until when they are left alone.
    unreachable: BTreeMap<RunnerName, Timestamp>,
}

/// What is known of one artifact.
#[derive(Clone, Debug, Default)]
struct ArtifactState {
    routes: Routes,
    /// When it was last asked for.
    used: Timestamp,
    /// Since when no coordinator has given the waiting requests any hope.
    hopeless_since: Option<Timestamp>,
    /// Callers were told to come back at this time.
    promise: Option<Promise>,
}

impl ArtifactState {
    /// Whether a coordinator is to be told of the artifact, apart from those who wait for it.
    fn is_in_use(&self) -> bool {
        let is_used = |(_, route): (_, &ZoneRoute)| route.is_in_use();
        let is_told = |(_, route): (_, &ZoneRoute)| route.told_of_waiting;
        let is_told_too_much = self.routes.has_replica() && self.routes.iter().any(is_told);
        self.promise.is_some() || is_told_too_much || self.routes.iter().any(is_used)
    }
}

/// Callers were refused and told when to come back.
#[derive(Clone, Copy, Debug)]
struct Promise {
    until: Timestamp,
    priority: u8,
}

/// A dispatched request.
#[derive(Clone, Debug)]
struct Running {
    waiting: Waiting,
    runner: RunnerName,
    zone: ZoneName,
}

impl Admission {
    /// Admission at a gateway; `zones` are the zones known, its own first. Others are learnt from
    /// their coordinators, none of which is known at first. Random draws follow from the seed.
    pub fn new(settings: AdmissionSettings, zones: Vec<ZoneName>, seed: u64) -> Self {
        Self {
            settings,
            zones: Zones {
                order: zones,
                heads: BTreeSet::new(),
            },
            router: Router::new(seed),
            queue: WaitingQueue::default(),
            artifacts: BTreeMap::new(),
            running: BTreeMap::new(),
            unreachable: BTreeMap::new(),
        }
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Requests that are at a back end.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// How each artifact stands that is in use or was lately.
    pub fn views(&self, now: Timestamp) -> Vec<ArtifactView> {
        self.artifacts
            .iter()
            .map(|(artifact, state)| self.view(artifact, state, now))
            .collect()
    }

    fn view(&self, artifact: &ArtifactId, state: &ArtifactState, now: Timestamp) -> ArtifactView {
        let running = state
            .routes
            .iter()
            .map(|(_, route)| route.running)
            .sum::<u32>();
        let replicas = state
            .routes
            .iter()
            .map(|(_, route)| route.ready().len())
            .sum();
        let expected = match self.hope(state, now) {
            Hope::At(time) => Some(time.since(now)),
            _ => None,
        };
        let earliest = self.queue.earliest_deadline(artifact);
        ArtifactView {
            artifact: artifact.clone(),
            waiting: self.queue.count(artifact),
            running: running as usize,
            priority: self.queue.highest_priority(artifact),
            earliest_deadline: earliest.map(|deadline| deadline.since(now)),
            expected,
            replicas,
        }
    }

    /// Takes an event and says what to do.
    pub fn handle(&mut self, now: Timestamp, event: AdmissionEvent) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        if let AdmissionEvent::CallerGone(request) = event {
            self.queue.remove(request);
            self.end(request);
            return actions;
        }
        // Before the event, so that nothing is sent after its deadline between two ticks.
        while let Some(request) = self.queue.overdue(now) {
            self.refuse(now, Some(request), ResultCode::DeadlinePassed, &mut actions);
        }
        match event {
            AdmissionEvent::Arrive(arrival) => self.arrive(now, arrival, &mut actions),
            AdmissionEvent::Routes(answer) => self.apply_routes(now, answer, &mut actions),
            AdmissionEvent::RoutesHeld(held) => self.confirm_routes(now, &held),
            AdmissionEvent::Finished(request) | AdmissionEvent::CallerGone(request) => {
                self.end(request);
            }
            AdmissionEvent::Returned {
                request,
                fault,
                deadline,
            } => self.take_back(now, request, fault, deadline, &mut actions),
            AdmissionEvent::Heads(heads) => {
                self.zones.set_heads(heads);
                self.review_all(now, &mut actions);
            }
            AdmissionEvent::Leaving(leaving) => {
                self.router.set_leaving(leaving);
                self.review_all(now, &mut actions);
            }
            AdmissionEvent::Tick => self.tick(now, &mut actions),
        }
        self.renew_along(now, &mut actions);
        actions
    }

    fn arrive(&mut self, now: Timestamp, arrival: Arrival, actions: &mut Vec<AdmissionAction>) {
        let waiting = Waiting {
            arrival,
            since: now,
            counted: false,
            avoided: BTreeMap::new(),
        };
        self.admit(now, waiting, actions);
    }

    /// Sends a request, refuses it or lets it wait.
    fn admit(&mut self, now: Timestamp, waiting: Waiting, actions: &mut Vec<AdmissionAction>) {
        let artifact = waiting.arrival.artifact.clone();
        let request = waiting.arrival.request;
        if waiting.arrival.deadline <= now {
            let refusal = self.refusal(ResultCode::DeadlinePassed, &artifact, now);
            actions.push(AdmissionAction::Refuse { request, refusal });
            return;
        }
        let state = self.artifacts.entry(artifact.clone()).or_default();
        state.used = now;
        // Those who wait may have been held off a runner that takes them by now.
        self.dispatch_waiting(now, &artifact, actions);
        match self.dispatch(now, &waiting) {
            Some(action) => actions.push(action),
            None => self.enqueue(now, waiting, actions),
        }
        self.send_demands(now, &artifact, actions);
    }

    fn enqueue(&mut self, now: Timestamp, waiting: Waiting, actions: &mut Vec<AdmissionAction>) {
        let artifact = waiting.arrival.artifact.clone();
        let limit = waiting.arrival.queue_limit;
        if !waiting.counted {
            self.count_waiting_arrival(now, &artifact);
        }
        let waiting = Waiting {
            counted: true,
            ..waiting
        };
        self.queue.insert(waiting);
        self.refuse_hopeless(now, &artifact, actions);
        while self.queue.count(&artifact) > limit {
            let lowest = self.queue.lowest_of(&artifact);
            self.refuse(now, lowest, ResultCode::QueueFull, actions);
        }
        while self.queue.len() > self.settings.total_limit {
            let lowest = self.queue.lowest();
            self.refuse(now, lowest, ResultCode::QueueFull, actions);
        }
    }

    fn apply_routes(
        &mut self,
        now: Timestamp,
        answer: RouteAnswer,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let artifact = answer.artifact.clone();
        let has_replica = !answer.ready.is_empty();
        let Some(state) = self.artifacts.get_mut(&artifact) else {
            return;
        };
        if !state.routes.apply(now, answer) {
            return;
        }
        if has_replica {
            state.promise = None;
        }
        self.review(now, &artifact, actions);
    }

    fn confirm_routes(&mut self, now: Timestamp, held: &HeldAnswers) {
        for state in self.artifacts.values_mut() {
            state.routes.confirm(now, held);
        }
    }

    fn tick(&mut self, now: Timestamp, actions: &mut Vec<AdmissionAction>) {
        self.unreachable.retain(|_, until| *until > now);
        self.forget_unused(now);
        self.review_all(now, actions);
    }

    fn forget_unused(&mut self, now: Timestamp) {
        let expiry = self.settings.route_expiry;
        let queue = &self.queue;
        self.artifacts.retain(|artifact, state| {
            let in_use = queue.count(artifact) > 0 || state.is_in_use();
            in_use || now.since(state.used) < expiry
        });
    }

    fn review_all(&mut self, now: Timestamp, actions: &mut Vec<AdmissionAction>) {
        let in_use = self
            .artifacts
            .iter()
            .filter(|(artifact, state)| state.is_in_use() || self.queue.count(artifact) > 0);
        let artifacts: Vec<ArtifactId> = in_use.map(|(artifact, _)| artifact.clone()).collect();
        for artifact in artifacts {
            self.review(now, &artifact, actions);
        }
    }

    /// Sends what can be sent, refuses what has no hope and renews the demand of an artifact.
    fn review(
        &mut self,
        now: Timestamp,
        artifact: &ArtifactId,
        actions: &mut Vec<AdmissionAction>,
    ) {
        self.dispatch_waiting(now, artifact, actions);
        self.refuse_hopeless(now, artifact, actions);
        self.end_promise(now, artifact);
        self.send_demands(now, artifact, actions);
    }

    fn end(&mut self, request: RequestId) -> Option<Running> {
        let running = self.running.remove(&request)?;
        self.router.record_end(&running.runner);
        if let Some(state) = self.artifacts.get_mut(&running.waiting.arrival.artifact) {
            let route = state.routes.zone_mut(&running.zone);
            route.running = route.running.saturating_sub(1);
        }
        Some(running)
    }
}
