//! Admission of requests at one gateway: what waits, what is sent where, what is refused and when.
//!
//! A request that finds a ready replica is sent at once. Any other waits, under a timer, while one
//! demand per artifact and zone tells a coordinator about all of them. As soon as an answer shows
//! that a request cannot be served before its deadline, it is refused with the time to come back;
//! the demand is kept up until then, so that coming back is worth it.

mod interface;
mod queue;
mod routes;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxward_types::routing::{Demand, Replica, RouteAnswer};
use flaxward_types::{ArtifactId, Refusal, ResultCode, RunnerName, Timestamp, ZoneName};

pub use interface::{
    AdmissionAction, AdmissionEvent, AdmissionSettings, Arrival, ArtifactView, BackEndFault,
    RequestId,
};
use queue::{Waiting, WaitingQueue};
use routes::{Hope, Routes, Target, Zones};

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

    fn take_back(
        &mut self,
        now: Timestamp,
        request: RequestId,
        fault: BackEndFault,
        deadline: Timestamp,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(running) = self.end(request) else {
            return;
        };
        let until = now + self.settings.avoid_period;
        if fault == BackEndFault::Unreachable {
            self.unreachable.insert(running.runner.clone(), until);
        }
        let mut waiting = running.waiting;
        waiting.arrival.deadline = deadline;
        waiting.since = now;
        waiting.counted = true;
        waiting.avoided.insert(running.runner, until);
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

    fn count_waiting_arrival(&mut self, now: Timestamp, artifact: &ArtifactId) {
        let Some(state) = self.artifacts.get_mut(artifact) else {
            return;
        };
        if let Target::Zone(zone) = state.routes.target(now, &self.zones, &self.settings) {
            state.routes.zone_mut(&zone).arrivals += 1;
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

    fn tick(&mut self, now: Timestamp, actions: &mut Vec<AdmissionAction>) {
        self.unreachable.retain(|_, until| *until > now);
        self.forget_unused(now);
        self.review_all(now, actions);
    }

    fn forget_unused(&mut self, now: Timestamp) {
        let expiry = self.settings.route_expiry;
        let queue = &self.queue;
        self.artifacts.retain(|artifact, state| {
            let in_use = queue.count(artifact) > 0
                || state.promise.is_some()
                || state.routes.iter().any(|(_, route)| route.running > 0);
            in_use || now.since(state.used) < expiry
        });
    }

    fn review_all(&mut self, now: Timestamp, actions: &mut Vec<AdmissionAction>) {
        let artifacts: Vec<ArtifactId> = self.artifacts.keys().cloned().collect();
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

    fn end_promise(&mut self, now: Timestamp, artifact: &ArtifactId) {
        let Some(state) = self.artifacts.get_mut(artifact) else {
            return;
        };
        if state.promise.is_some_and(|promise| promise.until <= now) {
            state.promise = None;
        }
    }

    fn dispatch_waiting(
        &mut self,
        now: Timestamp,
        artifact: &ArtifactId,
        actions: &mut Vec<AdmissionAction>,
    ) {
        if self.queue.count(artifact) == 0 || !self.has_replica(artifact) {
            return;
        }
        let requests: Vec<RequestId> = self
            .queue
            .in_order(artifact)
            .map(|waiting| waiting.arrival.request)
            .collect();
        for request in requests {
            let Some(waiting) = self.queue.get(request).cloned() else {
                continue;
            };
            if let Some(action) = self.dispatch(now, &waiting) {
                self.queue.remove(request);
                actions.push(action);
            }
        }
    }

    fn has_replica(&self, artifact: &ArtifactId) -> bool {
        self.artifacts.get(artifact).is_some_and(|state| {
            state
                .routes
                .iter()
                .any(|(_, route)| !route.ready().is_empty())
        })
    }

    /// Sends a request to a replica, if one takes it now.
    fn dispatch(&mut self, now: Timestamp, waiting: &Waiting) -> Option<AdmissionAction> {
        let (zone, replica) = self.choose(now, waiting)?;
        let request = waiting.arrival.request;
        let state = self.artifacts.get_mut(&waiting.arrival.artifact)?;
        let route = state.routes.zone_mut(&zone);
        route.running += 1;
        route.arrivals += u32::from(!waiting.counted);
        self.router.began(&replica.runner);
        let running = Running {
            waiting: waiting.clone(),
            runner: replica.runner.clone(),
            zone,
        };
        self.running.insert(request, running);
        Some(AdmissionAction::Dispatch {
            request,
            runner: replica.runner,
            address: replica.address,
        })
    }

    /// Chooses a replica in the nearest zone that has one for the request.
    fn choose(&mut self, now: Timestamp, waiting: &Waiting) -> Option<(ZoneName, Replica)> {
        let state = self.artifacts.get(&waiting.arrival.artifact)?;
        let unreachable = &self.unreachable;
        let takes = |replica: &&Replica| {
            let is_held_off = |until: &Timestamp| *until > now;
            !waiting
                .avoided
                .get(&replica.runner)
                .is_some_and(is_held_off)
                && !unreachable.get(&replica.runner).is_some_and(is_held_off)
        };
        for zone in &self.zones.order {
            let Some(route) = state.routes.zone(zone) else {
                continue;
            };
            let candidates = route.ready().iter().filter(takes);
            if let Some(replica) = self.router.choose(candidates, waiting.arrival.prefix) {
                return Some((zone.clone(), replica.clone()));
            }
        }
        None
    }

    /// What the requests waiting for an artifact may hope for.
    fn hope(&self, state: &ArtifactState, now: Timestamp) -> Hope {
        match state.routes.target(now, &self.zones, &self.settings) {
            Target::Zone(zone) => state.routes.hope(&zone, now, &self.settings),
            Target::Nowhere { .. } => Hope::Unknown,
        }
    }

    /// Refuses at once what certainly cannot be served.
    fn refuse_hopeless(
        &mut self,
        now: Timestamp,
        artifact: &ArtifactId,
        actions: &mut Vec<AdmissionAction>,
    ) {
        if self.queue.count(artifact) == 0 {
            return;
        }
        let Some(state) = self.artifacts.get(artifact) else {
            return;
        };
        let hope = self.hope(state, now);
        self.note_hope(now, artifact, &hope);
        match hope {
            Hope::Ready => {}
            Hope::Unknown => self.refuse_after_grace(now, artifact, actions),
            Hope::At(time) => self.refuse_too_late(now, artifact, time, actions),
            Hope::Refused(refusal) => {
                let all = self.select(artifact, |_| true);
                for request in all {
                    self.queue.remove(request);
                    let refusal = refusal.clone();
                    actions.push(AdmissionAction::Refuse { request, refusal });
                }
            }
        }
    }

    fn note_hope(&mut self, now: Timestamp, artifact: &ArtifactId, hope: &Hope) {
        let Some(state) = self.artifacts.get_mut(artifact) else {
            return;
        };
        state.hopeless_since = match hope {
            Hope::Unknown => state.hopeless_since.or(Some(now)),
            _ => None,
        };
    }

    fn refuse_too_late(
        &mut self,
        now: Timestamp,
        artifact: &ArtifactId,
        ready: Timestamp,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let late = self.select(artifact, |waiting| waiting.arrival.deadline < ready);
        for request in late {
            let Some(waiting) = self.queue.remove(request) else {
                continue;
            };
            self.promise(now, artifact, ready, waiting.arrival.priority);
            let refusal = self.refusal(ResultCode::DeadlineTooShort, artifact, now);
            actions.push(AdmissionAction::Refuse { request, refusal });
        }
    }

    /// Keeps up the demand for callers who were told to come back when the replica is ready.
    fn promise(&mut self, now: Timestamp, artifact: &ArtifactId, ready: Timestamp, priority: u8) {
        let until = ready.max(now) + self.settings.retry_after;
        let Some(state) = self.artifacts.get_mut(artifact) else {
            return;
        };
        let priority = state
            .promise
            .map_or(priority, |promise| promise.priority.max(priority));
        state.promise = Some(Promise { until, priority });
    }

    fn refuse_after_grace(
        &mut self,
        now: Timestamp,
        artifact: &ArtifactId,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(state) = self.artifacts.get(artifact) else {
            return;
        };
        let Some(hopeless_since) = state.hopeless_since else {
            return;
        };
        let grace = self.settings.coordinator_grace;
        let patient = self.select(artifact, |waiting| {
            now.since(waiting.since.max(hopeless_since)) >= grace
        });
        let Some(state) = self.artifacts.get(artifact) else {
            return;
        };
        let all_send_us_on = matches!(
            state.routes.target(now, &self.zones, &self.settings),
            Target::Nowhere {
                is_any_silent: false,
                ..
            }
        );
        let code = if all_send_us_on {
            ResultCode::NoQuota
        } else {
            ResultCode::NoCoordinator
        };
        for request in patient {
            self.refuse(now, Some(request), code, actions);
        }
    }

    fn select(&self, artifact: &ArtifactId, wanted: impl Fn(&Waiting) -> bool) -> Vec<RequestId> {
        self.queue
            .in_order(artifact)
            .filter(|waiting| wanted(waiting))
            .map(|waiting| waiting.arrival.request)
            .collect()
    }

    fn refuse(
        &mut self,
        now: Timestamp,
        request: Option<RequestId>,
        code: ResultCode,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(waiting) = request.and_then(|request| self.queue.remove(request)) else {
            return;
        };
        let refusal = self.refusal(code, &waiting.arrival.artifact, now);
        let request = waiting.arrival.request;
        actions.push(AdmissionAction::Refuse { request, refusal });
    }

    /// A refusal that says when to come back: when a replica is expected, or after the default.
    fn refusal(&self, code: ResultCode, artifact: &ArtifactId, now: Timestamp) -> Refusal {
        let hope = self
            .artifacts
            .get(artifact)
            .map(|state| self.hope(state, now));
        let retry_after = match hope {
            Some(Hope::At(time)) if time > now => time.since(now),
            _ => self.settings.retry_after,
        };
        Refusal::new(code).with_retry_after(retry_after)
    }

    fn end(&mut self, request: RequestId) -> Option<Running> {
        let running = self.running.remove(&request)?;
        self.router.ended(&running.runner);
        if let Some(state) = self.artifacts.get_mut(&running.waiting.arrival.artifact) {
            let route = state.routes.zone_mut(&running.zone);
            route.running = route.running.saturating_sub(1);
        }
        Some(running)
    }

    /// Sends the demands for an artifact that are due, one to each zone concerned.
    fn send_demands(
        &mut self,
        now: Timestamp,
        artifact: &ArtifactId,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(state) = self.artifacts.get(artifact) else {
            return;
        };
        let asked = match state.routes.target(now, &self.zones, &self.settings) {
            Target::Zone(zone) => vec![zone],
            Target::Nowhere { zones, .. } => zones,
        };
        let is_wanted = self.queue.count(artifact) > 0 || state.promise.is_some();
        let in_use = state
            .routes
            .iter()
            .filter(|(_, route)| route.running > 0 || route.arrivals > 0)
            .map(|(zone, _)| zone);
        let mut due: BTreeSet<ZoneName> = in_use.cloned().collect();
        if is_wanted {
            due.extend(asked.iter().cloned());
        }
        for zone in due {
            let is_asked = asked.contains(&zone);
            self.send_demand(now, artifact, &zone, is_asked, actions);
        }
    }

    fn send_demand(
        &mut self,
        now: Timestamp,
        artifact: &ArtifactId,
        zone: &ZoneName,
        is_asked: bool,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let waiting = self.queue.count(artifact);
        let queued_priority = self.queue.highest_priority(artifact);
        let earliest = self.queue.earliest_deadline(artifact);
        let Some(state) = self.artifacts.get_mut(artifact) else {
            return;
        };
        let promise = state.promise.filter(|_| waiting == 0);
        let route = state.routes.zone_mut(zone);
        let period = self.settings.demand_period;
        if !self.zones.heads.contains(zone) || !route.may_ask(now, period) {
            return;
        }
        let mut demand = Demand {
            artifact: artifact.clone(),
            waiting: 0,
            running: route.running,
            priority: 0,
            earliest_deadline_ms: u64::MAX,
            arrivals: route.arrivals,
        };
        if is_asked {
            demand.waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
            demand.priority = queued_priority.unwrap_or(0);
            demand.earliest_deadline_ms =
                earliest.map_or(u64::MAX, |deadline| millis(deadline.since(now)));
        }
        if let Some(promise) = promise.filter(|_| is_asked) {
            demand.waiting = 1;
            demand.priority = promise.priority;
            demand.earliest_deadline_ms = millis(promise.until.since(now));
        }
        route.note_asked(now, &self.settings);
        let zone = zone.clone();
        actions.push(AdmissionAction::SendDemand { zone, demand });
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
