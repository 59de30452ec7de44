//! Requests under which back ends have crashed, and that this daemon does not send any more for a while.
//!
//! What counts as a crash, and when a request is sent again, is decided by [`flaxward_routing::quarantine`].

use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flaxward_clock::Clock;
use flaxward_control::attempt::AttemptEnd;
use flaxward_routing::names::RunnerId;
use flaxward_routing::quarantine::{
    Quarantine, QuarantineSettings, Recorded, RunOutcome, RunReport,
};
use flaxward_types::{Refusal, ResultCode, RunnerName};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::call::Call;
use crate::counters;
use crate::scheduler::BackEnd;

/// Time for which a request that broke off waits for the answer whether its back end has crashed, before it is sent to
/// another one. A port at which nothing listens answers within the latency of the network.
const CHECK_WAIT: Duration = Duration::from_millis(30);
/// Time allowed for a connection to the port of a back end that may have crashed. One that takes longer has not refused.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What this daemon knows of requests that crash back ends.
pub(crate) struct Crashes {
    quarantine: Mutex<Quarantine>,
    /// Back ends that take no new work; they may end as planned.
    leaving: Mutex<BTreeSet<RunnerName>>,
    /// Told when a request is put in quarantine.
    changes: watch::Sender<()>,
    clock: Clock,
}

impl Crashes {
    /// Nothing is known of any request.
    pub fn new(settings: QuarantineSettings, clock: Clock) -> Self {
        Self {
            quarantine: Mutex::new(Quarantine::new(settings)),
            leaving: Mutex::default(),
            changes: watch::Sender::new(()),
            clock,
        }
    }

    /// Replaces the set of back ends that take no new work.
    pub fn set_leaving(&self, leaving: BTreeSet<RunnerName>) {
        *self.leaving.lock().unwrap_or_else(PoisonError::into_inner) = leaving;
    }

    /// Waits until a request is in quarantine; returns the refusal.
    pub async fn until_quarantined(&self, call: &Call) -> Refusal {
        let mut changes = self.changes.subscribe();
        loop {
            if let Some(remaining) = self.remaining(call) {
                return Refusal::new(ResultCode::RequestQuarantined).with_retry_after(remaining);
            }
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Finds out whether a back end has crashed under a request that broke off there, and counts it. A back end that only
    /// breaks connections still listens.
    pub async fn note_break(self: &Arc<Self>, call: &Call, back_end: &BackEnd) {
        if self.is_leaving(&back_end.runner) {
            return;
        }
        let report = RunReport {
            fingerprint: call.fingerprint(),
            outcome: RunOutcome::Crashed(RunnerId::new(back_end.runner.as_str())),
        };
        let (crashes, back_end) = (Arc::clone(self), back_end.clone());
        let request_id = call.request_id.clone();
        let check = tokio::spawn(async move {
            if is_refused(&back_end.address).await {
                crashes.crashed(&report, &back_end, &request_id);
            }
        });
        // The check goes on in the background if it takes longer, and if the caller goes.
        let _ = timeout(CHECK_WAIT, check).await;
    }

    /// A back end has run a request to an answer of its own. If others have crashed under it, they did so for another
    /// reason.
    pub fn note_completed(&self, call: &Call) {
        if self.quarantine().is_empty() {
            return;
        }
        let report = RunReport {
            fingerprint: call.fingerprint(),
            outcome: RunOutcome::Completed,
        };
        if self.record(&report) == Recorded::Cleared {
            spdlog::info!("event=request-cleared fingerprint={}", report.fingerprint);
        }
    }

    fn crashed(&self, report: &RunReport, back_end: &BackEnd, request_id: &str) {
        let RunReport { fingerprint, .. } = report;
        counters::back_end_crashed();
        spdlog::warn!(
            "event=back-end-crashed runner={} request={request_id} fingerprint={fingerprint}",
            back_end.runner
        );
        if self.record(report) == Recorded::Quarantined {
            counters::quarantined();
            spdlog::warn!("event=request-quarantined fingerprint={fingerprint}");
            self.changes.send_replace(());
        }
    }

    fn record(&self, report: &RunReport) -> Recorded {
        let now = self.clock.now();
        self.quarantine().record(report, now)
    }

    /// Time until the quarantine of a request ends; `None` if it is in none.
    fn remaining(&self, call: &Call) -> Option<Duration> {
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

    /// No code that holds the lock can panic half-way through a change, so a poisoned lock is still usable.
    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether an attempt that ended like this may have crashed its back end.
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

/// Whether nothing listens at an address.
async fn is_refused(address: &str) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
