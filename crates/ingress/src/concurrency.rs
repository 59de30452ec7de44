//! Concurrency permits for requests to brittle runners.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::concurrency::{
    ConcurrencyDecision, ConcurrencyQuestion, PERMIT_LIFE, PermitOutcome,
};
use flaxward_routing::names::RunnerId;
use flaxward_routing::rate_limit::RequestRate;
use flaxward_routing::runners::Runner;
use flaxward_types::time::Timestamp;
use tokio::time::timeout;

use crate::counters::CONCURRENCY_PERMITS;
use crate::exchange::ClientRequest;
use crate::keeper_client::ANSWER_TIMEOUT;
use crate::state::Shared;

/// Pause before a request for a busy service asks again while no keeper answers.
const NO_KEEPER_PAUSE: Duration = Duration::from_millis(250);
/// Pause before a request asks again whose question or answer got lost.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(30);

/// Permission to send one request to one brittle runner, in use until it is dropped.
pub(crate) struct ConcurrencyPermit {
    shared: Arc<Shared>,
    number: u64,
    runner: RunnerId,
    ends_at: Timestamp,
    outcome: PermitOutcome,
    /// Whether the keeper may count it.
    is_given: bool,
}

impl ConcurrencyPermit {
    /// Whether a request may be sent to a runner under it now.
    pub(crate) fn allows(&self, runner: &RunnerId, now: Timestamp) -> bool {
        self.runner == *runner && now < self.ends_at
    }

    /// Records how it has been used.
    pub(crate) fn record(&mut self, outcome: PermitOutcome) {
        self.outcome = outcome;
    }

    /// Drops a permit that the keeper has not given, without a report.
    fn forget(mut self) {
        self.is_given = false;
    }
}

impl Drop for ConcurrencyPermit {
    fn drop(&mut self) {
        if !self.is_given {
            return;
        }
        let mut tables = self.shared.tables();
        let ledger = &mut tables.notices.concurrency;
        ledger.end(self.number, &self.runner, self.outcome);
        drop(tables);
        self.shared.keeper_wake.notify_one();
    }
}

/// What allows a request to a runner as far as rejections are concerned.
pub(crate) enum Concurrency {
    /// The runner was not known to be brittle.
    Unlimited,
    /// The keeper has given a permit.
    Permitted(ConcurrencyPermit),
    /// There is no keeper: this daemon keeps to its own share of rejections.
    OwnShare,
}

impl Concurrency {
    fn label(&self) -> &'static str {
        match self {
            Self::Unlimited => "unlimited",
            Self::Permitted(_) => "given",
            Self::OwnShare => "own-share",
        }
    }
}

impl Shared {
    /// Rejections per second that a runner tolerates; `None` if it is not known to be brittle.
    fn rejection_limit(&self, runner: &Runner) -> Option<RequestRate> {
        let now = self.now();
        let tables = self.tables();
        let limits = &tables.notices.rejection_limits;
        limits.limit(&runner.id, &runner.service, now)
    }

    /// Whether a request may be sent to a runner now as far as rejections are concerned.
    pub(crate) fn is_within_concurrency(&self, runner: &Runner, concurrency: &Concurrency) -> bool {
        match concurrency {
            Concurrency::Unlimited => self.rejection_limit(runner).is_none(),
            Concurrency::Permitted(permit) => permit.allows(&runner.id, self.now()),
            // Checked as the request is counted.
            Concurrency::OwnShare => true,
        }
    }

    /// Number of runners that can serve a request for the service of a runner.
    fn count_candidates(&self, request: &ClientRequest, runner: &Runner) -> u32 {
        let now = self.now();
        let tables = self.tables();
        let availability = tables.availability(&self.locality);
        let usable = availability.usable(&runner.service);
        let holding = usable.filter(|it| availability.holds_unit(it, request.unit.as_ref(), now));
        u32::try_from(holding.count()).unwrap_or(u32::MAX)
    }

    /// The keeper of concurrency permits; `None` if there is none, or it does not answer.
    fn concurrency_keeper(&self) -> Option<SocketAddr> {
        let now = self.now();
        let tables = self.tables();
        let hears_keeper = tables.notices.concurrency.hears_keeper(now);
        tables.permit_keeper.filter(|_| hears_keeper)
    }
}

