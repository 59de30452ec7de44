//! Which probes wait for an answer, and which are made on another's behalf.

use std::collections::BTreeMap;

use flaxward_types::{DaemonName, Timestamp};
use flaxward_wire::Peer;

/// Most probes made for others at one time; more are not made.
const MAX_RELAYED: usize = 256;

/// The probe of the current period.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Comes back in the answer.
    pub sequence: u64,
    /// Who is probed.
    pub target: Peer,
    /// When it began.
    pub began: Timestamp,
    /// Whether others were asked to probe as well.
    pub indirect: bool,
    /// Whether it was answered.
    pub answered: bool,
}

/// A probe made for another member.
#[derive(Clone, Debug)]
struct Relayed {
    asker: Peer,
    sequence: u64,
    began: Timestamp,
}

/// The probes of one daemon.
#[derive(Clone, Debug, Default)]
pub struct Probes {
    sequence: u64,
    /// The probe of the current period.
    pub current: Option<Probe>,
    relayed: BTreeMap<u64, Relayed>,
}

impl Probes {
    /// A sequence number not used before.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Notes an answer. The name is compared as well: another daemon may have taken over the
    /// address, and a former start of this one used the same sequences.
    pub fn answered(&mut self, sequence: u64, target: &DaemonName) {
        if let Some(probe) = &mut self.current
            && probe.sequence == sequence
            && probe.target.name == *target
        {
            probe.answered = true;
        }
    }

    /// Begins a probe on behalf of `asker` and returns its sequence.
    pub fn relay(&mut self, asker: Peer, sequence: u64, now: Timestamp) -> Option<u64> {
        if self.relayed.len() >= MAX_RELAYED {
            return None;
        }
        let own = self.next_sequence();
        let relayed = Relayed {
            asker,
            sequence,
            began: now,
        };
        self.relayed.insert(own, relayed);
        Some(own)
    }

    /// The asker and its sequence, if an answer belongs to a probe made for another.
    pub fn relayed(&mut self, sequence: u64) -> Option<(Peer, u64)> {
        self.relayed
            .remove(&sequence)
            .map(|relayed| (relayed.asker, relayed.sequence))
    }

    /// Gives up probes made for others that began before `limit`.
    pub fn expire_before(&mut self, limit: Timestamp) {
        self.relayed.retain(|_, relayed| relayed.began >= limit);
    }
}
