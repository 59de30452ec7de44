//! Reads the runners that this daemon observes and reports their news to the zone's coordinator.
//!
//! [`Observer`] decides what is read when and what of it is news; this is its driver.

use std::sync::Arc;
use std::time::Duration;

use flaxward_backends::EngineApi;
use flaxward_control::node::NodeEvent;
use flaxward_control::observation::{Observer, Read, Reading};
use flaxward_types::Timestamp;
use flaxward_types::engine::Machine;
use flaxward_wire::RunnerReport;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::event::CoreEvent;

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
    observer.set_runners(share.borrow_and_update().clone());
    loop {
        let pause = observer.next_due().map(|due| due.since(now()));
        tokio::select! {
            () = sleep_for(pause) => {}
            changed = share.changed() => {
                if changed.is_err() {
                    return;
                }
                observer.set_runners(share.borrow_and_update().clone());
            }
            () = stop.cancelled() => return,
        }
        let due = observer.due(now());
        let reads = due.iter().map(|read| read_runner(&*engines, read));
        let readings = futures::future::join_all(reads).await;
        let news: Vec<RunnerReport> = due
            .iter()
            .zip(readings)
            .filter_map(|(read, reading)| observer.record(read, reading))
            .collect();
        if !news.is_empty() {
            let _ = events.send(NodeEvent::Observed(news).into());
        }
    }
}

/// Sleeps, for ever without a duration.
async fn sleep_for(pause: Option<Duration>) {
    match pause {
        Some(pause) => tokio::time::sleep(pause).await,
        None => std::future::pending().await,
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
