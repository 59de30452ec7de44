//! Long-running reads of the platform: the configuration, the quotas and the machine list.
//!
//! Only the two first-ranked daemons of a zone run them, since the object API and the machine list
//! bear few readers; the other daemons learn from these two.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use flaxward_backends::{
    Collection, MachineList, Object, ObjectApi, ObjectList, StoreError, WatchEvent,
};
use flaxward_control::coordinator::CoordinatorEvent;
use flaxward_control::node::NodeEvent;
use flaxward_settings::logs::{state_change, state_change_at};
use flaxward_types::records::Quota;
use flaxward_types::{ConfigurationItem, ItemKey, Revision};
use flaxward_wire::{ConfigurationChange, ConfigurationDelta, ConfigurationSnapshot};
use futures::StreamExt;
use spdlog::Level;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::event::CoreEvent;
use super::store_driver::decode;

/// Pause before a broken watch is set up again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Watches the configuration while `reading` is true, until stopped.
pub async fn watch_configuration(
    store: Arc<dyn ObjectApi>,
    events: UnboundedSender<CoreEvent>,
    reading: watch::Receiver<bool>,
    relist: Arc<Notify>,
    stop: CancellationToken,
) {
    let seen = AtomicU64::new(0);
    let listed = |list: ObjectList| {
        seen.store(list.revision.0, Ordering::Relaxed);
        let _ = events.send(NodeEvent::Listed(snapshot(list)).into());
    };
    let changed = |event: WatchEvent| {
        let (changes, to) = configuration_changes(event);
        let from = Revision(seen.swap(to.0, Ordering::Relaxed));
        let delta = ConfigurationDelta { from, to, changes };
        let _ = events.send(NodeEvent::Watched(delta).into());
    };
    follow(
        store,
        Collection::Configurations,
        reading,
        relist,
        stop,
        listed,
        changed,
    )
    .await;
}

/// Watches the quotas while `reading` is true, until stopped.
pub async fn watch_quotas(
    store: Arc<dyn ObjectApi>,
    events: UnboundedSender<CoreEvent>,
    reading: watch::Receiver<bool>,
    stop: CancellationToken,
) {
    let tell = |object: Object| {
        if let Ok((revision, quota)) = decode::<Quota>(object) {
            let event = CoordinatorEvent::QuotaChanged(revision, quota);
            let _ = events.send(event.into());
        }
    };
    let listed = |list: ObjectList| list.items.into_iter().for_each(&tell);
    let changed = |event: WatchEvent| {
        if let WatchEvent::Put(object) = event {
            tell(object);
        }
    };
    let relist = Arc::new(Notify::new());
    follow(
        store,
        Collection::Quotas,
        reading,
        relist,
        stop,
        listed,
        changed,
    )
    .await;
}

/// Reads the machine list every `interval` while `reading` is true, until stopped.
pub async fn watch_machines(
    list: Arc<dyn MachineList>,
    interval: Duration,
    events: UnboundedSender<CoreEvent>,
    reading: watch::Receiver<bool>,
    stop: CancellationToken,
) {
    let mut failing = false;
    while wait_until_reading(reading.clone(), &stop).await {
        match list.machines().await {
            Ok(machines) => {
                log_recovery(&mut failing, "machine-list");
                let _ = events.send(NodeEvent::Machines(machines).into());
            }
            Err(error) => log_failure(&mut failing, "machine-list", &error.to_string()),
        }
        pause(interval, &stop).await;
    }
}

/// Lists and watches one collection again and again, so that nothing between both is missed.
async fn follow(
    store: Arc<dyn ObjectApi>,
    collection: Collection,
    reading: watch::Receiver<bool>,
    relist: Arc<Notify>,
    stop: CancellationToken,
    mut listed: impl FnMut(ObjectList),
    mut changed: impl FnMut(WatchEvent),
) {
    let mut failing = false;
    while wait_until_reading(reading.clone(), &stop).await {
        let followed = tokio::select! {
            followed = follow_once(&*store, collection, &mut listed, &mut changed) => followed,
            () = wait_until_idle(reading.clone()) => Ok(()),
            () = relist.notified() => Ok(()),
            () = stop.cancelled() => return,
        };
        match followed {
            Ok(()) => log_recovery(&mut failing, collection.plural()),
            Err(error) => log_failure(&mut failing, collection.plural(), &error.to_string()),
        }
        pause(RETRY_PAUSE, &stop).await;
    }
}

async fn follow_once(
    store: &dyn ObjectApi,
    collection: Collection,
    listed: &mut impl FnMut(ObjectList),
    changed: &mut impl FnMut(WatchEvent),
) -> Result<(), StoreError> {
    let list = store.list(collection).await?;
    let from = list.revision;
    listed(list);
    let mut events = store.watch(collection, from).await?;
    while let Some(event) = events.next().await {
        changed(event?);
    }
    Ok(())
}

/// Waits until reading is wanted; false when the daemon stops.
async fn wait_until_reading(mut reading: watch::Receiver<bool>, stop: &CancellationToken) -> bool {
    tokio::select! {
        wanted = reading.wait_for(|wanted| *wanted) => wanted.is_ok(),
        () = stop.cancelled() => false,
    }
}

async fn wait_until_idle(mut reading: watch::Receiver<bool>) {
    let _ = reading.wait_for(|wanted| !*wanted).await;
}

async fn pause(duration: Duration, stop: &CancellationToken) {
    tokio::select! {
        () = tokio::time::sleep(duration) => {}
        () = stop.cancelled() => {}
    }
}

fn log_failure(failing: &mut bool, what: &str, error: &str) {
    if !*failing {
        state_change_at(
            Level::Warn,
            "read-failing",
            &[("what", &what), ("error", &error)],
        );
    }
    *failing = true;
}

fn log_recovery(failing: &mut bool, what: &str) {
    if *failing {
        state_change("read-recovered", &[("what", &what)]);
    }
    *failing = false;
}

fn snapshot(list: ObjectList) -> ConfigurationSnapshot {
    let items = list
        .items
        .into_iter()
        .filter_map(|object| {
            let (key, item) = configuration_item(&object)?;
            Some((key, object.version, item))
        })
        .collect();
    ConfigurationSnapshot {
        revision: list.revision,
        items,
    }
}

fn configuration_changes(event: WatchEvent) -> (Vec<ConfigurationChange>, Revision) {
    match event {
        WatchEvent::Put(object) => {
            let revision = object.version;
            let change = configuration_item(&object).map(|(key, item)| ConfigurationChange {
                revision,
                key,
                item: Some(item),
            });
            (change.into_iter().collect(), revision)
        }
        WatchEvent::Deleted { name, revision } => {
            let change = name.parse::<ItemKey>().ok().map(|key| ConfigurationChange {
                revision,
                key,
                item: None,
            });
            (change.into_iter().collect(), revision)
        }
        WatchEvent::Bookmark(revision) => (Vec::new(), revision),
    }
}

/// Reads an item; one that cannot be read is left out and named in the log, so that a single bad
/// object stops no other change.
fn configuration_item(object: &Object) -> Option<(ItemKey, ConfigurationItem)> {
    let key = object.name.parse::<ItemKey>();
    let item = serde_json::from_value::<ConfigurationItem>(object.body.clone());
    match (key, item) {
        (Ok(key), Ok(item)) if key.kind() == item.kind() => Some((key, item)),
        _ => {
            state_change_at(Level::Error, "unreadable-item", &[("name", &object.name)]);
            None
        }
    }
}
