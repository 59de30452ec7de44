//! Membership of the zone: SWIM-style failure detection and dissemination.
//!
//! Each daemon probes one member per period, in random order. A member that answers neither the probe
//! nor the indirect probes of a few others becomes suspect; it refutes the suspicion by raising its
//! incarnation, or is declared dead after a timeout. Updates are piggybacked on every envelope. A
//! daemon that knows no other member asks its seeds; dead members and seeds are asked periodically,
//! so that a zone merges again after a network partition.

mod detection;
mod joining;
mod merging;
mod probes;
mod table;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::{DaemonName, Timestamp};
use flaxward_wire::{MemberState, MemberUpdate, Message, Peer};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::rotation::Rotation;
use crate::rumors::{Budget, Rumors, next_round_robin};
use joining::JoinSchedule;
use probes::Probes;
pub use table::{MAX_MEMBERS, Member, is_live, replaces};
use table::{MemberTable, alive, lease_preference};

/// Durations and sizes that configure membership. The defaults are those of the settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Time to wait for an answer before others are asked to probe.
    pub probe_timeout: Duration,
    /// Members asked to probe indirectly.
    pub indirect_probes: usize,
    /// Time in which a suspect may refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Time for which dead and left members are remembered.
    pub dead_member_retention: Duration,
    /// Initial backoff between join requests to the seeds by a daemon that knows no other member;
    /// doubles.
    pub join_backoff: Duration,
    /// Maximum backoff between join requests to the seeds by a daemon that knows no other member.
    pub join_backoff_limit: Duration,
    /// Time between join requests to a dead member or an unseen seed by a daemon that knows others.
    pub rejoin_interval: Duration,
    /// A gap between two ticks longer than this means that this daemon itself was stalled.
    pub stall_threshold: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(4),
            dead_member_retention: Duration::from_mins(10),
            join_backoff: Duration::from_millis(500),
            join_backoff_limit: Duration::from_secs(10),
            rejoin_interval: Duration::from_secs(10),
            stall_threshold: Duration::from_secs(1),
        }
    }
}

/// An input of membership.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// Time has passed; sent at least every 100 ms.
    Tick,
    /// An envelope was received.
    Received {
        /// Its sender.
        from: Peer,
        /// The piggybacked member updates.
        members: Vec<MemberUpdate>,
        /// The message; those that are not about members are ignored.
        message: Message,
    },
}

/// An output of membership.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a message.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// A member changed its state or its address.
    MemberChanged {
        /// The member.
        peer: Peer,
        /// Its state.
        state: MemberState,
    },
}

/// The members of the zone as known to one daemon.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: MembershipSettings,
    me: Peer,
    incarnation: u64,
    has_left: bool,
    table: MemberTable,
    /// The live members in the table without this daemon.
    others: Vec<Peer>,
    rumors: Rumors<DaemonName>,
    last_anti_entropy: Option<DaemonName>,
    probes: Probes,
    probe_rotation: Rotation,
    rumor_rotation: Rotation,
    next_probe: Timestamp,
    suspects: BTreeMap<DaemonName, Timestamp>,
    joining: JoinSchedule,
    last_tick: Option<Timestamp>,
    random: ChaCha8Rng,
}

