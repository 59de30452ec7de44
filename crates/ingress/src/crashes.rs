//! Which request was at a runner when it crashed, and which requests are in quarantine for that.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::fingerprint::RequestFingerprint;
use flaxward_routing::names::RunnerId;
use flaxward_routing::quarantine::{QuarantineEntry, Recorded, RunOutcome, RunReport};
use flaxward_routing::runners::Runner;
use tokio::time::timeout;

use crate::counters::{REQUESTS_QUARANTINED, RUNNER_CRASHES};
use crate::exchange::ClientRequest;
use crate::state::Shared;

/// Time for which a request that broke off waits for the answer whether its runner has crashed, before it is sent to
/// another one. A port at which nothing listens answers within the latency of the network.
const CHECK_WAIT: Duration = Duration::from_millis(30);

/// Finds out whether a runner has crashed under a request that has just begun there and broke off, and counts it. A
/// runner that only breaks connections still listens; one that leaves as planned may end with its last requests.
pub(crate) async fn note_break(shared: &Arc<Shared>, request: &ClientRequest, runner: &Runner) {
    if shared.settings.quarantine.crashes == 0 || is_leaving(shared, &runner.id) {
        return;
    }
    let report = RunReport {
        fingerprint: request.fingerprint(),
        outcome: RunOutcome::Crashed(runner.id.clone()),
    };
    let (id, address) = (request.profile.id.clone(), runner.address);
    let runner = runner.id.clone();
    let shared = shared.clone();
    let check = tokio::spawn(async move {
        if shared.pool.is_refused(address).await {
            shared.log_crash(&report, &runner, &id);
            shared.report_run(report);
        }
    });
    // The check goes on in the background if it takes longer.
    let _ = timeout(CHECK_WAIT, check).await;
}

/// Whether a runner drains or is no longer listed.
fn is_leaving(shared: &Shared, runner: &RunnerId) -> bool {
    let tables = shared.tables();
    tables.runners.get(runner).is_none_or(|it| it.draining)
}

/// Waits until a request is in quarantine.
pub(crate) async fn until_quarantined(shared: &Shared, request: &ClientRequest) {
    let mut changes = shared.quarantine_changes.subscribe();
    while shared.quarantined_for(request).is_none() {
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

impl Shared {
    /// Time for which a request is still in quarantine; `None` if it is in none.
    pub(crate) fn quarantined_for(&self, request: &ClientRequest) -> Option<Duration> {
        if self.tables().quarantine.is_empty() {
            return None;
        }
        let fingerprint = request.fingerprint();
        self.tables().quarantine.remaining(&fingerprint, self.now())
    }

    /// A runner has answered a request whole. If runners have crashed under it, they did so for another reason.
    pub(crate) fn note_completed(&self, request: &ClientRequest) {
        if self.tables().quarantine.is_empty() {
            return;
        }
        let report = RunReport {
            fingerprint: request.fingerprint(),
            outcome: RunOutcome::Completed,
        };
        self.report_run(report);
    }

    fn log_crash(&self, report: &RunReport, runner: &RunnerId, request: &str) {
        metrics::counter!(RUNNER_CRASHES.name).increment(1);
        let fields: &[(&str, &dyn Display)] = &[
            ("runner", runner),
            ("request", &request),
            ("fingerprint", &report.fingerprint),
        ];
        self.log.write(self.now(), "runner-crashed", fields);
    }

    /// Takes in a run of this daemon, and has the keepers told if it says something new.
    fn report_run(&self, report: RunReport) {
        if self.record_run(&report) == Recorded::Unchanged {
            return;
        }
        if let Ok(mut reports) = self.run_reports.lock() {
            reports.push(report);
        }
        self.run_reported.notify_one();
    }

    /// The runs of which the keepers are to be told since the last call.
    pub(crate) fn take_run_reports(&self) -> Vec<RunReport> {
        let reports = self.run_reports.lock();
        reports
            .map(|mut reports| std::mem::take(&mut *reports))
            .unwrap_or_default()
    }

    /// Takes in a run of some daemon.
    pub(crate) fn record_run(&self, report: &RunReport) -> Recorded {
        let now = self.now();
        let recorded = self.tables().quarantine.record(report, now);
        match recorded {
            Recorded::Quarantined => self.note_quarantined(&[report.fingerprint], "crashes"),
            Recorded::Cleared => {
                let fields: &[(&str, &dyn Display)] = &[("fingerprint", &report.fingerprint)];
                self.log.write(now, "request-cleared", fields);
            }
            Recorded::Unchanged | Recorded::Counted(_) => {}
        }
        recorded
    }

    /// Takes in what others hold in quarantine; `source` tells who, for the log.
    pub(crate) fn take_quarantine(&self, entries: &[QuarantineEntry], source: &str) {
        let now = self.now();
        let news = self.tables().quarantine.merge(entries, now);
        self.note_quarantined(&news, source);
    }

    fn note_quarantined(&self, fingerprints: &[RequestFingerprint], source: &str) {
        if fingerprints.is_empty() {
            return;
        }
        for fingerprint in fingerprints {
            metrics::counter!(REQUESTS_QUARANTINED.name).increment(1);
            let fields: &[(&str, &dyn Display)] =
                &[("fingerprint", fingerprint), ("told_by", &source)];
            self.log.write(self.now(), "request-quarantined", fields);
        }
        self.quarantine_changes.send_modify(|changes| *changes += 1);
    }
}
