//! Writes the counters of this process to its log, now and then.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_settings::logs::CountersLine;
use metrics_exporter_prometheus::PrometheusHandle;
use prometheus_parse::{Scrape, Value};

/// Writes a line with the counters that have changed, every `interval`. Ends when it is dropped.
pub async fn write_counters(metrics: PrometheusHandle, interval: Duration) {
    let mut line = CountersLine::default();
    let mut ticks = tokio::time::interval(interval);
    loop {
        ticks.tick().await;
        metrics.run_upkeep();
        line.write(&totals(&metrics.render()));
    }
}

/// The counters of a page in the Prometheus text format, those of one name added up over their
/// labels.
pub fn totals(page: &str) -> Vec<(String, u64)> {
    let lines = page.lines().map(|line| Ok(line.to_owned()));
    let Ok(scrape) = Scrape::parse(lines) else {
        return Vec::new();
    };
    let mut totals: BTreeMap<String, u64> = BTreeMap::new();
    for sample in scrape.samples {
        if let Value::Counter(value) = sample.value {
            *totals.entry(sample.metric).or_default() += whole(value);
        }
    }
    totals.into_iter().collect()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counters are whole numbers that never fall below zero"
)]
fn whole(value: f64) -> u64 {
    value as u64
}
