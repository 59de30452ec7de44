//! The recorded slots of a zone, indexed by quota subject and by runner, and changes to them.
//!
//! A change is stored as the slots that it adds and removes, because a zone has thousands of slots
//! and a write changes only a few of them.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

use flaxward_types::records::{QuotaSubject, Slot};
use flaxward_types::{ArtifactId, RunnerName};

/// The quota subject that an artifact counts against.
pub(super) fn subject_of(artifact: &ArtifactId) -> QuotaSubject {
    match &artifact.adapter {
        Some(adapter) => QuotaSubject::Adapter(artifact.model.clone(), adapter.clone()),
        None => QuotaSubject::Model(artifact.model.clone()),
    }
}

/// Slots, in order, with an index by quota subject and one by runner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct SlotTable {
    all: BTreeSet<Slot>,
    by_subject: BTreeMap<QuotaSubject, BTreeSet<Slot>>,
    by_runner: BTreeMap<RunnerName, BTreeSet<Slot>>,
}

impl SlotTable {
    pub(super) fn contains(&self, slot: &Slot) -> bool {
        self.all.contains(slot)
    }

    /// All slots, in order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Slot> {
        self.all.iter()
    }

    /// Number of slots.
    pub(super) fn len(&self) -> usize {
        self.all.len()
    }

    /// All slots in cyclic order, starting after the given one.
    pub(super) fn following(&self, last: Option<&Slot>) -> impl Iterator<Item = &Slot> + use<'_> {
        let start = last.map_or(Unbounded, Excluded);
        let rest = self.all.range((start, Unbounded));
        rest.chain(&self.all).take(self.all.len())
    }

    /// The subjects of the slots that are in only one of two tables.
    pub(super) fn subjects_of_difference(&self, other: &Self) -> BTreeSet<QuotaSubject> {
        let difference = self.all.symmetric_difference(&other.all);
        difference.map(|slot| subject_of(&slot.artifact)).collect()
    }

    /// The slots that count against a subject, in order.
    pub(super) fn of_subject(
        &self,
        subject: &QuotaSubject,
    ) -> impl Iterator<Item = &Slot> + use<'_> {
        self.by_subject.get(subject).into_iter().flatten()
    }

    /// The slots on a runner, in order.
    pub(super) fn on_runner(&self, runner: &RunnerName) -> impl Iterator<Item = &Slot> + use<'_> {
        self.by_runner.get(runner).into_iter().flatten()
    }

    /// The runners with slots.
    pub(super) fn runners(&self) -> impl Iterator<Item = &RunnerName> {
        self.by_runner.keys()
    }

    /// Whether an artifact has a slot.
    pub(super) fn has(&self, artifact: &ArtifactId) -> bool {
        let mut slots = self.of_subject(&subject_of(artifact));
        slots.any(|slot| slot.artifact == *artifact)
    }

    /// The slots after applying a change.
    pub(super) fn after_change(&self, change: &SlotChange) -> Vec<Slot> {
        let kept = self
            .all
            .iter()
            .filter(|slot| !change.removed.contains(slot));
        let mut slots: Vec<Slot> = kept.chain(&change.added).cloned().collect();
        slots.sort();
        slots
    }

    /// Applies a change.
    pub(super) fn apply(&mut self, change: SlotChange) {
        for slot in &change.removed {
            self.remove(slot);
        }
        for slot in change.added {
            self.insert(slot);
        }
    }

    fn insert(&mut self, slot: Slot) {
        let of_subject = self.by_subject.entry(subject_of(&slot.artifact));
        of_subject.or_default().insert(slot.clone());
        let on_runner = self.by_runner.entry(slot.runner.clone());
        on_runner.or_default().insert(slot.clone());
        self.all.insert(slot);
    }

    fn remove(&mut self, slot: &Slot) {
        if !self.all.remove(slot) {
            return;
        }
        remove_from_index(&mut self.by_subject, &subject_of(&slot.artifact), slot);
        remove_from_index(&mut self.by_runner, &slot.runner, slot);
    }

    /// Whether the indexes match the slots; used by tests.
    pub(super) fn is_consistent(&self) -> bool {
        *self == self.all.iter().cloned().collect()
    }
}

impl FromIterator<Slot> for SlotTable {
    fn from_iter<Slots: IntoIterator<Item = Slot>>(slots: Slots) -> Self {
        let mut table = Self::default();
        for slot in slots {
            table.insert(slot);
        }
        table
    }
}

/// Removes a slot from an index, and its entry once that is empty.
fn remove_from_index<Key: Ord>(index: &mut BTreeMap<Key, BTreeSet<Slot>>, key: &Key, slot: &Slot) {
    if let Some(slots) = index.get_mut(key) {
        slots.remove(slot);
        if slots.is_empty() {
            index.remove(key);
        }
    }
}

/// A change relative to a set of slots, which contains none of the added and all of the removed
/// slots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct SlotChange {
    pub(super) added: BTreeSet<Slot>,
    pub(super) removed: BTreeSet<Slot>,
}

impl SlotChange {
    pub(super) fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty()
    }

    /// The subjects of the slots that are added or removed.
    pub(super) fn subjects(&self) -> impl Iterator<Item = QuotaSubject> {
        let slots = self.added.iter().chain(&self.removed);
        slots.map(|slot| subject_of(&slot.artifact))
    }

    /// Whether a slot is present after applying the change.
    pub(super) fn contains_after(&self, slots: &SlotTable, slot: &Slot) -> bool {
        self.added.contains(slot) || (slots.contains(slot) && !self.removed.contains(slot))
    }

    /// The slots of a subject after applying the change.
    pub(super) fn of_subject_after<'a>(
        &'a self,
        slots: &'a SlotTable,
        subject: &'a QuotaSubject,
    ) -> impl Iterator<Item = &'a Slot> {
        let kept = slots.of_subject(subject);
        let kept = kept.filter(|slot| !self.removed.contains(slot));
        let added = self.added.iter();
        kept.chain(added.filter(move |slot| subject_of(&slot.artifact) == *subject))
    }
}
