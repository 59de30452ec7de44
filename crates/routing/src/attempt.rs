//! Retry rules that follow from the end of an attempt at a runner.

use crate::configuration::RouteKind;

/// How an attempt ended without an answer that can be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The runner reports that it did not run the request.
    NotRun,
    /// The runner reports that it does not hold the unit, or is not the expected runner.
    Misdirected,
    /// No byte of the request was sent.
    NotSent,
    /// No byte of the request was sent, because its permit for a cold runner has expired.
    NotPermitted,
    /// The connection broke, or the response was not a valid answer to this request.
    Broken,
    /// The runner reports that it has run the request and failed.
    Failed,
    /// Nothing arrived within the time allowed for one attempt.
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

/// Maximum number of attempts for one request, including those that runners refuse.
const MAX_SENT: u32 = 4;

impl Attempts {
    /// Counts a failed attempt.
    pub fn record_failure(&mut self, failure: Failure) {
        if !matches!(failure, Failure::NotSent | Failure::NotPermitted) {
            self.sent += 1;
        }
        if failure.may_have_run() {
            self.runs += 1;
        }
    }

    /// Whether the request may be sent again as far as its own attempts are concerned; the retry budget is checked
    /// separately.
    pub fn may_retry(&self, kind: RouteKind, max_attempts: u32) -> bool {
        if self.sent >= MAX_SENT {
            return false;
        }
        self.runs == 0 || (kind.may_repeat() && self.runs < max_attempts)
    }

    /// Whether the request has certainly not run.
    pub fn definitely_not_run(&self) -> bool {
        self.runs == 0
    }
}
