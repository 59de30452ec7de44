//! How long the runtime of a test stood still, on a machine that is busy with other work.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::task::AbortHandle;
use tokio::time::sleep;

const LOOK: Duration = Duration::from_millis(5);

/// Watches the runtime until it is dropped.
pub struct Standstill {
    longest_ms: Arc<AtomicU64>,
    watching: AbortHandle,
}

impl Standstill {
    /// Begins to watch.
    pub fn watch() -> Self {
        let longest_ms = Arc::new(AtomicU64::new(0));
        let longest = longest_ms.clone();
        let watching = tokio::spawn(async move {
            loop {
                let begun = Instant::now();
                sleep(LOOK).await;
                let took = u64::try_from(begun.elapsed().as_millis()).unwrap();
                longest.fetch_max(took, Ordering::Relaxed);
            }
        });
        Self {
            longest_ms,
            watching: watching.abort_handle(),
        }
    }

    /// The longest time until now for which no task ran when it was due.
    pub fn longest(&self) -> Duration {
        Duration::from_millis(self.longest_ms.load(Ordering::Relaxed))
    }
}

impl Drop for Standstill {
    fn drop(&mut self) {
        self.watching.abort();
    }
}
