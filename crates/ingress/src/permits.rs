//! Permits for requests to runners that are cold or name a rate, as the requests of this daemon need and get them.

use std::fmt::Display;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flaxward_routing::cold::ColdBound;
use flaxward_routing::names::{RunnerId, ServiceName};
use flaxward_routing::permits::{PERMIT_LIFE, PermitDecision, PermitQuestion};
use flaxward_routing::runners::Runner;
use flaxward_types::time::Timestamp;
use tokio::time::{Instant, sleep_until, timeout};

use crate::counters::PERMITS;
use crate::exchange::ClientRequest;
use crate::state::Shared;

/// Longest time for an answer of the keeper: a message each way, and the longest plan of a coordinator.
const ANSWER_TIME: Duration = Duration::from_millis(80);
/// Pause before a runner is asked for again if the keeper has not answered, or none is heard.
const NO_ANSWER_PAUSE: Duration = Duration::from_millis(250);
/// Shortest pause before a runner is asked for again, which bounds what a waiting request costs.
const LEAST_PAUSE: Duration = Duration::from_millis(30);

/// One request may be sent to one runner.
#[derive(Clone, Debug)]
pub(crate) struct Permit {
    runner: RunnerId,
    ends_at: Timestamp,
}

/// What a request needs before it is sent to a runner.
#[derive(Clone, Debug)]
pub(crate) enum Admission {
    /// Nothing bounds what the runner gets.
    Free,
    /// The keeper allows it.
    Permitted(Permit),
}

impl Shared {
    /// The bound for cold runners of a service; `None` if the operators set none.
    pub(crate) fn cold_bound(&self, service: &ServiceName) -> Option<ColdBound> {
        let settings = self.settings.cold_runners?;
        let configuration = self.configuration()?;
        let cold_start = configuration.service(service)?.cold_start?;
        Some(ColdBound::new(cold_start, settings))
    }

    /// Whether a request for a runner needs a permit now.
    fn needs_permit(&self, runner: &Runner) -> bool {
        let tables = self.tables();
        let is_limited = tables.notices.rate_limit(&runner.id).is_some();
        let is_cold = tables.spells.is_cold(&runner.id, self.now());
        drop(tables);
        is_limited || (is_cold && self.cold_bound(&runner.service).is_some())
    }

    /// Whether a request may be sent to a runner at this moment.
    pub(crate) fn may_send(&self, runner: &Runner, admission: &Admission) -> bool {
        let now = self.now();
        let tables = self.tables();
        let notices = &tables.notices;
        let wants_nothing =
            notices.is_leaving(&runner.id) || notices.rests_until(&runner.id, now).is_some();
        drop(tables);
        if wants_nothing {
            return false;
        }
        if !self.needs_permit(runner) {
            return true;
        }
        match admission {
            Admission::Free => false,
            Admission::Permitted(permit) => {
                permit.runner == runner.id && self.now() < permit.ends_at
            }
        }
    }
}

/// Gets what a request needs before it is sent to a runner.
///
/// # Errors
/// Tells when there may be a permit, if there is none now.
pub(crate) async fn admit(
    shared: &Shared,
    request: &ClientRequest,
    runner: &Runner,
) -> Result<Admission, Timestamp> {
    if !shared.needs_permit(runner) {
        return Ok(Admission::Free);
    }
    let asked_at = shared.now();
    let decision = ask(shared, request, runner).await;
    let (outcome, decided) = match decision {
        Some(PermitDecision::Given) => {
            let permit = Permit {
                runner: runner.id.clone(),
                ends_at: asked_at + PERMIT_LIFE,
            };
            ("given", Ok(Admission::Permitted(permit)))
        }
        Some(PermitDecision::Refused { room_in_ms }) => {
            let room_in = Duration::from_millis(u64::from(room_in_ms));
            ("refused", Err(room_in))
        }
        None => ("unanswered", Err(NO_ANSWER_PAUSE)),
    };
    metrics::counter!(PERMITS.name, "outcome" => outcome).increment(1);
    decided.map_err(|room_in| {
        let room_at = room_at(shared, runner, room_in);
        log_no_permit(shared, request, runner, outcome, room_at);
        room_at
    })
}

/// The same for a request that waits for its permit until an instant.
///
/// # Errors
/// Tells when there may be a permit, if that is later.
pub(crate) async fn admit_until(
    shared: &Shared,
    request: &ClientRequest,
    runner: &Runner,
    latest: Instant,
) -> Result<Admission, Timestamp> {
    loop {
        let room_at = match admit(shared, request, runner).await {
            Ok(admission) => return Ok(admission),
            Err(room_at) => room_at,
        };
        let wake_at = shared.clock.instant(room_at);
        if wake_at >= latest {
            return Err(room_at);
        }
        sleep_until(wake_at).await;
    }
}

/// When a request that got no permit asks again: when the keeper has said, or when the runner needs none because it is warm.
fn room_at(shared: &Shared, runner: &Runner, room_in: Duration) -> Timestamp {
    let now = shared.now();
    let tables = shared.tables();
    let is_limited = tables.notices.rate_limit(&runner.id).is_some();
    let end = tables.spells.ends_at(&runner.id).filter(|_| !is_limited);
    drop(tables);
    let room_at = now + room_in;
    let room_at = end.map_or(room_at, |end| room_at.min(end));
    room_at.max(now + LEAST_PAUSE)
}

async fn ask(shared: &Shared, request: &ClientRequest, runner: &Runner) -> Option<PermitDecision> {
    if !shared.hears_coordinator.load(Ordering::Relaxed) {
        return None;
    }
    let keeper = shared.tables().permit_keeper?;
    let question = shared
        .permit_questions
        .ask(keeper, |number| PermitQuestion {
            number,
            runner: runner.id.clone(),
            rank: request.priority,
        });
    shared.keeper_wake.notify_one();
    timeout(ANSWER_TIME, question.answer()).await.ok().flatten()
}

fn log_no_permit(
    shared: &Shared,
    request: &ClientRequest,
    runner: &Runner,
    outcome: &str,
    room_at: Timestamp,
) {
    let now = shared.now();
    let fields: &[(&str, &dyn Display)] = &[
        ("request", &request.profile.id),
        ("runner", &runner.id),
        ("outcome", &outcome),
        ("rank", &request.priority),
        ("room_in_ms", &room_at.since(now).as_millis()),
    ];
    shared.log.write(now, "no-permit", fields);
}
