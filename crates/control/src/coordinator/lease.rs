//! Acquires, renews and releases the lease of the zone.
//!
//! The lease only prevents two coordinators from working against each other; safety depends on
//! slots, quotas and fencing. A holder whose lease has expired by its own clock writes no records
//! until the store has confirmed the lease again, but goes on with work that needs no record.

use flaxward_types::records::ZoneLease;
use flaxward_types::time::millis;
use flaxward_types::{DaemonName, Revision, Term, Timestamp};

use super::interface::{CoordinatorAction, CoordinatorSettings, StoreFault};
use super::lease_observation::ObservedLease;

/// A failed operation is retried after the renewal interval divided by this.
const RETRIES_PER_RENEWAL: u32 = 4;
/// Daemons of this rank and above do not access the lease.
const FIRST_PASSIVE_RANK: usize = 2;

/// Effect of a store response on the ownership of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseChange {
    /// No change.
    None,
    /// This daemon now holds the lease.
    Taken(Term),
    /// This daemon no longer holds the lease.
    Lost,
}

/// An outstanding operation on the lease.
#[derive(Clone, Debug)]
enum Operation {
    Read,
    Take { lease: ZoneLease, sent: Timestamp },
    Renew { lease: ZoneLease, sent: Timestamp },
    HandBack,
}

/// A lease that this daemon holds.
#[derive(Clone, Debug)]
struct HeldLease {
    revision: Revision,
    lease: ZoneLease,
    /// End of the lease by this daemon's clock, less the allowed clock drift.
    valid_until: Timestamp,
    /// When the store last confirmed it.
    confirmed: Timestamp,
    /// The outcome of the last write is unknown, so the lease must be read before the next write.
    read_first: bool,
}

/// Manages the lease of one zone for one daemon.
#[derive(Clone, Debug)]
pub(super) struct LeaseKeeper {
    own_name: DaemonName,
    rank: Option<usize>,
    operation: Option<Operation>,
    observed: Option<ObservedLease>,
    /// The last attempt to acquire the lease, if its outcome is unknown.
    unsettled: Option<(ZoneLease, Timestamp)>,
    held: Option<HeldLease>,
    /// Highest term seen anywhere; the next term is higher even if the lease record was lost.
    max_term: Term,
    next_step: Timestamp,
    stop_requested: Option<Timestamp>,
    stopped: bool,
}

impl LeaseKeeper {
    pub(super) fn new(own_name: DaemonName) -> Self {
        Self {
            own_name,
            rank: None,
            operation: None,
            observed: None,
            unsettled: None,
            held: None,
            max_term: Term(0),
            next_step: Timestamp::ZERO,
            stop_requested: None,
            stopped: false,
        }
    }

    pub(super) fn set_rank(&mut self, rank: usize) {
        self.rank = Some(rank);
    }

    /// Requests the release of the lease.
    pub(super) fn stop(&mut self, now: Timestamp) {
        if self.stop_requested.is_none() {
            self.stop_requested = Some(now);
            self.next_step = now;
        }
    }

    pub(super) fn stopping(&self) -> bool {
        self.stop_requested.is_some()
    }

    /// Whether this daemon holds the lease to its own knowledge.
    pub(super) fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Whether records may be written: the lease is valid by this daemon's own clock.
    pub(super) fn may_record(&self, now: Timestamp) -> bool {
        let valid = |held: &HeldLease| !held.read_first && now < held.valid_until;
        !self.stopping() && self.held.as_ref().is_some_and(valid)
    }

    /// Makes the next operation due now.
    pub(super) fn step_at(&mut self, now: Timestamp) {
        self.next_step = now;
    }

    /// Gives up the lease because a higher term was seen elsewhere.
    pub(super) fn step_down(&mut self, later: Term, now: Timestamp) {
        self.max_term = self.max_term.max(later);
        self.held = None;
        self.observed = None;
        self.next_step = now;
    }

