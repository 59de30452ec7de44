//! What the clock says when the machine was suspended.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use flaxward_clock::{Clock, SystemTime, TimeSource};
use flaxward_types::Timestamp;

/// The time of the system with a suspension that never was.
#[derive(Debug, Default)]
struct Leaping(AtomicU64);

impl TimeSource for Leaping {
    fn elapsed(&self) -> Duration {
        SystemTime.elapsed() + Duration::from_secs(self.0.load(Ordering::Relaxed))
    }
}

#[test]
fn a_suspension_counts() {
    let source = Arc::new(Leaping::default());
    let clock = Clock::start(source.clone());
    assert!(clock.suspended() < Duration::from_millis(100));
    let before = clock.now();
    source.0.store(30, Ordering::Relaxed);
    assert!(clock.now().since(before) >= Duration::from_secs(30));
    assert!(clock.suspended() >= Duration::from_secs(30));
}

#[tokio::test]
async fn timers_are_set_for_what_is_left() {
    let source = Arc::new(Leaping::default());
    let clock = Clock::start(source.clone());
    let due = Timestamp::ZERO + Duration::from_secs(40);
    source.0.store(30, Ordering::Relaxed);
    let left = clock.instant(due) - tokio::time::Instant::now();
    assert!(left <= Duration::from_secs(10), "{left:?}");
    assert!(left > Duration::from_secs(9), "{left:?}");
    source.0.store(50, Ordering::Relaxed);
    assert!(clock.instant(due) <= tokio::time::Instant::now());
}
