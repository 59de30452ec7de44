//! Removes expired claims from the object API while this daemon coordinates its zone.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use flaxward_backends::{Collection, Object, ObjectApi, Selection, StoreError};
use flaxward_control::claims::{
    FoundClaim, REMOVAL_GROUP_FIELD, Removal, RemovalAction, RemovalGroup, RemovalSettings,
    Unavailable, shards_for_zone,
};
use flaxward_settings::DaemonSection;
use flaxward_types::Revision;
use flaxward_types::records::Claim;
use tokio::sync::watch;

use super::counters;

/// Removes the expired claims of this zone's shards.
pub struct ClaimRemover {
    store: Arc<dyn ObjectApi>,
    settings: RemovalSettings,
    shards: Vec<u32>,
}

impl ClaimRemover {
    /// A remover for the zone of a daemon.
    pub fn new(
        store: Arc<dyn ObjectApi>,
        settings: RemovalSettings,
        daemon: &DaemonSection,
    ) -> Self {
        Self {
            store,
            settings,
            shards: shards_for_zone(&daemon.zone, &daemon.zones),
        }
    }

    /// Removes claims whenever this daemon is the coordinator. Ends when nobody tells that any more.
    pub async fn run(self, mut leading: watch::Receiver<bool>) {
        while leading.wait_for(|leading| *leading).await.is_ok() {
            let mut until = leading.clone();
            tokio::select! {
                () = self.remove() => {}
                _ = until.wait_for(|leading| !*leading) => {}
            }
        }
    }

    async fn remove(&self) {
        let mut removal = Removal::new(self.settings.clone(), self.shards.clone());
        let pause = Duration::from_secs(1) / self.settings.calls_per_second.max(1);
        loop {
            match removal.next(unix_seconds()) {
                RemovalAction::Wait(rest) => tokio::time::sleep(rest).await,
                RemovalAction::Select(group) => {
                    let found = self.select(group).await;
                    removal.selected(found, unix_seconds());
                }
                RemovalAction::Remove { name, version } => {
                    let removed = self.remove_one(&name, version).await;
                    removal.removed(removed, unix_seconds());
                }
            }
            tokio::time::sleep(pause).await;
        }
    }

    async fn select(&self, group: RemovalGroup) -> Result<Vec<FoundClaim>, Unavailable> {
        let selection = Selection {
            field: REMOVAL_GROUP_FIELD,
            value: group.to_string(),
            limit: self.settings.batch,
        };
        let selected = self.store.select(Collection::Claims, &selection).await;
        let objects = selected.map_err(|_| Unavailable)?;
        Ok(objects.into_iter().filter_map(found).collect())
    }

    /// Whether the claim is gone.
    async fn remove_one(&self, name: &str, version: Revision) -> Result<bool, Unavailable> {
        match self.store.delete(Collection::Claims, name, version).await {
            Ok(()) => {
                counters::claim_removed();
                Ok(true)
            }
            Err(StoreError::NotFound) => Ok(true),
            Err(StoreError::Conflict(_) | StoreError::Exists(_) | StoreError::Compacted) => {
                Ok(false)
            }
            Err(StoreError::Unavailable(_) | StoreError::OutcomeUnknown(_)) => Err(Unavailable),
        }
    }
}

/// A claim that can be read; others are left alone.
fn found(object: Object) -> Option<FoundClaim> {
    let claim = serde_json::from_value::<Claim>(object.body).ok()?;
    Some(FoundClaim {
        name: object.name,
        version: object.version,
        claim,
    })
}

fn unix_seconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_secs()
}
