//! Tracks requests that crash back ends and quarantines them for a limited time.
//!
//! [`flaxward_routing::quarantine`] decides what counts as a crash and when a quarantined request
//! may be sent again.

use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flaxward_clock::Clock;
use flaxward_control::attempt::AttemptEnd;
use flaxward_routing::names::RunnerId;
use flaxward_routing::quarantine::{
    Quarantine, QuarantineSettings, Recorded, RunContext, RunOutcome, RunReport,
};
use flaxward_types::{Refusal, ResultCode, RunnerName};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::call::Call;
use crate::counters;
use crate::scheduler::BackEnd;

/// Time that a request that was cut off waits for the crash check of its back end before it is
/// retried. A port without a listener refuses connections within the network latency.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(30);
/// Connect timeout of the crash check. A connection that times out was not refused, so it does not
/// count as a crash.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The requests known to this daemon to crash back ends.
pub(crate) struct CrashTracker {
    quarantine: Mutex<Quarantine>,
    /// Back ends that accept no new work. Their exit may be planned, so it does not count as a
    /// crash.
    leaving: Mutex<BTreeSet<RunnerName>>,
    /// Notified when a request is quarantined.
    changes: watch::Sender<()>,
    clock: Clock,
}

impl CrashTracker {
    /// Creates a tracker without any records.
    pub fn new(settings: QuarantineSettings, clock: Clock) -> Self {
        Self {
            quarantine: Mutex::new(Quarantine::new(settings)),
            leaving: Mutex::default(),
            changes: watch::Sender::new(()),
            clock,
        }
    }

    /// Replaces the set of back ends that accept no new work.
    pub fn set_leaving(&self, leaving: BTreeSet<RunnerName>) {
        *self.leaving.lock().unwrap_or_else(PoisonError::into_inner) = leaving;
    }

    /// Waits until a request is quarantined and returns the refusal.
    pub async fn wait_until_quarantined(&self, call: &Call) -> Refusal {
        let mut changes = self.changes.subscribe();
        loop {
            if let Some(remaining) = self.quarantine_remaining(call) {
                return Refusal::new(ResultCode::RequestQuarantined).with_retry_after(remaining);
            }
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Checks whether a back end has crashed while it ran a request that was cut off, and records
    /// the crash. A back end that only breaks connections still listens.
    pub async fn check_for_crash(self: &Arc<Self>, call: &Call, back_end: &BackEnd) {
        if self.is_leaving(&back_end.runner) {
            return;
        }
        let report = RunReport {
            fingerprint: call.fingerprint(),
            outcome: RunOutcome::Crashed(RunnerId::new(back_end.runner.as_str())),
            context: Some(RunContext::just_ended()),
        };
        let (crashes, back_end) = (Arc::clone(self), back_end.clone());
        let request_id = call.request_id.clone();
        let check = tokio::spawn(async move {
            if refuses_connections(&back_end.address).await {
                crashes.record_crash(&report, &back_end, &request_id);
            }
        });
        // The check continues in the background if it takes longer or the caller disconnects.
        let _ = timeout(CRASH_CHECK_TIMEOUT, check).await;
    }

    /// Records that a back end completed a request. Crashes of other back ends during this request
    /// then had another cause.
    pub fn record_completed(&self, call: &Call) {
        if self.quarantine().is_empty() {
            return;
        }
        let report = RunReport {
            fingerprint: call.fingerprint(),
            outcome: RunOutcome::Completed,
            context: None,
        };
        if self.record(&report) == Recorded::Cleared {
            spdlog::info!("event=request-cleared fingerprint={}", report.fingerprint);
        }
    }

    fn record_crash(&self, report: &RunReport, back_end: &BackEnd, request_id: &str) {
        let RunReport { fingerprint, .. } = report;
        counters::count_back_end_crash();
        spdlog::warn!(
            "event=back-end-crashed runner={} request={request_id} fingerprint={fingerprint}",
            back_end.runner
        );
        if self.record(report) == Recorded::Quarantined {
            counters::count_quarantine();
            spdlog::warn!("event=request-quarantined fingerprint={fingerprint}");
            self.changes.send_replace(());
        }
    }

    fn record(&self, report: &RunReport) -> Recorded {
        let now = self.clock.now();
        self.quarantine().record(report, now)
    }

    /// Time until the quarantine of a request ends; `None` if it is not quarantined.
    fn quarantine_remaining(&self, call: &Call) -> Option<Duration> {
        let quarantine = self.quarantine();
        if quarantine.is_empty() {
            return None;
        }
        quarantine.remaining(&call.fingerprint(), self.clock.now())
    }

    fn is_leaving(&self, runner: &RunnerName) -> bool {
        let leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        leaving.contains(runner)
    }

    /// No code that holds the lock can panic during a change, so a poisoned lock is still usable.
    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a crash of the back end can cause this end of an attempt.
pub(crate) fn may_be_crash(end: AttemptEnd) -> bool {
    match end {
        AttemptEnd::BrokenBeforeHead
        | AttemptEnd::BrokenMidStream { .. }
        | AttemptEnd::Truncated => true,
        AttemptEnd::NotSent
        | AttemptEnd::RefusedBeforeRunning
        | AttemptEnd::Status(_)
        | AttemptEnd::TimedOut
        | AttemptEnd::Cancelled => false,
    }
}

/// Whether connections to an address are refused, because nothing listens there.
async fn refuses_connections(address: &str) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
