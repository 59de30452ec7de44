//! A lower bound on the arrival time of a message that a daemon receives.
//!
//! A daemon that was frozen, or that processes messages more slowly than they arrive, finds messages that have waited
//! in its socket and describe an earlier state. A message is therefore dated from the latest moment before which it
//! certainly had not arrived: when the socket was last known to be empty.

use std::time::Duration;

use flaxward_types::time::Timestamp;

/// Interval after which a daemon checks again whether its socket is empty, and so the most by which a message counts as
/// too old at a daemon without a backlog. It is small compared to the seconds for which a configuration stays valid
/// unconfirmed, and large enough that a busy daemon asks the kernel at most 50 times per second instead of once for
/// each message.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// When a daemon's socket was last known to be empty.
#[derive(Debug)]
pub struct ArrivalBound {
    last_empty_at: Timestamp,
}

impl ArrivalBound {
    /// A daemon that starts polling.
    pub fn new(now: Timestamp) -> Self {
        Self { last_empty_at: now }
    }

    /// Called when the daemon polls for the next message. `is_empty` returns whether there was none just after `now`
    /// was read; it is called only when the last result is out of date.
    pub fn on_poll(&mut self, now: Timestamp, is_empty: impl FnOnce() -> bool) {
        if now.since(self.last_empty_at) >= RECHECK_INTERVAL && is_empty() {
            self.last_empty_at = now;
        }
    }

    /// The next message arrived no earlier than this.
    pub fn earliest_arrival(&self) -> Timestamp {
        self.last_empty_at
    }
}
