//! Load reports that lag.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use flaxward_types::engine::LoadReport;
use flaxward_types::time::millis;

/// Reports of the past, up to the lag.
#[derive(Debug)]
pub(crate) struct LoadHistory {
    lag: Duration,
    reports: VecDeque<(Instant, LoadReport)>,
}

impl LoadHistory {
    /// A history that shows reports so late.
    pub(crate) fn new(lag: Duration) -> Self {
        Self {
            lag,
            reports: VecDeque::new(),
        }
    }

    /// Notes the load of now.
    pub(crate) fn note(&mut self, report: LoadReport) {
        self.reports.push_back((Instant::now(), report));
        self.drop_old();
    }

    /// The load as it was one lag ago.
    pub(crate) fn shown(&mut self) -> LoadReport {
        self.drop_old();
        let age_ms = millis(self.lag);
        match self.reports.front() {
            Some((since, report)) if since.elapsed() >= self.lag => LoadReport {
                age_ms,
                ..report.clone()
            },
            _ => LoadReport {
                age_ms,
                ..LoadReport::default()
            },
        }
    }

    fn drop_old(&mut self) {
        let lag = self.lag;
        while self
            .reports
            .get(1)
            .is_some_and(|(since, _)| since.elapsed() >= lag)
        {
            self.reports.pop_front();
        }
    }
}
