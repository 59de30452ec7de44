//! The time for which a daemon does not act under a lease that it has taken from a holder that may still act.
//!
//! That holder cannot renew the lease any more: its condition names a revision that the object no longer has. It acts on until
//! it has run out by its own clock, and a renewal that was under way may be confirmed to it once more. The store may also come
//! back from a copy and lose that the lease was taken, so that the holder renews it after all. Therefore the time counts from
//! the first confirmed change in an era, and has passed only once a change that was sent after it is confirmed in the same era:
//! until then nothing has broken the chain of this daemon's changes.

use std::time::Duration;

use flaxward_types::time::Timestamp;

/// Leases for which the former holder may act: its last one, and one more renewal that was under way when it ran out.
const FORMER_LEASES: u32 = 2;

/// A probation that is not over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Probation {
    /// When the first change of the present era was confirmed; `None` before that.
    since: Option<Timestamp>,
}

impl Probation {
    /// The store may have lost that the lease was taken.
    pub fn begin_anew(&mut self) {
        self.since = None;
    }

    /// Whether a change that is sent now ends it once it is confirmed.
    pub fn may_end(self, now: Timestamp, lease: Duration) -> bool {
        self.since
            .is_some_and(|since| now >= since + lease * FORMER_LEASES)
    }

    /// A change of the lease that was sent at a time is confirmed now; `lease` is how long a lease lasts. Returns what is left
    /// of the probation, `None` if it is over.
    pub fn confirmed(self, sent_at: Timestamp, now: Timestamp, lease: Duration) -> Option<Self> {
        let since = Some(self.since.unwrap_or(now));
        let is_over = self.may_end(sent_at, lease);
        (!is_over).then_some(Self { since })
    }
}
