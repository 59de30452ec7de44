//! Which era the store is in, and whether a lease that it has lost may still be held.

use std::time::Duration;

use flaxward_types::time::Timestamp;

use super::StoredLease;
use crate::revision::StoreEra;

/// The latest era of the store's answers that a daemon knows of.
#[derive(Debug, Default)]
pub(super) struct Eras {
    /// The era, and when this daemon first knew of it; `None` before the first answer.
    latest: Option<(StoreEra, Timestamp)>,
}

impl Eras {
    /// The store is in an era, or a later one. Returns whether that is news.
    pub fn note(&mut self, era: StoreEra, now: Timestamp) -> bool {
        let is_news = self.latest.is_none_or(|(latest, _)| latest < era);
        if is_news {
            self.latest = Some((era, now));
        }
        is_news
    }

    /// The latest era.
    pub fn latest(&self) -> StoreEra {
        self.latest.map_or(StoreEra::FIRST, |(era, _)| era)
    }

    /// Whether a lease was read in it.
    pub fn is_present(&self, lease: &StoredLease) -> bool {
        lease.revision.era >= self.latest()
    }

    /// Whether nobody can act under a lease that the store has lost. One that was confirmed before the latest era has run out
    /// once that is known for as long as a lease lasts.
    pub fn has_outlasted_loss(&self, lease: Duration, now: Timestamp) -> bool {
        let Some((latest, since)) = self.latest else {
            return true;
        };
        latest == StoreEra::FIRST || now.since(since) >= lease
    }

    /// The lowest term that is above all of earlier eras that nobody remembers, less one: they were below the start of the
    /// era, or below the revision of the object that names the last one.
    pub fn term_floor(&self, last: Option<&StoredLease>) -> u64 {
        if self.latest() == StoreEra::FIRST {
            return 0;
        }
        last.map_or(self.latest().start(), |lease| lease.revision.ordered())
    }
}
