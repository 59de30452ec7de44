//! What the tests share: regions of processes, callers, and the stand-ins' records.

pub mod callers;
pub mod daemon;
pub mod network;
pub mod orders;
pub mod records;
pub mod region;

use std::time::{Duration, Instant};

pub use region::{Region, Shape};

/// Longest wait for something that must happen; no verdict depends on how soon it does.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);

/// Waits until a condition holds.
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !holds().await {
        assert!(started.elapsed() < PATIENCE, "in vain: {what}");
        tokio::time::sleep(LOOK).await;
    }
}
