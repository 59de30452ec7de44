//! A daemon's share of the requests that brittle runners may have to reject, for times without a keeper that gives
//! permits ([`crate::concurrency`]).
//!
//! A brittle runner fails if it has to reject more requests per second than it reports, from all daemons together. A
//! daemon sends to it only while the requests that it has not answered yet, if all were rejected, would stay within the
//! daemon's share. A request that is accepted costs nothing, so a runner with room is not held back.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::names::RunnerId;
use crate::rate_limit::RequestRate;

/// Time over which a runner counts the requests that it rejects, and the longest time by which the answers to two of them
/// move together on their way.
const COUNTING_TIME: Duration = Duration::from_millis(1_100);
/// Lowest limit that is assumed: only an answer shows that a runner bears more again.
const MIN_LIMIT_PER_SECOND: f64 = 0.25;
/// Pause before a request that waits for answers to others looks again.
const ANSWER_PAUSE: Duration = Duration::from_millis(40);
/// Longest pause before a request looks again.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// What a daemon may cause at one runner.
#[derive(Clone, Copy, Debug)]
struct Share {
    /// Rejections in any `window`.
    rejections: usize,
    window: Duration,
}

impl Share {
    /// An equal share of a limit. If there is less than one rejection per second for each daemon, each may cause one in
    /// a longer time; the sum then holds only as far as the daemons do not meet the full runner in the same second.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn of(limit: RequestRate, daemons: usize) -> Self {
        let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
        let limit = limit.as_per_second().max(MIN_LIMIT_PER_SECOND);
        let share = limit / f64::from(daemons);
        Self {
            rejections: share.max(1.0) as usize,
            window: COUNTING_TIME.div_f64(share.min(1.0)),
        }
    }
}

/// What a daemon has caused at one runner.
#[derive(Clone, Debug)]
struct RejectionCount {
    limit: RequestRate,
    /// Latest rejections, the oldest first.
    rejected_at: VecDeque<Timestamp>,
    /// Requests without an answer.
    unanswered: usize,
    /// When the runner last reported the limit.
    reported_at: Timestamp,
}

impl RejectionCount {
    fn new(limit: RequestRate, now: Timestamp) -> Self {
        Self {
            limit,
            rejected_at: VecDeque::new(),
            unanswered: 0,
            reported_at: now,
        }
    }

    /// When one more request may be sent; `None` if now.
    fn available_at(&self, daemons: usize, now: Timestamp) -> Option<Timestamp> {
        let share = Share::of(self.limit, daemons);
        let is_counted = |at: &&Timestamp| now.since(**at) < share.window;
        let recent = self.rejected_at.iter().filter(is_counted).count();
        if recent + self.unanswered < share.rejections {
            return None;
        }
        let oldest = self.rejected_at.iter().find(is_counted);
        match oldest {
            Some(oldest) if self.unanswered == 0 => {
                Some((*oldest + share.window).min(now + MAX_PAUSE))
            }
            _ => Some(now + ANSWER_PAUSE),
        }
    }

    fn record_rejection(&mut self, daemons: usize, now: Timestamp) {
        let share = Share::of(self.limit, daemons);
        self.rejected_at.push_back(now);
        while self.rejected_at.len() > share.rejections {
            self.rejected_at.pop_front();
        }
    }
}

/// What a daemon may cause at all brittle runners.
#[derive(Debug, Default)]
pub struct RejectionBudgets {
    runners: HashMap<RunnerId, RejectionCount>,
}

impl RejectionBudgets {
    /// Applies the limit that a runner reports in the answer to a request sent at `sent_at`, or its absence. Returns
    /// whether it has changed.
    pub fn apply(
        &mut self,
        runner: &RunnerId,
        limit: Option<RequestRate>,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let Some(limit) = limit else {
            // An answer without it may have been overtaken by one with it.
            let is_older = |count: &RejectionCount| sent_at <= count.reported_at;
            let is_ended = self.runners.get(runner).is_some_and(|it| !is_older(it));
            return is_ended && self.runners.remove(runner).is_some();
        };
        let is_new = !self.runners.contains_key(runner);
        let count = self.runners.entry(runner.clone());
        let count = count.or_insert_with(|| RejectionCount::new(limit, now));
        let has_changed = is_new || count.limit != limit;
        count.limit = limit;
        count.reported_at = now;
        has_changed
    }

    /// When a request may be sent to a runner without risking too many rejections; `None` if now.
    pub fn available_at(
        &self,
        runner: &RunnerId,
        daemons: usize,
        now: Timestamp,
    ) -> Option<Timestamp> {
        self.runners.get(runner)?.available_at(daemons, now)
    }

    /// Counts a request that is sent to a runner. Returns false if it must not be sent now.
    pub fn begin(&mut self, runner: &RunnerId, daemons: usize, now: Timestamp) -> bool {
        let Some(count) = self.runners.get_mut(runner) else {
            return true;
        };
        if count.available_at(daemons, now).is_some() {
            return false;
        }
        count.unanswered += 1;
        true
    }

    /// Counts a request that is sent to a runner with a permit.
    pub fn begin_permitted(&mut self, runner: &RunnerId) {
        if let Some(count) = self.runners.get_mut(runner) {
            count.unanswered += 1;
        }
    }

    /// Records the end of a request that [`Self::begin`] counted.
    pub fn end(&mut self, runner: &RunnerId, is_rejected: bool, daemons: usize, now: Timestamp) {
        let Some(count) = self.runners.get_mut(runner) else {
            return;
        };
        count.unanswered = count.unanswered.saturating_sub(1);
        if is_rejected {
            count.record_rejection(daemons, now);
        }
    }

    /// Drops the entries of runners that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&RunnerId) -> bool) {
        self.runners.retain(|id, _| is_listed(id));
    }
}
