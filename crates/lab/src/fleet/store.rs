//! A hollow object API: compare-and-swap on records, the configuration, and what watches see.

use std::collections::BTreeMap;

use flaxward_control::coordinator::{CoordinatorAction, CoordinatorEvent, StoreFault};
use flaxward_types::records::{Quota, QuotaSubject, ZoneLease, ZonePlacement};
use flaxward_types::{ConfigurationItem, ItemKey, Revision, ZoneName};
use flaxward_wire::{ConfigurationChange, ConfigurationSnapshot};

use super::catalogue::{Catalogue, Records};
use super::http;
use super::network::WireBytes;

/// A record with its version.
type Versioned<Record> = (Revision, Record);

/// All objects.
#[derive(Debug, Default)]
pub struct HollowStore {
    revision: u64,
    leases: BTreeMap<ZoneName, Versioned<ZoneLease>>,
    placements: BTreeMap<ZoneName, Versioned<ZonePlacement>>,
    quotas: BTreeMap<QuotaSubject, Versioned<Quota>>,
    items: BTreeMap<ItemKey, Versioned<ConfigurationItem>>,
    /// Length of a list of all quotas.
    quota_list: u64,
    /// Length of a list of the configuration.
    item_list: u64,
}

/// What an operation of a coordinator gave.
#[derive(Debug)]
pub struct Outcome {
    /// The event for the coordinator, if there is one.
    pub event: Option<CoordinatorEvent>,
    /// What the call cost the caller.
    pub bytes: WireBytes,
    /// A quota that was written, for those who watch.
    pub written: Option<Versioned<Quota>>,
}

impl HollowStore {
    /// A store with everything that a fleet has after a long time of running.
    pub fn new(catalogue: &Catalogue, records: &Records) -> Self {
        let mut store = Self::default();
        for (key, item) in &catalogue.items {
            store.put_item(key.clone(), Some(item.clone()));
        }
        for quota in &records.quotas {
            let revision = store.next();
            store.quota_list += quota_length(quota);
            let subject = quota.subject.clone();
            store.quotas.insert(subject, (revision, quota.clone()));
        }
        for (zone, placement) in &records.placements {
            let revision = store.next();
            let record = (revision, placement.clone());
            store.placements.insert(zone.clone(), record);
        }
        store
    }

    /// The latest revision.
    pub fn revision(&self) -> Revision {
        Revision(self.revision)
    }

    /// The configuration at the latest revision.
    pub fn snapshot(&self) -> ConfigurationSnapshot {
        let items = self.items.iter();
        ConfigurationSnapshot {
            revision: self.revision(),
            items: items
                .map(|(key, (revision, item))| (key.clone(), *revision, item.clone()))
                .collect(),
        }
    }

    /// Every quota.
    pub fn quotas(&self) -> Vec<Versioned<Quota>> {
        self.quotas.values().cloned().collect()
    }

    /// What a list of the configuration costs the reader.
    pub fn item_list_bytes(&self) -> WireBytes {
        http::call(0, self.item_list)
    }

    /// What a list of the quotas costs the reader.
    pub fn quota_list_bytes(&self) -> WireBytes {
        http::call(0, self.quota_list)
    }

    /// An operator puts or removes an item. Returns the change as watches see it.
    pub fn put_item(
        &mut self,
        key: ItemKey,
        item: Option<ConfigurationItem>,
    ) -> ConfigurationChange {
        let revision = self.next();
        if let Some((_, old)) = self.items.get(&key) {
            self.item_list -= http::document_length(&key.to_string(), old);
        }
        match &item {
            Some(new) => {
                self.item_list += http::document_length(&key.to_string(), new);
                self.items.insert(key.clone(), (revision, new.clone()));
            }
            None => {
                self.items.remove(&key);
            }
        }
        ConfigurationChange {
            revision,
            key,
            item,
        }
    }

    /// One item.
    pub fn item(&self, key: &ItemKey) -> Option<&ConfigurationItem> {
        self.items.get(key).map(|(_, item)| item)
    }

