//! Attributes crashes of runners to requests, and tracks quarantined requests.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::fingerprint::RequestFingerprint;
use flaxward_routing::names::RunnerId;
use flaxward_routing::quarantine::{
    BrokenRun, QuarantineEntry, Recorded, RunOutcome, RunReport, Suspects,
};
use flaxward_routing::runners::Runner;
use flaxward_types::time::Timestamp;
use tokio::time::timeout;

use crate::counters::{CRASHES_NOT_COUNTED, REQUESTS_QUARANTINED, RUNNER_CRASHES};
use crate::exchange::ClientRequest;
use crate::state::Shared;

/// Time for which a broken request waits for the crash check before it is sent to another runner. A
/// port without a listener refuses within one network round trip.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(30);

/// Checks whether a runner crashed under a request that had just started there and broke off, and
/// records it. A runner that only breaks connections still listens; a draining one may exit with
/// its last requests. The parts of its prompt are suspected with the request, whether an answer had begun or not.
pub(crate) async fn check_for_crash(
    shared: &Arc<Shared>,
    request: &ClientRequest,
    runner: &Runner,
    sent_at: Timestamp,
    has_begun: bool,
) {
    if shared.settings.quarantine.crashes == 0 || is_leaving(shared, &runner.id) {
        return;
    }
    let run = BrokenRun {
        sent_at,
        broken_at: shared.now(),
    };
    let suspects = request.suspects();
    let (id, address) = (request.profile.id.clone(), runner.address);
    let runner = runner.id.clone();
    let shared = shared.clone();
    let check = tokio::spawn(async move {
        if shared.is_refused(address).await {
            shared.record_down(&runner);
            shared.log_crash(&suspects, &runner, &id, has_begun);
            for report in suspects.crash_reports(&runner, run, shared.now()) {
                shared.report_run(report);
            }
        }
    });
    // The check continues in the background if it takes longer.
    let _ = timeout(CRASH_CHECK_TIMEOUT, check).await;
}

/// Checks whether a runner crashed that broke off a stream, without attributing the crash to the stream.
pub(crate) async fn check_whether_down(shared: &Arc<Shared>, runner: &Runner) {
    let (id, address) = (runner.id.clone(), runner.address);
    let shared = shared.clone();
    let check = tokio::spawn(async move {
        if shared.is_refused(address).await {
            shared.record_down(&id);
        }
    });
    // The check continues in the background if it takes longer.
    let _ = timeout(CRASH_CHECK_TIMEOUT, check).await;
}

fn join(parts: &[RequestFingerprint]) -> String {
    let parts: Vec<String> = parts.iter().map(ToString::to_string).collect();
    parts.join(",")
}

/// Whether a runner is draining or no longer listed.
fn is_leaving(shared: &Shared, runner: &RunnerId) -> bool {
    let tables = shared.tables();
    tables.runners.get(runner).is_none_or(|it| it.draining)
}

