//! What runners say of themselves in their answers: what this daemon takes in of it, and what the log tells.

use std::fmt::Display;

use flaxward_routing::names::RunnerId;
use flaxward_routing::notices::RunnerNotice;

use crate::counters::RUNNER_NOTICES;
use crate::state::Shared;

impl Shared {
    /// Takes in what an answer says of its runner.
    pub(crate) fn heard_notice(&self, runner: &RunnerId, notice: RunnerNotice) {
        let now = self.now();
        let is_news = self.tables().notices.take_in(runner, notice, now);
        if !is_news {
            return;
        }
        metrics::counter!(RUNNER_NOTICES.name).increment(1);
        let rate = notice
            .rate_limit
            .map_or("none".to_owned(), |it| it.to_string());
        let rest = notice.rest.unwrap_or_default().as_millis();
        let fields: &[(&str, &dyn Display)] = &[
            ("runner", runner),
            ("leaves", &notice.leaves),
            ("rate_limit", &rate),
            ("rest_ms", &rest),
        ];
        self.log.write(now, "runner-notice", fields);
    }
}