    /// The next operation on the lease, if one is due. `nonce` identifies the first record of a new
    /// term as written by this process.
    pub(super) fn step(
        &mut self,
        now: Timestamp,
        settings: &CoordinatorSettings,
        nonce: u64,
    ) -> Option<CoordinatorAction> {
        if self.stopped || self.operation.is_some() || now < self.next_step {
            return None;
        }
        self.next_step = now + settings.lease_renewal;
        if let Some(requested) = self.stop_requested {
            return Some(self.step_to_stop(now, requested, settings));
        }
        if let Some(held) = &self.held {
            let expired = now >= held.valid_until && held.confirmed < held.valid_until;
            if held.read_first || expired {
                return Some(self.read());
            }
            return Some(self.renew(now, settings));
        }
        if self.rank.is_none_or(|rank| rank >= FIRST_PASSIVE_RANK) {
            return None;
        }
        if self.is_free(settings) {
            return Some(self.acquire(now, settings, nonce));
        }
        Some(self.read())
    }

    fn step_to_stop(
        &mut self,
        now: Timestamp,
        requested: Timestamp,
        settings: &CoordinatorSettings,
    ) -> CoordinatorAction {
        let timed_out = now.since(requested) >= settings.lease_duration;
        let Some(held) = self.held.as_ref().filter(|_| !timed_out) else {
            self.stopped = true;
            return CoordinatorAction::Stopped;
        };
        let lease = ZoneLease {
            holder: None,
            renewals: held.lease.renewals + 1,
            ..held.lease.clone()
        };
        self.operation = Some(Operation::HandBack);
        CoordinatorAction::WriteLease(Some(held.revision), lease)
    }

    fn read(&mut self) -> CoordinatorAction {
        self.operation = Some(Operation::Read);
        CoordinatorAction::ReadLease
    }

    fn renew(&mut self, now: Timestamp, settings: &CoordinatorSettings) -> CoordinatorAction {
        let held = self
            .held
            .as_ref()
            .expect("the lease is renewed only while it is held");
        let lease = ZoneLease {
            renewals: held.lease.renewals + 1,
            duration_ms: millis(settings.lease_duration),
            ..held.lease.clone()
        };
        let revision = held.revision;
        self.operation = Some(Operation::Renew {
            lease: lease.clone(),
            sent: now,
        });
        CoordinatorAction::WriteLease(Some(revision), lease)
    }

    fn acquire(
        &mut self,
        now: Timestamp,
        settings: &CoordinatorSettings,
        nonce: u64,
    ) -> CoordinatorAction {
        let record = self
            .observed
            .as_ref()
            .and_then(|observed| observed.record().cloned());
        let last_term = record.as_ref().map_or(Term(0), |(_, lease)| lease.term);
        let lease = ZoneLease {
            holder: Some(self.own_name.clone()),
            term: last_term.max(self.max_term).next(),
            duration_ms: millis(settings.lease_duration),
            renewals: nonce,
        };
        self.operation = Some(Operation::Take {
            lease: lease.clone(),
            sent: now,
        });
        CoordinatorAction::WriteLease(record.map(|(revision, _)| revision), lease)
    }

    /// Whether the lease as last read may be acquired.
    fn is_free(&self, settings: &CoordinatorSettings) -> bool {
        let is_standby = self.rank != Some(0);
        let observed = self.observed.as_ref();
        observed.is_some_and(|observed| observed.is_free(&self.own_name, is_standby, settings))
    }

