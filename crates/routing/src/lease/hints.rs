//! Additional data that a holder writes into the lease record, for daemons that receive no messages
//! from others.

use std::net::SocketAddr;

use super::LeaseRecord;
use crate::fingerprint::RequestFingerprint;
use crate::quarantine::QuarantineEntry;
use crate::stream_origins::VersionRecord;
use crate::strength::MachineStrength;

/// What this daemon knows about the other daemons.
#[derive(Debug, Default)]
pub(super) struct Hints {
    strength: MachineStrength,
    /// The strongest known machine, including this one.
    strongest: Option<MachineStrength>,
    /// Listen addresses of the known daemons, including this one; empty if unknown.
    pub members: Vec<SocketAddr>,
    /// Requests in quarantine.
    quarantine: Vec<QuarantineEntry>,
    /// Software versions of the runners.
    pub versions: Option<VersionRecord>,
}

impl Hints {
    /// Sets the capacity of this machine.
    pub fn set_strength(&mut self, strength: MachineStrength) {
        self.strength = strength;
    }

    /// Sets the strongest known machine; this machine counts too.
    pub fn set_strongest(&mut self, strongest: MachineStrength) {
        self.strongest = Some(strongest.max(self.strength));
    }

    /// Takes the strongest machine from a record, unless one is already known.
    pub fn read_strongest(&mut self, strongest: MachineStrength) {
        if self.strongest.is_none() {
            self.set_strongest(strongest);
        }
    }

    /// Whether this machine is weak compared with the strongest one.
    pub fn is_weak(&self) -> bool {
        self.strength.is_weak_beside(self.strongest)
    }

    /// Sets the quarantined requests. Returns whether one was added, removed or has changed its
    /// step.
    pub fn set_quarantine(&mut self, entries: Vec<QuarantineEntry>) -> bool {
        let steps = |entries: &[QuarantineEntry]| -> Vec<(RequestFingerprint, u32)> {
            let steps = entries.iter().map(|it| (it.fingerprint, it.step));
            steps.collect()
        };
        let has_changed = steps(&self.quarantine) != steps(&entries);
        self.quarantine = entries;
        has_changed
    }

    /// Adds this data to a record. `last` is the record that was read last; what this daemon does not know yet is
    /// taken from it.
    pub fn write_into(&self, record: LeaseRecord, last: Option<&LeaseRecord>) -> LeaseRecord {
        let members = if self.members.is_empty() {
            last.map_or_else(Vec::new, |last| last.members.clone())
        } else {
            self.members.clone()
        };
        let recorded = last.and_then(|last| last.versions.as_ref());
        LeaseRecord {
            strongest: self.strongest.unwrap_or(self.strength),
            members,
            quarantine: self.quarantine.clone(),
            versions: VersionRecord::better_of(self.versions.as_ref(), recorded),
            ..record
        }
    }
}
