//! Requests that wait until a unit is ready at a runner.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flaxward_routing::configuration::Route;
use flaxward_routing::homes::Requirement;
use flaxward_types::ResultCode;
use flaxward_types::refusal::Refusal;
use flaxward_types::time::Timestamp;
use tokio::time::{Instant, sleep_until};

use crate::counters::CAPACITY_WAITS;
use crate::exchange::ClientRequest;
use crate::state::Shared;
use crate::usage::WaitingRequest;

/// Time past the promised moment after which a unit counts as late and the promise as broken.
const PROMISE_SLACK: Duration = Duration::from_millis(2_500);
/// Minimum time for an answer once the unit is ready.
const MIN_RUN_TIME: Duration = Duration::from_millis(150);
/// Retry delay if there is no estimate of when the unit is ready.
const UNKNOWN_RETRY: Duration = Duration::from_millis(900);
/// Retry delay if there is no coordinator: failover takes until the lease has expired.
const FAILOVER_RETRY: Duration = Duration::from_secs(3);
/// Share of the target after which a request without a promise is refused.
const SHARE_WITHOUT_PROMISE: f64 = 0.2;
/// Time allowed for a promise while there is a coordinator, also if the target is short: a message
/// each way, one planning round of a busy coordinator and the pause after the round before. A
/// request that is refused sooner is retried later than the promise would have allowed.
const PLAN_WAIT: Duration = Duration::from_millis(400);
/// Upper bound of [`PLAN_WAIT`], as a share of the target.
const PLAN_WAIT_SHARE: f64 = 0.5;
/// Minimum time allowed for a promise while there is no coordinator: a successor may be about to
/// take over.
const MIN_FAILOVER_WAIT: Duration = Duration::from_millis(60);

/// Expected duration of a load from a runner's disk.
const LOAD_TIME: Duration = Duration::from_millis(1_700);

/// Counts a request as waiting until dropped.
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

/// Waits until a runner in the request's home regions has loaded the unit. `arrived` is when the
/// request arrived: time already spent at runners or in an earlier wait counts towards the caller's
/// timeout. `promise_grace` is how much later than in time the unit may be promised without an
/// immediate refusal, for a caller that takes its stream up once the wait has ended.
///
/// # Errors
/// Refuses as soon as it is certain that the unit will not be ready in time.
pub(crate) async fn wait_for_unit(
    shared: &Arc<Shared>,
    request: &ClientRequest,
    route: &Route,
    requirement: &Requirement,
    arrived: Instant,
    promise_grace: Duration,
) -> Result<(), Refusal> {
    let started_at = shared.now();
    let started = Instant::now();
    let _guard = WaitingGuard::begin(shared, requirement, route, request.priority);
    loop {
        let latest = latest_start(shared, request, route, arrived);
        let promise_due = (started + promise_wait(shared, route)).min(latest);
        let changed = shared.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if is_loaded(shared, requirement) {
            let waited = started.elapsed().as_millis();
            let fields: &[(&str, &dyn std::fmt::Display)] = &[
                ("request", &request.profile.id),
                ("unit", requirement),
                ("waited_ms", &waited),
            ];
            shared.log.write(shared.now(), "unit-ready", fields);
            return Ok(());
        }
        let wake_at = match promised(shared, requirement, started_at) {
            Some(ready_at) => {
                let ready = shared.clock.instant(ready_at);
                if ready > latest + promise_grace {
                    return Err(not_ready(ready.saturating_duration_since(Instant::now())));
                }
                (ready + PROMISE_SLACK).min(latest)
            }
            None => promise_due,
        };
        if Instant::now() >= wake_at {
            let has_coordinator = shared.has_coordinator.load(Ordering::Relaxed);
            let retry = if has_coordinator {
                UNKNOWN_RETRY
            } else {
                FAILOVER_RETRY
            };
            return Err(not_ready(retry));
        }
        tokio::select! {
            () = changed => {}
            () = sleep_until(wake_at) => {}
        }
    }
}

/// Time allowed for the coordinator's promise.
fn promise_wait(shared: &Shared, route: &Route) -> Duration {
    let has_coordinator = shared.has_coordinator.load(Ordering::Relaxed);
    let min_wait = if has_coordinator {
        PLAN_WAIT.min(route.target.mul_f64(PLAN_WAIT_SHARE))
    } else {
        MIN_FAILOVER_WAIT
    };
    route.target.mul_f64(SHARE_WITHOUT_PROMISE).max(min_wait)
}

/// Waits until a runner that rests or needs a permit may have capacity, or until the tables change.
///
/// # Errors
/// Refuses immediately if no capacity becomes available in time.
pub(crate) async fn wait_for_capacity(
    shared: &Arc<Shared>,
    request: &ClientRequest,
    route: &Route,
    available_at: Timestamp,
    arrived: Instant,
) -> Result<(), Refusal> {
    let wake_at = shared.clock.instant(available_at);
    if wake_at > latest_start(shared, request, route, arrived) {
        return Err(not_ready(available_at.since(shared.now())));
    }
    metrics::counter!(CAPACITY_WAITS.name).increment(1);
    // Report the demand to the coordinator: another replica may be ready before these runners have
    // capacity.
    let requirement = request.requirement();
    let _guard = requirement.map(|it| WaitingGuard::begin(shared, &it, route, request.priority));
    tokio::select! {
        () = shared.changed.notified() => {}
        () = sleep_until(wake_at) => {}
    }
    Ok(())
}

/// The latest moment at which the request can be sent and still be answered in time.
fn latest_start(
    shared: &Shared,
    request: &ClientRequest,
    route: &Route,
    arrived: Instant,
) -> Instant {
    let answer_deadline = if route.kind.is_stream() {
        (arrived + route.stream_silence_timeout()).min(request.deadline)
    } else {
        request.deadline
    };
    let stop_end = shared.tables().stop_end.unwrap_or(answer_deadline);
    answer_deadline.min(stop_end) - MIN_RUN_TIME
}

/// Whether a runner in the home regions has loaded the unit.
fn is_loaded(shared: &Shared, requirement: &Requirement) -> bool {
    let now = shared.now();
    let tables = shared.tables();
    let availability = tables.availability(&shared.locality);
    availability.is_unit_loaded(requirement, now)
}

fn promised(
    shared: &Shared,
    requirement: &Requirement,
    started_at: Timestamp,
) -> Option<Timestamp> {
    let tables = shared.tables();
    let estimate = tables.readiness_estimates.get(requirement)?;
    (estimate.received_at >= started_at).then_some(estimate.ready_at)
}

fn not_ready(retry_after: Duration) -> Refusal {
    Refusal::new(ResultCode::DeadlineTooShort).with_retry_after(retry_after)
}
