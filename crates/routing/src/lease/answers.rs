//! What the store's answers say of the lease.

use flaxward_types::time::Timestamp;

use super::probation::Probation;
use super::superseded::Superseded;
use super::{
    Held, LeaseAnswer, LeaseCall, LeaseChange, LeaseMachine, LossReason, Observed, StoredLease,
    UnreadableLease,
};

impl LeaseMachine {
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
        let duration = self.settings.duration;
        if lease.record.released {
            self.held = None;
            self.observe(lease, sent_at);
            let reason = LossReason::Released;
            return Some(LeaseChange::Lost { term, reason });
        }
        let before = self.held.take();
        let renewed = before.filter(|held| held.lease.record.term == term);
        let probation_before = match &renewed {
            Some(held) => held.probation,
            None => lease.record.provisional.then(Probation::default),
        };
        let probation = probation_before.and_then(|it| it.confirmed(sent_at, now, duration));
        self.held = Some(Held {
            valid_until: sent_at + duration.saturating_sub(self.settings.margin),
            confirmed_at: sent_at,
            renewed_at: sent_at,
            is_missing: false,
            probation,
            lease,
        });
        let orders_from = self.orders_from(sent_at);
        match (renewed, probation) {
            (None, Some(_)) => Some(LeaseChange::Claimed { term }),
            (Some(held), None) if held.probation.is_none() => None,
            (_, None) => Some(LeaseChange::Acquired { term, orders_from }),
            (Some(_), Some(_)) => None,
        }
    }

    /// Earliest time of the first order under a lease that is confirmed now: one that was given back may be acted under until
    /// it would have run out.
    fn orders_from(&mut self, sent_at: Timestamp) -> Timestamp {
        let replaced = self.observed.take();
        let is_given_back = |seen: &Observed| {
            let lease = seen.lease.as_ref();
            lease.is_some_and(|lease| lease.record.released)
        };
        let given_back = replaced.filter(is_given_back);
        given_back.map_or(sent_at, |seen| {
            seen.unchanged_since + self.settings.duration
        })
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
}
