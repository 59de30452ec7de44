//! The lease of the coordinator, as one object of the store that is changed by condition.
//!
//! A holder counts its lease from the moment at which it *sent* the last renewal that was confirmed,
//! and stops by its own clock. Others take the lease over when they themselves have seen no renewal
//! for the whole duration, by their own steady clock. The term rises with each holder and is the
//! fence of its orders.
//!
//! The store may come back from a copy some seconds old. Renewals and whole terms are lost then, so that the object may
//! show a former holder, one that gave the lease back, or none, while another one still acts under a lease that was
//! confirmed. Therefore
//!
//! - what the object says counts as the last word on it only if it was written in the era of the store's answer; else a
//!   daemon waits until it was there unchanged for a whole lease, by which any holder has run out;
//! - a holder whose lease was lost writes it again while it lasts;
//! - terms of an era begin above all of the eras before, and above each that was heard of, so that none is used twice.
//!
//! A build that knows of no eras may take the lease after a restore under a term below one that was used. Members and
//! runners that know the higher term do not follow it, so a daemon that does takes the lease from it ([`probation`]).

mod answers;
mod candidacy;
mod eras;
mod hints;
mod probation;
mod record;
mod superseded;

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};

use crate::quarantine::QuarantineEntry;
use crate::revision::StoreEra;
use crate::strength::MachineStrength;

use eras::Eras;
use hints::Hints;
use probation::Probation;
use superseded::Superseded;

pub use record::{
    LeaseAnswer, LeaseCall, LeaseChange, LeasePulse, LeaseRecord, LeaseSettings, LossReason,
    StoredLease, UnreadableLease,
};

#[derive(Clone, Debug, PartialEq, Eq)]
struct Held {
    lease: StoredLease,
    valid_until: Timestamp,
    /// When the last confirmed renewal was sent.
    confirmed_at: Timestamp,
    renewed_at: Timestamp,
    /// The store has lost the object.
    is_missing: bool,
    /// It was taken from a holder that may still act.
    probation: Option<Probation>,
}

