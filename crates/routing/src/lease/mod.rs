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

/// Leases for which a daemon that does not stand by hears nothing of a holder before it reads the lease: by
/// then the standbys have had their turn.
const RESERVE_SILENCE_LEASES: u32 = 2;

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

    /// For how long this daemon leaves a lease that it has seen free to others. A weak one waits a whole lease,
    /// in which every stronger one that lives has looked at it.
    pub fn candidacy_delay(&self) -> Duration {
        if self.hints.is_weak() {
            self.settings.duration
        } else {
            Duration::ZERO
        }
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

    fn read_if_due(&mut self, now: Timestamp) -> Option<LeaseCall> {
        if now < self.next_read {
            return None;
        }
        self.next_read = now + self.look_interval();
        Some(LeaseCall::Read)
    }

    fn take_over_or_read(&mut self, now: Timestamp) -> Option<LeaseCall> {
        let observed = self.observed.as_ref()?;
        if !self.may_take(observed, now) {
            return self.read_if_due(now);
        }
        let Some(lease) = &observed.lease else {
            return Some(LeaseCall::Create(self.first_record()));
        };
        let record = LeaseRecord {
            term: self.next_term(Some(lease)),
            provisional: !self.is_free(observed, now),
            ..self.first_record()
        };
        Some(LeaseCall::Replace(record, lease.revision))
    }

    /// A term that no holder had; `last` is the object that names one, if it is there.
    fn next_term(&self, last: Option<&StoredLease>) -> u64 {
        let recorded = last.map_or(0, |lease| lease.record.term);
        let highest = recorded.max(self.highest_term);
        highest.max(self.eras.term_floor(last)) + 1
    }

    /// Time after which any lease that was confirmed has run out.
    fn expiry(&self) -> Duration {
        self.settings.duration + self.settings.margin
    }

    /// Whether a lease that was read is free by this daemon's clock.
    fn is_free(&self, observed: &Observed, now: Timestamp) -> bool {
        if now.since(observed.unchanged_since) >= self.expiry() {
            return true;
        }
        let Some(lease) = &observed.lease else {
            return self.eras.has_outlasted_loss(self.expiry(), now);
        };
        // A write from before a restore may be carried out after it, at any time, and put an old record over that of a holder:
        // that one has run out once the record was there for a whole lease.
        let is_last_word =
            lease.record.era >= self.eras.latest() && lease.record.term >= self.highest_term;
        let is_given_up = lease.record.released || self.is_mine(lease);
        is_last_word && !lease.record.provisional && is_given_up
    }

    /// Whether the lease is held by somebody whom nobody follows, since a higher term was used. Whoever had that term has had
    /// time to write it again. One that was not renewed for a while is soon free, without a probation.
    fn is_superseded(&self, observed: &Observed, now: Timestamp) -> bool {
        let is_renewed = now.since(observed.unchanged_since) < self.settings.duration / 2;
        let is_renewed_below = |it: &Superseded| it.is_renewed_for(self.expiry(), now);
        is_renewed && self.superseded.as_ref().is_some_and(is_renewed_below)
    }

    /// Whether somebody may take a lease that was read.
    fn is_takeable(&self, observed: &Observed, now: Timestamp) -> bool {
        self.is_free(observed, now) || self.is_superseded(observed, now)
    }

    /// Whether this daemon may take a lease that was read.
    fn may_take(&self, observed: &Observed, now: Timestamp) -> bool {
        let lease = observed.lease.as_ref();
        let is_outdated = lease.is_some_and(|lease| !self.eras.is_present(lease));
        if is_outdated {
            return false;
        }
        let delay = self.candidacy_delay();
        if delay.is_zero() {
            return self.is_takeable(observed, now);
        }
        let seen = observed.seen_free_since;
        seen.is_some_and(|since| now.since(since) >= delay)
    }

    /// Notes whether the store has just shown the lease to be free.
    fn note_free(&mut self, now: Timestamp) {
        let is_free = self
            .observed
            .as_ref()
            .is_some_and(|observed| self.is_takeable(observed, now));
        if let Some(observed) = &mut self.observed {
            let since = observed.seen_free_since.unwrap_or(now);
            observed.seen_free_since = is_free.then_some(since);
        }
    }

    /// Takes in what a call came to.
    pub fn answered(&mut self, answer: LeaseAnswer, now: Timestamp) -> Option<LeaseChange> {
        let (call, sent_at) = self.calling.take()?;
        self.note_answer(&answer, now);
        match answer {
            // The condition named a revision of another history, where it may have been given to another change.
            LeaseAnswer::Written(lease) if lease.record.era != lease.revision.era => {
                self.found(lease, now)
            }
            LeaseAnswer::Written(lease) => self.written(lease, sent_at, now),
            LeaseAnswer::Found(lease) => self.found(lease, now),
            LeaseAnswer::Unreadable(lease) => self.found_unreadable(lease, now),
            LeaseAnswer::Missing(_) => {
                if self.held.is_some() {
                    return self.missing_own(now);
                }
                self.superseded = None;
                let seen = self.observed.take();
                let missing = seen.filter(|seen| seen.lease.is_none());
                self.observed = Some(missing.unwrap_or(Observed {
                    lease: None,
                    unchanged_since: now,
                    seen_free_since: None,
                }));
                self.note_free(now);
                None
            }
            LeaseAnswer::Unknown => {
                if call != LeaseCall::Read && self.held.is_none() {
                    self.observed = None;
                    self.next_read = now;
                }
                self.settle_renewal(now);
                None
            }
        }
    }

    /// Notes the era and the term that an answer tells.
    fn note_answer(&mut self, answer: &LeaseAnswer, now: Timestamp) {
        if let Some(revision) = answer.revision() {
            self.note_era(revision.era, now);
        }
        if let LeaseAnswer::Written(lease) | LeaseAnswer::Found(lease) = answer {
            self.note_term(lease, now);
        }
    }

    /// Notes under which term the lease was read or written.
    fn note_term(&mut self, lease: &StoredLease, now: Timestamp) {
        let before = self.superseded.take();
        if lease.record.term < self.highest_term {
            self.superseded = Some(Superseded::note(before, lease.revision, now));
        }
        self.highest_term = self.highest_term.max(lease.record.term);
    }

    /// A renewal without an answer may have been done; the next one must name the revision that the
    /// object has by then, so the object is read.
    fn settle_renewal(&mut self, now: Timestamp) {
        if let Some(held) = &mut self.held {
            held.renewed_at = now - self.settings.renewal * 3 / 4;
        }
    }

    /// The object is gone with which this daemon holds the lease. It makes it again while the lease lasts.
    fn missing_own(&mut self, now: Timestamp) -> Option<LeaseChange> {
        if self.stopping {
            let term = self.held.take()?.lease.record.term;
            let reason = LossReason::Released;
            return Some(LeaseChange::Lost { term, reason });
        }
        let held = self.held.as_mut()?;
        held.is_missing = true;
        held.renewed_at = now - self.settings.renewal;
        None
    }

    fn written(
        &mut self,
        lease: StoredLease,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> Option<LeaseChange> {
        let term = lease.record.term;
        if lease.record.released {
            self.held = None;
            self.observe(lease, sent_at);
            return Some(LeaseChange::Lost {
                term,
                reason: LossReason::Released,
            });
        }
        let before = self.held.take();
        let renewed = before.filter(|held| held.lease.record.term == term);
        let is_known = renewed.is_some();
        let was_in_force = renewed.as_ref().is_some_and(|it| it.probation.is_none());
        let probation = match renewed {
            Some(held) => held.probation,
            None => lease.record.provisional.then(Probation::default),
        };
        let duration = self.settings.duration;
        let probation = probation.and_then(|it| it.confirmed(sent_at, now, duration));
        self.held = Some(Held {
            valid_until: sent_at + self.settings.duration.saturating_sub(self.settings.margin),
            confirmed_at: sent_at,
            renewed_at: sent_at,
            is_missing: false,
            probation,
            lease,
        });
        let orders_from = match self.observed.take() {
            Some(observed)
                if observed
                    .lease
                    .as_ref()
                    .is_some_and(|old| old.record.released) =>
            {
                observed.unchanged_since + self.settings.duration
            }
            _ => sent_at,
        };
        if probation.is_some() {
            return (!is_known).then_some(LeaseChange::Claimed { term });
        }
        (!was_in_force).then_some(LeaseChange::Acquired { term, orders_from })
    }

    fn found(&mut self, lease: StoredLease, now: Timestamp) -> Option<LeaseChange> {
        if let Some(held) = &mut self.held {
            let record = &held.lease.record;
            let same_term = record.term == lease.record.term;
            let is_own = same_term && record.incarnation == lease.record.incarnation;
            let is_of_copy =
                lease.record.term < record.term && lease.revision.era > held.lease.revision.era;
            if is_own || is_of_copy {
                // A renewal whose answer was lost has been done, or the store has lost the last ones. Their number must
                // not be used twice, since others know by it when a renewal was sent.
                held.lease.revision = lease.revision;
                held.lease.record.renewals = record.renewals.max(lease.record.renewals);
                held.renewed_at = now - self.settings.renewal;
                held.is_missing = false;
                return None;
            }
            let term = held.lease.record.term;
            self.held = None;
            self.observe(lease, now);
            return Some(LeaseChange::Lost {
                term,
                reason: LossReason::TakenOver,
            });
        }
        let record = lease.record.clone();
        self.hints.read_strongest(record.strongest);
        self.observe(lease, now);
        (!record.released).then_some(LeaseChange::Holder {
            address: record.address,
            term: record.term,
        })
    }

    /// Somebody has overwritten the lease. Whoever held it may still do so for as long as a renewal holds, so it is taken
    /// over as one whose holder is silent: once this daemon has seen it unchanged for a whole lease, and on the condition
    /// that it still is. A holder gives it up at once.
    fn found_unreadable(&mut self, lease: UnreadableLease, now: Timestamp) -> Option<LeaseChange> {
        self.observe(lease.stand_in(), now);
        let held = self.held.take()?;
        Some(LeaseChange::Lost {
            term: held.lease.record.term,
            reason: LossReason::TakenOver,
        })
    }

    fn observe(&mut self, lease: StoredLease, now: Timestamp) {
        let is_seen = |seen: &Observed| {
            let seen = seen.lease.as_ref();
            seen.is_some_and(|seen| seen.revision == lease.revision)
        };
        if !self.observed.as_ref().is_some_and(is_seen) {
            let told = self.told_renewal(&lease);
            self.observed = Some(Observed {
                lease: Some(lease),
                unchanged_since: told.unwrap_or(now).min(now),
                seen_free_since: None,
            });
        }
        self.note_free(now);
    }

    /// When the holder has sent its last renewal at the latest, if it has told of that very one. A later
    /// renewal would show in the record, whether its holder knows of it or not, unless the store has lost it.
    fn told_renewal(&self, lease: &StoredLease) -> Option<Timestamp> {
        let told = self
            .told
            .filter(|_| lease.record.era == lease.revision.era)?;
        let record = &lease.record;
        let is_same = told.term == record.term && told.renewals == record.renewals;
        is_same.then_some(told.renewed_at)
    }

    fn is_silent(&self, now: Timestamp) -> bool {
        self.heard_at
            .is_none_or(|at| now.since(at) >= self.settings.silence)
    }

    /// Whether this daemon has heard nothing of a holder for so long that it looks at the lease.
    fn may_look(&self, now: Timestamp) -> bool {
        self.heard_at
            .is_none_or(|at| now.since(at) >= self.look_interval())
    }

    /// Time without a word of a holder until this daemon looks at the lease, and between two looks.
    fn look_interval(&self) -> Duration {
        if self.stands_by {
            self.settings.silence
        } else {
            self.settings.duration * RESERVE_SILENCE_LEASES
        }
    }

    /// Whether the holder is this daemon, or a life of it that has ended: no two processes have the
    /// address at one time.
    fn is_mine(&self, lease: &StoredLease) -> bool {
        lease.record.holder == self.name && lease.record.address == self.address
    }

    /// The record of a holder that begins.
    fn first_record(&self) -> LeaseRecord {
        let record = LeaseRecord {
            holder: self.name.clone(),
            incarnation: self.incarnation,
            address: self.address,
            term: self.next_term(None),
            renewals: 0,
            released: false,
            provisional: false,
            era: self.eras.latest(),
            strongest: MachineStrength::default(),
            members: Vec::new(),
            quarantine: Vec::new(),
        };
        self.hints.write_into(record, self.recorded_members())
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
