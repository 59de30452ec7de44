//! Runner incarnations that are leaving or removed, for as long as the store may list them again.
//!
//! A store restored from a backup lists runners as they were when the backup was taken, until later writes are repeated
//! or the entries expire. Some of these runners still run and would accept requests that they must no longer get.

use std::collections::BTreeMap;

use crate::names::RunnerId;
use crate::revision::{StoreEra, StoreRevision};
use crate::runners::{KnownHoldings, Runner};

/// Maximum number of leaving and of removed incarnations kept, the latest of each: far more than leave in the few seconds
/// by which a backup is out of date.
const MAX_TRACKED: usize = 1_024;

/// Removal of an incarnation; both revisions are in their ordered form.
#[derive(Debug)]
struct Removal {
    /// Revision of its last store entry.
    entry: u64,
    /// Revision at which it was removed.
    at: u64,
    /// Its holdings as last reported by a coordinator.
    reported_holdings: Option<KnownHoldings>,
}

/// Incarnations that are leaving or removed.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    /// Ordered revisions at which incarnations were last seen to be leaving.
    leaving: BTreeMap<RunnerId, u64>,
    removed: BTreeMap<RunnerId, Removal>,
}

impl Departures {
    /// Records that an incarnation is leaving, as of a revision.
    pub fn record_leaving(&mut self, id: &RunnerId, at: u64) {
        self.leaving.insert(id.clone(), at);
        evict_oldest(&mut self.leaving, |at| *at);
    }

    /// Records that an incarnation was removed at a revision, with its holdings as reported by a coordinator.
    pub fn record_removal(
        &mut self,
        runner: Runner,
        reported_holdings: Option<KnownHoldings>,
        at: u64,
    ) {
        let removal = Removal {
            entry: runner.revision,
            at,
            reported_holdings,
        };
        self.removed.insert(runner.id, removal);
        evict_oldest(&mut self.removed, |removal| removal.at);
    }

    /// Drops the removal of an incarnation whose entry had expired and came back. Returns its holdings as reported by a
    /// coordinator.
    pub fn restore(&mut self, id: &RunnerId) -> Option<KnownHoldings> {
        self.removed.remove(id)?.reported_holdings
    }

    /// Whether an incarnation was leaving in an era before that of a revision. Leaving is never revoked, so an entry
    /// which does not show it was written before.
    pub fn was_leaving(&self, id: &RunnerId, revision: u64) -> bool {
        let at = self.leaving.get(id);
        at.is_some_and(|&at| StoreEra::of(at) < StoreEra::of(revision))
    }

    /// Whether an entry was written before its runner was removed in an earlier era. If the store has lost many changes,
    /// an entry written since by a live runner may look the same.
    pub fn is_outdated_entry(&self, listed: &Runner) -> bool {
        let Some(removal) = self.removed.get(&listed.id) else {
            return false;
        };
        let entry = StoreRevision::from_ordered(listed.revision);
        let last_entry = StoreRevision::from_ordered(removal.entry);
        StoreEra::of(removal.at) < entry.era && entry.number <= last_entry.number
    }
}

/// Drops the incarnation with the lowest revision if the limit is exceeded.
fn evict_oldest<Tracked>(
    incarnations: &mut BTreeMap<RunnerId, Tracked>,
    revision: impl Fn(&Tracked) -> u64,
) {
    if incarnations.len() <= MAX_TRACKED {
        return;
    }
    let oldest = incarnations
        .iter()
        .min_by_key(|(_, tracked)| revision(tracked));
    if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
        incarnations.remove(&oldest);
    }
}
