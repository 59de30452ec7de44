//! A lease holder running a build without support for eras.

use flaxward_routing::lease::{LeaseAnswer, LeaseCall, LeaseRecord, StoredLease};
use flaxward_types::time::Timestamp;

use crate::world::{CallOutcome, Store, World, settings};

/// Renews the lease by conditional writes while the store shows its own record, and never takes the
/// lease again.
pub struct EarlierHolder {
    held: Option<StoredLease>,
    valid_until: Timestamp,
    renewed_at: Timestamp,
}

impl EarlierHolder {
    /// Creates a holder that has just written its first record.
    pub fn take(store: &mut Store, record: LeaseRecord, now: Timestamp) -> Self {
        let LeaseAnswer::Written(lease) = store.write(&record) else {
            panic!("a write without a condition is done");
        };
        Self {
            held: Some(lease),
            valid_until: Self::validity(now),
            renewed_at: now,
        }
    }

    fn validity(sent_at: Timestamp) -> Timestamp {
        sent_at + settings().duration.saturating_sub(settings().margin)
    }

    /// Whether it may give orders.
    pub fn is_in_force(&self, now: Timestamp) -> bool {
        self.held.is_some() && now < self.valid_until
    }

    /// Renews the lease when that is due.
    pub fn step(&mut self, world: &mut World, outcome: CallOutcome, step: usize) {
        let now = world.time(step);
        self.held.take_if(|_| now >= self.valid_until);
        let Some(held) = &self.held else {
            return;
        };
        if now < self.renewed_at + settings().renewal {
            return;
        }
        self.renewed_at = now;
        let record = LeaseRecord {
            renewals: held.record.renewals + 1,
            ..held.record.clone()
        };
        let call = LeaseCall::Replace(record, held.revision);
        match world.execute(&call, outcome, step) {
            LeaseAnswer::Written(lease) => {
                self.held = Some(lease);
                self.valid_until = Self::validity(now);
            }
            LeaseAnswer::Found(lease) => self.found(lease),
            LeaseAnswer::Missing(_) | LeaseAnswer::Unreadable(_) => self.held = None,
            LeaseAnswer::Unknown => {}
        }
    }

    /// Either a renewal without an answer has been applied, or another daemon has taken the lease.
    fn found(&mut self, lease: StoredLease) {
        let is_own = |held: &StoredLease| {
            let same_term = held.record.term == lease.record.term;
            same_term && held.record.incarnation == lease.record.incarnation
        };
        self.held = self.held.take_if(|held| is_own(held)).map(|_| lease);
    }
}