    /// Carries out an operation for the coordinator of a zone.
    pub fn carry_out(&mut self, zone: &ZoneName, action: &CoordinatorAction) -> Outcome {
        match action.clone() {
            CoordinatorAction::ReadLease => {
                let read = self.leases.get(zone).cloned();
                let bytes = read_bytes(zone.as_str(), read.as_ref());
                plain(CoordinatorEvent::LeaseRead(Ok(read)), bytes)
            }
            CoordinatorAction::ReadPlacement => {
                let read = self.placements.get(zone).cloned();
                let bytes = read_bytes(zone.as_str(), read.as_ref());
                plain(CoordinatorEvent::PlacementRead(Ok(read)), bytes)
            }
            CoordinatorAction::ReadQuotas => {
                let event = CoordinatorEvent::QuotasRead(Ok(self.quotas()));
                plain(event, self.quota_list_bytes())
            }
            CoordinatorAction::ReadQuota(subject) => {
                let read = self.quotas.get(&subject).cloned();
                let bytes = read_bytes("model.quota", read.as_ref());
                let event =
                    read.map(|(revision, quota)| CoordinatorEvent::QuotaChanged(revision, quota));
                Outcome {
                    event,
                    bytes,
                    written: None,
                }
            }
            CoordinatorAction::WriteLease(expected, lease) => {
                let length = http::document_length(zone.as_str(), &lease);
                let result = swap(&mut self.leases, &mut self.revision, zone, expected, lease);
                plain(
                    CoordinatorEvent::LeaseWritten(result),
                    http::call(length, length),
                )
            }
            CoordinatorAction::WritePlacement(expected, placement) => {
                let length = http::document_length(zone.as_str(), &placement);
                let records = &mut self.placements;
                let result = swap(records, &mut self.revision, zone, expected, placement);
                let event = CoordinatorEvent::PlacementWritten(result);
                plain(event, http::call(length, length))
            }
            CoordinatorAction::WriteQuota(expected, quota) => self.write_quota(expected, quota),
            other => unreachable!("{other:?} is no operation of the store"),
        }
    }

    fn write_quota(&mut self, expected: Option<Revision>, quota: Quota) -> Outcome {
        let subject = quota.subject.clone();
        let length = quota_length(&quota);
        let before = self.quotas.get(&subject);
        let replaced = before.map_or(0, |(_, old)| quota_length(old));
        let written = quota.clone();
        let records = &mut self.quotas;
        let result = swap(records, &mut self.revision, &subject, expected, quota);
        if result.is_ok() {
            self.quota_list = self.quota_list + length - replaced;
        }
        Outcome {
            written: result.ok().map(|revision| (revision, written)),
            event: Some(CoordinatorEvent::QuotaWritten(subject, result)),
            bytes: http::call(length, length),
        }
    }

    fn next(&mut self) -> Revision {
        self.revision += 1;
        Revision(self.revision)
    }
}

/// The event that tells of an operation that was certainly not carried out; a single quota's read
/// has none.
pub fn failure(action: &CoordinatorAction) -> Option<CoordinatorEvent> {
    let fault = StoreFault::Unavailable;
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

/// Length of a quota's document.
pub fn quota_length(quota: &Quota) -> u64 {
    http::document_length("adapter.model:adapter", quota)
}

fn plain(event: CoordinatorEvent, bytes: WireBytes) -> Outcome {
    Outcome {
        event: Some(event),
        bytes,
        written: None,
    }
}

fn read_bytes<Record: serde::Serialize>(name: &str, read: Option<&Versioned<Record>>) -> WireBytes {
    let answer = read.map_or(100, |(_, record)| http::document_length(name, record));
    http::call(0, answer)
}

fn swap<Key: Ord + Clone, Record>(
    records: &mut BTreeMap<Key, Versioned<Record>>,
    last: &mut u64,
    key: &Key,
    expected: Option<Revision>,
    record: Record,
) -> Result<Revision, StoreFault> {
    if records.get(key).map(|(revision, _)| *revision) != expected {
        return Err(StoreFault::Conflict);
    }
    *last += 1;
    records.insert(key.clone(), (Revision(*last), record));
    Ok(Revision(*last))
}
