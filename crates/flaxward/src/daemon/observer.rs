//! Reads the runners that this daemon observes and reports them to the zone's coordinator.
//!
//! The runners of a zone are shared out among its members, so that no daemon reads them all.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use flaxward_control::node::NodeEvent;
use flaxward_platform::EngineApi;
use flaxward_types::RunnerName;
use flaxward_types::engine::{LoadReport, Machine};
use flaxward_wire::RunnerReport;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use super::event::CoreEvent;

/// Time between two reads of a runner.
const INTERVAL: Duration = Duration::from_secs(2);

/// Unchanged reports are sent again after this many reads, in case one was lost.
const REPEAT_AFTER: u32 = 5;

/// Reads the runners of the share again and again, until stopped.
pub async fn observe(
    engines: Arc<dyn EngineApi>,
    share: watch::Receiver<Vec<Machine>>,
    events: mpsc::UnboundedSender<CoreEvent>,
    stop: CancellationToken,
) {
    let mut last: BTreeMap<RunnerName, (LoadReport, u32)> = BTreeMap::new();
    let mut ticks = tokio::time::interval(INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = stop.cancelled() => return,
        }
        let machines = share.borrow().clone();
        last.retain(|runner, _| machines.iter().any(|machine| machine.name == *runner));
        let reads = machines.into_iter().map(|machine| read(&*engines, machine));
        let reports = futures::future::join_all(reads).await;
        let news: Vec<RunnerReport> = reports
            .into_iter()
            .flatten()
            .filter(|report| is_news(&mut last, report))
            .collect();
        if !news.is_empty() {
            let _ = events.send(NodeEvent::Observed(news).into());
        }
    }
}

async fn read(engines: &dyn EngineApi, machine: Machine) -> Option<RunnerReport> {
    let load = engines.load_report(&machine.address).await.ok()?;
    Some(RunnerReport {
        runner: machine.name,
        load,
        inventory: None,
    })
}

/// Whether the coordinator should hear of a report: when it has changed, and now and then.
fn is_news(last: &mut BTreeMap<RunnerName, (LoadReport, u32)>, report: &RunnerReport) -> bool {
    let load = LoadReport {
        age_ms: 0,
        ..report.load.clone()
    };
    let entry = last
        .entry(report.runner.clone())
        .or_insert((LoadReport::default(), 0));
    let is_news = entry.0 != load || entry.1 >= REPEAT_AFTER;
    *entry = (load, if is_news { 0 } else { entry.1 + 1 });
    is_news
}