    /// Handles the result of a read of the lease.
    pub(super) fn on_read(
        &mut self,
        result: Result<Option<(Revision, ZoneLease)>, StoreFault>,
        now: Timestamp,
        settings: &CoordinatorSettings,
    ) -> LeaseChange {
        if !matches!(self.operation, Some(Operation::Read)) {
            return LeaseChange::None;
        }
        self.operation = None;
        let Ok(record) = result else {
            self.retry(now, settings);
            return LeaseChange::None;
        };
        if let Some(held) = &mut self.held {
            let own = record.as_ref().filter(|(_, lease)| {
                lease.term == held.lease.term && lease.holder == held.lease.holder
            });
            if let Some((revision, lease)) = own {
                held.revision = *revision;
                held.lease = lease.clone();
                held.read_first = false;
                held.confirmed = now;
                self.next_step = now;
                return LeaseChange::None;
            }
            self.held = None;
            self.observe(record, now);
            return LeaseChange::Lost;
        }
        if let (Some((attempt, sent)), Some((revision, lease))) = (self.unsettled.take(), &record)
            && attempt == *lease
        {
            return self.on_acquired(*revision, attempt, sent, now, settings);
        }
        self.observe(record, now);
        if self.is_free(settings) {
            self.next_step = now;
        }
        LeaseChange::None
    }

    /// Handles the result of a write of the lease.
    pub(super) fn on_written(
        &mut self,
        result: Result<Revision, StoreFault>,
        now: Timestamp,
        settings: &CoordinatorSettings,
    ) -> LeaseChange {
        match self.operation.take() {
            Some(Operation::Take { lease, sent }) => match result {
                Ok(revision) => return self.on_acquired(revision, lease, sent, now, settings),
                Err(fault) => {
                    self.observed = None;
                    self.unsettled = (fault == StoreFault::Unknown).then_some((lease, sent));
                    self.retry(now, settings);
                }
            },
            Some(Operation::Renew { lease, sent }) => {
                self.on_renewed(result, lease, sent, now, settings);
            }
            Some(Operation::HandBack) => {
                if result == Err(StoreFault::Unavailable) {
                    self.retry(now, settings);
                } else {
                    self.held = None;
                    self.next_step = now;
                }
            }
            other => self.operation = other,
        }
        LeaseChange::None
    }

    fn on_renewed(
        &mut self,
        result: Result<Revision, StoreFault>,
        lease: ZoneLease,
        sent: Timestamp,
        now: Timestamp,
        settings: &CoordinatorSettings,
    ) {
        let Some(held) = &mut self.held else {
            return;
        };
        match result {
            Ok(revision) => {
                held.revision = revision;
                held.lease = lease;
                held.valid_until = valid_until(sent, settings);
                held.confirmed = now;
                self.next_step = sent + settings.lease_renewal;
            }
            Err(fault) => {
                held.read_first = fault != StoreFault::Unavailable;
                self.retry(now, settings);
            }
        }
        if self.stopping() {
            self.next_step = now;
        }
    }

    fn on_acquired(
        &mut self,
        revision: Revision,
        lease: ZoneLease,
        sent: Timestamp,
        now: Timestamp,
        settings: &CoordinatorSettings,
    ) -> LeaseChange {
        let term = lease.term;
        self.unsettled = None;
        self.observed = None;
        self.held = Some(HeldLease {
            revision,
            lease,
            valid_until: valid_until(sent, settings),
            confirmed: now,
            read_first: false,
        });
        self.next_step = sent + settings.lease_renewal;
        if self.stopping() {
            self.next_step = now;
            return LeaseChange::None;
        }
        LeaseChange::Taken(term)
    }

    fn observe(&mut self, record: Option<(Revision, ZoneLease)>, now: Timestamp) {
        match &mut self.observed {
            Some(observed) => observed.update(record, now),
            None => self.observed = Some(ObservedLease::new(record, now)),
        }
    }

    fn retry(&mut self, now: Timestamp, settings: &CoordinatorSettings) {
        self.next_step = now + settings.lease_renewal / RETRIES_PER_RENEWAL;
    }
}

fn valid_until(sent: Timestamp, settings: &CoordinatorSettings) -> Timestamp {
    sent + settings.lease_duration.saturating_sub(settings.clock_drift)
}
