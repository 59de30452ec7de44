//! How many requests cold runners get, all daemons together.
//!
//! A runner that has just started, or has turned cold later, bears a few requests a second and falls over well above
//! that. The configuration says how many ([`ColdStart`]), the settings by how much the sum over all daemons may pass
//! them ([`ColdRunnerSettings`]). A preference for others cannot bound that sum: a daemon sees its own requests only.
//!
//! So nothing is sent to a runner that a daemon believes to be cold ([`spells`]) without a permit of the keeper, which is
//! the coordinator while its lease holds ([`crate::permits`]). The lease makes it the only one at any time, so that it may give
//! all of the bound. A permit is for one request at one runner, and ends [`PERMIT_LIFE`] after it was asked for, by the
//! asking daemon's clock, which counts suspension: a daemon that was frozen between the answer and its send finds that
//! the permit has ended.
//!
//! Two sends in the same second come from permits that were given within [`WINDOW`]. The keeper gives
//! `rate * rate_factor` in any such window. A coordinator that has just begun gives none for one window, since it does
//! not know what its predecessor gave. What is left of the bound, the slack, pays for what daemons send before they
//! have heard that a spell has begun; until [`WORD_TIME`] and a window later the keeper also leaves them
//! what it could give above the rate itself.

pub mod spells;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::permits::PERMIT_LIFE;

/// The time over which operators bound what a cold runner gets.
const SECOND: Duration = Duration::from_secs(1);
/// Time over which the keeper counts permits: two of them given further apart are never used in the same second.
pub const WINDOW: Duration = SECOND.saturating_add(PERMIT_LIFE);
/// Time in which all daemons hear of a spell: one for the watch of the coordinator, its next plan and a message.
pub const WORD_TIME: Duration = Duration::from_millis(700);

/// What a service's runners bear while they are cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long a runner is cold from its start.
    pub duration: Duration,
    /// Requests a second that a cold runner bears.
    pub requests_per_second: f64,
}

/// By how much requests of all daemons may pass what a cold runner bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRunnerSettings {
    /// Times its rate.
    pub rate_factor: f64,
    /// Requests beyond that in any second.
    pub slack: f64,
}

/// The bound for one cold runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    rate: f64,
    settings: ColdRunnerSettings,
}

impl ColdBound {
    /// The bound for a cold runner of a service.
    pub fn new(cold_start: ColdStart, settings: ColdRunnerSettings) -> Self {
        Self {
            rate: cold_start.requests_per_second,
            settings,
        }
    }

    /// Requests in any second at most, whoever sends them.
    pub fn requests(&self) -> f64 {
        self.rate * self.settings.rate_factor + self.settings.slack
    }

    /// Permits in any [`WINDOW`] at most; one at least, so that no runner is shut out.
    pub(crate) fn permits(&self) -> usize {
        whole(self.rate * self.settings.rate_factor).max(1)
    }

    /// Permits in a [`WINDOW`] above those with which the rate itself is kept up. Messages that travel for different
    /// times may bring one question more into a window than requests came in it.
    pub(crate) fn spare(&self) -> usize {
        let rate = whole((self.rate * WINDOW.as_secs_f64() / SECOND.as_secs_f64()).ceil());
        self.permits().saturating_sub(rate + 1)
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(number: f64) -> usize {
    number.max(0.0) as usize
}
