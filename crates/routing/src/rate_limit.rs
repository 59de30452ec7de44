//! The rate that a runner takes from all daemons together.
//!
//! A runner that is short of something names a rate in its answers. Each daemon that keeps to it by itself would send as much
//! as all of them may, so requests to such a runner need permits, as those to cold runners do ([`crate::permits`]).
//!
//! In any [`WINDOW`] the keeper gives as many permits as the rate allows. Three things come on top in a few seconds: what a
//! successor gives that doesn't know its predecessor's permits ([`FIRST_PERMITS`]), the coordinator's own calls
//! ([`CALL_INTERVAL`]), and what daemons send before they have heard of the rate.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::permits::PERMIT_LIFE;

/// Time over which a runner is taken to count what it gets. Long enough that a rate of less than 1 a second allows something
/// other than all or nothing.
const SPAN: Duration = Duration::from_secs(4);
/// Time over which the keeper counts permits: two of them given further apart are never used within [`SPAN`].
pub const WINDOW: Duration = SPAN.saturating_add(PERMIT_LIFE);
/// Permits for a runner that a keeper gives within a window of its beginning.
pub const FIRST_PERMITS: usize = 1;
/// Time between two calls of the coordinator to a runner that names a rate: they are not kept waiting by requests.
pub const CALL_INTERVAL: Duration = Duration::from_millis(2_100);
/// Of so many permits in a window one is kept for more urgent ranks.
const PERMITS_PER_SPARE: usize = 4;

/// Requests a second, to a thousandth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
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

    /// Permits in any [`WINDOW`] at most. One at least, also for a rate of 0: only an answer tells that the runner takes
    /// more again.
    pub(crate) fn permits(self) -> usize {
        let window = u64::try_from(WINDOW.as_millis()).unwrap_or(u64::MAX);
        let permits = u64::from(self.thousandths) * window / 1_000_000;
        usize::try_from(permits).unwrap_or(usize::MAX).max(1)
    }

    /// Permits in a [`WINDOW`] that are kept for urgent ranks.
    pub(crate) fn spare(self) -> usize {
        self.permits() / PERMITS_PER_SPARE
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.as_per_second())
    }
}