impl Membership {
    /// Membership of a daemon that has just started. The incarnation should rise with each start,
    /// such as the time of the start; if it does not, the daemon raises it when it receives an
    /// update about its previous run.
    pub fn new(
        settings: MembershipSettings,
        me: Peer,
        seeds: Vec<SocketAddr>,
        incarnation: u64,
        seed: u64,
    ) -> Self {
        let mut table = MemberTable::default();
        table.insert(alive(me.clone(), incarnation), Timestamp::ZERO);
        let mut rumors = Rumors::default();
        rumors.push(me.name.clone());
        Self {
            joining: JoinSchedule::new(&settings, me.address, seeds),
            settings,
            me,
            incarnation,
            has_left: false,
            table,
            others: Vec::new(),
            rumors,
            last_anti_entropy: None,
            probes: Probes::default(),
            probe_rotation: Rotation::default(),
            rumor_rotation: Rotation::default(),
            next_probe: Timestamp::ZERO,
            suspects: BTreeMap::new(),
            last_tick: None,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// This daemon.
    pub fn me(&self) -> &Peer {
        &self.me
    }

    /// The live members, this daemon included unless it has left, in the order of names.
    pub fn alive(&self) -> Vec<Peer> {
        self.table
            .live()
            .map(|member| member.update.peer.clone())
            .collect()
    }

    /// The live members, without this daemon.
    pub fn others(&self) -> Vec<Peer> {
        self.others.clone()
    }

    /// Number of live members, this daemon included.
    pub fn size(&self) -> usize {
        self.others.len() + 1
    }

    /// All known members, the dead included.
    pub fn members(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.table.iter().map(|member| &member.update)
    }

    /// The last update about one member.
    pub fn member(&self, name: &DaemonName) -> Option<&MemberUpdate> {
        self.table.get(name).map(|member| &member.update)
    }

    /// Rank of this daemon among the live members of its zone, ordered by a hash of zone and name,
    /// from 0. The relative order of two members never changes. A daemon that has left ranks last.
    pub fn rank(&self) -> usize {
        let own = lease_preference(&self.me.zone, &self.me.name);
        self.others
            .iter()
            .filter(|peer| self.has_left || lease_preference(&self.me.zone, &peer.name) < own)
            .count()
    }

    /// Handles one event.
    pub fn handle(&mut self, event: MembershipEvent, now: Timestamp) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        match event {
            MembershipEvent::Tick => self.tick(now, &mut actions),
            MembershipEvent::Received {
                from,
                members,
                message,
            } => self.receive(&from, &members, message, now, &mut actions),
        }
        actions
    }

    /// Announces the planned stop of this daemon; the update is piggybacked on further messages.
    pub fn leave(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        if !self.has_left {
            self.has_left = true;
            let update = MemberUpdate {
                peer: self.me.clone(),
                incarnation: self.incarnation,
                state: MemberState::Left,
            };
            self.apply_own_update(&update, now, &mut actions);
        }
        actions
    }

    /// Number of member updates still to be disseminated.
    pub fn pending_rumors(&self) -> usize {
        self.rumors.len()
    }

    /// Selects updates for an envelope to `to`: first any update about the receiver itself that it
    /// may have to refute, then pending rumors, each sent `limit` times in total.
    pub fn updates_to_piggyback(
        &mut self,
        to: SocketAddr,
        budget: &mut Budget,
        limit: u32,
    ) -> Vec<MemberUpdate> {
        let receiver = self
            .table
            .at_address(to)
            .filter(|member| member.update.state != MemberState::Alive)
            .map(|member| member.update.clone())
            .filter(|update| budget.take(update));
        let table = &self.table;
        let mut updates = self.rumors.select(budget, limit, |name| {
            table.get(name).map(|member| member.update.clone())
        });
        if let Some(update) = receiver
            && !updates.contains(&update)
        {
            updates.push(update);
        }
        updates
    }

    /// The next update in round-robin order, for anti-entropy: repairs updates that rumors missed.
    /// Only live members are sent; otherwise dead members would never be purged everywhere.
    pub fn next_for_anti_entropy(&mut self) -> Option<MemberUpdate> {
        let next = next_round_robin(self.table.by_name(), self.last_anti_entropy.as_ref())?;
        self.last_anti_entropy = Some(next.clone());
        let member = self.table.get(&next)?;
        member.is_live().then(|| member.update.clone())
    }

    /// The update about this daemon itself, for envelopes to daemons that may not know it.
    pub fn own_update(&self) -> MemberUpdate {
        self.table.get(&self.me.name).map_or_else(
            || alive(self.me.clone(), self.incarnation),
            |own| own.update.clone(),
        )
    }

    /// The next `count` members to send rumors to, without this daemon.
    pub fn next_rumor_targets(&mut self, count: usize) -> Vec<Peer> {
        self.rumor_rotation
            .next_few(count, &self.others, &mut self.random)
    }
}
