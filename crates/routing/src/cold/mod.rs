//! Rate limits for cold runners, enforced across all daemons.
//!
//! A runner that has just started, or has become cold again later, sustains only a few requests per second and fails
//! well above that. The configuration sets that rate ([`ColdStart`]); the settings define by how much the total over
//! all daemons may exceed it ([`ColdRunnerSettings`]). Load-balancing preferences cannot bound this total, because each
//! daemon sees only its own requests.
//!
//! A daemon therefore sends nothing to a runner that it believes to be cold ([`periods`]) without a permit from the
//! keeper, which is the coordinator while its lease is valid ([`crate::permits`]). The lease guarantees that there is
//! at most one keeper at any time, so it can hand out the whole limit. A permit covers one request to one runner and
//! expires [`PERMIT_LIFE`] after it was requested, measured on the requesting daemon's clock, which includes time spent
//! suspended: a daemon that was frozen between receiving the permit and sending the request finds the permit expired.
//!
//! Two requests sent within the same second use permits issued within [`WINDOW`]. The keeper issues `rate *
//! rate_factor` permits in any such window. A new coordinator issues none for one window, because it does not know
//! which permits its predecessor issued. The remainder of the limit, the slack, covers requests that daemons send
//! before they learn that a cold period has started. Until [`PROPAGATION_DELAY`] plus one window has passed, the keeper
//! also leaves unissued the permits that it could give above the rate itself.

pub mod periods;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::permits::PERMIT_LIFE;

/// Interval over which operators limit the requests to a cold runner.
const SECOND: Duration = Duration::from_secs(1);
/// Interval over which the keeper counts permits. Permits issued further apart are never used within the same second.
pub const WINDOW: Duration = SECOND.saturating_add(PERMIT_LIFE);
/// Time until all daemons know of a new cold period: the coordinator's watch, its next plan and one message.
pub const PROPAGATION_DELAY: Duration = Duration::from_millis(700);

/// What the runners of a service can sustain while they are cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long a runner is cold after it starts.
    pub duration: Duration,
    /// Requests per second that a cold runner can sustain.
    pub requests_per_second: f64,
}

/// By how much the requests of all daemons may exceed the rate of a cold runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRunnerSettings {
    /// Multiple of the rate.
    pub rate_factor: f64,
    /// Additional requests in any second.
    pub slack: f64,
}

/// The request limit of one cold runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    rate: f64,
    settings: ColdRunnerSettings,
}

impl ColdBound {
    /// The limit for a cold runner of a service.
    pub fn new(cold_start: ColdStart, settings: ColdRunnerSettings) -> Self {
        Self {
            rate: cold_start.requests_per_second,
            settings,
        }
    }

    /// Maximum number of requests in any second, from all senders.
    pub fn max_requests(&self) -> f64 {
        self.rate * self.settings.rate_factor + self.settings.slack
    }

    /// Maximum number of permits in any [`WINDOW`]; at least one, so that no runner is excluded entirely.
    pub(crate) fn permits(&self) -> usize {
        floor_to_count(self.rate * self.settings.rate_factor).max(1)
    }

    /// Permits in a [`WINDOW`] beyond those needed to sustain the rate itself. Varying message delays can move one more
    /// question into a window than there were requests in it, so one extra permit is subtracted.
    pub(crate) fn headroom(&self) -> usize {
        let rate = floor_to_count((self.rate * WINDOW.as_secs_f64() / SECOND.as_secs_f64()).ceil());
        self.permits().saturating_sub(rate + 1)
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn floor_to_count(number: f64) -> usize {
    number.max(0.0) as usize
}
