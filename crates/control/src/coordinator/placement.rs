//! Keeps the zone's slots in the object API.
//!
//! Wishes are stated anew at each plan and written together. A slot may be used only while it is
//! certainly recorded: after a write with unknown outcome only slots that are in both possible
//! records, until a later write or read has settled it.

use std::collections::BTreeSet;

use flaxward_types::records::{QuotaSubject, Slot, ZonePlacement};
use flaxward_types::{Revision, RunnerName, Term, Timestamp};

use super::interface::{CoordinatorAction, CoordinatorSettings, StoreFault};
pub(super) use super::slots::subject_of;
use super::slots::{SlotChange, SlotTable};
use super::weakness::Weakness;

/// What an answer of the store means for the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlacementChange {
    /// Nothing to act on.
    None,
    /// The own term stands in the record from now on.
    Fenced,
    /// This higher term stands in the record.
    Lost(Term),
}

#[derive(Clone, Debug)]
enum Operation {
    Read,
    Write(SlotChange),
}

/// The slots of the zone and the changes wished for.
#[derive(Clone, Debug)]
pub(super) struct PlacementKeeper {
    term: Term,
    weakness: Weakness,
    revision: Option<Revision>,
    slots: SlotTable,
    known: bool,
    fenced: bool,
    additions: BTreeSet<Slot>,
    removals: BTreeSet<Slot>,
    operation: Option<Operation>,
    /// Changes by writes whose outcome is unknown, and the revision each would replace. The slots
    /// known are those of that revision.
    unsettled: Vec<(Option<Revision>, SlotChange)>,
    /// Number of operations begun.
    begun: u64,
    /// The last operation that showed the own term in the record.
    confirmed: u64,
    /// The operation that is to show the own term.
    confirmation_wanted: u64,
    next_step: Timestamp,
    /// Subjects of slots added or removed since they were last looked at.
    changed: BTreeSet<QuotaSubject>,
}

fn count<'a>(slots: impl IntoIterator<Item = &'a Slot>) -> u32 {
    u32::try_from(slots.into_iter().count()).unwrap_or(u32::MAX)
}

impl PlacementKeeper {
    pub(super) fn new(term: Term, weakness: Weakness) -> Self {
        Self {
            term,
            weakness,
            revision: None,
            slots: SlotTable::default(),
            known: false,
            fenced: false,
            additions: BTreeSet::new(),
            removals: BTreeSet::new(),
            operation: None,
            unsettled: Vec::new(),
            begun: 0,
            confirmed: 0,
            confirmation_wanted: 0,
            next_step: Timestamp::ZERO,
            changed: BTreeSet::new(),
        }
    }

    /// Whether the own term stands in the record, so that a former holder can record nothing.
    pub(super) fn fenced(&self) -> bool {
        self.fenced
    }

    /// Whether the record is known, and so the outcome of each write.
    pub(super) fn is_settled(&self) -> bool {
        self.known && self.unsettled.is_empty()
    }

    /// Whether an operation is outstanding.
    pub(super) fn is_busy(&self) -> bool {
        self.operation.is_some()
    }

    /// The slots recorded as last known.
    pub(super) fn slots(&self) -> &SlotTable {
        &self.slots
    }

    /// Whether the slot is certainly recorded and will stay so.
    pub(super) fn usable(&self, slot: &Slot) -> bool {
        if !self.slots.contains(slot) {
            return false;
        }
        let stays = match &self.operation {
            Some(Operation::Write(written)) => !written.removed.contains(slot),
            _ => true,
        };
        let mut attempts = self.unsettled.iter();
        let settled = attempts.all(|(_, attempted)| !attempted.removed.contains(slot));
        let wanted = !self.removals.contains(slot);
        self.fenced && stays && settled && wanted
    }

    /// Whether a write that adds the slot is outstanding.
    pub(super) fn adding(&self, slot: &Slot) -> bool {
        match &self.operation {
            Some(Operation::Write(written)) => written.added.contains(slot),
            _ => false,
        }
    }

    /// Slots of a subject in the record that the wishes amount to.
    pub(super) fn planned(&self, subject: &QuotaSubject) -> u32 {
        let none = SlotChange::default();
        let base = self.writing().unwrap_or(&none);
        let kept = base
            .leaves_of_subject(&self.slots, subject)
            .filter(|slot| !self.removals.contains(slot));
        let added = self.additions.iter().filter(|slot| {
            subject_of(&slot.artifact) == *subject && !base.leaves(&self.slots, slot)
        });
        count(kept.chain(added))
    }

    /// The change that is being written.
    fn writing(&self) -> Option<&SlotChange> {
        match &self.operation {
            Some(Operation::Write(written)) => Some(written),
            _ => None,
        }
    }

    /// Slots of a subject in any record that may stand or come to stand.
    pub(super) fn bound(&self, subject: &QuotaSubject) -> u32 {
        let unsettled = self.unsettled.iter().map(|(_, change)| change);
        let possible = unsettled.chain(self.writing());
        possible
            .map(|change| count(change.leaves_of_subject(&self.slots, subject)))
            .fold(count(self.slots.of_subject(subject)), u32::max)
            .max(self.planned(subject))
    }

