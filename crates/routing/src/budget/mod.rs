//! The retry budget, shared by all daemons.
//!
//! The budget of a service is a share of its requests plus a fixed allowance, in each window of some seconds and over
//! all daemons. Each daemon spends what its own requests earn and a part of the allowance, so no messages are needed.
//! No daemon knows what others, or earlier processes of its own, have spent. Two rules keep the total within the budget
//! all the same:
//!
//! - The credit that a request earns ends soon after it. Callers may leave a daemon right after it has spent what they
//!   have earned there, and earn again at another one. What is spent in a window was therefore earned in that window
//!   or shortly before it, wherever the callers went.
//! - The part of the allowance flows into a bucket that starts empty; see [`allowance`].

mod allowance;
mod credits;

use std::collections::HashMap;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::names::ServiceName;

use allowance::{AllowanceBucket, AllowancePart};
use credits::Credits;

/// Units in which retries are counted; a unit is a millionth of a retry.
const UNITS_PER_RETRY: u64 = 1_000_000;
/// Time for which a request's credit can be spent, as a share of the window.
const CREDIT_LIFE_SHARE: f64 = 0.2;
/// Part of the operators' ratio that a request earns. Retries that arrive in a window are paid by the requests of the
/// window, of [`CREDIT_LIFE_SHARE`] before it and of the time that retries are under way. Together they stay within the
/// ratio only if this is below 1 / (1 + `CREDIT_LIFE_SHARE`).
const EARNED_SHARE: f64 = 0.78;

/// The limits set by the operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries allowed in a window beside those that requests earn, over all daemons.
    pub allowance: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Whether a retry may be sent, and what decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryDecision {
    /// Whether the retry was granted, and so spent.
    pub is_granted: bool,
    /// Retries that recent requests of this daemon had earned and not spent.
    pub credit: f64,
    /// Retries that were left of this daemon's part of the allowance.
    pub allowance: f64,
    /// Number of daemons among which the allowance is divided; `None` while this daemon has no part of it.
    pub daemons: Option<usize>,
}

/// What one daemon may spend for one service.
#[derive(Debug)]
struct Account {
    credits: Credits,
    allowance: AllowanceBucket,
}

/// The retries of one daemon.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    part: Option<AllowancePart>,
    accounts: HashMap<ServiceName, Account>,
    /// The bucket of the services that have had no request yet.
    unused: AllowanceBucket,
}

impl RetryBudget {
    /// A budget with nothing earned or spent.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            part: None,
            accounts: HashMap::new(),
            unused: AllowanceBucket::empty(Timestamp::ZERO),
        }
    }

    /// Records the number of daemons that a coordinator has announced, in a message that was sent no earlier than
    /// `heard_at`.
    pub fn record_daemons(&mut self, daemons: usize, heard_at: Timestamp) {
        let part = self.part.as_ref();
        self.unused.refill(part, heard_at);
        for account in self.accounts.values_mut() {
            account.allowance.refill(part, heard_at);
        }
        let RetryBudgetSettings {
            allowance, window, ..
        } = self.settings;
        self.part = Some(AllowancePart::new(allowance, window, daemons, heard_at));
    }

    /// Counts a request for a service.
    pub fn count_request(&mut self, service: &ServiceName, now: Timestamp) {
        let earned = units(self.settings.ratio * EARNED_SHARE);
        self.account(service, now).credits.earn(earned, now);
    }

    /// Spends one retry, if one is left: first what requests have earned, then the allowance.
    pub fn try_retry(&mut self, service: &ServiceName, now: Timestamp) -> RetryDecision {
        let part = self.part.filter(|part| !part.has_lapsed(now));
        let account = self.account(service, now);
        let credit = account.credits.total();
        let allowance = account.allowance.level();
        let is_granted = credit + allowance >= UNITS_PER_RETRY;
        if is_granted {
            let earned = account.credits.spend(UNITS_PER_RETRY);
            account.allowance.spend(UNITS_PER_RETRY - earned);
        }
        RetryDecision {
            is_granted,
            credit: retries(credit),
            allowance: retries(allowance),
            daemons: part.map(|part| part.daemons),
        }
    }

    /// The account of a service, as of now.
    fn account(&mut self, service: &ServiceName, now: Timestamp) -> &mut Account {
        let part = self.part.as_ref();
        let account = self
            .accounts
            .entry(service.clone())
            .or_insert_with(|| Account {
                credits: Credits::default(),
                allowance: self.unused,
            });
        let credit_life = self.settings.window.mul_f64(CREDIT_LIFE_SHARE);
        account.credits.expire(now - credit_life);
        account.allowance.refill(part, now);
        account
    }
}

/// A number of retries in units.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
fn units(retries: f64) -> u64 {
    (retries * UNITS_PER_RETRY as f64) as u64
}

/// A number of units in retries.
#[allow(clippy::cast_precision_loss)]
fn retries(units: u64) -> f64 {
    units as f64 / UNITS_PER_RETRY as f64
}
