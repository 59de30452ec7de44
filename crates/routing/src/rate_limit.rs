//! Rate limits that runners report, enforced across all daemons.
//!
//! A runner that is short of a resource reports a rate in its answers. If each daemon applied it on its own, each would
//! send as much as all of them together may, so requests to such a runner need permits, as those to cold runners do
//! ([`crate::permits`]).
//!
//! In any [`WINDOW`] the keeper issues as many permits as the rate allows. Within a few seconds, three sources can add
//! to that: permits issued by a successor that does not know those of its predecessor ([`STARTUP_PERMITS`]), the
//! coordinator's own calls ([`CALL_INTERVAL`]), and requests that daemons send before they learn of the rate.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::permits::PERMIT_LIFE;

/// Interval over which a runner is assumed to count its requests. It is long enough that a rate below 1 per second does
/// not come down to all or nothing.
const RUNNER_WINDOW: Duration = Duration::from_secs(4);
/// Interval over which the keeper counts permits. Permits issued further apart are never used within [`RUNNER_WINDOW`].
pub const WINDOW: Duration = RUNNER_WINDOW.saturating_add(PERMIT_LIFE);
/// Permits per runner that a new keeper issues during its first window.
pub const STARTUP_PERMITS: usize = 1;
/// Interval between the coordinator's calls to a runner that reports a rate; these calls do not wait for permits.
pub const CALL_INTERVAL: Duration = Duration::from_millis(2_100);
/// One in this many permits of a window is reserved for more urgent ranks.
const PERMITS_PER_RESERVED: usize = 4;

/// Requests per second, with a resolution of 0.001.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate {
    thousandths: u32,
}

impl RequestRate {
    /// A rate in requests per second; `None` if it is negative or not finite.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn per_second(rate: f64) -> Option<Self> {
        let is_rate = rate.is_finite() && rate >= 0.0;
        // Larger rates saturate.
        let thousandths = (rate * 1_000.0).min(f64::from(u32::MAX)) as u32;
        is_rate.then_some(Self { thousandths })
    }

    /// In requests per second.
    pub fn as_per_second(self) -> f64 {
        f64::from(self.thousandths) / 1_000.0
    }

    /// Maximum number of permits in any [`WINDOW`]. At least one, even for a rate of 0, because only an answer can show
    /// that the runner accepts more again.
    pub(crate) fn permits(self) -> usize {
        let window = u64::try_from(WINDOW.as_millis()).unwrap_or(u64::MAX);
        let permits = u64::from(self.thousandths) * window / 1_000_000;
        usize::try_from(permits).unwrap_or(usize::MAX).max(1)
    }

    /// Permits in a [`WINDOW`] that are reserved for urgent ranks.
    pub(crate) fn reserved(self) -> usize {
        self.permits() / PERMITS_PER_RESERVED
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.as_per_second())
    }
}
