//! Carries out what the coordinator asks of the object API.
//!
//! The coordinator has at most one operation outstanding per record, so operations run as separate
//! tasks and each answer goes back as one event.

use std::fmt::Display;
use std::sync::Arc;

use flaxward_backends::{Collection, Object, ObjectApi, StoreError};
use flaxward_control::coordinator::{CoordinatorEvent, StoreFault};
use flaxward_settings::logs::state_change_at;
use flaxward_types::records::{Quota, QuotaSubject, ZoneLease, ZonePlacement};
use flaxward_types::{OperationId, Revision, ZoneName};
use serde::Serialize;
use serde::de::DeserializeOwned;
use spdlog::Level;
use tokio::sync::mpsc::UnboundedSender;

use super::counters::{self, StoreOperation};
use super::event::CoreEvent;

/// Runs the coordinator's operations on the object API of one zone.
#[derive(Clone)]
pub struct StoreDriver {
    store: Arc<dyn ObjectApi>,
    zone: ZoneName,
    events: UnboundedSender<CoreEvent>,
}

impl StoreDriver {
    /// Makes a driver whose answers go to `events`.
    pub fn new(
        store: Arc<dyn ObjectApi>,
        zone: ZoneName,
        events: UnboundedSender<CoreEvent>,
    ) -> Self {
        Self {
            store,
            zone,
            events,
        }
    }

    /// Reads the zone's lease.
    pub fn read_lease(&self) {
        self.spawn(|driver| async move {
            let name = driver.zone.to_string();
            CoordinatorEvent::LeaseRead(driver.read(Collection::Leases, &name).await)
        });
    }

    /// Writes the zone's lease.
    pub fn write_lease(&self, expected: Option<Revision>, lease: ZoneLease) {
        self.spawn(move |driver| async move {
            let name = driver.zone.to_string();
            let result = driver
                .write(Collection::Leases, &name, expected, &lease)
                .await;
            CoordinatorEvent::LeaseWritten(result)
        });
    }

    /// Reads the zone's slots.
    pub fn read_placement(&self) {
        self.spawn(|driver| async move {
            let name = driver.zone.to_string();
            CoordinatorEvent::PlacementRead(driver.read(Collection::Placements, &name).await)
        });
    }

    /// Writes the zone's slots.
    pub fn write_placement(&self, expected: Option<Revision>, placement: ZonePlacement) {
        self.spawn(move |driver| async move {
            let name = driver.zone.to_string();
            let result = driver
                .write(Collection::Placements, &name, expected, &placement)
                .await;
            CoordinatorEvent::PlacementWritten(result)
        });
    }

    /// Reads all quotas.
    pub fn read_quotas(&self) {
        self.spawn(|driver| async move {
            let quotas = driver.store.list(Collection::Quotas).await;
            let quotas = quotas.map_err(|error| read_fault(&error)).and_then(|list| {
                list.items
                    .into_iter()
                    .map(decode::<Quota>)
                    .collect::<Result<Vec<_>, _>>()
            });
            counters::stored(StoreOperation::Read, &quotas);
            CoordinatorEvent::QuotasRead(quotas)
        });
    }

    /// Reads one quota again. A quota that does not exist or cannot be read gives no event; the
    /// coordinator asks again.
    pub fn read_quota(&self, subject: &QuotaSubject) {
        let name = quota_name(subject);
        let driver = self.clone();
        tokio::spawn(async move {
            if let Ok(Some((revision, quota))) = driver.read(Collection::Quotas, &name).await {
                driver.report(CoordinatorEvent::QuotaChanged(revision, quota));
            }
        });
    }

    /// Writes a quota.
    pub fn write_quota(&self, expected: Option<Revision>, quota: Quota) {
        self.spawn(move |driver| async move {
            let name = quota_name(&quota.subject);
            let result = driver
                .write(Collection::Quotas, &name, expected, &quota)
                .await;
            CoordinatorEvent::QuotaWritten(quota.subject, result)
        });
    }

    fn spawn<Operation, Running>(&self, operation: Operation)
    where
        Operation: FnOnce(Self) -> Running,
        Running: Future<Output = CoordinatorEvent> + Send + 'static,
    {
        let driver = self.clone();
        let running = operation(self.clone());
        tokio::spawn(async move { driver.report(running.await) });
    }

    fn report(&self, event: CoordinatorEvent) {
        // The core is gone only when the daemon exits, and then nobody needs the answer.
        let _ = self.events.send(event.into());
    }

    async fn read<Record: DeserializeOwned>(
        &self,
        collection: Collection,
        name: &str,
    ) -> Result<Option<(Revision, Record)>, StoreFault> {
        let record = match self.store.get(collection, name).await {
            Ok(object) => decode(object).map(Some),
            Err(StoreError::NotFound) => Ok(None),
            Err(error) => Err(read_fault(&error)),
        };
        counters::stored(StoreOperation::Read, &record);
        record
    }

    async fn write<Record: Serialize>(
        &self,
        collection: Collection,
        name: &str,
        expected: Option<Revision>,
        record: &Record,
    ) -> Result<Revision, StoreFault> {
        let body = serde_json::to_value(record).map_err(|_| StoreFault::Unavailable)?;
        let operation = OperationId(rand::random());
        let written = match expected {
            Some(version) => {
                self.store
                    .replace(collection, name, version, operation, body)
                    .await
            }
            None => self.store.create(collection, name, operation, body).await,
        };
        let version = written
            .map(|object| object.version)
            .map_err(|error| write_fault(&error));
        counters::stored(StoreOperation::Write, &version);
        version
    }
}

/// Name of a quota's record.
pub fn quota_name(subject: &QuotaSubject) -> String {
    match subject {
        QuotaSubject::Model(model) => format!("model.{model}"),
        QuotaSubject::Adapter(model, adapter) => format!("adapter.{model}:{adapter}"),
        QuotaSubject::WeightStore => "weight-store".to_owned(),
    }
}

/// Reads a record out of an object. A record that cannot be read counts as an outage of the store:
/// deciding without it would be a guess.
pub fn decode<Record: DeserializeOwned>(object: Object) -> Result<(Revision, Record), StoreFault> {
    match serde_json::from_value(object.body) {
        Ok(record) => Ok((object.version, record)),
        Err(error) => {
            let fields: [(&str, &dyn Display); 2] = [("name", &object.name), ("error", &error)];
            state_change_at(Level::Error, "unreadable-record", &fields);
            Err(StoreFault::Unavailable)
        }
    }
}

fn read_fault(error: &StoreError) -> StoreFault {
    match error {
        StoreError::Conflict(_) | StoreError::Exists(_) => StoreFault::Conflict,
        StoreError::OutcomeUnknown(_) => StoreFault::Unknown,
        StoreError::NotFound | StoreError::Compacted | StoreError::Unavailable(_) => {
            StoreFault::Unavailable
        }
    }
}

/// As [`read_fault`], but an object that has vanished has changed.
fn write_fault(error: &StoreError) -> StoreFault {
    match error {
        StoreError::NotFound => StoreFault::Conflict,
        other => read_fault(other),
    }
}