impl Held {
    /// Whether this daemon may act under it.
    fn is_in_force(&self, now: Timestamp) -> bool {
        now < self.valid_until && self.probation.is_none()
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Observed {
    lease: Option<StoredLease>,
    unchanged_since: Timestamp,
    /// Since when the store has shown this daemon that the lease is free. An outage of the store is no
    /// such time: when it ends, stronger daemons must have their turn first.
    seen_free_since: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ToldRenewal {
    term: u64,
    renewals: u64,
    /// No earlier than the holder sent it, by this daemon's clock.
    renewed_at: Timestamp,
}

/// One daemon's side of the lease.
#[derive(Debug)]
pub struct LeaseMachine {
    settings: LeaseSettings,
    name: String,
    incarnation: u64,
    address: SocketAddr,
    held: Option<Held>,
    observed: Option<Observed>,
    calling: Option<(LeaseCall, Timestamp)>,
    next_read: Timestamp,
    heard_at: Option<Timestamp>,
    told: Option<ToldRenewal>,
    eras: Eras,
    /// The highest term that this daemon had, read or heard of.
    highest_term: u64,
    /// The lease was read under lower terms only, and no holder of that term was heard since.
    superseded: Option<Superseded>,
    hints: Hints,
    /// This daemon looks for a free lease before others do. Until it is told that it does not, it does.
    stands_by: bool,
    stopping: bool,
}

impl LeaseMachine {
    /// A daemon that has not read the lease yet.
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
            calling: None,
            next_read: Timestamp::ZERO,
            heard_at: None,
            told: None,
            eras: Eras::default(),
            highest_term: 0,
            superseded: None,
            hints: Hints::default(),
            stands_by: true,
            stopping: false,
        }
    }

    /// The same for a machine of this strength.
    #[must_use]
    pub fn with_strength(mut self, strength: MachineStrength) -> Self {
        self.hints.set_strength(strength);
        self
    }

    /// Sets which is the strongest machine heard of; the record tells it to those who hear nobody.
    pub fn set_strongest(&mut self, strongest: MachineStrength) {
        self.hints.set_strongest(strongest);
    }

    /// Sets where the daemons listen; the record tells it to those who hear nobody.
    pub fn set_members(&mut self, members: Vec<SocketAddr>) {
        self.hints.members = members;
    }

    /// Where the daemons listened by the record that was read last; none if it does not tell.
    pub fn recorded_members(&self) -> &[SocketAddr] {
        let held = self.held.as_ref().map(|held| &held.lease);
        let observed = self.observed.as_ref().and_then(|seen| seen.lease.as_ref());
        held.or(observed).map_or(&[], |lease| &lease.record.members)
    }

    /// Sets what this daemon knows of requests in quarantine. The record tells it to daemons that start, so a holder
    /// renews the lease soon if a request has come to another step.
    pub fn set_quarantine(&mut self, entries: Vec<QuarantineEntry>) {
        let has_news = self.hints.set_quarantine(entries);
        if let Some(held) = self.held.as_mut().filter(|_| has_news) {
            held.renewed_at = held.renewed_at - self.settings.renewal;
        }
    }

    /// Sets whether this daemon looks for a free lease before others do.
    pub fn set_stands_by(&mut self, stands_by: bool) {
        self.stands_by = stands_by;
    }

    /// The holder of a term has said that it holds the lease no longer. A standby need not wait until it is
    /// silent.
    pub fn ended(&mut self, term: u64, now: Timestamp) {
        let is_heard = self.told.is_some_and(|told| told.term == term);
        if is_heard && self.stands_by && self.held.is_none() {
            self.heard_at = None;
            self.next_read = now;
        }
    }

    /// The term under which this daemon may give orders now.
    pub fn term(&self, now: Timestamp) -> Option<u64> {
        let held = self.held.as_ref()?;
        (held.is_in_force(now) && !self.stopping).then_some(held.lease.record.term)
    }

    /// What this daemon tells of the lease that it holds.
    pub fn pulse(&self, now: Timestamp) -> Option<LeasePulse> {
        let held = self.held.as_ref().filter(|it| it.probation.is_none())?;
        Some(LeasePulse {
            term: held.lease.record.term,
            renewals: held.lease.record.renewals,
            age_ms: u32::try_from(millis(now.since(held.confirmed_at))).unwrap_or(u32::MAX),
        })
    }

    /// A message of a holder has come. One whose term is below a known one is followed by nobody who knows that.
    pub fn heard(&mut self, pulse: LeasePulse, now: Timestamp) {
        if pulse.term < self.highest_term {
            return;
        }
        self.highest_term = pulse.term;
        self.superseded = None;
        self.heard_at = Some(now);
        self.told = Some(ToldRenewal {
            term: pulse.term,
            renewals: pulse.renewals,
            renewed_at: now - Duration::from_millis(u64::from(pulse.age_ms)),
        });
    }

    /// The store is in this era, or a later one.
    pub fn note_era(&mut self, era: StoreEra, now: Timestamp) {
        if !self.eras.note(era, now) {
            return;
        }
        // That there was no object says nothing of this era, nor does what was read before.
        self.observed.take_if(|seen| seen.lease.is_none());
        self.superseded = None;
        // Its own may be lost, so it is looked at soon.
        if let Some(held) = &mut self.held {
            held.renewed_at = now - self.settings.renewal;
            if let Some(probation) = &mut held.probation {
                probation.begin_anew();
            }
        }
    }

    /// Whether a holder was heard lately.
    pub fn hears_holder(&self, now: Timestamp) -> bool {
        let held = self.held.as_ref();
        held.is_some_and(|held| held.probation.is_none()) || !self.is_silent(now)
    }

    /// A runner has seen a higher term than this daemon's, so another one coordinates.
    pub fn refused(&mut self, term: u64) -> Option<LeaseChange> {
        let held = self.held.take_if(|held| held.lease.record.term == term)?;
        self.next_read = Timestamp::ZERO;
        self.observed = None;
        Some(LeaseChange::Lost {
            term: held.lease.record.term,
            reason: LossReason::FencedOff,
        })
    }

    /// This daemon stops: it takes no lease any more and gives back the one it holds.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether nothing is left to give back.
    pub fn is_released(&self) -> bool {
        self.held.is_none()
    }

    /// When [`Self::poll`] is due at the latest.
    pub fn next_poll(&self, now: Timestamp) -> Timestamp {
        let idle = now + self.settings.renewal / 2;
        match (&self.held, &self.calling) {
            (Some(held), None) => idle.min((held.renewed_at + self.settings.renewal).max(now)),
            _ => idle,
        }
    }

    /// Drops a lease that has run out, and returns the call that is due.
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
        if self.calling.is_some() {
            return (None, change);
        }
        let call = self.due_call(now);
        self.calling = call.clone().map(|call| (call, now));
        (call, change)
    }

    fn due_call(&mut self, now: Timestamp) -> Option<LeaseCall> {
        if let Some(held) = &self.held {
            let lease = &held.lease;
            let ends_probation = held
                .probation
                .is_some_and(|it| it.may_end(now, self.settings.duration));
            let is_due = now >= held.renewed_at + self.settings.renewal;
            if !self.stopping && !ends_probation && !is_due {
                return None;
            }
            if held.is_missing {
                return Some(LeaseCall::Create(self.renewed(lease)));
            }
            if !self.eras.is_present(lease) {
                return Some(LeaseCall::Read);
            }
            if self.stopping {
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
        if self.may_look(now) {
            return self.take_over_or_read(now);
        }
        None
    }

    fn is_silent(&self, now: Timestamp) -> bool {
        self.heard_at
            .is_none_or(|at| now.since(at) >= self.settings.silence)
    }

    fn renewed(&self, lease: &StoredLease) -> LeaseRecord {
        let held = self.held.as_ref();
        let record = LeaseRecord {
            renewals: lease.record.renewals + 1,
            provisional: held.is_some_and(|held| held.probation.is_some()),
            era: self.eras.latest(),
            ..lease.record.clone()
        };
        self.hints.write_into(record, self.recorded_members())
    }
}
