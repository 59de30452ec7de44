//! Whether the store answers this daemon, as far as is known.
//!
//! Operations on the lease are the probe: a holder tries one several times per renewal, also while
//! the store fails. The store is taken as out when its operations have failed, or the lease has not
//! been confirmed, for a while. A sign of life gives hope: an answer to this daemon, or news that
//! came another way, such as a configuration from another daemon. While there is hope nothing is
//! refused for want of the store. Hope ends with the failure of a probe that was sent after the
//! sign, since this daemon may be cut off alone or the store may take no writes; it ends by itself
//! if the probe gets no answer in time.

use std::time::Duration;

use flaxward_types::{Revision, Timestamp};

/// How long to wait before the store is taken as out.
#[derive(Clone, Copy, Debug)]
pub(super) struct Patience {
    /// With operations that fail and a lease that is not confirmed.
    pub(super) failing: Duration,
    /// After a sign of life, with a probe that gets no answer.
    pub(super) hope: Duration,
}

/// What is known of the store.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreHealth {
    /// Since when operations have failed without a break.
    failing_since: Option<Timestamp>,
    /// Since when the lease has not been confirmed, as noticed by a process that may be paused.
    lapsed_since: Option<Timestamp>,
    /// When the outstanding probe was sent.
    probe_sent: Option<Timestamp>,
    /// When the last sign of life came, until it is settled what it is worth.
    hope_since: Option<Timestamp>,
    /// Revision of the configuration last seen.
    revision: Revision,
}

impl StoreHealth {
    /// Notes whether a lease is held that is not confirmed, so that no records may be written.
    pub(super) fn note_lease(&mut self, is_in_doubt: bool, now: Timestamp) {
        if is_in_doubt {
            self.lapsed_since.get_or_insert(now);
        } else {
            self.lapsed_since = None;
        }
    }

    /// Notes the configuration in force. Returns whether it is a sign of life that calls for a probe
    /// at once.
    pub(super) fn note_configuration(&mut self, revision: Revision, now: Timestamp) -> bool {
        let is_in_trouble = self.failing_since.is_some() || self.lapsed_since.is_some();
        let is_sign = revision > self.revision && is_in_trouble;
        self.revision = self.revision.max(revision);
        if is_sign {
            self.hope_since = Some(now);
        }
        is_sign
    }

    /// Notes an answer to an operation of this daemon.
    pub(super) fn answered(&mut self, now: Timestamp) {
        if self.failing_since.take().is_some() {
            self.hope_since = Some(now);
        }
    }

    /// Notes that an operation of this daemon failed.
    pub(super) fn failed(&mut self, now: Timestamp) {
        self.failing_since.get_or_insert(now);
    }

    /// Notes that a probe is sent.
    pub(super) fn probe_sent(&mut self, now: Timestamp) {
        self.probe_sent = Some(now);
    }

    /// Notes that the outstanding probe was answered.
    pub(super) fn probe_answered(&mut self, now: Timestamp) {
        self.probe_sent = None;
        self.answered(now);
    }

    /// Notes that the outstanding probe failed.
    pub(super) fn probe_failed(&mut self, now: Timestamp) {
        let sent = self.probe_sent.take();
        self.failed(now);
        // What was sent before a sign of life and failed says nothing about the store after it.
        if sent >= self.hope_since {
            self.hope_since = None;
        }
    }

    /// Whether the store is taken as out.
    pub(super) fn is_out(&self, now: Timestamp, patience: Patience) -> bool {
        let is_older = |since: Option<Timestamp>, limit: Duration| {
            since.is_some_and(|since| now.since(since) >= limit)
        };
        let hopes = self.hope_since.is_some() && !is_older(self.hope_since, patience.hope);
        let fails = is_older(self.failing_since, patience.failing);
        let lapsed = is_older(self.lapsed_since, patience.failing);
        (fails || lapsed) && !hopes
    }
}
