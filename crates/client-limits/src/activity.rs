//! Which side of an exchange has to act next.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::{CancellationToken, WaitForCancellationFuture};

/// Which side of an exchange has to act next, and whether the daemon has given up on the client.
#[derive(Debug)]
pub struct ClientActivity {
    /// Since when the daemon has waited for the client; `None` while the client waits for the daemon.
    waiting_since: Mutex<Option<Instant>>,
    given_up: CancellationToken,
}

impl ClientActivity {
    /// An exchange in which the client has to act first.
    pub fn new(now: Instant) -> Self {
        Self {
            waiting_since: Mutex::new(Some(now)),
            given_up: CancellationToken::new(),
        }
    }

    /// Records that the daemon has waited for the client since `since`.
    pub fn await_client(&self, since: Instant) {
        *self.waiting_since() = Some(since);
    }

    /// Records that the client waits for the daemon.
    pub fn await_daemon(&self) {
        *self.waiting_since() = None;
    }

    /// For how long the daemon has waited for the client; `None` if it does not wait, or has given up.
    pub fn stalled_for(&self, now: Instant) -> Option<Duration> {
        if self.is_given_up() {
            return None;
        }
        let since = *self.waiting_since();
        since.map(|since| now.saturating_duration_since(since))
    }

    /// Gives up on the client.
    pub fn give_up(&self) {
        self.given_up.cancel();
    }

    /// Whether the daemon has given up on the client.
    pub fn is_given_up(&self) -> bool {
        self.given_up.is_cancelled()
    }

    /// Completes when the daemon gives up on the client.
    pub fn given_up(&self) -> WaitForCancellationFuture<'_> {
        self.given_up.cancelled()
    }

    fn waiting_since(&self) -> MutexGuard<'_, Option<Instant>> {
        self.waiting_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
