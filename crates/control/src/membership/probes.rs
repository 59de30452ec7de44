//! Probes awaiting an answer, including those relayed for other members.

use std::collections::BTreeMap;

use flaxward_types::{DaemonName, Timestamp};
use flaxward_wire::Peer;

/// Maximum number of concurrent probes relayed for others; requests beyond it are dropped.
const MAX_RELAYED: usize = 256;

/// The probe of the current period.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Echoed in the answer.
    pub sequence: u64,
    /// The member probed.
    pub target: Peer,
    /// When it was started.
    pub started_at: Timestamp,
    /// Whether others were asked to probe as well.
    pub indirect: bool,
    /// Whether it was answered.
    pub answered: bool,
}

/// A probe made for another member.
#[derive(Clone, Debug)]
struct RelayedProbe {
    requester: Peer,
    sequence: u64,
    started_at: Timestamp,
}

/// The probes of one daemon.
#[derive(Clone, Debug, Default)]
pub struct Probes {
    sequence: u64,
    /// The probe of the current period.
    pub current: Option<Probe>,
    relayed: BTreeMap<u64, RelayedProbe>,
}

impl Probes {
    /// A sequence number not used before.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Records an answer. The name is compared as well: another daemon may have taken over the
    /// address, and a previous run of this daemon used the same sequence numbers.
    pub fn answered(&mut self, sequence: u64, target: &DaemonName) {
        if let Some(probe) = &mut self.current
            && probe.sequence == sequence
            && probe.target.name == *target
        {
            probe.answered = true;
        }
    }

    /// Registers a probe relayed for `requester` and returns its sequence number, unless too many are
    /// outstanding.
    pub fn relay(&mut self, requester: Peer, sequence: u64, now: Timestamp) -> Option<u64> {
        if self.relayed.len() >= MAX_RELAYED {
            return None;
        }
        let own = self.next_sequence();
        let relayed = RelayedProbe {
            requester,
            sequence,
            started_at: now,
        };
        self.relayed.insert(own, relayed);
        Some(own)
    }

    /// Removes the relayed probe that an answer belongs to, and returns its requester and sequence
    /// number.
    pub fn take_relayed(&mut self, sequence: u64) -> Option<(Peer, u64)> {
        self.relayed
            .remove(&sequence)
            .map(|relayed| (relayed.requester, relayed.sequence))
    }

    /// Drops relayed probes that were started before `limit`.
    pub fn expire_before(&mut self, limit: Timestamp) {
        self.relayed
            .retain(|_, relayed| relayed.started_at >= limit);
    }
}
