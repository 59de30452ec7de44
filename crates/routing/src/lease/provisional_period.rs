//! Provisional period: the time for which a daemon does not act under a lease that it has taken
//! from a holder that may still act.
//!
//! That holder can no longer renew the lease, since its precondition names an outdated revision. It
//! acts until the lease has expired by its own clock, and a renewal in flight may still be
//! confirmed to it once. The store may also be restored from a backup and lose the takeover, so
//! that the holder can renew the lease after all. Therefore the period starts at the first
//! confirmed change in an era, and ends only once a change sent after it has elapsed is confirmed
//! in the same era: this proves that the sequence of this daemon's changes was not interrupted.

use std::time::Duration;

use flaxward_types::time::Timestamp;

/// Number of lease durations for which the former holder may act: its last one, and one more for a
/// renewal that was in flight when it expired.
const FORMER_HOLDER_LEASES: u32 = 2;

/// A provisional period that has not ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ProvisionalPeriod {
    /// When the first change of the current era was confirmed; `None` before that.
    since: Option<Timestamp>,
}

impl ProvisionalPeriod {
    /// Starts the period again, since the store may have lost the takeover.
    pub fn restart(&mut self) {
        self.since = None;
    }

    /// Whether a change sent now ends the period once it is confirmed.
    pub fn can_end(self, now: Timestamp, lease: Duration) -> bool {
        self.since
            .is_some_and(|since| now >= since + lease * FORMER_HOLDER_LEASES)
    }

    /// Processes the confirmation of a change sent at `sent_at`; `lease` is the lease duration.
    /// Returns the remaining period, or `None` if it has ended.
    pub fn after_confirmation(
        self,
        sent_at: Timestamp,
        now: Timestamp,
        lease: Duration,
    ) -> Option<Self> {
        let since = Some(self.since.unwrap_or(now));
        let is_over = self.can_end(sent_at, lease);
        (!is_over).then_some(Self { since })
    }
}
