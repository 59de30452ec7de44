//! The retry budget: a token bucket filled by traffic, so that retries stay a share of it and
//! cannot multiply the load of back ends that are failing.

use flaxward_types::Timestamp;

/// One retry, in the bucket's unit of a thousandth of a retry.
const RETRY: u64 = 1_000;

/// Size of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Retries earned by a thousand first attempts.
    pub per_thousand: u32,
    /// Retries earned each second without any traffic, so that a quiet daemon can retry too.
    pub floor_per_second: u32,
    /// Retries the bucket holds at most.
    pub burst: u32,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            per_thousand: 100,
            floor_per_second: 3,
            burst: 100,
        }
    }
}

/// Token bucket of retries. In any span of time the retries granted are at most the burst, plus the
/// floor times the span, plus the share of the first attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// Thousandths of a retry.
    level: u64,
    /// Up to when the floor has been added.
    filled: Timestamp,
}

impl RetryBudget {
    /// A budget that starts with one second's worth of its floor.
    pub fn new(settings: RetryBudgetSettings, now: Timestamp) -> Self {
        let mut budget = Self {
            settings,
            level: 0,
            filled: now,
        };
        budget.add(u64::from(settings.floor_per_second) * RETRY);
        budget
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self, now: Timestamp) {
        self.fill(now);
        self.add(u64::from(self.settings.per_thousand));
    }

    /// Takes one retry, if there is one.
    pub fn withdraw(&mut self, now: Timestamp) -> bool {
        self.fill(now);
        let Some(rest) = self.level.checked_sub(RETRY) else {
            return false;
        };
        self.level = rest;
        true
    }

    /// Whole retries left.
    pub fn left(&self) -> u64 {
        self.level / RETRY
    }

    /// Adds the floor for the time passed. One retry a second is one thousandth a millisecond.
    fn fill(&mut self, now: Timestamp) {
        let millis = now.0.saturating_sub(self.filled.0);
        self.filled = self.filled.max(now);
        self.add(millis.saturating_mul(u64::from(self.settings.floor_per_second)));
    }

    fn add(&mut self, amount: u64) {
        let most = u64::from(self.settings.burst) * RETRY;
        self.level = self.level.saturating_add(amount).min(most);
    }
}
