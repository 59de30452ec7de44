//! Monotonic clock for the decisions of a daemon. It includes the time that the machine spends suspended.
//!
//! `std::time::Instant` and the timers of tokio exclude suspension. A daemon that relied on them would, after a resume
//! and for as long as the suspension lasted, still consider itself the holder of a lease that another daemon has taken
//! over, or treat an outdated configuration as recently confirmed. Code that runs on a timer must therefore check this
//! clock again when the timer fires. No decision depends on the wall clock.

#![warn(clippy::pedantic)]
#![allow(clippy::must_use_candidate)]

use std::fmt::Debug;
use std::sync::Arc;
use std::time::{Duration, Instant};

use flaxward_types::Timestamp;
use nix::time::{ClockId, clock_gettime};

/// System clock that keeps running while the machine is suspended.
#[cfg(any(target_os = "linux", target_os = "android"))]
const SYSTEM_CLOCK: ClockId = ClockId::CLOCK_BOOTTIME;
/// Other systems have no `CLOCK_BOOTTIME`; on some of them the monotonic clock includes suspension.
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const SYSTEM_CLOCK: ClockId = ClockId::CLOCK_MONOTONIC;

/// Source of monotonic time.
pub trait TimeSource: Debug + Send + Sync {
    /// Time since a fixed origin; never decreases.
    fn elapsed(&self) -> Duration;
}

/// Monotonic time of the system, suspension included where the system supports it.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemTime;

impl TimeSource for SystemTime {
    /// # Panics
    /// Never: every supported system version provides this clock.
    fn elapsed(&self) -> Duration {
        let time = clock_gettime(SYSTEM_CLOCK).expect("the system clock is available");
        Duration::from(time)
    }
}

/// Clock of one daemon. Its timestamps count from its creation.
#[derive(Clone, Debug)]
pub struct Clock {
    source: Arc<dyn TimeSource>,
    origin: Duration,
    started_at: Instant,
}

impl Clock {
    /// Creates a clock that reads `source` and starts at zero.
    pub fn start(source: Arc<dyn TimeSource>) -> Self {
        Self {
            origin: source.elapsed(),
            source,
            started_at: Instant::now(),
        }
    }

    /// Current timestamp.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.elapsed()
    }

    /// Converts a timestamp to an instant for timers; the current instant if the timestamp has passed. If the machine is
    /// suspended before the timer fires, it fires late by the duration of the suspension.
    pub fn instant(&self, timestamp: Timestamp) -> tokio::time::Instant {
        tokio::time::Instant::now() + timestamp.since(self.now())
    }

    /// Total time the machine has been suspended since the clock was created.
    pub fn suspended(&self) -> Duration {
        self.elapsed().saturating_sub(self.started_at.elapsed())
    }

    fn elapsed(&self) -> Duration {
        self.source.elapsed().saturating_sub(self.origin)
    }
}
