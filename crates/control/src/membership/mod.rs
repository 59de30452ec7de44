//! Who is in the zone: failure detection and dissemination in the manner of SWIM.
//!
//! Each daemon probes one member a period, in random order. A member that answers neither the probe
//! nor the probes of a few others becomes suspect; it refutes that by raising its incarnation, or is
//! dead after a while. What is learnt rides on every envelope. A daemon that knows nobody asks its
//! seeds; dead members and seeds are asked now and then, so that a zone that was cut in two joins
//! again.

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
use crate::rumors::{Budget, Rumors, next_in_turn};
use joining::Joining;
use probes::Probes;
pub use table::{MAX_MEMBERS, Member, is_live, replaces};
use table::{MemberTable, alive, preference};

/// Durations and sizes that steer membership. The defaults are those of the settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Time to wait for an answer before others are asked to probe.
    pub probe_timeout: Duration,
    /// Members asked to probe on one's behalf.
    pub indirect_probes: usize,
    /// Time in which a suspect may refute.
    pub suspicion: Duration,
    /// Time for which dead and left members are remembered.
    pub forget_after: Duration,
    /// First pause between two asks of the seeds by a daemon that knows nobody; doubles.
    pub join_backoff: Duration,
    /// Longest pause between two asks of the seeds by a daemon that knows nobody.
    pub join_backoff_limit: Duration,
    /// Time between two asks of a dead member or an unseen seed by a daemon that knows others.
    pub rejoin_interval: Duration,
    /// A gap between two ticks longer than this means that this daemon itself was paused.
    pub pause: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion: Duration::from_secs(4),
            forget_after: Duration::from_mins(10),
            join_backoff: Duration::from_millis(500),
            join_backoff_limit: Duration::from_secs(10),
            rejoin_interval: Duration::from_secs(10),
            pause: Duration::from_secs(1),
        }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// Time has passed; sent at least every 100 ms.
    Tick,
    /// An envelope came in.
    Received {
        /// Its sender.
        from: Peer,
        /// The facts that rode along.
        members: Vec<MemberUpdate>,
        /// The message; those that are not about members are ignored.
        message: Message,
    },
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a message.
    Send {
        /// To whom.
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

/// The members of the zone as one daemon knows them.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: MembershipSettings,
    me: Peer,
    incarnation: u64,
    left: bool,
    table: MemberTable,
    /// The live members in the table without this daemon.
    others: Vec<Peer>,
    rumors: Rumors<DaemonName>,
    repeated: Option<DaemonName>,
    probes: Probes,
    probe_turn: Rotation,
    news_turn: Rotation,
    next_probe: Timestamp,
    suspects: BTreeMap<DaemonName, Timestamp>,
    joining: Joining,
    last_tick: Option<Timestamp>,
    random: ChaCha8Rng,
}

impl Membership {
    /// Membership of a daemon that has just started. The incarnation should rise with each start,
    /// such as the time of the start; if it does not, the daemon raises it when it hears of its
    /// former self.
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
            joining: Joining::new(&settings, me.address, seeds),
            settings,
            me,
            incarnation,
            left: false,
            table,
            others: Vec::new(),
            rumors,
            repeated: None,
            probes: Probes::default(),
            probe_turn: Rotation::default(),
            news_turn: Rotation::default(),
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

    /// The members that take part, this daemon included unless it has left, in the order of names.
    pub fn alive(&self) -> Vec<Peer> {
        self.table
            .live()
            .map(|member| member.update.peer.clone())
            .collect()
    }

    /// The members that take part, without this daemon.
    pub fn others(&self) -> Vec<Peer> {
        self.others.clone()
    }

    /// Number of members that take part, this daemon included.
    pub fn size(&self) -> usize {
        self.others.len() + 1
    }

    /// Everything known about members, the dead included.
    pub fn members(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.table.iter().map(|member| &member.update)
    }

    /// One member as last heard.
    pub fn member(&self, name: &DaemonName) -> Option<&MemberUpdate> {
        self.table.get(name).map(|member| &member.update)
    }

    /// Place of this daemon among the live members of its zone, by a hash of zone and name: 0 comes
    /// first. The order of any two members never changes. A daemon that has left comes last.
    pub fn rank(&self) -> usize {
        let own = preference(&self.me.zone, &self.me.name);
        self.others
            .iter()
            .filter(|peer| self.left || preference(&self.me.zone, &peer.name) < own)
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

    /// Tells everyone that this daemon stops as planned; the news rides on what is sent from now on.
    pub fn leave(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        if !self.left {
            self.left = true;
            let update = MemberUpdate {
                peer: self.me.clone(),
                incarnation: self.incarnation,
                state: MemberState::Left,
            };
            self.adopt(&update, now, &mut actions);
        }
        actions
    }

    /// Number of facts about members on their way.
    pub fn news(&self) -> usize {
        self.rumors.len()
    }

    /// Picks facts for an envelope to `to`: first what the receiver must know about itself to
    /// refute it, then news, each `limit` times in all.
    pub fn updates_to_piggyback(
        &mut self,
        to: SocketAddr,
        budget: &mut Budget,
        limit: u32,
    ) -> Vec<MemberUpdate> {
        let receiver = self
            .table
            .at(to)
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

    /// The next fact in turn, whether it is news or not: repairs what rumors missed. Only live
    /// members are repeated, or forgetting the dead would never end.
    pub fn repeat(&mut self) -> Option<MemberUpdate> {
        let next = next_in_turn(self.table.facts(), self.repeated.as_ref())?;
        self.repeated = Some(next.clone());
        let member = self.table.get(&next)?;
        member.is_live().then(|| member.update.clone())
    }

    /// The fact about this daemon itself, for envelopes to strangers.
    pub fn own_update(&self) -> MemberUpdate {
        self.table.get(&self.me.name).map_or_else(
            || alive(self.me.clone(), self.incarnation),
            |own| own.update.clone(),
        )
    }

    /// The next `count` members to be sent news, without this daemon.
    pub fn next_for_news(&mut self, count: usize) -> Vec<Peer> {
        self.news_turn
            .next_few(count, &self.others, &mut self.random)
    }
}
