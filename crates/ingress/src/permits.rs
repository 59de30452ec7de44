//! Obtains permits for requests to runners that are cold, announce a rate limit or are brittle.

use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flaxward_routing::cold::ColdBound;
use flaxward_routing::names::{RunnerId, ServiceName};
use flaxward_routing::permits::{PERMIT_LIFE, PermitDecision, PermitQuestion};
use flaxward_routing::runners::Runner;
use flaxward_types::time::Timestamp;
use tokio::time::{Instant, sleep_until, timeout};

use crate::concurrency::{self, Concurrency};
use crate::counters::PERMITS;
use crate::exchange::ClientRequest;
use crate::keeper_client::ANSWER_TIMEOUT;
use crate::state::Shared;

/// Pause before the next permit question for a runner if the keeper did not answer or none is
/// known.
const NO_ANSWER_PAUSE: Duration = Duration::from_millis(250);
/// Minimum pause before the next permit question for a runner, which bounds the cost of a waiting
/// request.
const MIN_PAUSE: Duration = Duration::from_millis(30);

/// Permission to send one request to one runner.
#[derive(Clone, Debug)]
pub(crate) struct Permit {
    runner: RunnerId,
    ends_at: Timestamp,
}

/// What allows a request to a runner as far as its rate is concerned.
enum RateAdmission {
    /// The runner is not limited.
    Free,
    /// The keeper has granted a permit.
    Permitted(Permit),
}

/// Admission of a request to a runner.
pub(crate) struct Admission {
    rate: RateAdmission,
    pub concurrency: Concurrency,
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
        let is_cold = tables.cold_periods.is_cold(&runner.id, self.now());
        drop(tables);
        is_limited || (is_cold && self.cold_bound(&runner.service).is_some())
    }

    /// Whether a request may be sent to a runner now.
    pub(crate) fn may_send(&self, runner: &Runner, admission: &Admission) -> bool {
        let now = self.now();
        let tables = self.tables();
        let notices = &tables.notices;
        let is_unavailable =
            notices.is_leaving(&runner.id) || notices.rests_until(&runner.id, now).is_some();
        drop(tables);
        if is_unavailable || !self.is_within_concurrency(runner, &admission.concurrency) {
            return false;
        }
        if !self.needs_permit(runner) {
            return true;
        }
        match &admission.rate {
            RateAdmission::Free => false,
            RateAdmission::Permitted(permit) => {
                permit.runner == runner.id && self.now() < permit.ends_at
            }
        }
    }
}

/// Obtains the admission of a request to a runner.
///
/// # Errors
/// Returns when a permit may be available, if there is none now.
pub(crate) async fn admit(
    shared: &Arc<Shared>,
    request: &ClientRequest,
    runner: &Runner,
) -> Result<Admission, Timestamp> {
    let rate = admit_to_rate(shared, request, runner).await?;
    let concurrency = concurrency::admit(shared, request, runner).await?;
    Ok(Admission { rate, concurrency })
}

async fn admit_to_rate(
    shared: &Shared,
    request: &ClientRequest,
    runner: &Runner,
) -> Result<RateAdmission, Timestamp> {
    if !shared.needs_permit(runner) {
        return Ok(RateAdmission::Free);
    }
    let asked_at = shared.now();
    let decision = ask(shared, request, runner).await;
    let (outcome, decided) = match decision {
        Some(PermitDecision::Given) => {
            let permit = Permit {
                runner: runner.id.clone(),
                ends_at: asked_at + PERMIT_LIFE,
            };
            ("given", Ok(RateAdmission::Permitted(permit)))
        }
        Some(PermitDecision::Refused { room_in_ms }) => {
            let available_in = Duration::from_millis(u64::from(room_in_ms));
            ("refused", Err(available_in))
        }
        None => ("unanswered", Err(NO_ANSWER_PAUSE)),
    };
    metrics::counter!(PERMITS.name, "outcome" => outcome).increment(1);
    decided.map_err(|available_in| {
        let available_at = available_at(shared, runner, available_in);
        log_no_permit(shared, request, runner, outcome, available_at);
        available_at
    })
}

/// Like [`admit`], but waits for a permit until `latest`.
///
/// # Errors
/// Returns when a permit may be available, if that is later than `latest`.
pub(crate) async fn admit_until(
    shared: &Arc<Shared>,
    request: &ClientRequest,
    runner: &Runner,
    latest: Instant,
) -> Result<Admission, Timestamp> {
    loop {
        let available_at = match admit(shared, request, runner).await {
            Ok(admission) => return Ok(admission),
            Err(available_at) => available_at,
        };
        let wake_at = shared.clock.instant(available_at);
        if wake_at >= latest {
            return Err(available_at);
        }
        sleep_until(wake_at).await;
    }
}

/// When a request without a permit asks again: at the time that the keeper gave, or when the runner
/// needs none because it is warm.
fn available_at(shared: &Shared, runner: &Runner, available_in: Duration) -> Timestamp {
    let now = shared.now();
    let tables = shared.tables();
    let is_limited = tables.notices.rate_limit(&runner.id).is_some();
    let end = tables
        .cold_periods
        .ends_at(&runner.id)
        .filter(|_| !is_limited);
    drop(tables);
    let available_at = now + available_in;
    let available_at = end.map_or(available_at, |end| available_at.min(end));
    available_at.max(now + MIN_PAUSE)
}

async fn ask(shared: &Shared, request: &ClientRequest, runner: &Runner) -> Option<PermitDecision> {
    if !shared.has_coordinator.load(Ordering::Relaxed) {
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
    timeout(ANSWER_TIMEOUT, question.answer())
        .await
        .ok()
        .flatten()
}

fn log_no_permit(
    shared: &Shared,
    request: &ClientRequest,
    runner: &Runner,
    outcome: &str,
    available_at: Timestamp,
) {
    let now = shared.now();
    let fields: &[(&str, &dyn Display)] = &[
        ("request", &request.profile.id),
        ("runner", &runner.id),
        ("outcome", &outcome),
        ("rank", &request.priority),
        ("room_in_ms", &available_at.since(now).as_millis()),
    ];
    shared.log.write(now, "no-permit", fields);
}
