//! Which request was at a runner when it crashed, and which requests are in quarantine for that.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::fingerprint::RequestFingerprint;
use flaxward_routing::names::RunnerId;
use flaxward_routing::quarantine::{Crash, QuarantinedRequest, Recorded};
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
    let crash = Crash {
        fingerprint: request.fingerprint(),
        runner: runner.id.clone(),
    };
    let (id, address) = (request.profile.id.clone(), runner.address);
    let shared = shared.clone();
    let check = tokio::spawn(async move {
        if shared.pool.is_refused(address).await {
            shared.record_own_crash(crash, &id);
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

/// Waits until a request is in quarantine, and returns for how long it is.
pub(crate) async fn until_quarantined(
    shared: Arc<Shared>,
    request: Arc<ClientRequest>,
) -> Duration {
    let mut changes = shared.quarantine_changes.subscribe();
    loop {
        if let Some(remaining) = shared.quarantined_for(&request) {
            return remaining;
        }
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

    /// Takes in a crash that this daemon has seen, and has the keepers told of it.
    fn record_own_crash(&self, crash: Crash, request: &str) {
        metrics::counter!(RUNNER_CRASHES.name).increment(1);
        let fields: &[(&str, &dyn Display)] = &[
            ("runner", &crash.runner),
            ("request", &request),
            ("fingerprint", &crash.fingerprint),
        ];
        self.log.write(self.now(), "runner-crashed", fields);
        self.record_crash(&crash);
        if let Ok(mut seen) = self.crashes_seen.lock() {
            seen.push(crash);
        }
        self.crash_seen.notify_one();
    }

    /// The crashes that this daemon has seen since the last call.
    pub(crate) fn take_crashes_seen(&self) -> Vec<Crash> {
        let seen = self.crashes_seen.lock();
        seen.map(|mut seen| std::mem::take(&mut *seen))
            .unwrap_or_default()
    }

    /// Takes in a crash that some daemon has seen.
    pub(crate) fn record_crash(&self, crash: &Crash) {
        let now = self.now();
        let recorded = self.tables().quarantine.record(crash, now);
        if recorded == Recorded::Quarantined {
            self.note_quarantined(&[crash.fingerprint], "crashes");
        }
    }

    /// Takes in what others hold in quarantine; `source` tells who, for the log.
    pub(crate) fn take_quarantine(&self, requests: &[QuarantinedRequest], source: &str) {
        let now = self.now();
        let news = self.tables().quarantine.take_in(requests, now);
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
