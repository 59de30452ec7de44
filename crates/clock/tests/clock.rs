//! Timestamps and timers of the clock across a suspension of the machine.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use flaxward_clock::{Clock, SystemTime, TimeSource};
use flaxward_types::Timestamp;

/// System time plus a simulated suspension, in seconds.
#[derive(Debug, Default)]
struct SuspendableTime(AtomicU64);

impl TimeSource for SuspendableTime {
    fn elapsed(&self) -> Duration {
        SystemTime.elapsed() + Duration::from_secs(self.0.load(Ordering::Relaxed))
    }
}

#[test]
fn timestamps_include_suspension() {
    let source = Arc::new(SuspendableTime::default());
    let clock = Clock::start(source.clone());
    assert!(clock.suspended() < Duration::from_millis(100));
    let before = clock.now();
    source.0.store(30, Ordering::Relaxed);
    assert!(clock.now().since(before) >= Duration::from_secs(30));
    assert!(clock.suspended() >= Duration::from_secs(30));
}

#[tokio::test]
async fn timer_instants_account_for_suspension() {
    let source = Arc::new(SuspendableTime::default());
    let clock = Clock::start(source.clone());
    let deadline = Timestamp::ZERO + Duration::from_secs(40);
    source.0.store(30, Ordering::Relaxed);
    let remaining = clock.instant(deadline) - tokio::time::Instant::now();
    assert!(remaining <= Duration::from_secs(10), "{remaining:?}");
    assert!(remaining > Duration::from_secs(9), "{remaining:?}");
    source.0.store(50, Ordering::Relaxed);
    assert!(clock.instant(deadline) <= tokio::time::Instant::now());
}
