//! The coordinator's lease, stored as a single object that is changed by conditional writes.
//!
//! A holder's lease is valid from the time at which it *sent* the last confirmed renewal, and it
//! stops acting by its own clock. Other daemons take the lease over once they have seen no renewal
//! for the full duration, by their own monotonic clock. The term increases with each holder and
//! serves as the fencing token of its orders.
//!
//! The store may be restored from a backup that is some seconds old. Renewals and whole terms are
//! lost then, so that the object may show a former holder, one that has released the lease, or
//! none, while another daemon still acts under a confirmed lease. Therefore:
//!
//! - The object is authoritative only if it was written in the era of the store's answer. Otherwise
//!   a daemon waits until the object has been unchanged for a full lease duration, by which time
//!   any holder's lease has expired.
//! - A holder whose lease object was lost writes it again while its lease is valid.
//! - Terms of an era begin above those of all earlier eras, and above every known term, so that no
//!   term is used twice.
//!
//! A build without support for eras may take the lease after a restore under a term lower than one
//! already used. Members and runners that know the higher term do not follow it, so a daemon that
//! knows the higher term takes the lease from it ([`provisional_period`]).

mod answers;
mod candidacy;
mod eras;
mod hints;
mod provisional_period;
mod record;
mod superseded;

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};

use crate::quarantine::QuarantineEntry;
use crate::revision::StoreEra;
use crate::stream_origins::VersionRecord;
use crate::strength::MachineStrength;

use eras::Eras;
use hints::Hints;
use provisional_period::ProvisionalPeriod;
use superseded::Superseded;

pub use record::{
    LeaseAnswer, LeaseCall, LeaseChange, LeaseHeartbeat, LeaseRecord, LeaseSettings, LossReason,
    StoredLease, UnreadableLease,
};

/// Part of the lease duration, as a divisor, after which a holder that is partitioned from all runners releases it.
const RELEASE_DIVISOR: u32 = 3;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Held {
    lease: StoredLease,
    valid_until: Timestamp,
    /// Send time of the last confirmed renewal.
    confirmed_at: Timestamp,
    renewed_at: Timestamp,
    /// Whether the store has lost the object.
    is_missing: bool,
    /// Remaining provisional period, if it was taken from a holder that may still act.
    provisional_period: Option<ProvisionalPeriod>,
}

