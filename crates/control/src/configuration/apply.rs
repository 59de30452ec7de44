//! Applies changes; the revision in force never decreases.

use std::collections::BTreeSet;

use flaxward_types::{ItemKey, Revision};
use flaxward_wire::{ConfigurationChange, ConfigurationDelta, ConfigurationSnapshot};

use super::Configuration;

/// The outcome of applying a delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The delta is in force.
    Applied,
    /// Earlier changes are missing; the delta was not applied.
    Behind,
    /// All changes are in force already; nothing was applied.
    Old,
    /// The delta is inconsistent; nothing was applied.
    Malformed,
}

impl Configuration {
    /// The outcome that [`Self::apply_delta`] would have.
    pub fn check_delta(&self, delta: &ConfigurationDelta) -> ApplyOutcome {
        if !is_well_formed(delta) {
            return ApplyOutcome::Malformed;
        }
        if delta.to <= self.revision {
            return ApplyOutcome::Old;
        }
        if delta.from > self.revision {
            return ApplyOutcome::Behind;
        }
        ApplyOutcome::Applied
    }

    /// Applies the changes of a delta that are not in force yet.
    pub fn apply_delta(&mut self, delta: &ConfigurationDelta) -> ApplyOutcome {
        let outcome = self.check_delta(delta);
        if outcome != ApplyOutcome::Applied {
            return outcome;
        }
        let mut changes: Vec<_> = delta
            .changes
            .iter()
            .filter(|change| change.revision > self.revision)
            .collect();
        changes.sort_by_key(|change| change.revision);
        for change in changes {
            self.apply_change(change);
        }
        self.revision = delta.to;
        ApplyOutcome::Applied
    }

    /// Replaces the configuration by a snapshot if the snapshot is newer. Returns whether it was.
    pub fn apply_snapshot(&mut self, snapshot: &ConfigurationSnapshot) -> bool {
        if snapshot.revision <= self.revision {
            return false;
        }
        *self = Self::new(snapshot.revision, snapshot.items.iter().cloned());
        true
    }

    /// The changes that lead from this configuration to a snapshot. Removals get the snapshot's
    /// revision, since their own is not known.
    pub fn changes_to(&self, snapshot: &ConfigurationSnapshot) -> Vec<ConfigurationChange> {
        let kept: BTreeSet<&ItemKey> = snapshot.items.iter().map(|(key, _, _)| key).collect();
        let removed = self
            .items
            .keys()
            .filter(|key| !kept.contains(key))
            .map(|key| ConfigurationChange {
                revision: snapshot.revision,
                key: key.clone(),
                item: None,
            });
        let put = snapshot
            .items
            .iter()
            .filter(|(key, revision, item)| {
                self.item(key)
                    .is_none_or(|(changed, known)| changed != revision || known != item)
            })
            .map(|(key, revision, item)| ConfigurationChange {
                revision: *revision,
                key: key.clone(),
                item: Some(item.clone()),
            });
        removed.chain(put).collect()
    }

    /// The whole configuration, to be sent to another daemon.
    pub fn snapshot(&self) -> ConfigurationSnapshot {
        let items = self
            .items()
            .map(|(key, revision, item)| (key.clone(), revision, item.clone()))
            .collect();
        ConfigurationSnapshot {
            revision: self.revision,
            items,
        }
    }

    fn apply_change(&mut self, change: &ConfigurationChange) {
        match &change.item {
            Some(item) => {
                let entry = (change.revision, item.clone());
                self.items.insert(change.key.clone(), entry);
            }
            None => {
                self.items.remove(&change.key);
            }
        }
    }
}

/// Whether all changes lie within the delta's range of revisions.
fn is_well_formed(delta: &ConfigurationDelta) -> bool {
    let within = |revision: Revision| revision > delta.from && revision <= delta.to;
    delta.from < delta.to && delta.changes.iter().all(|change| within(change.revision))
}
