//! The part of the object API that coordinators use: compare-and-swap on three kinds of records.

use std::collections::BTreeMap;

use flaxward_control::coordinator::{CoordinatorAction, CoordinatorEvent, StoreFault};
use flaxward_types::records::{Quota, QuotaSubject, ZoneLease, ZonePlacement};
use flaxward_types::{Revision, ZoneName};

/// All records with their revisions.
#[derive(Default)]
pub struct Store {
    revision: u64,
    leases: BTreeMap<ZoneName, (Revision, ZoneLease)>,
    placements: BTreeMap<ZoneName, (Revision, ZonePlacement)>,
    quotas: BTreeMap<QuotaSubject, (Revision, Quota)>,
}

fn swap<K: Ord + Clone, V>(
    records: &mut BTreeMap<K, (Revision, V)>,
    next: &mut u64,
    key: &K,
    expected: Option<Revision>,
    value: V,
) -> Result<Revision, StoreFault> {
    if records.get(key).map(|(revision, _)| *revision) != expected {
        return Err(StoreFault::Conflict);
    }
    *next += 1;
    records.insert(key.clone(), (Revision(*next), value));
    Ok(Revision(*next))
}

impl Store {
    /// Executes an operation for a daemon of a zone.
    pub fn execute(&mut self, zone: &ZoneName, action: &CoordinatorAction) -> CoordinatorEvent {
        let next = &mut self.revision;
        match action.clone() {
            CoordinatorAction::ReadLease => {
                CoordinatorEvent::LeaseRead(Ok(self.leases.get(zone).cloned()))
            }
            CoordinatorAction::ReadPlacement => {
                CoordinatorEvent::PlacementRead(Ok(self.placements.get(zone).cloned()))
            }
            CoordinatorAction::ReadQuotas => {
                CoordinatorEvent::QuotasRead(Ok(self.quotas.values().cloned().collect()))
            }
            CoordinatorAction::WriteLease(expected, lease) => {
                CoordinatorEvent::LeaseWritten(swap(&mut self.leases, next, zone, expected, lease))
            }
            CoordinatorAction::WritePlacement(expected, placement) => {
                let result = swap(&mut self.placements, next, zone, expected, placement);
                CoordinatorEvent::PlacementWritten(result)
            }
            CoordinatorAction::WriteQuota(expected, quota) => {
                let subject = quota.subject.clone();
                let result = swap(&mut self.quotas, next, &subject, expected, quota);
                CoordinatorEvent::QuotaWritten(subject, result)
            }
            other => panic!("{other:?} is not a store operation"),
        }
    }

    /// The event that reports a failed operation; `None` for a read of a single quota, which is
    /// then not answered.
    pub fn failure(action: &CoordinatorAction, fault: StoreFault) -> Option<CoordinatorEvent> {
        Some(match action {
            CoordinatorAction::ReadLease => CoordinatorEvent::LeaseRead(Err(fault)),
            CoordinatorAction::ReadPlacement => CoordinatorEvent::PlacementRead(Err(fault)),
            CoordinatorAction::ReadQuotas => CoordinatorEvent::QuotasRead(Err(fault)),
            CoordinatorAction::WriteLease(..) => CoordinatorEvent::LeaseWritten(Err(fault)),
            CoordinatorAction::WritePlacement(..) => CoordinatorEvent::PlacementWritten(Err(fault)),
            CoordinatorAction::WriteQuota(_, quota) => {
                CoordinatorEvent::QuotaWritten(quota.subject.clone(), Err(fault))
            }
            _ => return None,
        })
    }

    pub fn quota(&self, subject: &QuotaSubject) -> Option<(Revision, Quota)> {
        self.quotas.get(subject).cloned()
    }

    pub fn quotas(&self) -> impl Iterator<Item = &(Revision, Quota)> {
        self.quotas.values()
    }

    pub fn placement(&self, zone: &ZoneName) -> Option<&ZonePlacement> {
        self.placements.get(zone).map(|(_, placement)| placement)
    }
}
