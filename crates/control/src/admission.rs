//! Admission control of one gateway: queues requests, dispatches them to replicas and refuses those
//! that cannot be served in time.
//!
//! A request for which a ready replica exists is dispatched at once. All others are queued until
//! their deadline, and one demand per artifact and zone reports all of them to a coordinator. As
//! soon as an answer shows that a request cannot be served before its deadline, it is refused with
//! a `retry_after`. The demand is renewed until then, so that the replica is loaded when the caller
//! retries.

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
use routes::{Availability, Routes, ZoneRoute, Zones};

use crate::router::Router;

/// Admission control of one gateway.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    zones: Zones,
    router: Router,
    queue: WaitingQueue,
    artifacts: BTreeMap<ArtifactId, ArtifactState>,
    running: BTreeMap<RequestId, Running>,
    /// Runners that could not be reached, with the time until which no request is sent to them.
    unreachable: BTreeMap<RunnerName, Timestamp>,
}

/// State of one artifact.
#[derive(Clone, Debug, Default)]
struct ArtifactState {
    routes: Routes,
    /// When a request for it last arrived.
    last_used_at: Timestamp,
    /// Since when no coordinator has given an outlook for the waiting requests.
    unknown_since: Option<Timestamp>,
    /// The retry that refused callers are expected to make.
    pending_retry: Option<PendingRetry>,
}

impl ArtifactState {
    /// Whether demands for the artifact are due even if no request waits for it.
    fn is_in_use(&self) -> bool {
        let is_used = |(_, route): (_, &ZoneRoute)| route.is_in_use();
        let is_announced = |(_, route): (_, &ZoneRoute)| route.announced_waiting;
        let has_stale_announcement =
            self.routes.has_replica() && self.routes.iter().any(is_announced);
        self.pending_retry.is_some() || has_stale_announcement || self.routes.iter().any(is_used)
    }
}

/// Refused callers that were given a time at which to retry.
#[derive(Clone, Copy, Debug)]
struct PendingRetry {
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
    /// Creates the admission control of a gateway. `zones` are the configured zones, its own first;
    /// further zones are added when their coordinators become known. No coordinator is known at
    /// first. `seed` seeds the random choice of replicas.
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

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of requests dispatched to a back end.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Status of each artifact that is in use or was used recently.
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
        let expected = match self.availability(state, now) {
            Availability::At(time) => Some(time.since(now)),
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

    /// Applies an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Timestamp, event: AdmissionEvent) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        if let AdmissionEvent::CallerGone(request) = event {
            self.queue.remove(request);
            self.end(request);
            return actions;
        }
        // Runs before the event is applied, so that no request is dispatched after its deadline
        // between two ticks.
        while let Some(request) = self.queue.overdue(now) {
            self.refuse(now, Some(request), ResultCode::DeadlinePassed, &mut actions);
        }
        match event {
            AdmissionEvent::Arrive(arrival) => self.arrive(now, arrival, &mut actions),
            AdmissionEvent::Routes(answer) => self.apply_routes(now, answer, &mut actions),
            AdmissionEvent::RoutesHeld(confirmation) => self.confirm_routes(now, &confirmation),
            AdmissionEvent::Finished(request) | AdmissionEvent::CallerGone(request) => {
                self.end(request);
            }
            AdmissionEvent::Returned {
                request,
                fault,
                deadline,
            } => self.requeue(now, request, fault, deadline, &mut actions),
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
        self.renew_due_soon(now, &mut actions);
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

    /// Dispatches, refuses or queues a request.
    fn admit(&mut self, now: Timestamp, waiting: Waiting, actions: &mut Vec<AdmissionAction>) {
        let artifact = waiting.arrival.artifact.clone();
        let request = waiting.arrival.request;
        if waiting.arrival.deadline <= now {
            let refusal = self.refusal(ResultCode::DeadlinePassed, &artifact, now);
            actions.push(AdmissionAction::Refuse { request, refusal });
            return;
        }
        let state = self.artifacts.entry(artifact.clone()).or_default();
        state.last_used_at = now;
        // Exclusions of runners may have expired since the last tick, so queued requests that now
        // have a replica go first.
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
        self.refuse_unservable(now, &artifact, actions);
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
            state.pending_retry = None;
        }
        self.review(now, &artifact, actions);
    }

    fn confirm_routes(&mut self, now: Timestamp, confirmation: &HeldAnswers) {
        for state in self.artifacts.values_mut() {
            state.routes.confirm(now, confirmation);
        }
    }

    fn tick(&mut self, now: Timestamp, actions: &mut Vec<AdmissionAction>) {
        self.unreachable.retain(|_, until| *until > now);
        self.evict_unused(now);
        self.review_all(now, actions);
    }

    fn evict_unused(&mut self, now: Timestamp) {
        let expiry = self.settings.route_expiry;
        let queue = &self.queue;
        self.artifacts.retain(|artifact, state| {
            let in_use = queue.count(artifact) > 0 || state.is_in_use();
            in_use || now.since(state.last_used_at) < expiry
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

    /// Dispatches the waiting requests that have a replica, refuses those that cannot be served and
    /// renews the demand for an artifact.
    fn review(
        &mut self,
        now: Timestamp,
        artifact: &ArtifactId,
        actions: &mut Vec<AdmissionAction>,
    ) {
        self.dispatch_waiting(now, artifact, actions);
        self.refuse_unservable(now, artifact, actions);
        self.expire_pending_retry(now, artifact);
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
