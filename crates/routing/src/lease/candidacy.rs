//! Decides when a daemon reads the lease, and when it may take over a lease that it has read.

use std::time::Duration;

use flaxward_types::time::Timestamp;

use super::superseded::Superseded;
use super::{LeaseCall, LeaseRecord, LeaseStateMachine, Observed, StoredLease};
use crate::strength::MachineStrength;

/// Number of lease durations without a message from a holder after which a daemon that is not a
/// standby reads the lease: by then the standbys have had the chance to take it.
const NON_STANDBY_SILENCE_LEASES: u32 = 2;

/// Number of lease durations for which a daemon that is partitioned from all runners leaves a free
/// lease to others.
const PARTITIONED_DELAY_LEASES: u32 = 2;

impl LeaseStateMachine {
    /// How long this daemon leaves a free lease to others. A weak one waits a full lease duration,
    /// in which every stronger live daemon has read the lease. One that is partitioned from all
    /// runners leaves it to weak ones as well.
    pub fn candidacy_delay(&self) -> Duration {
        if self.partitioned_since.is_some() {
            self.settings.duration * PARTITIONED_DELAY_LEASES
        } else if self.hints.is_weak() {
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
        self.next_read = now + self.read_interval();
        Some(LeaseCall::Read)
    }

    /// Returns a term that no holder has used; `last` is the object with the last recorded term, if
    /// it exists.
    fn next_term(&self, last: Option<&StoredLease>) -> u64 {
        let recorded = last.map_or(0, |lease| lease.record.term);
        let highest = recorded.max(self.highest_term);
        highest.max(self.eras.term_floor(last)) + 1
    }

    /// Time after which any confirmed lease has expired.
    pub(super) fn expiry(&self) -> Duration {
        self.settings.duration + self.settings.margin
    }

    /// Whether a lease that was read is free according to this daemon's clock.
    fn is_free(&self, observed: &Observed, now: Timestamp) -> bool {
        if now.since(observed.unchanged_since) >= self.expiry() {
            return true;
        }
        let Some(lease) = &observed.lease else {
            return self.eras.have_lost_leases_expired(self.expiry(), now);
        };
        // A write issued before a restore may be applied at any time after it and overwrite a
        // holder's record with an old one. The holder's lease has expired once the old record has
        // been there for a full lease duration.
        let is_authoritative =
            lease.record.era >= self.eras.latest() && lease.record.term >= self.highest_term;
        let is_available = lease.record.released || self.is_own(lease);
        is_authoritative && !lease.record.provisional && is_available
    }

    /// Whether the lease has been renewed for long enough by a holder that no daemon follows,
    /// because a higher term has been used. By then the holder of the higher term has had time to
    /// write it again, and stronger machines to take the lease. A lease that was not renewed
    /// recently expires soon and needs no provisional period.
    fn is_superseded(&self, observed: &Observed, now: Timestamp) -> bool {
        let is_renewed = now.since(observed.unchanged_since) < self.settings.duration / 2;
        let time = self.expiry() + self.candidacy_delay();
        let is_renewed_long_enough = |it: &Superseded| it.has_been_renewed_for(time, now);
        is_renewed && self.superseded.as_ref().is_some_and(is_renewed_long_enough)
    }

    /// Whether this daemon may take over a lease that it has read.
    fn may_take(&self, observed: &Observed, now: Timestamp) -> bool {
        let lease = observed.lease.as_ref();
        let is_outdated = lease.is_some_and(|lease| !self.eras.is_current(lease));
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

    /// Records whether the store has just shown the lease to be free.
    pub(super) fn update_seen_free_since(&mut self, now: Timestamp) {
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
            let reported = self.reported_renewal(&lease);
            self.observed = Some(Observed {
                lease: Some(lease),
                unchanged_since: reported.unwrap_or(now).min(now),
                seen_free_since: None,
            });
        }
        self.update_seen_free_since(now);
    }

    /// Latest possible send time of the holder's last renewal, if the holder has reported exactly
    /// that renewal. A later renewal would show in the record, whether or not its holder knows that
    /// it was applied, unless the store has lost it.
    fn reported_renewal(&self, lease: &StoredLease) -> Option<Timestamp> {
        let reported = self
            .reported
            .filter(|_| lease.record.era == lease.revision.era)?;
        let record = &lease.record;
        let is_same = reported.term == record.term && reported.renewals == record.renewals;
        is_same.then_some(reported.renewed_at)
    }

    /// Whether this daemon has received no heartbeat of a holder for so long that it reads the
    /// lease.
    pub(super) fn is_read_due_to_silence(&self, now: Timestamp) -> bool {
        self.heartbeat_at
            .is_none_or(|at| now.since(at) >= self.read_interval())
    }

    /// Time without a heartbeat of a holder until this daemon reads the lease, and interval between
    /// two reads.
    fn read_interval(&self) -> Duration {
        if self.stands_by {
            self.settings.silence
        } else {
            self.settings.duration * NON_STANDBY_SILENCE_LEASES
        }
    }

    /// Whether the holder is this daemon or an earlier incarnation of it: no two processes use the
    /// address at the same time.
    fn is_own(&self, lease: &StoredLease) -> bool {
        lease.record.holder == self.name && lease.record.address == self.address
    }

    /// Builds the record of a new holder.
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
            versions: None,
        };
        self.hints.write_into(record, self.last_record())
    }
}
