//! The retry budget: a token bucket refilled by traffic, so that retries stay a bounded share of it
//! and cannot multiply the load on failing back ends.

use flaxward_types::Timestamp;

/// Bucket units per retry; a unit is a thousandth of a retry.
const UNITS_PER_RETRY: u64 = 1_000;

/// Size of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Retries added per thousand first attempts.
    pub per_thousand: u32,
    /// Retries added each second regardless of traffic, so that a daemon with little traffic can
    /// retry too.
    pub min_per_second: u32,
    /// Capacity of the bucket, in retries.
    pub burst: u32,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            per_thousand: 100,
            min_per_second: 3,
            burst: 100,
        }
    }
}

/// Token bucket of retries. In any interval the retries granted are at most the burst, plus the
/// minimum rate times the interval, plus the share of the first attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// Available tokens, in thousandths of a retry.
    level: u64,
    /// Time up to which the minimum rate has been added.
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// Creates a budget that starts with one second's worth of the minimum rate.
    pub fn new(settings: RetryBudgetSettings, now: Timestamp) -> Self {
        let mut budget = Self {
            settings,
            level: 0,
            refilled_at: now,
        };
        budget.add(u64::from(settings.min_per_second) * UNITS_PER_RETRY);
        budget
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self, now: Timestamp) {
        self.refill(now);
        self.add(u64::from(self.settings.per_thousand));
    }

    /// Takes one retry, if one is available.
    pub fn withdraw(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        let Some(remaining) = self.level.checked_sub(UNITS_PER_RETRY) else {
            return false;
        };
        self.level = remaining;
        true
    }

    /// Whole retries available.
    pub fn available(&self) -> u64 {
        self.level / UNITS_PER_RETRY
    }

    /// Adds the minimum rate for the time elapsed. One retry per second equals one thousandth of a
    /// retry per millisecond.
    fn refill(&mut self, now: Timestamp) {
        let millis = now.0.saturating_sub(self.refilled_at.0);
        self.refilled_at = self.refilled_at.max(now);
        self.add(millis.saturating_mul(u64::from(self.settings.min_per_second)));
    }

    fn add(&mut self, amount: u64) {
        let max_level = u64::from(self.settings.burst) * UNITS_PER_RETRY;
        self.level = self.level.saturating_add(amount).min(max_level);
    }
}
