//! What runners say of themselves in the heads of their answers. It is fresher than any list.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::names::RunnerId;

/// Requests a second, to a thousandth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate {
    thousandths: u32,
}

impl RequestRate {
    /// A rate in requests a second; `None` if it is no number or below 0.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn per_second(rate: f64) -> Option<Self> {
        let is_rate = rate.is_finite() && rate >= 0.0;
        // The largest number stands for all rates above it.
        let thousandths = (rate * 1_000.0).min(f64::from(u32::MAX)) as u32;
        is_rate.then_some(Self { thousandths })
    }

    /// In requests a second.
    pub fn as_per_second(self) -> f64 {
        f64::from(self.thousandths) / 1_000.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.as_per_second())
    }
}

/// What the head of one answer says of the runner that gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunnerNotice {
    /// It leaves, and gets no new work.
    pub leaves: bool,
    /// What it takes from all daemons together, for as long as its answers say so.
    pub rate_limit: Option<RequestRate>,
    /// Time for which it wants nothing from the daemon that it has turned away.
    pub rest: Option<Duration>,
}

/// What a daemon knows of one life of a runner by its answers.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    leaves: bool,
    rate_limit: Option<RequestRate>,
    rests_until: Option<Timestamp>,
}

/// What a daemon knows of runners by their answers.
#[derive(Debug, Default)]
pub struct Notices {
    runners: HashMap<RunnerId, Known>,
}

impl Notices {
    /// Takes in what an answer says. Returns whether that is news.
    pub fn take_in(&mut self, runner: &RunnerId, notice: RunnerNotice, now: Timestamp) -> bool {
        if notice == RunnerNotice::default() && !self.runners.contains_key(runner) {
            return false;
        }
        let known = self.runners.entry(runner.clone()).or_default();
        let is_news = notice.rest.is_some()
            || notice.leaves != known.leaves
            || notice.rate_limit != known.rate_limit;
        known.leaves |= notice.leaves;
        known.rate_limit = notice.rate_limit;
        if let Some(rest) = notice.rest {
            known.rests_until = Some(now + rest);
        }
        is_news
    }
}
