//! What follows from the end of an attempt at a runner.

use crate::configuration::RouteKind;

/// How an attempt ended without an answer that can be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The runner says that it did not run the request.
    NotRun,
    /// The runner says that it does not hold the unit, or is another one than expected.
    Misdirected,
    /// No byte of the request was sent.
    NotSent,
    /// No byte of the request was sent, because its permit for a cold runner has ended.
    NotPermitted,
    /// The connection broke, or what came was no answer to this request.
    Broken,
    /// The runner says that it has run the request and failed.
    Failed,
    /// Nothing came in the time allowed for one attempt.
    Silent,
}

impl Failure {
    /// Whether the request may have run.
    pub fn may_have_run(self) -> bool {
        match self {
            Self::NotRun | Self::Misdirected | Self::NotSent | Self::NotPermitted => false,
            Self::Broken | Self::Failed | Self::Silent => true,
        }
    }
}

/// Attempts of one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Attempts in which the request may have run.
    pub runs: u32,
    /// All attempts in which something was sent.
    pub sent: u32,
}

/// Attempts of one request at most, refusals by runners included.
const MAX_SENT: u32 = 4;

impl Attempts {
    /// Counts an attempt that has failed.
    pub fn count(&mut self, failure: Failure) {
        if !matches!(failure, Failure::NotSent | Failure::NotPermitted) {
            self.sent += 1;
        }
        if failure.may_have_run() {
            self.runs += 1;
        }
    }

    /// Whether the request may be sent again, as far as the request itself is concerned; the budget
    /// of all daemons is asked besides.
    pub fn may_repeat(&self, kind: RouteKind, max_attempts: u32) -> bool {
        if self.sent >= MAX_SENT {
            return false;
        }
        self.runs == 0 || (kind.may_repeat() && self.runs < max_attempts)
    }

    /// Whether the request surely has not run.
    pub fn surely_not_run(&self) -> bool {
        self.runs == 0
    }
}
