//! All metrics of a daemon: collected for `GET /metrics`, listed in `docs/METRICS.md`.

use anyhow::Context;
use flaxward_types::{Metric, MetricKind};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::daemon::counters as daemon;

/// Every metric of a daemon.
pub fn all() -> impl Iterator<Item = Metric> {
    let gateway = flaxward_gateway::METRICS.into_iter();
    let peers = flaxward_peers::counters::METRICS.into_iter();
    let own = gateway.chain(daemon::METRICS).chain(peers);
    own.chain(flaxward_ingress::METRICS)
}

/// Collects the metrics of this process from now on.
///
/// # Errors
/// Fails if something else collects them already.
pub fn install() -> anyhow::Result<PrometheusHandle> {
    let handle = PrometheusBuilder::new()
        .install_recorder()
        .context("metrics cannot be collected")?;
    all().for_each(describe);
    Ok(handle)
}

fn describe(metric: Metric) {
    match metric.kind {
        MetricKind::Counter => metrics::describe_counter!(metric.name, metric.help),
        MetricKind::Gauge => metrics::describe_gauge!(metric.name, metric.help),
        MetricKind::Histogram => metrics::describe_histogram!(metric.name, metric.help),
    }
}
