//! The members of one zone, and the precedence of updates about a member.

use std::collections::BTreeMap;

use flaxward_types::{DaemonName, Timestamp, ZoneName};
use flaxward_wire::{MemberState, MemberUpdate, Peer};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of members of a zone; updates about further members are ignored.
pub const MAX_MEMBERS: usize = 1_024;

/// One member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The update in effect.
    pub update: MemberUpdate,
    /// When the update was applied.
    pub updated_at: Timestamp,
}

impl Member {
    /// Whether it is live; a suspect still is.
    pub fn is_live(&self) -> bool {
        is_live(self.update.state)
    }
}

/// Whether a member in this state counts as live.
pub fn is_live(state: MemberState) -> bool {
    matches!(state, MemberState::Alive | MemberState::Suspect)
}

/// Whether an update supersedes another one about the same member: by higher incarnation, then worse
/// state, then (between two daemons configured with the same name) higher address.
pub fn replaces(new: &MemberUpdate, old: &MemberUpdate) -> bool {
    rank(new) > rank(old)
}

fn rank(update: &MemberUpdate) -> (u64, MemberState, std::net::SocketAddr) {
    (update.incarnation, update.state, update.peer.address)
}

/// All known members, the daemon itself included.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<DaemonName, Member>,
}

impl MemberTable {
    /// One member.
    pub fn get(&self, name: &DaemonName) -> Option<&Member> {
        self.members.get(name)
    }

    /// All members, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// All members by name.
    pub fn by_name(&self) -> &BTreeMap<DaemonName, Member> {
        &self.members
    }

    /// The live members.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.is_live())
    }

    /// The member that listens at an address; a live one if a dead one had the address before.
    pub fn at_address(&self, address: std::net::SocketAddr) -> Option<&Member> {
        self.iter()
            .filter(|member| member.update.peer.address == address)
            .max_by_key(|member| member.is_live())
    }

    /// Applies an update unconditionally.
    pub fn insert(&mut self, update: MemberUpdate, now: Timestamp) {
        let name = update.peer.name.clone();
        let member = Member {
            update,
            updated_at: now,
        };
        self.members.insert(name, member);
    }

    /// Applies an update if it supersedes the one known. An unknown member that is dead or has left
    /// is not added; otherwise dead members would never be purged everywhere.
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

    /// Removes members that have been dead or left since before `limit`, and returns them.
    pub fn remove_expired(&mut self, limit: Timestamp) -> Vec<DaemonName> {
        let removed: Vec<DaemonName> = self
            .members
            .iter()
            .filter(|(_, member)| !member.is_live() && member.updated_at < limit)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &removed {
            self.members.remove(name);
        }
        removed
    }
}

/// Sort key of a daemon in the preference for its zone's lease; the lowest is preferred. It depends only
/// on the names, so the order does not change when other members join or leave.
pub fn lease_preference(zone: &ZoneName, name: &DaemonName) -> (u64, DaemonName) {
    let digest = xxh3_64(format!("{zone}/{name}").as_bytes());
    (digest, name.clone())
}

/// An update that declares a peer alive.
pub fn alive(peer: Peer, incarnation: u64) -> MemberUpdate {
    MemberUpdate {
        peer,
        incarnation,
        state: MemberState::Alive,
    }
}
