//! The members of one zone and which fact about a member replaces which.

use std::collections::BTreeMap;

use flaxward_types::{DaemonName, Timestamp, ZoneName};
use flaxward_wire::{MemberState, MemberUpdate, Peer};
use xxhash_rust::xxh3::xxh3_64;

/// Most members kept of one zone; facts about more are ignored.
pub const MAX_MEMBERS: usize = 1_024;

/// One member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The last fact about it.
    pub update: MemberUpdate,
    /// When the fact came in.
    pub since: Timestamp,
}

impl Member {
    /// Whether it takes part: a suspect still does.
    pub fn is_live(&self) -> bool {
        is_live(self.update.state)
    }
}

/// Whether a member in this state takes part.
pub fn is_live(state: MemberState) -> bool {
    matches!(state, MemberState::Alive | MemberState::Suspect)
}

/// Whether a fact replaces another one about the same member: the higher incarnation, then the
/// worse state, then (between two daemons that were given one name) the higher address.
pub fn replaces(new: &MemberUpdate, old: &MemberUpdate) -> bool {
    rank(new) > rank(old)
}

fn rank(update: &MemberUpdate) -> (u64, MemberState, std::net::SocketAddr) {
    (update.incarnation, update.state, update.peer.address)
}

/// Every member known, the daemon itself included.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<DaemonName, Member>,
}

impl MemberTable {
    /// One member.
    pub fn get(&self, name: &DaemonName) -> Option<&Member> {
        self.members.get(name)
    }

    /// All of them, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The facts by name.
    pub fn facts(&self) -> &BTreeMap<DaemonName, Member> {
        &self.members
    }

    /// The members that take part.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.is_live())
    }

    /// The member that listens at an address; a live one if a dead one had the address before.
    pub fn at(&self, address: std::net::SocketAddr) -> Option<&Member> {
        self.iter()
            .filter(|member| member.update.peer.address == address)
            .max_by_key(|member| member.is_live())
    }

    /// Takes over a fact without asking.
    pub fn insert(&mut self, update: MemberUpdate, now: Timestamp) {
        let name = update.peer.name.clone();
        let member = Member { update, since: now };
        self.members.insert(name, member);
    }

    /// Takes over a fact if it replaces the one known. A dead or left member that is not known is
    /// not taken in, or forgetting the dead would never end.
    pub fn merge(&mut self, update: &MemberUpdate, now: Timestamp) -> bool {
        let accepted = match self.members.get(&update.peer.name) {
            Some(known) => replaces(update, &known.update),
            None => is_live(update.state) && self.members.len() < MAX_MEMBERS,
        };
        if accepted {
            self.insert(update.clone(), now);
        }
        accepted
    }

    /// Forgets members that have been dead or gone since before `limit`, and returns them.
    pub fn forget_before(&mut self, limit: Timestamp) -> Vec<DaemonName> {
        let forgotten: Vec<DaemonName> = self
            .members
            .iter()
            .filter(|(_, member)| !member.is_live() && member.since < limit)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &forgotten {
            self.members.remove(name);
        }
        forgotten
    }
}

/// Order of preference of a daemon for its zone's lease; lower goes first. It depends on the names
/// alone, so it stays the same while other members come and go.
pub fn preference(zone: &ZoneName, name: &DaemonName) -> (u64, DaemonName) {
    let digest = xxh3_64(format!("{zone}/{name}").as_bytes());
    (digest, name.clone())
}

/// The fact that a peer is alive.
pub fn alive(peer: Peer, incarnation: u64) -> MemberUpdate {
    MemberUpdate {
        peer,
        incarnation,
        state: MemberState::Alive,
    }
}