/// Obtains the permission to send a request to a runner that may be brittle.
///
/// # Errors
/// Returns when a permit may be available, if there is none now.
pub(crate) async fn admit(
    shared: &Arc<Shared>,
    request: &ClientRequest,
    runner: &Runner,
) -> Result<Concurrency, Timestamp> {
    let Some(limit) = shared.rejection_limit(runner) else {
        return Ok(Concurrency::Unlimited);
    };
    let decided = match shared.concurrency_keeper() {
        Some(keeper) => ask(shared, request, runner, limit, keeper).await,
        None => admit_without_keeper(shared, runner),
    };
    let (outcome, result) = match decided {
        Ok(concurrency) => (concurrency.label(), Ok(concurrency)),
        Err(refused) => {
            log_refused(shared, request, runner, refused);
            (refused.reason, Err(shared.now() + refused.retry_in))
        }
    };
    metrics::counter!(CONCURRENCY_PERMITS.name, "outcome" => outcome).increment(1);
    result
}

/// A request that may not be sent to a runner now.
#[derive(Clone, Copy, Debug)]
struct RefusedPermit {
    reason: &'static str,
    retry_in: Duration,
}

async fn ask(
    shared: &Arc<Shared>,
    request: &ClientRequest,
    runner: &Runner,
    limit: RequestRate,
    keeper: SocketAddr,
) -> Result<Concurrency, RefusedPermit> {
    let question = shared
        .concurrency_questions
        .ask(keeper, |number| ConcurrencyQuestion {
            number,
            runner: runner.id.clone(),
            rank: request.priority,
            slots: runner.slots,
            limit,
            candidates: shared.count_candidates(request, runner),
        });
    let asked_at = shared.now();
    // From here on a permit may be in use at the keeper, also if this request ends meanwhile.
    let permit = ConcurrencyPermit {
        shared: shared.clone(),
        number: question.number(),
        runner: runner.id.clone(),
        ends_at: asked_at + PERMIT_LIFE,
        outcome: PermitOutcome::Unused,
        is_given: true,
    };
    shared.keeper_wake.notify_one();
    let answer = timeout(ANSWER_TIMEOUT, question.answer()).await;
    let now = shared.now();
    let mut tables = shared.tables();
    let ledger = &mut tables.notices.concurrency;
    let service = &runner.service;
    match answer.ok().flatten() {
        Some(ConcurrencyDecision::Given { is_busy }) => {
            ledger.record_permit(permit.number, &runner.id, service, is_busy, now);
            Ok(Concurrency::Permitted(permit))
        }
        Some(ConcurrencyDecision::Refused { retry_in_ms }) => {
            ledger.record_refusal(permit.number, service, now);
            drop(tables);
            permit.forget();
            Err(RefusedPermit {
                reason: "refused",
                retry_in: Duration::from_millis(u64::from(retry_in_ms)),
            })
        }
        None => {
            ledger.record_unanswered(asked_at, now);
            drop(tables);
            Err(RefusedPermit {
                reason: "unanswered",
                retry_in: UNANSWERED_PAUSE,
            })
        }
    }
}

/// Without a keeper, requests for a service that was not busy go on within this daemon's share of rejections.
fn admit_without_keeper(shared: &Shared, runner: &Runner) -> Result<Concurrency, RefusedPermit> {
    let now = shared.now();
    let ledger = &shared.tables().notices.concurrency;
    if !ledger.may_use_own_share(&runner.service, now) {
        return Err(RefusedPermit {
            reason: "no-keeper",
            retry_in: NO_KEEPER_PAUSE,
        });
    }
    Ok(Concurrency::OwnShare)
}

fn log_refused(shared: &Shared, request: &ClientRequest, runner: &Runner, refused: RefusedPermit) {
    let fields: &[(&str, &dyn Display)] = &[
        ("request", &request.profile.id),
        ("runner", &runner.id),
        ("outcome", &refused.reason),
        ("rank", &request.priority),
        ("retry_in_ms", &refused.retry_in.as_millis()),
    ];
    let now = shared.now();
    shared.log.write(now, "no-concurrency-permit", fields);
}