/// Waits until a request is quarantined.
pub(crate) async fn wait_until_quarantined(shared: &Shared, request: &ClientRequest) {
    let mut changes = shared.quarantine_changes.subscribe();
    while shared.quarantine_remaining(request).is_none() {
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

impl Shared {
    /// Remaining quarantine of a request or of a part of its prompt; `None` if neither is quarantined.
    pub(crate) fn quarantine_remaining(&self, request: &ClientRequest) -> Option<Duration> {
        let (_, remaining) = self.find_quarantined(request)?;
        Some(remaining)
    }

    /// The fingerprint of a request or of a part of its prompt that is quarantined, and for how long; of several, the
    /// one that is quarantined the longest.
    pub(crate) fn find_quarantined(
        &self,
        request: &ClientRequest,
    ) -> Option<(RequestFingerprint, Duration)> {
        if self.tables().quarantine.is_empty() {
            return None;
        }
        let suspects = request.suspects();
        let now = self.now();
        let tables = self.tables();
        let remaining = suspects.fingerprints().filter_map(|fingerprint| {
            let remaining = tables.quarantine.remaining(fingerprint, now)?;
            Some((*fingerprint, remaining))
        });
        remaining.max_by_key(|(_, remaining)| *remaining)
    }

    /// Records that a request is sent to a runner. Returns false if it must wait for the outcome of another one, because its
    /// quarantine has just ended.
    pub(crate) fn begin_run(&self, request: &ClientRequest) -> bool {
        if self.tables().quarantine.is_empty() {
            return true;
        }
        let suspects = request.suspects();
        let now = self.now();
        let mut tables = self.tables();
        suspects
            .fingerprints()
            .all(|it| tables.quarantine.begin_run(it, now))
    }

    /// Records that a runner has answered a request that was sent there at `sent_at`: earlier crashes under it, and under
    /// the parts of its prompt, had another cause.
    pub(crate) fn record_answered(&self, request: &ClientRequest, sent_at: Timestamp) {
        if self.tables().quarantine.is_empty() {
            return;
        }
        for fingerprint in request.suspects().fingerprints() {
            self.record_answer(*fingerprint, sent_at);
        }
    }

    /// Like [`Self::record_answered`] for an error of the runner, which may not have begun to process the prompt.
    pub(crate) fn record_error_answered(&self, request: &ClientRequest, sent_at: Timestamp) {
        if !self.tables().quarantine.is_empty() {
            self.record_answer(request.fingerprint(), sent_at);
        }
    }

    fn record_answer(&self, fingerprint: RequestFingerprint, sent_at: Timestamp) {
        let now = self.now();
        let mut tables = self.tables();
        let recorded = tables.quarantine.record_answer(fingerprint, sent_at, now);
        drop(tables);
        if recorded == Recorded::Cleared {
            self.log_cleared(&fingerprint, "answer");
        }
        if matches!(recorded, Recorded::Cleared | Recorded::Undecided) {
            self.queue_report(RunReport::answered(fingerprint, sent_at, now));
        }
    }

    /// Records that nothing listens at a runner's port. Requests wait for other runners to load what it held, and the
    /// coordinator is told, which otherwise counts its copies until its entry has expired.
    pub(crate) fn record_down(&self, runner: &RunnerId) {
        let now = self.now();
        if !self.tables().notices.record_down(runner, now) {
            return;
        }
        let fields: &[(&str, &dyn Display)] = &[("runner", runner)];
        self.log.write(now, "runner-down", fields);
        if let Ok(mut unsent) = self.unsent_down.lock() {
            unsent.insert(runner.clone());
        }
        self.keeper_wake.notify_one();
        self.changed.notify_waiters();
    }

    fn log_crash(&self, suspects: &Suspects, runner: &RunnerId, request: &str, has_begun: bool) {
        metrics::counter!(RUNNER_CRASHES.name).increment(1);
        let fields: &[(&str, &dyn Display)] = &[
            ("runner", runner),
            ("request", &request),
            ("fingerprint", &suspects.request()),
            ("parts", &join(suspects.parts())),
            ("combination", &join(suspects.combination().as_slice())),
            ("begun", &has_begun),
        ];
        self.log.write(self.now(), "runner-crashed", fields);
    }

    /// Logs why a crash that this daemon has observed does not count towards a quarantine.
    fn log_not_counted(&self, fingerprint: &RequestFingerprint, runner: &RunnerId) {
        let now = self.now();
        let tables = self.tables();
        let reason = if tables.quarantine.remaining(fingerprint, now).is_some() {
            "quarantined"
        } else {
            "counted-or-explained"
        };
        drop(tables);
        metrics::counter!(CRASHES_NOT_COUNTED.name, "reason" => reason).increment(1);
        let fields: &[(&str, &dyn Display)] = &[
            ("fingerprint", fingerprint),
            ("runner", runner),
            ("reason", &reason),
        ];
        self.log.write(now, "crash-not-counted", fields);
    }

    /// Records a run of this daemon, and queues it for the keepers if it changes their state.
    fn report_run(&self, report: RunReport) {
        let recorded = self.record_run(&report);
        if matches!(recorded, Recorded::Unchanged | Recorded::Detail)
            && let RunOutcome::Crashed(runner) = &report.outcome
        {
            self.log_not_counted(&report.fingerprint, runner);
        }
        // The keepers need all suspects of a crash, also those that are in quarantine.
        if recorded != Recorded::Unchanged {
            self.queue_report(report);
        }
    }

    fn queue_report(&self, report: RunReport) {
        if let Ok(mut reports) = self.run_reports.lock() {
            reports.push(report);
        }
        self.run_reported.notify_one();
    }

    /// Takes the run reports queued for the keepers since the last call.
    pub(crate) fn take_run_reports(&self) -> Vec<RunReport> {
        let reports = self.run_reports.lock();
        reports
            .map(|mut reports| std::mem::take(&mut *reports))
            .unwrap_or_default()
    }

    /// Records a run of any daemon.
    pub(crate) fn record_run(&self, report: &RunReport) -> Recorded {
        let now = self.now();
        let mut tables = self.tables();
        let recorded = tables.quarantine.record(report, now);
        let explained_away = tables.quarantine.take_explained_away();
        drop(tables);
        for fingerprint in &explained_away {
            self.log_cleared(fingerprint, "explained");
        }
        match recorded {
            Recorded::Quarantined => self.log_quarantined(&[report.fingerprint], "crashes"),
            Recorded::Cleared => self.log_cleared(&report.fingerprint, "answer"),
            Recorded::Unchanged | Recorded::Detail | Recorded::Counted(_) | Recorded::Undecided => {
            }
        }
        recorded
    }

    /// Merges quarantine entries of others; `source` is logged.
    pub(crate) fn merge_quarantine(&self, entries: &[QuarantineEntry], source: &str) {
        let now = self.now();
        let mut tables = self.tables();
        let added = tables.quarantine.merge(entries, now);
        drop(tables);
        self.log_quarantined(&added, source);
    }

    fn log_cleared(&self, fingerprint: &RequestFingerprint, reason: &str) {
        let fields: &[(&str, &dyn Display)] = &[("fingerprint", fingerprint), ("reason", &reason)];
        self.log.write(self.now(), "request-cleared", fields);
    }

    fn log_quarantined(&self, fingerprints: &[RequestFingerprint], source: &str) {
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
