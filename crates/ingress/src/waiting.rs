//! Requests that wait until a unit is ready at some runner.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flaxward_routing::configuration::Route;
use flaxward_routing::homes::Requirement;
use flaxward_types::ResultCode;
use flaxward_types::refusal::Refusal;
use flaxward_types::time::Timestamp;
use tokio::time::{Instant, sleep_until};

use crate::counters::ROOM_WAITS;
use crate::exchange::ClientRequest;
use crate::state::Shared;
use crate::usage::WaitingRequest;

/// Time after the promised moment at which a unit counts as late and the promise as broken.
const PROMISE_SLACK: Duration = Duration::from_millis(2_500);
/// Time that an answer needs once the unit is ready, at least.
const LEAST_RUN: Duration = Duration::from_millis(150);
/// When to come back if nobody says when the unit is ready.
const UNKNOWN_RETRY: Duration = Duration::from_millis(900);
/// When to come back if there is no coordinator, which takes until the lease has run out.
const SUCCESSOR_RETRY: Duration = Duration::from_secs(3);
/// Part of the target after which a request without a promise is refused.
const SHARE_WITHOUT_PROMISE: f64 = 0.2;
/// Time allowed for the promise of a coordinator that is heard, also if the target is short: a message each way, a
/// plan of a busy coordinator and the pause after the one before. A request that is refused sooner comes back later
/// than it would have been promised.
const PLAN_WAIT: Duration = Duration::from_millis(400);
/// Part of the target that this takes at most.
const PLAN_WAIT_SHARE: f64 = 0.5;
/// The same if none is heard: a successor may be about to begin.
const LEAST_SUCCESSOR_WAIT: Duration = Duration::from_millis(60);

/// Time that a load is expected to take: one from a runner's disk.
const LOAD_TIME: Duration = Duration::from_millis(1_700);

/// Counts a request as waiting for as long as it lives.
struct WaitingGuard {
    shared: Arc<Shared>,
    requirement: Requirement,
    request: WaitingRequest,
}

impl WaitingGuard {
    fn begin(shared: &Arc<Shared>, requirement: &Requirement, route: &Route, priority: u8) -> Self {
        let request = WaitingRequest {
            priority,
            load_by: shared.now() + route.target.saturating_sub(LOAD_TIME),
        };
        let mut tables = shared.tables();
        let waiting = tables.waiting.entry(requirement.clone()).or_default();
        waiting.add(request);
        drop(tables);
        shared.demand.notify_one();
        Self {
            shared: shared.clone(),
            requirement: requirement.clone(),
            request,
        }
    }
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        let mut tables = self.shared.tables();
        if let Some(waiting) = tables.waiting.get_mut(&self.requirement)
            && waiting.remove(self.request)
        {
            tables.waiting.remove(&self.requirement);
        }
    }
}

/// Waits until a runner within the homes of the request holds the unit. `arrived` is when the request came: what it has
/// spent before, at runners or in an earlier wait, counts towards its callers' patience.
///
/// # Errors
/// Refuses as soon as it is clear that the unit is not ready in time.
pub(crate) async fn wait_for_unit(
    shared: &Arc<Shared>,
    request: &ClientRequest,
    route: &Route,
    requirement: &Requirement,
    arrived: Instant,
) -> Result<(), Refusal> {
    let begun_at = shared.now();
    let begun = Instant::now();
    let _guard = WaitingGuard::begin(shared, requirement, route, request.priority);
    loop {
        let latest = latest_start(shared, request, route, arrived);
        let promise_due = (begun + promise_wait(shared, route)).min(latest);
        let changed = shared.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if is_held(shared, requirement) {
            let waited = begun.elapsed().as_millis();
            let fields: &[(&str, &dyn std::fmt::Display)] = &[
                ("request", &request.profile.id),
                ("unit", requirement),
                ("waited_ms", &waited),
            ];
            shared.log.write(shared.now(), "unit-ready", fields);
            return Ok(());
        }
        let wake_at = match promised(shared, requirement, begun_at) {
            Some(ready_at) => {
                let ready = shared.clock.instant(ready_at);
                if ready > latest {
                    return Err(not_ready(ready.saturating_duration_since(Instant::now())));
                }
                (ready + PROMISE_SLACK).min(latest)
            }
            None => promise_due,
        };
        if Instant::now() >= wake_at {
            let hears = shared.hears_coordinator.load(Ordering::Relaxed);
            let retry = if hears {
                UNKNOWN_RETRY
            } else {
                SUCCESSOR_RETRY
            };
            return Err(not_ready(retry));
        }
        tokio::select! {
            () = changed => {}
            () = sleep_until(wake_at) => {}
        }
    }
}

/// Time allowed for the promise of the coordinator.
fn promise_wait(shared: &Shared, route: &Route) -> Duration {
    let hears = shared.hears_coordinator.load(Ordering::Relaxed);
    let least = if hears {
        PLAN_WAIT.min(route.target.mul_f64(PLAN_WAIT_SHARE))
    } else {
        LEAST_SUCCESSOR_WAIT
    };
    route.target.mul_f64(SHARE_WITHOUT_PROMISE).max(least)
}

/// Waits until there may be room at a runner that rests or needs a permit, or until something has changed.
///
/// # Errors
/// Refuses at once if there is no room in time.
pub(crate) async fn wait_for_room(
    shared: &Arc<Shared>,
    request: &ClientRequest,
    route: &Route,
    room_at: Timestamp,
    arrived: Instant,
) -> Result<(), Refusal> {
    let wake_at = shared.clock.instant(room_at);
    if wake_at > latest_start(shared, request, route, arrived) {
        return Err(not_ready(room_at.since(shared.now())));
    }
    metrics::counter!(ROOM_WAITS.name).increment(1);
    // The coordinator must hear of it: another copy may be ready before these have room.
    let requirement = request.requirement();
    let _guard = requirement.map(|it| WaitingGuard::begin(shared, &it, route, request.priority));
    tokio::select! {
        () = shared.changed.notified() => {}
        () = sleep_until(wake_at) => {}
    }
    Ok(())
}

/// The latest moment at which the request can be sent and still be answered.
fn latest_start(
    shared: &Shared,
    request: &ClientRequest,
    route: &Route,
    arrived: Instant,
) -> Instant {
    let patience = if route.kind.is_stream() {
        (arrived + route.stream_silence_timeout()).min(request.deadline)
    } else {
        request.deadline
    };
    let stop_end = shared.tables().stop_end.unwrap_or(patience);
    patience.min(stop_end) - LEAST_RUN
}

/// Whether a runner within the homes holds the unit.
fn is_held(shared: &Shared, requirement: &Requirement) -> bool {
    let now = shared.now();
    let tables = shared.tables();
    let availability = tables.availability(&shared.locality);
    availability.is_unit_loaded(requirement, now)
}

fn promised(shared: &Shared, requirement: &Requirement, begun_at: Timestamp) -> Option<Timestamp> {
    let tables = shared.tables();
    let outlook = tables.outlooks.get(requirement)?;
    (outlook.told_at >= begun_at).then_some(outlook.ready_at)
}

fn not_ready(retry_after: Duration) -> Refusal {
    Refusal::new(ResultCode::DeadlineTooShort).with_retry_after(retry_after)
}
