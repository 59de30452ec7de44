//! Records and logs the notices that runners attach to their answers.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::sync::PoisonError;

use flaxward_routing::concurrency::limits::SharedRejectionLimit;
use flaxward_routing::names::{RunnerId, ServiceName};
use flaxward_routing::notices::{NoticeUpdate, RunnerNotice, SharedNotice};
use flaxward_routing::rate_limit::RequestRate;
use flaxward_routing::runners::Runner;
use flaxward_types::time::Timestamp;

use crate::counters::RUNNER_NOTICES;
use crate::state::Shared;

impl Shared {
    /// Applies the notice in an answer to a request that was sent at `sent_at`.
    pub(crate) fn apply_notice(&self, runner: &Runner, notice: RunnerNotice, sent_at: Timestamp) {
        let now = self.now();
        let Runner {
            id: runner,
            service,
            ..
        } = runner;
        let limit = notice.rejection_limit;
        let mut tables = self.tables();
        let notices = &mut tables.notices;
        let has_new_limit = notices
            .rejection_limits
            .apply(runner, service, limit, sent_at, now);
        let is_changed = notices.apply_answer(runner, notice, sent_at, now);
        drop(tables);
        if has_new_limit {
            self.log_rejection_limit(service, limit, "runner");
            self.keeper_wake.notify_one();
        }
        if !is_changed {
            return;
        }
        metrics::counter!(RUNNER_NOTICES.name).increment(1);
        let rest = notice.rest.unwrap_or_default().as_millis();
        let fields: &[(&str, &dyn Display)] = &[
            ("runner", runner),
            ("leaves", &notice.leaves),
            ("rate_limit", &format_rate(notice.rate_limit)),
            ("rejection_limit", &format_rate(notice.rejection_limit)),
            ("rest_ms", &rest),
            ("told_by", &"runner"),
        ];
        self.log.write(now, "runner-notice", fields);
        self.unsent_notices().insert(runner.clone());
        self.keeper_wake.notify_one();
        self.changed.notify_waiters();
    }

    /// Merges what another daemon has told of a service with brittle runners.
    pub(crate) fn merge_rejection_limit(&self, shared: &SharedRejectionLimit) {
        let now = self.now();
        let is_changed = self.tables().notices.rejection_limits.merge(shared, now);
        if is_changed {
            self.log_rejection_limit(&shared.service, Some(shared.limit), "daemon");
        }
    }

    fn log_rejection_limit(
        &self,
        service: &ServiceName,
        limit: Option<RequestRate>,
        told_by: &str,
    ) {
        let fields: &[(&str, &dyn Display)] = &[
            ("service", service),
            ("limit", &format_rate(limit)),
            ("told_by", &told_by),
        ];
        self.log.write(self.now(), "rejection-limit", fields);
    }

    /// Merges a notice from another daemon, in a message that arrived no earlier than
    /// `earliest_arrival`.
    pub(crate) fn merge_shared_notice(
        &self,
        notice: &SharedNotice,
        earliest_arrival: Timestamp,
    ) -> NoticeUpdate {
        let now = self.now();
        let update = self.tables().notices.merge(notice, earliest_arrival, now);
        if update != NoticeUpdate::Changed {
            return update;
        }
        let rate = notice.rate.and_then(|it| it.rate_limit);
        let fields: &[(&str, &dyn Display)] = &[
            ("runner", &notice.runner),
            ("leaves", &notice.leaves),
            ("rate_limit", &format_rate(rate)),
            ("told_by", &"daemon"),
        ];
        self.log.write(now, "runner-notice", fields);
        self.changed.notify_waiters();
        update
    }

    /// Takes the runners whose latest notices have not been sent to the coordinator yet.
    pub(crate) fn take_unsent_notices(&self) -> BTreeSet<RunnerId> {
        std::mem::take(&mut *self.unsent_notices())
    }

    fn unsent_notices(&self) -> std::sync::MutexGuard<'_, BTreeSet<RunnerId>> {
        self.unsent_notices
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A rate as it is logged.
pub(crate) fn format_rate(rate: Option<RequestRate>) -> String {
    rate.map_or("none".to_owned(), |rate| rate.to_string())
}
