//! Tracks the era of the store, and whether a lease that the store has lost may still be held.

use std::time::Duration;

use flaxward_types::time::Timestamp;

use super::StoredLease;
use crate::revision::StoreEra;

/// The latest era seen in the store's answers.
#[derive(Debug, Default)]
pub(super) struct Eras {
    /// The era, and when this daemon first saw it; `None` before the first answer.
    latest: Option<(StoreEra, Timestamp)>,
}

impl Eras {
    /// Records that the store is in this era or a later one. Returns whether it is newer than the
    /// latest known era.
    pub fn note(&mut self, era: StoreEra, now: Timestamp) -> bool {
        let is_newer = self.latest.is_none_or(|(latest, _)| latest < era);
        if is_newer {
            self.latest = Some((era, now));
        }
        is_newer
    }

    /// Latest known era.
    pub fn latest(&self) -> StoreEra {
        self.latest.map_or(StoreEra::FIRST, |(era, _)| era)
    }

    /// Whether a lease was read in the latest era.
    pub fn is_current(&self, lease: &StoredLease) -> bool {
        lease.revision.era >= self.latest()
    }

    /// Whether no daemon can still act under a lease that the store has lost. A lease confirmed
    /// before the latest era has expired once that era has been known for a full lease duration.
    pub fn have_lost_leases_expired(&self, lease: Duration, now: Timestamp) -> bool {
        let Some((latest, since)) = self.latest else {
            return true;
        };
        latest == StoreEra::FIRST || now.since(since) >= lease
    }

    /// Lower bound (exclusive) for new terms, above all terms of earlier eras that no daemon
    /// remembers: those were below the start of the era, or below the revision of the object with
    /// the last term.
    pub fn term_floor(&self, last: Option<&StoredLease>) -> u64 {
        if self.latest() == StoreEra::FIRST {
            return 0;
        }
        last.map_or(self.latest().start(), |lease| lease.revision.ordered())
    }
}
