//! Processing of the store's answers to lease calls.

use flaxward_types::time::Timestamp;

use crate::revision::StoreEra;

use super::provisional_period::ProvisionalPeriod;
use super::superseded::Superseded;
use super::{
    Held, LeaseAnswer, LeaseCall, LeaseChange, LeaseStateMachine, LossReason, Observed,
    StoredLease, UnreadableLease,
};

impl LeaseStateMachine {
    /// Processes the outcome of the pending call.
    pub fn handle_answer(&mut self, answer: LeaseAnswer, now: Timestamp) -> Option<LeaseChange> {
        let (call, sent_at) = self.pending_call.take()?;
        self.created_first = self.is_first(&call, &answer);
        self.note_answer(&answer, now);
        match answer {
            // The precondition named a revision of another history, where the same number may
            // belong to a different change.
            LeaseAnswer::Written(lease) if lease.record.era != lease.revision.era => {
                self.handle_found(lease, now)
            }
            LeaseAnswer::Written(lease) => self.handle_written(lease, sent_at, now),
            LeaseAnswer::Found(lease) => self.handle_found(lease, now),
            LeaseAnswer::Unreadable(lease) => self.handle_unreadable(lease, now),
            LeaseAnswer::Missing(_) => {
                if self.held.is_some() {
                    return self.handle_own_missing(now);
                }
                self.superseded = None;
                let seen = self.observed.take();
                let missing = seen.filter(|seen| seen.lease.is_none());
                self.observed = Some(missing.unwrap_or(Observed {
                    lease: None,
                    unchanged_since: now,
                    seen_free_since: None,
                }));
                self.update_seen_free_since(now);
                None
            }
            LeaseAnswer::Unknown => {
                if call != LeaseCall::Read && self.held.is_none() {
                    self.observed = None;
                    self.next_read = now;
                }
                self.schedule_early_renewal(now);
                None
            }
        }
    }

    /// Whether an answer confirms that the first lease of the system was created.
    fn is_first(&self, call: &LeaseCall, answer: &LeaseAnswer) -> bool {
        let LeaseAnswer::Written(lease) = answer else {
            return false;
        };
        let is_created = matches!(call, LeaseCall::Create(_)) && self.held.is_none();
        is_created && lease.revision.era == StoreEra::FIRST && self.highest_term == 0
    }

    /// Records the era and the term in an answer.
    fn note_answer(&mut self, answer: &LeaseAnswer, now: Timestamp) {
        if let Some(revision) = answer.revision() {
            self.note_era(revision.era, now);
        }
        if let LeaseAnswer::Written(lease) | LeaseAnswer::Found(lease) = answer {
            self.note_term(lease, now);
        }
    }

    /// Records the term under which the lease was read or written.
    fn note_term(&mut self, lease: &StoredLease, now: Timestamp) {
        let before = self.superseded.take();
        if lease.record.term < self.highest_term {
            self.superseded = Some(Superseded::note(before, lease.revision, now));
        }
        self.highest_term = self.highest_term.max(lease.record.term);
    }

    /// A renewal without an answer may have been applied. The next one must name the object's
    /// current revision, so the object is read soon.
    fn schedule_early_renewal(&mut self, now: Timestamp) {
        if let Some(held) = &mut self.held {
            held.renewed_at = now - self.settings.renewal * 3 / 4;
        }
    }

    /// Handles the loss of the object of a lease that this daemon holds: it creates the object
    /// again while the lease is valid.
    fn handle_own_missing(&mut self, now: Timestamp) -> Option<LeaseChange> {
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

    fn handle_written(
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
        let previous_period = match &renewed {
            Some(held) => held.provisional_period,
            None => lease.record.provisional.then(ProvisionalPeriod::default),
        };
        let provisional_period =
            previous_period.and_then(|it| it.after_confirmation(sent_at, now, duration));
        self.held = Some(Held {
            valid_until: sent_at + duration.saturating_sub(self.settings.margin),
            confirmed_at: sent_at,
            renewed_at: sent_at,
            is_missing: false,
            provisional_period,
            lease,
        });
        let orders_from = self.orders_from(sent_at);
        match (renewed, provisional_period) {
            (None, Some(_)) => Some(LeaseChange::Claimed { term }),
            (Some(held), None) if held.provisional_period.is_none() => None,
            (_, None) => Some(LeaseChange::Acquired { term, orders_from }),
            (Some(_), Some(_)) => None,
        }
    }

    /// Earliest time of the first order under a lease that is confirmed now. A holder that released
    /// its lease may still act under it until it would have expired.
    fn orders_from(&mut self, sent_at: Timestamp) -> Timestamp {
        let replaced = self.observed.take();
        let was_released = |seen: &Observed| {
            let lease = seen.lease.as_ref();
            lease.is_some_and(|lease| lease.record.released)
        };
        let released = replaced.filter(was_released);
        released.map_or(sent_at, |seen| {
            seen.unchanged_since + self.settings.duration
        })
    }

    fn handle_found(&mut self, lease: StoredLease, now: Timestamp) -> Option<LeaseChange> {
        if let Some(held) = &mut self.held {
            let record = &held.lease.record;
            let same_term = record.term == lease.record.term;
            let is_own = same_term && record.incarnation == lease.record.incarnation;
            let is_restored =
                lease.record.term < record.term && lease.revision.era > held.lease.revision.era;
            if is_own || is_restored {
                // Either a renewal whose answer was lost has been applied, or the store has lost
                // the last ones. A renewal number must not be used twice, since other daemons
                // derive from it when a renewal was sent.
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

    /// Handles a lease object overwritten by another writer. Its holder may still hold the lease
    /// until its last renewal expires, so it is taken over like that of an unresponsive holder:
    /// once this daemon has seen the object unchanged for a full lease duration, and on the
    /// condition that it still is. A holder gives the lease up at once.
    fn handle_unreadable(&mut self, lease: UnreadableLease, now: Timestamp) -> Option<LeaseChange> {
        self.observe(lease.to_placeholder(), now);
        let held = self.held.take()?;
        Some(LeaseChange::Lost {
            term: held.lease.record.term,
            reason: LossReason::TakenOver,
        })
    }
}
