//! Names of metrics, and what they tell.

/// How a metric behaves, in the terms of Prometheus.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// Only rises while the process lives.
    Counter,
    /// Rises and falls.
    Gauge,
    /// A distribution of observed values.
    Histogram,
}

impl MetricKind {
    /// The word used in the docs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        }
    }
}

/// One metric. Each crate defines its metrics beside the code that they count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// Its name; ends in `_total` for a counter and names the unit where there is one.
    pub name: &'static str,
    /// How it behaves.
    pub kind: MetricKind,
    /// What it tells, and its labels.
    pub help: &'static str,
}

impl Metric {
    /// A counter.
    pub const fn counter(name: &'static str, help: &'static str) -> Self {
        Self {
            name,
            kind: MetricKind::Counter,
            help,
        }
    }

    /// A gauge.
    pub const fn gauge(name: &'static str, help: &'static str) -> Self {
        Self {
            name,
            kind: MetricKind::Gauge,
            help,
        }
    }

    /// A distribution.
    pub const fn histogram(name: &'static str, help: &'static str) -> Self {
        Self {
            name,
            kind: MetricKind::Histogram,
            help,
        }
    }
}
