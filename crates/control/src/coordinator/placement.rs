//! Maintains the zone's placement record (its slots) in the object API.
//!
//! Each plan requests its changes from scratch, and they are written together. A slot may be used
//! only while it is certainly recorded: after a write with an unknown outcome, only slots that are
//! in both possible records are usable, until a later write or read resolves the outcome.

use std::collections::BTreeSet;

use flaxward_types::records::{QuotaSubject, Slot, ZonePlacement};
use flaxward_types::{Revision, RunnerName, Term, Timestamp};

use super::interface::{CoordinatorAction, CoordinatorSettings, StoreFault};
pub(super) use super::slots::subject_of;
use super::slots::{SlotChange, SlotTable};
use super::weakness::Weakness;

/// What a response of the store means for the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlacementOutcome {
    /// No action is required.
    None,
    /// The record now carries this coordinator's term.
    Fenced,
    /// The record carries this higher term.
    Superseded(Term),
}

#[derive(Clone, Debug)]
enum Operation {
    Read,
    Write(SlotChange),
}

/// The recorded slots of the zone and the requested changes.
#[derive(Clone, Debug)]
pub(super) struct PlacementManager {
    term: Term,
    weakness: Weakness,
    revision: Option<Revision>,
    slots: SlotTable,
    is_record_known: bool,
    fenced: bool,
    additions: BTreeSet<Slot>,
    removals: BTreeSet<Slot>,
    operation: Option<Operation>,
    /// Changes by writes whose outcome is unknown, each with the revision that it would replace.
    /// `slots` holds the slots of that revision.
    unsettled: Vec<(Option<Revision>, SlotChange)>,
    /// Number of operations started.
    operations_started: u64,
    /// The last operation that showed this coordinator's term in the record.
    last_confirmed: u64,
    /// The operation that must show this coordinator's term.
    confirmation_requested: u64,
    next_step: Timestamp,
    /// Subjects of slots added or removed since the last call of `take_changed`.
    changed: BTreeSet<QuotaSubject>,
}

fn count<'a>(slots: impl IntoIterator<Item = &'a Slot>) -> u32 {
    u32::try_from(slots.into_iter().count()).unwrap_or(u32::MAX)
}

impl PlacementManager {
    pub(super) fn new(term: Term, weakness: Weakness) -> Self {
        Self {
            term,
            weakness,
            revision: None,
            slots: SlotTable::default(),
            is_record_known: false,
            fenced: false,
            additions: BTreeSet::new(),
            removals: BTreeSet::new(),
            operation: None,
            unsettled: Vec::new(),
            operations_started: 0,
            last_confirmed: 0,
            confirmation_requested: 0,
            next_step: Timestamp::ZERO,
            changed: BTreeSet::new(),
        }
    }

    /// Whether the record carries this coordinator's term, so that a former leader cannot write it.
    pub(super) fn fenced(&self) -> bool {
        self.fenced
    }

    /// Whether the record, and with it the outcome of each write, is known.
    pub(super) fn is_settled(&self) -> bool {
        self.is_record_known && self.unsettled.is_empty()
    }

    /// Whether an operation is outstanding.
    pub(super) fn is_busy(&self) -> bool {
        self.operation.is_some()
    }

    /// The slots of the last known record.
    pub(super) fn slots(&self) -> &SlotTable {
        &self.slots
    }