impl Held {
    /// Whether this daemon may act under it.
    fn is_in_force(&self, now: Timestamp) -> bool {
        now < self.valid_until && self.provisional_period.is_none()
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Observed {
    lease: Option<StoredLease>,
    unchanged_since: Timestamp,
    /// Since when the store has shown this daemon that the lease is free. An outage of the store
    /// does not count: after it, stronger daemons must get the chance to take the lease first.
    seen_free_since: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReportedRenewal {
    term: u64,
    renewals: u64,
    /// Upper bound of the send time, by this daemon's clock.
    renewed_at: Timestamp,
}

/// State machine of one daemon for acquiring, renewing and releasing the lease.
#[derive(Debug)]
pub struct LeaseStateMachine {
    settings: LeaseSettings,
    name: String,
    incarnation: u64,
    address: SocketAddr,
    held: Option<Held>,
    observed: Option<Observed>,
    pending_call: Option<(LeaseCall, Timestamp)>,
    next_read: Timestamp,
    heartbeat_at: Option<Timestamp>,
    reported: Option<ReportedRenewal>,
    eras: Eras,
    /// Highest term that this daemon has held, read or received.
    highest_term: u64,
    /// Set while the lease is read under lower terms than `highest_term` and no message of a holder
    /// of that term has arrived since.
    superseded: Option<Superseded>,
    hints: Hints,
    /// Whether this daemon checks for a free lease earlier than others. This is the default.
    stands_by: bool,
    stopping: bool,
    /// Since when this daemon reaches no runner.
    partitioned_since: Option<Timestamp>,
    /// Whether this daemon has created the first lease of the system.
    created_first: bool,
}

impl LeaseStateMachine {
    /// Creates the state of a daemon that has not read the lease yet.
    pub fn new(
        settings: LeaseSettings,
        name: String,
        incarnation: u64,
        address: SocketAddr,
    ) -> Self {
        Self {
            settings,
            name,
            incarnation,
            address,
            held: None,
            observed: None,
            pending_call: None,
            next_read: Timestamp::ZERO,
            heartbeat_at: None,
            reported: None,
            eras: Eras::default(),
            highest_term: 0,
            superseded: None,
            hints: Hints::default(),
            stands_by: true,
            stopping: false,
            partitioned_since: None,
            created_first: false,
        }
    }

    /// Sets the capacity of this daemon's machine.
    #[must_use]
    pub fn with_strength(mut self, strength: MachineStrength) -> Self {
        self.hints.set_strength(strength);
        self
    }

    /// Sets the strongest known machine; the record passes it on to daemons that receive no
    /// messages.
    pub fn set_strongest(&mut self, strongest: MachineStrength) {
        self.hints.set_strongest(strongest);
    }

    /// Sets the listen addresses of the daemons; the record passes them on to daemons that receive
    /// no messages.
    pub fn set_members(&mut self, members: Vec<SocketAddr>) {
        self.hints.members = members;
    }

    /// Sets the software versions of the runners; the record passes them on to daemons that start.
    pub fn set_versions(&mut self, versions: Option<VersionRecord>) {
        self.hints.versions = versions;
    }

    /// Listen addresses of the daemons in the record that was read last; empty if it has none.
    pub fn recorded_members(&self) -> &[SocketAddr] {
        self.last_record().map_or(&[], |record| &record.members)
    }

    /// The record that was read or written last.
    fn last_record(&self) -> Option<&LeaseRecord> {
        let held = self.held.as_ref().map(|held| &held.lease);
        let observed = self.observed.as_ref().and_then(|seen| seen.lease.as_ref());
        held.or(observed).map(|lease| &lease.record)
    }

    /// Sets the quarantine entries known to this daemon. Starting daemons read them from the
    /// record, so a holder renews the lease early if the step of a request has changed.
    pub fn set_quarantine(&mut self, entries: Vec<QuarantineEntry>) {
        let has_changed = self.hints.set_quarantine(entries);
        if let Some(held) = self.held.as_mut().filter(|_| has_changed) {
            held.renewed_at = held.renewed_at - self.settings.renewal;
        }
    }

    /// Sets whether this daemon checks for a free lease earlier than others.
    pub fn set_stands_by(&mut self, stands_by: bool) {
        self.stands_by = stands_by;
    }

    /// Handles a notice that the holder of a term no longer holds the lease. A standby then reads
    /// the lease at once instead of waiting for heartbeats to time out.
    pub fn handle_term_ended(&mut self, term: u64, now: Timestamp) {
        let is_heard = self.reported.is_some_and(|reported| reported.term == term);
        if is_heard && self.stands_by && self.held.is_none() {
            self.heartbeat_at = None;
            self.next_read = now;
        }
    }

    /// Term under which this daemon may give orders now.
    pub fn term(&self, now: Timestamp) -> Option<u64> {
        let held = self.held.as_ref()?;
        (held.is_in_force(now) && !self.is_releasing(now)).then_some(held.lease.record.term)
    }

    /// Lease state that this daemon sends with its messages, if it holds the lease.
    pub fn heartbeat(&self, now: Timestamp) -> Option<LeaseHeartbeat> {
        let held = self
            .held
            .as_ref()
            .filter(|it| it.provisional_period.is_none())?;
        Some(LeaseHeartbeat {
            term: held.lease.record.term,
            renewals: held.lease.record.renewals,
            age_ms: u32::try_from(millis(now.since(held.confirmed_at))).unwrap_or(u32::MAX),
        })
    }

    /// Handles a holder's heartbeat. One with a term lower than a known one is ignored.
    pub fn handle_heartbeat(&mut self, heartbeat: LeaseHeartbeat, now: Timestamp) {
        if heartbeat.term < self.highest_term {
            return;
        }
        self.highest_term = heartbeat.term;
        self.superseded = None;
        self.heartbeat_at = Some(now);
        self.reported = Some(ReportedRenewal {
            term: heartbeat.term,
            renewals: heartbeat.renewals,
            renewed_at: now - Duration::from_millis(u64::from(heartbeat.age_ms)),
        });
    }

    /// Records that the store is in this era or a later one.
    pub fn note_era(&mut self, era: StoreEra, now: Timestamp) {
        if !self.eras.note(era, now) {
            return;
        }
        // Neither a missing object nor anything else read in an earlier era says anything about
        // this one.
        self.observed.take_if(|seen| seen.lease.is_none());
        self.superseded = None;
        // This daemon's own lease may be lost, so the object is checked soon.
        if let Some(held) = &mut self.held {
            held.renewed_at = now - self.settings.renewal;
            if let Some(provisional_period) = &mut held.provisional_period {
                provisional_period.restart();
            }
        }
    }

    /// Whether this daemon is the acting holder or has recently received a heartbeat of one.
    pub fn hears_holder(&self, now: Timestamp) -> bool {
        let held = self.held.as_ref();
        held.is_some_and(|held| held.provisional_period.is_none()) || !self.is_silent(now)
    }

    /// Handles a runner's rejection of this daemon's term: the runner has seen a higher one, so
    /// another daemon is coordinator.
    pub fn handle_fenced_off(&mut self, term: u64) -> Option<LeaseChange> {
        let held = self.held.take_if(|held| held.lease.record.term == term)?;
        self.next_read = Timestamp::ZERO;
        self.observed = None;
        Some(LeaseChange::Lost {
            term: held.lease.record.term,
            reason: LossReason::FencedOff,
        })
    }

    /// Starts the shutdown: the daemon takes no lease any more and releases the one that it holds.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Sets whether this daemon is partitioned from all runners, while others reach them. A holder then releases the
    /// lease, since its orders reach nobody, and leaves it to others first.
    pub fn set_partitioned(&mut self, is_partitioned: bool, now: Timestamp) {
        if is_partitioned {
            self.partitioned_since.get_or_insert(now);
        } else {
            self.partitioned_since = None;
        }
    }

    /// Whether this daemon releases a lease that it holds. A successor gives no orders until the lease would have
    /// expired, so a short partition is waited out.
    fn is_releasing(&self, now: Timestamp) -> bool {
        let is_partitioned_long_enough =
            |since: Timestamp| now.since(since) >= self.settings.duration / RELEASE_DIVISOR;
        self.stopping
            || self
                .partitioned_since
                .is_some_and(is_partitioned_long_enough)
    }

    /// Whether this daemon has created the first lease of the system: there was no object in a store that was never
    /// restored from a backup, and no daemon has named a term.
    pub fn created_first(&self) -> bool {
        self.created_first
    }

    /// Whether this daemon holds no lease that is still to be released.
    pub fn is_released(&self) -> bool {
        self.held.is_none()
    }

    /// Latest time at which [`Self::poll`] is due.
    pub fn next_poll(&self, now: Timestamp) -> Timestamp {
        let idle = now + self.settings.renewal / 2;
        match (&self.held, &self.pending_call) {
            (Some(held), None) => idle.min((held.renewed_at + self.settings.renewal).max(now)),
            _ => idle,
        }
    }

    /// Drops an expired lease, and returns the call that is due.
    pub fn poll(&mut self, now: Timestamp) -> (Option<LeaseCall>, Option<LeaseChange>) {
        let expired = self.held.take_if(|held| now >= held.valid_until);
        let change = expired.map(|held| {
            self.observed = None;
            self.next_read = now;
            LeaseChange::Lost {
                term: held.lease.record.term,
                reason: LossReason::Expired,
            }
        });
        if self.pending_call.is_some() {
            return (None, change);
        }
        let call = self.due_call(now);
        self.pending_call = call.clone().map(|call| (call, now));
        (call, change)
    }

    fn due_call(&mut self, now: Timestamp) -> Option<LeaseCall> {
        if let Some(held) = &self.held {
            let lease = &held.lease;
            let ends_provisional_period = held
                .provisional_period
                .is_some_and(|it| it.can_end(now, self.settings.duration));
            let is_due = now >= held.renewed_at + self.settings.renewal;
            let is_releasing = self.is_releasing(now);
            if !is_releasing && !ends_provisional_period && !is_due {
                return None;
            }
            if held.is_missing {
                return Some(LeaseCall::Create(self.renewed(lease)));
            }
            if !self.eras.is_current(lease) {
                return Some(LeaseCall::Read);
            }
            if is_releasing {
                let record = LeaseRecord {
                    released: true,
                    ..self.renewed(lease)
                };
                return Some(LeaseCall::Replace(record, lease.revision));
            }
            return Some(LeaseCall::Replace(self.renewed(lease), lease.revision));
        }
        if self.stopping {
            return None;
        }
        if self.observed.is_none() {
            return self.read_if_due(now);
        }
        if self.is_read_due_to_silence(now) {
            return self.take_over_or_read(now);
        }
        None
    }

    fn is_silent(&self, now: Timestamp) -> bool {
        self.heartbeat_at
            .is_none_or(|at| now.since(at) >= self.settings.silence)
    }

    fn renewed(&self, lease: &StoredLease) -> LeaseRecord {
        let held = self.held.as_ref();
        let record = LeaseRecord {
            renewals: lease.record.renewals + 1,
            provisional: held.is_some_and(|held| held.provisional_period.is_some()),
            era: self.eras.latest(),
            ..lease.record.clone()
        };
        self.hints.write_into(record, self.last_record())
    }
}