    /// What the wishes change while no write is outstanding.
    fn wishes(&self) -> SlotChange {
        let added = self.additions.iter();
        let added = added.filter(|slot| !self.slots.contains(slot));
        let removed = self.removals.iter();
        let removed =
            removed.filter(|slot| self.slots.contains(slot) && !self.additions.contains(slot));
        SlotChange {
            added: added.cloned().collect(),
            removed: removed.cloned().collect(),
        }
    }

    /// Forgets all wishes; each plan states them anew.
    pub(super) fn clear_wishes(&mut self) {
        self.additions.clear();
        self.removals.clear();
    }

    pub(super) fn wish_added(&mut self, slot: Slot) {
        self.removals.remove(&slot);
        self.additions.insert(slot);
    }

    pub(super) fn wish_removed(&mut self, slot: &Slot) {
        if !self.additions.contains(slot) {
            self.removals.insert(slot.clone());
        }
    }

    pub(super) fn wished(&self, slot: &Slot) -> bool {
        self.additions.contains(slot)
    }

    /// Number of the next operation: once it is [confirmed](Self::is_confirmed), the own term stood
    /// in the record at some moment after this call.
    pub(super) fn want_confirmation(&mut self) -> u64 {
        let next = self.begun + 1;
        self.confirmation_wanted = self.confirmation_wanted.max(next);
        next
    }

    pub(super) fn is_confirmed(&self, operation: u64) -> bool {
        self.confirmed >= operation
    }

    /// The next operation on the record, if one is due.
    pub(super) fn step(&mut self, now: Timestamp, may_record: bool) -> Option<CoordinatorAction> {
        if self.operation.is_some() || now < self.next_step {
            return None;
        }
        if !self.known {
            return Some(self.read());
        }
        let change = self.wishes();
        let due = !self.fenced || !self.unsettled.is_empty() || !change.is_empty();
        if due && may_record {
            self.begun += 1;
            let record = ZonePlacement {
                term: self.term,
                slots: self.slots.changed_by(&change),
            };
            self.operation = Some(Operation::Write(change));
            return Some(CoordinatorAction::WritePlacement(self.revision, record));
        }
        if self.confirmation_wanted > self.confirmed {
            return Some(self.read());
        }
        None
    }

    fn read(&mut self) -> CoordinatorAction {
        self.begun += 1;
        self.operation = Some(Operation::Read);
        CoordinatorAction::ReadPlacement
    }

    pub(super) fn on_read(
        &mut self,
        result: Result<Option<(Revision, ZonePlacement)>, StoreFault>,
        now: Timestamp,
        settings: &CoordinatorSettings,
    ) -> PlacementChange {
        if !matches!(self.operation, Some(Operation::Read)) {
            return PlacementChange::None;
        }
        self.operation = None;
        let Ok(record) = result else {
            self.next_step = now + settings.order_retry;
            return PlacementChange::None;
        };
        self.known = true;
        let Some((revision, placement)) = record else {
            self.revision = None;
            return PlacementChange::None;
        };
        if placement.term > self.term {
            return PlacementChange::Lost(placement.term);
        }
        self.unsettled.retain(|(base, _)| *base == Some(revision));
        self.take_in(revision, placement.slots);
        if placement.term == self.term {
            self.confirmed = self.begun;
            return self.fence();
        }
        PlacementChange::None
    }

    /// Takes in the slots at a revision; those of the revision known are known.
    fn take_in(&mut self, revision: Revision, slots: Vec<Slot>) {
        if self.revision == Some(revision) {
            return;
        }
        let slots: SlotTable = slots.into_iter().collect();
        self.changed
            .extend(self.slots.subjects_of_difference(&slots));
        self.revision = Some(revision);
        self.slots = slots;
    }

    /// The subjects of slots added or removed since the last call.
    pub(super) fn take_changed(&mut self) -> BTreeSet<QuotaSubject> {
        std::mem::take(&mut self.changed)
    }

    pub(super) fn on_written(
        &mut self,
        result: Result<Revision, StoreFault>,
        now: Timestamp,
        settings: &CoordinatorSettings,
    ) -> PlacementChange {
        let written = match self.operation.take() {
            Some(Operation::Write(written)) => written,
            other => {
                self.operation = other;
                return PlacementChange::None;
            }
        };
        match result {
            Ok(revision) => {
                self.revision = Some(revision);
                self.changed.extend(written.subjects());
                self.slots.apply(written);
                self.unsettled.clear();
                self.confirmed = self.begun;
                return self.fence();
            }
            Err(StoreFault::Unavailable) => self.next_step = now + settings.order_retry,
            Err(StoreFault::Conflict) => self.known = false,
            Err(StoreFault::Unknown) => {
                self.known = false;
                if self.weakness != Weakness::UnknownIsFailed {
                    self.unsettled.push((self.revision, written));
                }
            }
        }
        PlacementChange::None
    }

    fn fence(&mut self) -> PlacementChange {
        if self.fenced {
            return PlacementChange::None;
        }
        self.fenced = true;
        PlacementChange::Fenced
    }

    /// Slots on one runner.
    pub(super) fn on_runner(&self, runner: &RunnerName) -> impl Iterator<Item = &Slot> {
        self.slots.on_runner(runner)
    }
}
