//! Keeps the zone's slots in the object API.
//!
//! Wishes are stated anew at each plan and written together. A slot may be used only while it is
//! certainly recorded: after a write with unknown outcome only slots that are in both possible
//! records, until a later write or read has settled it.

use std::collections::BTreeSet;

use flaxward_types::records::{QuotaSubject, Slot, ZonePlacement};
use flaxward_types::{ArtifactId, Revision, RunnerName, Term, Timestamp};

use super::interface::{CoordinatorAction, CoordinatorSettings, StoreFault};
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
    Write(BTreeSet<Slot>),
}

/// The slots of the zone and the changes wished for.
#[derive(Clone, Debug)]
pub(super) struct PlacementKeeper {
    term: Term,
    weakness: Weakness,
    revision: Option<Revision>,
    slots: BTreeSet<Slot>,
    known: bool,
    fenced: bool,
    additions: BTreeSet<Slot>,
    removals: BTreeSet<Slot>,
    operation: Option<Operation>,
    /// Slots of writes whose outcome is unknown, and the revision each would replace.
    unsettled: Vec<(Option<Revision>, BTreeSet<Slot>)>,
    /// Number of operations begun.
    begun: u64,
    /// The last operation that showed the own term in the record.
    confirmed: u64,
    /// The operation that is to show the own term.
    confirmation_wanted: u64,
    next_step: Timestamp,
}

/// What a slot's artifact counts against.
pub(super) fn subject_of(artifact: &ArtifactId) -> QuotaSubject {
    match &artifact.adapter {
        Some(adapter) => QuotaSubject::Adapter(artifact.model.clone(), adapter.clone()),
        None => QuotaSubject::Model(artifact.model.clone()),
    }
}

fn count<'a>(slots: impl IntoIterator<Item = &'a Slot>, subject: &QuotaSubject) -> u32 {
    let of_subject = slots
        .into_iter()
        .filter(|slot| subject_of(&slot.artifact) == *subject);
    u32::try_from(of_subject.count()).unwrap_or(u32::MAX)
}

impl PlacementKeeper {
    pub(super) fn new(term: Term, weakness: Weakness) -> Self {
        Self {
            term,
            weakness,
            revision: None,
            slots: BTreeSet::new(),
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
    pub(super) fn slots(&self) -> &BTreeSet<Slot> {
        &self.slots
    }

    /// Whether the slot is certainly recorded and will stay so.
    pub(super) fn usable(&self, slot: &Slot) -> bool {
        let stays = match &self.operation {
            Some(Operation::Write(written)) => written.contains(slot),
            _ => true,
        };
        let mut attempts = self.unsettled.iter();
        let settled = attempts.all(|(_, attempted)| attempted.contains(slot));
        let wanted = !self.removals.contains(slot);
        self.fenced && self.slots.contains(slot) && stays && settled && wanted
    }

    /// Whether a write that adds the slot is outstanding.
    pub(super) fn adding(&self, slot: &Slot) -> bool {
        match &self.operation {
            Some(Operation::Write(written)) => written.contains(slot) && !self.slots.contains(slot),
            _ => false,
        }
    }

    /// Slots of a subject in the record that the wishes amount to.
    pub(super) fn planned(&self, subject: &QuotaSubject) -> u32 {
        let kept = self
            .base()
            .iter()
            .filter(|slot| !self.removals.contains(slot));
        let added = self
            .additions
            .iter()
            .filter(|slot| !self.base().contains(slot));
        count(kept.chain(added), subject)
    }

    /// The record that the wishes change.
    fn base(&self) -> &BTreeSet<Slot> {
        match &self.operation {
            Some(Operation::Write(written)) => written,
            _ => &self.slots,
        }
    }

    /// Slots of a subject in any record that may stand or come to stand.
    pub(super) fn bound(&self, subject: &QuotaSubject) -> u32 {
        let unsettled = self.unsettled.iter().map(|(_, slots)| slots);
        let written = self
            .operation
            .iter()
            .filter_map(|operation| match operation {
                Operation::Write(slots) => Some(slots),
                Operation::Read => None,
            });
        let possible = unsettled.chain(written).chain([&self.slots]);
        let most = possible.map(|slots| count(slots, subject)).max();
        most.unwrap_or(0).max(self.planned(subject))
    }

    fn planned_slots(&self) -> BTreeSet<Slot> {
        let kept = self
            .base()
            .iter()
            .filter(|slot| !self.removals.contains(slot));
        kept.chain(&self.additions).cloned().collect()
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
        let planned = self.planned_slots();
        let due = !self.fenced || !self.unsettled.is_empty() || planned != self.slots;
        if due && may_record {
            self.begun += 1;
            self.operation = Some(Operation::Write(planned.clone()));
            let record = ZonePlacement {
                term: self.term,
                slots: planned.into_iter().collect(),
            };
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
        self.revision = Some(revision);
        self.slots = placement.slots.into_iter().collect();
        if placement.term == self.term {
            self.confirmed = self.begun;
            return self.fence();
        }
        PlacementChange::None
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
                self.slots = written;
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
        self.slots.iter().filter(move |slot| slot.runner == *runner)
    }
}
