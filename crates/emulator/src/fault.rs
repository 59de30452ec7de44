//! Faults that hit a number of events, or each event with a probability.

use flaxward_types::time::millis;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// How often a fault strikes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Strikes {
    /// It strikes the next so many events for certain.
    pub next: u32,
    /// Beyond those it strikes each event with this probability, 0 to 1.
    pub probability: f64,
}

impl Strikes {
    /// Strikes the next `count` events.
    pub fn next(count: u32) -> Self {
        Self {
            next: count,
            probability: 0.0,
        }
    }

    /// Strikes every event until told otherwise.
    pub fn always() -> Self {
        Self {
            next: 0,
            probability: 1.0,
        }
    }

    /// Strikes each event with a probability, 0 to 1.
    pub fn with_probability(probability: f64) -> Self {
        Self {
            next: 0,
            probability,
        }
    }

    /// Whether it strikes this event.
    pub(crate) fn strike(&mut self, dice: &Dice) -> bool {
        if self.next > 0 {
            self.next -= 1;
            return true;
        }
        self.probability > 0.0 && dice.chance(self.probability)
    }
}

/// Seeded randomness of one stand-in.
#[derive(Debug)]
pub(crate) struct Dice(Mutex<ChaCha8Rng>);

impl Dice {
    /// Randomness from a seed.
    pub(crate) fn new(seed: u64) -> Self {
        Self(Mutex::new(ChaCha8Rng::seed_from_u64(seed)))
    }

    /// True with a probability, 0 to 1.
    pub(crate) fn chance(&self, probability: f64) -> bool {
        let mut generator = lock(&self.0);
        generator.random_bool(probability.clamp(0.0, 1.0))
    }
}

/// Locks a mutex; the state of a stand-in stays usable after a panic elsewhere.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits so many milliseconds, and does not yield for none.
pub(crate) async fn pause_ms(millis: u64) {
    if millis > 0 {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }
}

/// Wall-clock milliseconds, by which records of several processes are put together.
pub(crate) fn unix_ms() -> u64 {
    let passed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    millis(passed)
}
