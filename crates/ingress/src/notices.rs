//! What runners say of themselves in their answers: what this daemon takes in of it, and what the log tells.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::sync::PoisonError;

use flaxward_routing::names::RunnerId;
use flaxward_routing::notices::{NoticeUpdate, RunnerNotice, SharedNotice};
use flaxward_routing::rate_limit::RequestRate;
use flaxward_types::time::Timestamp;

use crate::counters::RUNNER_NOTICES;
use crate::state::Shared;

impl Shared {
    /// Takes in what an answer to a request that was sent at a time says of its runner.
    pub(crate) fn heard_notice(&self, runner: &RunnerId, notice: RunnerNotice, sent_at: Timestamp) {
        let now = self.now();
        let is_news = self
            .tables()
            .notices
            .apply_answer(runner, notice, sent_at, now);
        if !is_news {
            return;
        }
        metrics::counter!(RUNNER_NOTICES.name).increment(1);
        let rest = notice.rest.unwrap_or_default().as_millis();
        let fields: &[(&str, &dyn Display)] = &[
            ("runner", runner),
            ("leaves", &notice.leaves),
            ("rate_limit", &text_of(notice.rate_limit)),
            ("rest_ms", &rest),
            ("told_by", &"runner"),
        ];
        self.log.write(now, "runner-notice", fields);
        self.untold_notices().insert(runner.clone());
        self.keeper_wake.notify_one();
        self.changed.notify_waiters();
    }

    /// Takes in what another daemon tells of a runner, in a message that came no earlier than at a time.
    pub(crate) fn heard_shared_notice(
        &self,
        told: &SharedNotice,
        came_after: Timestamp,
    ) -> NoticeUpdate {
        let now = self.now();
        let heard = self.tables().notices.merge(told, came_after, now);
        if heard != NoticeUpdate::Changed {
            return heard;
        }
        let rate = told.rate.and_then(|it| it.rate_limit);
        let fields: &[(&str, &dyn Display)] = &[
            ("runner", &told.runner),
            ("leaves", &told.leaves),
            ("rate_limit", &text_of(rate)),
            ("told_by", &"daemon"),
        ];
        self.log.write(now, "runner-notice", fields);
        self.changed.notify_waiters();
        heard
    }

    /// Runners of which the coordinator was not told yet what answers have said.
    pub(crate) fn take_untold_notices(&self) -> BTreeSet<RunnerId> {
        std::mem::take(&mut *self.untold_notices())
    }

    fn untold_notices(&self) -> std::sync::MutexGuard<'_, BTreeSet<RunnerId>> {
        self.untold_notices
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn text_of(rate: Option<RequestRate>) -> String {
    rate.map_or("none".to_owned(), |rate| rate.to_string())
}
