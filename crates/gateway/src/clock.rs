//! The clocks that the pure machines are driven with.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use flaxward_types::Timestamp;

/// Monotonic clock of this process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Now.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed()
    }

    /// The instant of a timestamp, for timers.
    pub fn instant(&self, time: Timestamp) -> tokio::time::Instant {
        (self.origin + Duration::from_millis(time.0)).into()
    }
}

/// Wall-clock seconds since 1970, for records that other daemons read.
pub(crate) fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |duration| duration.as_secs())
}
