//! Counts requests that brittle runners may have to reject.

use std::sync::Arc;

use flaxward_routing::names::RunnerId;
use flaxward_routing::rate_limit::RequestRate;
use flaxward_routing::runners::Runner;

use crate::concurrency::Concurrency;
use crate::counters::REJECTIONS;
use crate::state::Shared;

/// A request that is counted until the head of its answer is known.
pub(crate) struct RejectionClaim {
    shared: Arc<Shared>,
    runner: RunnerId,
    /// The runner's limit, as known when the request was sent.
    limit: Option<RequestRate>,
    is_rejected: bool,
}

impl RejectionClaim {
    /// Counts a request for a runner; `None` if it must not be sent now.
    pub(crate) fn begin(
        shared: &Arc<Shared>,
        runner: &Runner,
        concurrency: &Concurrency,
    ) -> Option<Self> {
        let now = shared.now();
        let mut tables = shared.tables();
        let daemons = tables.daemons;
        let notices = &mut tables.notices;
        let (limits, rejections) = (&notices.rejection_limits, &mut notices.rejections);
        let limit = limits.limit(&runner.id, &runner.service, now);
        let may_send = match concurrency {
            Concurrency::Permitted(_) => {
                rejections.begin_permitted(&runner.id);
                true
            }
            Concurrency::Unlimited | Concurrency::OwnShare => {
                rejections.begin(&runner.id, daemons, now)
            }
        };
        drop(tables);
        may_send.then(|| Self {
            shared: shared.clone(),
            runner: runner.id.clone(),
            limit,
            is_rejected: false,
        })
    }

    /// Records that the runner has rejected the request. Returns the limit that was known when it was sent.
    pub(crate) fn record_rejection(&mut self) -> Option<RequestRate> {
        self.is_rejected = true;
        let is_limit_known = if self.limit.is_some() { "yes" } else { "no" };
        metrics::counter!(REJECTIONS.name, "limit_known" => is_limit_known).increment(1);
        self.limit
    }
}

impl Drop for RejectionClaim {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut tables = self.shared.tables();
        let daemons = tables.daemons;
        let rejections = &mut tables.notices.rejections;
        rejections.end(&self.runner, self.is_rejected, daemons, now);
    }
}
