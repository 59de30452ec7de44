//! Who is in the zone: failure detection and dissemination in the manner of SWIM.
//!
//! Each daemon probes one member a period, in random order. A member that answers neither the probe
//! nor the probes of a few others becomes suspect; it refutes that by raising its incarnation, or is
//! dead after a while. What is learnt rides on every envelope. A daemon that knows nobody asks its
//! seeds; dead members and seeds are asked now and then, so that a zone that was cut in two joins
//! again.

mod joining;
mod probes;
mod table;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::{DaemonName, Timestamp};
use flaxward_wire::{MemberState, MemberUpdate, Message, Peer};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::rumors::{Budget, Rumors, next_in_turn};
use joining::Joining;
use probes::{Probe, Probes};
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
    rumors: Rumors<DaemonName>,
    repeated: Option<DaemonName>,
    probes: Probes,
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
            rumors,
            repeated: None,
            probes: Probes::default(),
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
        self.table
            .live()
            .filter(|member| member.update.peer.name != self.me.name)
            .map(|member| member.update.peer.clone())
            .collect()
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
        self.others()
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

    /// Whether news about members is on its way.
    pub fn spreading(&self) -> bool {
        !self.rumors.is_empty()
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

    /// Picks up to `count` random members that take part, without this daemon.
    pub fn sample(&mut self, count: usize) -> Vec<Peer> {
        let others = self.others();
        others.sample(&mut self.random, count).cloned().collect()
    }

    fn tick(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let gap = now.since(self.last_tick.unwrap_or(now));
        self.last_tick = Some(now);
        if gap > self.settings.pause {
            self.forgive(now);
        }
        self.end_suspicions(now, actions);
        self.advance_probe(now, actions);
        self.ask_strangers(now, actions);
        self.forget(now);
    }

    /// After a pause of this daemon itself, nobody else is to blame for what it did not hear.
    fn forgive(&mut self, now: Timestamp) {
        self.probes.current = None;
        self.next_probe = now;
        for since in self.suspects.values_mut() {
            *since = now;
        }
    }

    fn end_suspicions(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let over: Vec<DaemonName> = self
            .suspects
            .iter()
            .filter(|(_, since)| now.since(**since) >= self.settings.suspicion)
            .map(|(name, _)| name.clone())
            .collect();
        for name in over {
            self.change_state(&name, MemberState::Dead, now, actions);
        }
    }

    fn change_state(
        &mut self,
        name: &DaemonName,
        state: MemberState,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(member) = self.table.get(name) else {
            return;
        };
        let mut update = member.update.clone();
        update.state = state;
        self.merge(&update, now, actions);
    }

    fn advance_probe(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        self.probes
            .expire_before(now - self.settings.probe_interval);
        self.probe_indirectly(now, actions);
        if now < self.next_probe {
            return;
        }
        self.end_probe(now, actions);
        self.next_probe = now + self.settings.probe_interval;
        self.begin_probe(now, actions);
    }

    fn begin_probe(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let others = self.others();
        let Some(target) = self.probes.next_target(&others, &mut self.random) else {
            return;
        };
        let sequence = self.probes.next_sequence();
        actions.push(MembershipAction::Send {
            to: target.address,
            message: Message::Probe { sequence },
        });
        self.probes.current = Some(Probe {
            sequence,
            target,
            began: now,
            indirect: false,
            answered: false,
        });
    }

    fn probe_indirectly(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let timeout = self.settings.probe_timeout;
        let Some(probe) = self.probes.current.as_mut().filter(|probe| {
            !probe.answered && !probe.indirect && now.since(probe.began) >= timeout
        }) else {
            return;
        };
        probe.indirect = true;
        let (sequence, target) = (probe.sequence, probe.target.clone());
        actions.push(MembershipAction::Send {
            to: target.address,
            message: Message::Probe { sequence },
        });
        let mut helpers = self.others();
        helpers.retain(|peer| peer.name != target.name);
        let chosen: Vec<Peer> = helpers
            .sample(&mut self.random, self.settings.indirect_probes)
            .cloned()
            .collect();
        for helper in chosen {
            let target = target.clone();
            actions.push(MembershipAction::Send {
                to: helper.address,
                message: Message::ProbeFor { sequence, target },
            });
        }
    }

    fn end_probe(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let Some(probe) = self.probes.current.take() else {
            return;
        };
        let same_address = self
            .table
            .get(&probe.target.name)
            .is_some_and(|member| member.update.peer == probe.target);
        if !probe.answered && same_address {
            self.change_state(&probe.target.name, MemberState::Suspect, now, actions);
        }
    }

    fn ask_strangers(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        if self.left {
            return;
        }
        let alone = self.others().is_empty();
        for to in self.joining.due(alone, &self.table, now, &mut self.random) {
            actions.push(MembershipAction::Send {
                to,
                message: Message::Join,
            });
        }
    }

    fn forget(&mut self, now: Timestamp) {
        for name in self.table.forget_before(now - self.settings.forget_after) {
            self.rumors.remove(&name);
        }
    }

    fn receive(
        &mut self,
        from: &Peer,
        members: &[MemberUpdate],
        message: Message,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        if from.zone != self.me.zone {
            self.joining.is_elsewhere(from.address);
            return;
        }
        if from.name == self.me.name {
            return;
        }
        for update in members {
            self.merge(update, now, actions);
        }
        match message {
            Message::Probe { sequence } => self.answer_probe(from, sequence, actions),
            Message::ProbeFor { sequence, target } => {
                self.relay_probe(from, sequence, &target, now, actions);
            }
            Message::Alive { sequence, target } => {
                self.probe_answered(sequence, &target, actions);
            }
            Message::Join => self.answer_join(from, actions),
            Message::Members { members } => self.reconcile(&members, now, actions),
            _ => {}
        }
        self.greet(from, now, actions);
    }

    fn answer_probe(&self, from: &Peer, sequence: u64, actions: &mut Vec<MembershipAction>) {
        if self.left {
            return;
        }
        let target = self.me.name.clone();
        actions.push(MembershipAction::Send {
            to: from.address,
            message: Message::Alive { sequence, target },
        });
    }

    fn relay_probe(
        &mut self,
        from: &Peer,
        sequence: u64,
        target: &Peer,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Some(sequence) = self.probes.relay(from.clone(), sequence, now) {
            actions.push(MembershipAction::Send {
                to: target.address,
                message: Message::Probe { sequence },
            });
        }
    }

    fn probe_answered(
        &mut self,
        sequence: u64,
        target: &DaemonName,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.probes.answered(sequence, target);
        if let Some((asker, sequence)) = self.probes.relayed(sequence) {
            let target = target.clone();
            actions.push(MembershipAction::Send {
                to: asker.address,
                message: Message::Alive { sequence, target },
            });
        }
    }

    fn answer_join(&self, from: &Peer, actions: &mut Vec<MembershipAction>) {
        if self.left {
            return;
        }
        let members = self.members().cloned().collect();
        actions.push(MembershipAction::Send {
            to: from.address,
            message: Message::Members { members },
        });
    }

    /// Compares all members of another daemon with those known here. One that it holds alive and
    /// that is dead here is probed, with the news of its death, so that it can refute.
    fn reconcile(
        &mut self,
        members: &[MemberUpdate],
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        for update in members {
            let disputed = is_live(update.state)
                && update.peer.name != self.me.name
                && self
                    .table
                    .get(&update.peer.name)
                    .is_some_and(|known| !known.is_live() && !replaces(update, &known.update));
            if disputed {
                let sequence = self.probes.next_sequence();
                actions.push(MembershipAction::Send {
                    to: update.peer.address,
                    message: Message::Probe { sequence },
                });
            } else {
                self.merge(update, now, actions);
            }
        }
    }

    /// A sender that is not a live member here is asked for its members, and so learns what is said
    /// of it.
    fn greet(&mut self, from: &Peer, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let known = self.table.get(&from.name).is_some_and(|member| {
            let present = member.is_live() || member.update.state == MemberState::Left;
            present && member.update.peer.address == from.address
        });
        if !known && !self.left && self.joining.may_greet(from.address, now) {
            actions.push(MembershipAction::Send {
                to: from.address,
                message: Message::Join,
            });
        }
    }

    fn merge(
        &mut self,
        update: &MemberUpdate,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        if update.peer.zone != self.me.zone {
            return;
        }
        if update.peer.name == self.me.name {
            self.refute(update, now, actions);
            return;
        }
        let before = self
            .table
            .get(&update.peer.name)
            .map(|member| member.update.clone());
        if self.table.merge(update, now) {
            self.note(before.as_ref(), update, now, actions);
        }
    }

    /// Answers a fact about this daemon itself that is not so.
    fn refute(
        &mut self,
        update: &MemberUpdate,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        let own = self.own_update();
        if self.left || !replaces(update, &own) {
            return;
        }
        self.incarnation = update.incarnation.saturating_add(1);
        let update = alive(self.me.clone(), self.incarnation);
        self.adopt(&update, now, actions);
    }

    fn adopt(
        &mut self,
        update: &MemberUpdate,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        let before = self
            .table
            .get(&update.peer.name)
            .map(|member| member.update.clone());
        self.table.insert(update.clone(), now);
        self.note(before.as_ref(), update, now, actions);
    }

    /// Follows up a fact that was taken over.
    fn note(
        &mut self,
        before: Option<&MemberUpdate>,
        update: &MemberUpdate,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        let name = &update.peer.name;
        self.rumors.push(name.clone());
        if update.state == MemberState::Suspect {
            self.suspects.insert(name.clone(), now);
        } else {
            self.suspects.remove(name);
        }
        if before.is_none_or(|before| !is_live(before.state)) && is_live(update.state) {
            let position = self.random.random_range(0..MAX_MEMBERS);
            self.probes.add(name.clone(), position);
        }
        let changed =
            before.is_none_or(|before| before.state != update.state || before.peer != update.peer);
        if changed {
            actions.push(MembershipAction::MemberChanged {
                peer: update.peer.clone(),
                state: update.state,
            });
        }
    }
}
