//! The clock that drives the decisions of a daemon.
//!
//! It counts the time that the machine spends suspended. The steady clock of the standard library and the timers of the
//! runtime do not: a daemon that goes by them believes after its suspension, for as long as that lasted, that it holds a
//! lease which others have taken over, or that its configuration was confirmed a moment ago. So whatever acts on a timer
//! asks this clock again. The time of day decides nothing.

#![warn(clippy::pedantic)]
#![allow(clippy::must_use_candidate)]

use std::fmt::Debug;
use std::sync::Arc;
use std::time::{Duration, Instant};

use flaxward_types::Timestamp;
use nix::time::{ClockId, clock_gettime};

/// The clock of the system that also runs while the machine is suspended.
#[cfg(any(target_os = "linux", target_os = "android"))]
const SYSTEM_CLOCK: ClockId = ClockId::CLOCK_BOOTTIME;
/// Other systems have no such clock under this interface; on some of them the steady clock counts suspension.
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const SYSTEM_CLOCK: ClockId = ClockId::CLOCK_MONOTONIC;

/// Tells how much time has passed since a fixed moment.
pub trait TimeSource: Debug + Send + Sync {
    /// The time since that moment; it never falls.
    fn elapsed(&self) -> Duration;
}

/// The time of the system, suspension included.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemTime;

impl TimeSource for SystemTime {
    /// # Panics
    /// Never: the system has had the clock since long before the oldest one that the daemon runs on.
    fn elapsed(&self) -> Duration {
        let time = clock_gettime(SYSTEM_CLOCK).expect("the system has the clock");
        Duration::from(time)
    }
}

/// The clock of one daemon. Its timestamps begin with it.
#[derive(Clone, Debug)]
pub struct Clock {
    source: Arc<dyn TimeSource>,
    origin: Duration,
    begun: Instant,
}

impl Clock {
    /// A clock that starts now and goes by a source.
    pub fn start(source: Arc<dyn TimeSource>) -> Self {
        Self {
            origin: source.elapsed(),
            source,
            begun: Instant::now(),
        }
    }

    /// Now.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.elapsed()
    }

    /// The instant of a timestamp, for timers; now if it lies in the past. A timer that is set with it fires late by the
    /// time that the machine is suspended meanwhile.
    pub fn instant(&self, timestamp: Timestamp) -> tokio::time::Instant {
        tokio::time::Instant::now() + timestamp.since(self.now())
    }

    /// Time that the machine has been suspended since the clock started.
    pub fn suspended(&self) -> Duration {
        self.elapsed().saturating_sub(self.begun.elapsed())
    }

    fn elapsed(&self) -> Duration {
        self.source.elapsed().saturating_sub(self.origin)
    }
}
