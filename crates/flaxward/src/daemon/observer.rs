//! Reads the runners that this daemon observes and reports their news to the zone's coordinator.
//!
//! [`Observer`] decides what is read when and what of it is news; this is its driver.

use std::sync::Arc;
use std::time::Duration;

use flaxward_control::node::NodeEvent;
use flaxward_control::observation::{Observer, Read, Reading};
use flaxward_platform::EngineApi;
use flaxward_types::Timestamp;
use flaxward_types::engine::Machine;
use flaxward_wire::RunnerReport;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::event::CoreEvent;

/// Longest time between two looks at what is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the runners of the share again and again, their inventories at this interval, until
/// stopped.
pub async fn observe(
    engines: Arc<dyn EngineApi>,
    mut share: watch::Receiver<Vec<Machine>>,
    inventory_interval: Duration,
    events: mpsc::UnboundedSender<CoreEvent>,
    stop: CancellationToken,
) {
    let started = Instant::now();
    let now = || Timestamp::ZERO + started.elapsed();
    let mut observer = Observer::new(inventory_interval);
    observer.set_share(share.borrow_and_update().clone());
    let mut ticks = tokio::time::interval(LOOK_INTERVAL.min(inventory_interval));
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = stop.cancelled() => return,
        }
        if share.has_changed().unwrap_or(false) {
            observer.set_share(share.borrow_and_update().clone());
        }
        let due = observer.due(now());
        let reads = due.iter().map(|read| read_runner(&*engines, read));
        let readings = futures::future::join_all(reads).await;
        let news: Vec<RunnerReport> = due
            .iter()
            .zip(readings)
            .filter_map(|(read, reading)| observer.take_in(read, reading, now()))
            .collect();
        if !news.is_empty() {
            let _ = events.send(NodeEvent::Observed(news).into());
        }
    }
}

async fn read_runner(engines: &dyn EngineApi, read: &Read) -> Reading {
    let address = &read.machine.address;
    let load = engines.load_report(address).await.ok();
    let inventory = if read.with_inventory && load.is_some() {
        engines.inventory(address).await.ok()
    } else {
        None
    };
    Reading { load, inventory }
}
