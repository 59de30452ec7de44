//! Tracks a lease that its holder renews under a term lower than one already used. Members and
//! runners that know the higher term do not follow that holder, so there is no effective
//! coordinator for as long as it keeps renewing.

use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::revision::StoreRevision;

/// Minimum number of renewals seen. Writes issued before a restore of the store may be applied
/// after it, one or two of them in a row; only a live holder continues to renew.
const MIN_RENEWALS: u32 = 3;

/// Observations of the lease since it was first read under a lower term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Superseded {
    since: Timestamp,
    /// Revision at the last read.
    revision: StoreRevision,
    /// Number of reads that showed a different revision than the previous one.
    renewals: u32,
}

impl Superseded {
    /// Records that the lease was read under a lower term; `before` is the previous state.
    pub fn note(before: Option<Self>, revision: StoreRevision, now: Timestamp) -> Self {
        let first = Self {
            since: now,
            revision,
            renewals: 0,
        };
        let before = before.unwrap_or(first);
        Self {
            since: before.since,
            revision,
            renewals: before.renewals + u32::from(before.revision != revision),
        }
    }

    /// Whether its holder has been renewing it for at least `time`.
    pub fn has_been_renewed_for(&self, time: Duration, now: Timestamp) -> bool {
        self.renewals >= MIN_RENEWALS && now.since(self.since) >= time
    }
}
