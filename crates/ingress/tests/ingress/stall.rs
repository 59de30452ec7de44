//! Measures how long a test's runtime was stalled, on a machine that is busy with other work.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::task::AbortHandle;
use tokio::time::sleep;

const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Monitors the runtime for stalls until it is dropped.
pub struct StallMonitor {
    max_stall_ms: Arc<AtomicU64>,
    task: AbortHandle,
}

impl StallMonitor {
    /// Starts monitoring.
    pub fn start() -> Self {
        let max_stall_ms = Arc::new(AtomicU64::new(0));
        let shared_max = max_stall_ms.clone();
        let task = tokio::spawn(async move {
            loop {
                let started_at = Instant::now();
                sleep(CHECK_INTERVAL).await;
                let took = u64::try_from(started_at.elapsed().as_millis()).unwrap();
                shared_max.fetch_max(took, Ordering::Relaxed);
            }
        });
        Self {
            max_stall_ms,
            task: task.abort_handle(),
        }
    }

    /// The longest time so far between two runs of the monitoring task, whose interval is 5 ms.
    pub fn max_stall(&self) -> Duration {
        Duration::from_millis(self.max_stall_ms.load(Ordering::Relaxed))
    }
}

impl Drop for StallMonitor {
    fn drop(&mut self) {
        self.task.abort();
    }
}
