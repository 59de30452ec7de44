//! Applying changes: the revision in force only ever rises.

use std::collections::BTreeSet;

use flaxward_types::{ItemKey, Revision};
use flaxward_wire::{ConfigurationChange, ConfigurationDelta, ConfigurationSnapshot};

use super::Configuration;

/// What became of a delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is in force.
    Applied,
    /// Changes before it are missing here; nothing was done.
    Behind,
    /// All of it is in force already; nothing was done.
    Old,
    /// It contradicts itself; nothing was done.
    Malformed,
}

impl Configuration {
    /// What [`Self::apply_delta`] would make of a delta.
    pub fn check_delta(&self, delta: &ConfigurationDelta) -> Applied {
        if !is_well_formed(delta) {
            return Applied::Malformed;
        }
        if delta.to <= self.revision {
            return Applied::Old;
        }
        if delta.from > self.revision {
            return Applied::Behind;
        }
        Applied::Applied
    }

    /// Puts the changes of a delta in force that are not in force yet.
    pub fn apply_delta(&mut self, delta: &ConfigurationDelta) -> Applied {
        let verdict = self.check_delta(delta);
        if verdict != Applied::Applied {
            return verdict;
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
        Applied::Applied
    }

    /// Replaces everything by a snapshot if it is newer. Returns whether it was.
    pub fn apply_snapshot(&mut self, snapshot: &ConfigurationSnapshot) -> bool {
        if snapshot.revision <= self.revision {
            return false;
        }
        *self = Self::new(snapshot.revision, snapshot.items.iter().cloned());
        true
    }

    /// The changes that lead from here to a snapshot. When an item was removed is not known, only
    /// that it was by the snapshot's revision.
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

/// Whether all changes lie in the range that the delta names.
fn is_well_formed(delta: &ConfigurationDelta) -> bool {
    let within = |revision: Revision| revision > delta.from && revision <= delta.to;
    delta.from < delta.to && delta.changes.iter().all(|change| within(change.revision))
}