    /// Whether the slot is certainly recorded and no write or request removes it.
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
        let is_retained = !self.removals.contains(slot);
        self.fenced && stays && settled && is_retained
    }

    /// Whether a write that adds the slot is outstanding.
    pub(super) fn is_being_added(&self, slot: &Slot) -> bool {
        match &self.operation {
            Some(Operation::Write(written)) => written.added.contains(slot),
            _ => false,
        }
    }

    /// Number of slots of a subject once the outstanding write and the requested changes are applied.
    pub(super) fn planned_slots(&self, subject: &QuotaSubject) -> u32 {
        let none = SlotChange::default();
        let base = self.outstanding_change().unwrap_or(&none);
        let kept = base
            .of_subject_after(&self.slots, subject)
            .filter(|slot| !self.removals.contains(slot));
        let added = self.additions.iter().filter(|slot| {
            subject_of(&slot.artifact) == *subject && !base.contains_after(&self.slots, slot)
        });
        count(kept.chain(added))
    }

    /// The change of the outstanding write.
    fn outstanding_change(&self) -> Option<&SlotChange> {
        match &self.operation {
            Some(Operation::Write(written)) => Some(written),
            _ => None,
        }
    }

    /// Maximum number of slots of a subject over all records that may be in force now or after the
    /// requested changes.
    pub(super) fn max_slots(&self, subject: &QuotaSubject) -> u32 {
        let unsettled = self.unsettled.iter().map(|(_, change)| change);
        let possible = unsettled.chain(self.outstanding_change());
        possible
            .map(|change| count(change.of_subject_after(&self.slots, subject)))
            .fold(count(self.slots.of_subject(subject)), u32::max)
            .max(self.planned_slots(subject))
    }

    /// The requested changes to the last known record, while no write is outstanding.
    fn requested_change(&self) -> SlotChange {
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

    /// Clears all requested changes; each plan requests them again.
    pub(super) fn clear_requested_changes(&mut self) {
        self.additions.clear();
        self.removals.clear();
    }

    pub(super) fn request_addition(&mut self, slot: Slot) {
        self.removals.remove(&slot);
        self.additions.insert(slot);
    }

    pub(super) fn request_removal(&mut self, slot: &Slot) {
        if !self.additions.contains(slot) {
            self.removals.insert(slot.clone());
        }
    }

    pub(super) fn is_addition_requested(&self, slot: &Slot) -> bool {
        self.additions.contains(slot)
    }

    /// Number of the next operation: once it is [confirmed](Self::is_confirmed), the record carried
    /// this coordinator's term at some time after this call.
    pub(super) fn request_confirmation(&mut self) -> u64 {
        let next = self.operations_started + 1;
        self.confirmation_requested = self.confirmation_requested.max(next);
        next
    }

    pub(super) fn is_confirmed(&self, operation: u64) -> bool {
        self.last_confirmed >= operation
    }

    /// The next operation on the record, if one is due.
    pub(super) fn step(&mut self, now: Timestamp, may_record: bool) -> Option<CoordinatorAction> {
        if self.operation.is_some() || now < self.next_step {
            return None;
        }
        if !self.is_record_known {
            return Some(self.read());
        }
        let change = self.requested_change();
        let due = !self.fenced || !self.unsettled.is_empty() || !change.is_empty();
        if due && may_record {
            self.operations_started += 1;
            let record = ZonePlacement {
                term: self.term,
                slots: self.slots.after_change(&change),
            };
            self.operation = Some(Operation::Write(change));
            return Some(CoordinatorAction::WritePlacement(self.revision, record));
        }
        if self.confirmation_requested > self.last_confirmed {
            return Some(self.read());
        }
        None
    }

    fn read(&mut self) -> CoordinatorAction {
        self.operations_started += 1;
        self.operation = Some(Operation::Read);
        CoordinatorAction::ReadPlacement
    }

    pub(super) fn on_read(
        &mut self,
        result: Result<Option<(Revision, ZonePlacement)>, StoreFault>,
        now: Timestamp,
        settings: &CoordinatorSettings,
    ) -> PlacementOutcome {
        if !matches!(self.operation, Some(Operation::Read)) {
            return PlacementOutcome::None;
        }
        self.operation = None;
        let Ok(record) = result else {
            self.next_step = now + settings.order_retry;
            return PlacementOutcome::None;
        };
        self.is_record_known = true;
        let Some((revision, placement)) = record else {
            self.revision = None;
            return PlacementOutcome::None;
        };
        if placement.term > self.term {
            return PlacementOutcome::Superseded(placement.term);
        }
        self.unsettled.retain(|(base, _)| *base == Some(revision));
        self.apply_slots(revision, placement.slots);
        if placement.term == self.term {
            self.last_confirmed = self.operations_started;
            return self.fence();
        }
        PlacementOutcome::None
    }

    /// Applies the slots read at a revision, unless that revision is already known.
    fn apply_slots(&mut self, revision: Revision, slots: Vec<Slot>) {
        if self.revision == Some(revision) {
            return;
        }
        let slots: SlotTable = slots.into_iter().collect();
        self.changed
            .extend(self.slots.subjects_of_difference(&slots));
        self.revision = Some(revision);
        self.slots = slots;
    }

    /// Returns and clears the subjects of slots added or removed since the last call.
    pub(super) fn take_changed(&mut self) -> BTreeSet<QuotaSubject> {
        std::mem::take(&mut self.changed)
    }

    pub(super) fn on_written(
        &mut self,
        result: Result<Revision, StoreFault>,
        now: Timestamp,
        settings: &CoordinatorSettings,
    ) -> PlacementOutcome {
        let written = match self.operation.take() {
            Some(Operation::Write(written)) => written,
            other => {
                self.operation = other;
                return PlacementOutcome::None;
            }
        };
        match result {
            Ok(revision) => {
                self.revision = Some(revision);
                self.changed.extend(written.subjects());
                self.slots.apply(written);
                self.unsettled.clear();
                self.last_confirmed = self.operations_started;
                return self.fence();
            }
            Err(StoreFault::Unavailable) => self.next_step = now + settings.order_retry,
            Err(StoreFault::Conflict) => self.is_record_known = false,
            Err(StoreFault::Unknown) => {
                self.is_record_known = false;
                if self.weakness != Weakness::UnknownIsFailed {
                    self.unsettled.push((self.revision, written));
                }
            }
        }
        PlacementOutcome::None
    }

    fn fence(&mut self) -> PlacementOutcome {
        if self.fenced {
            return PlacementOutcome::None;
        }
        self.fenced = true;
        PlacementOutcome::Fenced
    }

    /// The recorded slots on one runner.
    pub(super) fn on_runner(&self, runner: &RunnerName) -> impl Iterator<Item = &Slot> {
        self.slots.on_runner(runner)
    }
}
