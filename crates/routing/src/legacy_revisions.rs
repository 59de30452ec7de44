//! Numbering of revisions for legacy builds, which do not know eras.
//!
//! Legacy daemons order changes by the store's numbers alone, but the store reuses numbers after it was restored from a
//! backup. They are therefore sent a continuous numbering: the first revision of a later era follows the last one known
//! before it. They accept updates from other daemons, and when they read the store themselves, its data only counts as
//! outdated until the store has made as many changes as the backup lacked. If numbers grew by a fixed step with each
//! era, a legacy daemon would ignore the store until its process ends.

use serde::{Deserialize, Serialize};

use crate::revision::{EraStart, StoreEra, StoreRevision};

/// Number of latest eras that are kept; daemons of legacy builds remain for minutes during an upgrade.
const MAX_ERAS: usize = 8;

/// Numbering of one era.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EraNumbering {
    era: StoreEra,
    /// Store number at which the era starts.
    first: u64,
    /// Legacy number of `first`; not lower than `first`.
    begins_at: u64,
}

impl EraNumbering {
    /// Difference between legacy numbers and store numbers.
    fn offset(&self) -> u64 {
        self.begins_at.saturating_sub(self.first)
    }
}

/// Mapping between ordered revisions and legacy numbers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LegacyRevisions {
    /// First known era; its legacy numbers are the store's own.
    first_era: StoreEra,
    /// Eras that began later, in order. Each starts above the start of the previous one and ends below the start of the
    /// next.
    later: Vec<EraNumbering>,
}

impl LegacyRevisions {
    /// Mapping of a daemon that first saw the store in this era and knows no later one.
    pub fn since(first_era: StoreEra) -> Self {
        Self {
            first_era,
            later: Vec::new(),
        }
    }

    /// First known era.
    pub fn first_era(&self) -> StoreEra {
        self.first_era
    }

    /// Whether an era after the first is known.
    pub fn has_later_eras(&self) -> bool {
        !self.later.is_empty()
    }

    /// Records the start of an era. An era is numbered from its first revision, so it is ignored while none is known.
    pub fn note_era(&mut self, start: EraStart) {
        let era = start.first.era;
        let is_known = self.later.iter().any(|it| it.era >= era);
        if is_known || era <= self.first_era || start.first.number == 0 {
            return;
        }
        let last_before = self.legacy_number(start.known_before).unwrap_or(0);
        self.later.push(EraNumbering {
            era,
            first: start.first.number,
            // Not lower than what the receiver may have read from the store.
            begins_at: start.first.number.max(last_before + 1),
        });
        self.restore_order();
    }

    /// Merges the mapping of another daemon. The higher number wins, because receivers ignore numbers lower than those
    /// they know.
    pub fn merge(&mut self, other: &Self) {
        self.first_era = self.first_era.min(other.first_era);
        for theirs in &other.later {
            match self.later.iter_mut().find(|own| own.era == theirs.era) {
                Some(own) if own.offset() < theirs.offset() => *own = *theirs,
                Some(_) => {}
                None => self.later.push(*theirs),
            }
        }
        self.later.sort_by_key(|numbers| numbers.era);
        self.restore_order();
    }

    /// Raises the start of the last era above a number that a legacy daemon reported as known, if that is higher than
    /// the number of the latest revision. It then got the number from a daemon with a higher mapping, and would
    /// otherwise treat changes that it lacks as known.
    pub fn raise_above(&mut self, reported: u64, latest: u64) {
        let is_higher = self
            .legacy_number(latest)
            .is_some_and(|highest| reported > highest);
        if let Some(last) = self.later.last_mut().filter(|_| is_higher) {
            last.begins_at = reported + 1;
        }
    }

    /// Makes each era start above the previous one, of which another daemon may know more, and drops the oldest eras.
    fn restore_order(&mut self) {
        let mut last_start = 0;
        for numbers in &mut self.later {
            numbers.begins_at = numbers.begins_at.max(last_start + 1);
            last_start = numbers.begins_at;
        }
        let surplus = self.later.len().saturating_sub(MAX_ERAS);
        self.later.drain(..surplus);
    }

    /// Legacy number of an ordered revision. If the start of its era is not known, the era stays in the number, so that
    /// era-aware builds can restore the revision.
    pub fn number(&self, ordered: u64) -> u64 {
        let with_era = ordered.saturating_sub(self.first_era.start());
        self.legacy_number(ordered).unwrap_or(with_era)
    }

    /// Legacy number of an ordered revision; `None` if the start of its era is not known.
    fn legacy_number(&self, ordered: u64) -> Option<u64> {
        let revision = StoreRevision::from_ordered(ordered);
        let next = self.later.iter().find(|it| it.era > revision.era);
        let last = next.map_or(u64::MAX, |next| next.begins_at.saturating_sub(1));
        if revision.era == self.first_era {
            return Some(revision.number.min(last));
        }
        let numbers = self.later.iter().find(|it| it.era == revision.era)?;
        let since_first = revision.number.saturating_sub(numbers.first);
        Some(numbers.begins_at.saturating_add(since_first).min(last))
    }

    /// Ordered revision of a legacy number. A number that the sender read from the store maps to an earlier revision
    /// than the actual one, so the sender receives too many updates rather than too few.
    pub fn revision(&self, number: u64) -> u64 {
        let mut latest_first = self.later.iter().rev();
        let numbers = latest_first.find(|it| number >= it.begins_at);
        let includes_era = StoreEra::of(number) > StoreEra::FIRST;
        match numbers {
            Some(numbers) if !includes_era => StoreRevision {
                era: numbers.era,
                number: numbers.first.saturating_add(number - numbers.begins_at),
            }
            .ordered(),
            _ => number.saturating_add(self.first_era.start()),
        }
    }
}
