//! When a daemon looks at the lease, and when it may take one that it has read.

use std::time::Duration;

use flaxward_types::time::Timestamp;

use super::superseded::Superseded;
use super::{LeaseCall, LeaseMachine, LeaseRecord, Observed, StoredLease};
use crate::strength::MachineStrength;

/// Leases for which a daemon that does not stand by hears nothing of a holder before it reads the lease: by
/// then the standbys have had their turn.
const RESERVE_SILENCE_LEASES: u32 = 2;

impl LeaseMachine {
    /// For how long this daemon leaves a lease that it has seen free to others. A weak one waits a whole lease,
    /// in which every stronger one that lives has looked at it.
    pub fn candidacy_delay(&self) -> Duration {
        if self.hints.is_weak() {
            self.settings.duration
        } else {
            Duration::ZERO
        }
    }

    pub(super) fn take_over_or_read(&mut self, now: Timestamp) -> Option<LeaseCall> {
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

    pub(super) fn read_if_due(&mut self, now: Timestamp) -> Option<LeaseCall> {
        if now < self.next_read {
            return None;
        }
        self.next_read = now + self.look_interval();
        Some(LeaseCall::Read)
    }

    /// A term that no holder had; `last` is the object that names one, if it is there.
    fn next_term(&self, last: Option<&StoredLease>) -> u64 {
        let recorded = last.map_or(0, |lease| lease.record.term);
        let highest = recorded.max(self.highest_term);
        highest.max(self.eras.term_floor(last)) + 1
    }

    /// Time after which any lease that was confirmed has run out.
    pub(super) fn expiry(&self) -> Duration {
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

    /// Whether the lease has long been held by somebody whom nobody follows, since a higher term was used. Whoever had that
    /// term has had time to write it again, and stronger machines to take it. One that was not renewed for a while is soon free,
    /// without a probation.
    fn is_superseded(&self, observed: &Observed, now: Timestamp) -> bool {
        let is_renewed = now.since(observed.unchanged_since) < self.settings.duration / 2;
        let time = self.expiry() + self.candidacy_delay();
        let is_renewed_below = |it: &Superseded| it.is_renewed_for(time, now);
        is_renewed && self.superseded.as_ref().is_some_and(is_renewed_below)
    }

    /// Whether this daemon may take a lease that was read.
    fn may_take(&self, observed: &Observed, now: Timestamp) -> bool {
        let lease = observed.lease.as_ref();
        let is_outdated = lease.is_some_and(|lease| !self.eras.is_present(lease));
        if is_outdated {
            return false;
        }
        if self.is_superseded(observed, now) {
            return true;
        }
        let delay = self.candidacy_delay();
        if delay.is_zero() {
            return self.is_free(observed, now);
        }
        let seen = observed.seen_free_since;
        seen.is_some_and(|since| now.since(since) >= delay)
    }

    /// Notes whether the store has just shown the lease to be free.
    pub(super) fn note_free(&mut self, now: Timestamp) {
        let is_free = self
            .observed
            .as_ref()
            .is_some_and(|observed| self.is_free(observed, now));
        if let Some(observed) = &mut self.observed {
            let since = observed.seen_free_since.unwrap_or(now);
            observed.seen_free_since = is_free.then_some(since);
        }
    }

    pub(super) fn observe(&mut self, lease: StoredLease, now: Timestamp) {
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

    /// Whether this daemon has heard nothing of a holder for so long that it looks at the lease.
    pub(super) fn may_look(&self, now: Timestamp) -> bool {
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
}
