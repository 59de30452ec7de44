//! The counters in the log, and the page of metrics.

use std::path::Path;

use flaxward::counters::totals;
use flaxward::metrics_page;
use flaxward_types::{Metric, MetricKind};

#[test]
fn counters_of_one_name_are_added_up_and_nothing_else_is_taken() {
    let page = "# TYPE flaxward_gateway_refused_total counter\n\
                flaxward_gateway_refused_total{code=\"2001\"} 3\n\
                flaxward_gateway_refused_total{code=\"2002\"} 4\n\
                # TYPE flaxward_gateway_waiting gauge\n\
                flaxward_gateway_waiting 9\n";
    assert_eq!(
        totals(page),
        [("flaxward_gateway_refused_total".to_owned(), 7)]
    );
}

fn row(metric: Metric) -> String {
    let Metric { name, kind, help } = metric;
    format!("| `{name}` | {} | {help} |", kind.label())
}

/// Every metric has its row in `docs/METRICS.md`, and every row its metric.
#[test]
fn the_page_shows_the_metrics_in_force() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
    let text = std::fs::read_to_string(page).expect("the page exists");
    let rows: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let expected: Vec<String> = metrics_page::all().map(row).collect();
    assert_eq!(rows, expected, "expected rows:\n{}", expected.join("\n"));
}

#[test]
fn counters_and_only_counters_end_in_total() {
    for metric in metrics_page::all() {
        let is_counter = metric.kind == MetricKind::Counter;
        assert_eq!(metric.name.ends_with("_total"), is_counter, "{metric:?}");
        assert!(metric.name.starts_with("flaxward_"), "{metric:?}");
    }
}
