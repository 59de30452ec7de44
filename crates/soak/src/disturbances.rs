//! When what was disturbed, so that a promise with a time bound is checked only where it holds.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// What a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// One daemon, or its way to the store.
    Daemon(usize),
    /// The store, and so all daemons.
    Store,
    /// A runner, or the way to it.
    Runner,
}

#[derive(Clone, Copy, Debug)]
struct Disturbance {
    target: Target,
    begun: Instant,
    /// Not over yet if there is none.
    ended: Option<Instant>,
}

/// All disturbances of a soak.
#[derive(Debug, Default)]
pub struct Disturbances {
    all: Mutex<Vec<Disturbance>>,
}

/// A disturbance that is under way.
#[derive(Debug)]
pub struct Ongoing(usize);

impl Disturbances {
    /// A disturbance begins.
    pub fn begin(&self, target: Target) -> Ongoing {
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        all.push(Disturbance {
            target,
            begun: Instant::now(),
            ended: None,
        });
        Ongoing(all.len() - 1)
    }

    /// A disturbance is over.
    pub fn end(&self, ongoing: &Ongoing) {
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        all[ongoing.0].ended = Some(Instant::now());
    }

    /// Whether one of the targets was disturbed in a span of time, or shortly before it.
    pub fn touched(
        &self,
        is_concerned: impl Fn(Target) -> bool,
        from: Instant,
        to: Instant,
        before: Duration,
    ) -> bool {
        let all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        all.iter().any(|one| {
            let is_over = one.ended.is_some_and(|ended| ended + before < from);
            is_concerned(one.target) && one.begun <= to && !is_over
        })
    }
}
