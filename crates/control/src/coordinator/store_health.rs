//! Tracks whether the store is available to this daemon.
//!
//! Operations on the lease serve as probes: a holder tries one several times per renewal interval,
//! also while the store fails. The store counts as unavailable when its operations have failed, or
//! the lease has not been confirmed, for a configured time. A sign of recovery suspends this: an
//! answer to this daemon, or evidence that came another way, such as a new configuration from
//! another daemon. While a possible recovery is being verified, nothing is refused because of the
//! store. The verification ends with the failure of a probe that was sent after the sign, since
//! this daemon may be partitioned alone or the store may accept no writes; it expires if the probe
//! gets no answer in time.

use std::time::Duration;

use flaxward_types::{Revision, Timestamp};

/// Times after which the store counts as unavailable.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutageTimeouts {
    /// While operations fail or the lease is not confirmed.
    pub(super) failure: Duration,
    /// After a sign of recovery, while the probe gets no answer.
    pub(super) recovery: Duration,
}

/// Known state of the store.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreHealth {
    /// Since when all operations have failed.
    failing_since: Option<Timestamp>,
    /// Since when the lease has been seen unconfirmed. A paused process sees this only once it
    /// resumes.
    unconfirmed_since: Option<Timestamp>,
    /// When the outstanding probe was sent.
    probe_sent: Option<Timestamp>,
    /// When the last sign of recovery arrived; cleared when a probe sent after it fails.
    recovery_since: Option<Timestamp>,
    /// Highest configuration revision seen.
    revision: Revision,
}

impl StoreHealth {
    /// Records whether a lease is held but not confirmed, so that no records may be written.
    pub(super) fn observe_lease(&mut self, is_unconfirmed: bool, now: Timestamp) {
        if is_unconfirmed {
            self.unconfirmed_since.get_or_insert(now);
        } else {
            self.unconfirmed_since = None;
        }
    }

    /// Records the configuration in force. Returns whether it is a sign of recovery that calls for
    /// an immediate probe.
    pub(super) fn observe_configuration(&mut self, revision: Revision, now: Timestamp) -> bool {
        let is_failing = self.failing_since.is_some() || self.unconfirmed_since.is_some();
        let is_sign = revision > self.revision && is_failing;
        self.revision = self.revision.max(revision);
        if is_sign {
            self.recovery_since = Some(now);
        }
        is_sign
    }

    /// Records an answer to an operation of this daemon.
    pub(super) fn record_success(&mut self, now: Timestamp) {
        if self.failing_since.take().is_some() {
            self.recovery_since = Some(now);
        }
    }

    /// Records that an operation of this daemon failed.
    pub(super) fn record_failure(&mut self, now: Timestamp) {
        self.failing_since.get_or_insert(now);
    }

    /// Records that a probe is sent.
    pub(super) fn probe_sent(&mut self, now: Timestamp) {
        self.probe_sent = Some(now);
    }

    /// Records that the outstanding probe was answered.
    pub(super) fn probe_answered(&mut self, now: Timestamp) {
        self.probe_sent = None;
        self.record_success(now);
    }

    /// Records that the outstanding probe failed.
    pub(super) fn probe_failed(&mut self, now: Timestamp) {
        let sent = self.probe_sent.take();
        self.record_failure(now);
        // The failure of a probe sent before the sign of recovery says nothing about the store
        // after it.
        if sent >= self.recovery_since {
            self.recovery_since = None;
        }
    }

    /// Whether the store counts as unavailable.
    pub(super) fn is_unavailable(&self, now: Timestamp, timeouts: OutageTimeouts) -> bool {
        let is_older = |since: Option<Timestamp>, limit: Duration| {
            since.is_some_and(|since| now.since(since) >= limit)
        };
        let is_recovering =
            self.recovery_since.is_some() && !is_older(self.recovery_since, timeouts.recovery);
        let failing = is_older(self.failing_since, timeouts.failure);
        let unconfirmed = is_older(self.unconfirmed_since, timeouts.failure);
        (failing || unconfirmed) && !is_recovering
    }
}
