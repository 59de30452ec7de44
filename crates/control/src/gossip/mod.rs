//! Everything that daemons tell each other unasked, as one state machine: members, configuration,
//! coordinators of zones and marks on runners.
//!
//! Facts ride on whatever is sent. News is also sent for its own sake, to a few random members every
//! fraction of a second, until each daemon has sent it a bounded number of times; without news,
//! nothing but probes is sent. Between zones only coordinators talk.

mod envelopes;
mod interface;
mod outside;

use std::net::SocketAddr;
use std::sync::Arc;

use flaxward_types::{Timestamp, ZoneName};
use flaxward_wire::{Envelope, Message, Peer, RunnerMark, ZoneHead};

use crate::configuration::{Applied, Configuration, ConfigurationKeeper, KeeperAction};
use crate::heads::Heads;
use crate::marks::Marks;
use crate::membership::{Membership, MembershipAction, MembershipEvent};

pub use interface::{GossipAction, GossipEvent, GossipSettings};
use outside::Outside;

/// Envelopes of news to one member at one time, at most; for when much happens at once.
const NEWS_ENVELOPES: usize = 4;

/// The gossip of one daemon.
#[derive(Clone, Debug)]
pub struct Gossip {
    settings: GossipSettings,
    me: Peer,
    membership: Membership,
    configuration: ConfigurationKeeper,
    heads: Heads,
    marks: Marks,
    outside: Outside,
    coordinates: bool,
    repeat_turn: u8,
    next_rumors: Timestamp,
}

impl Gossip {
    /// Gossip of a daemon that has just started. `seeds` are addresses of daemons of its own and of
    /// other zones; `incarnation` should rise with each start of the daemon.
    pub fn new(
        settings: GossipSettings,
        me: Peer,
        seeds: Vec<SocketAddr>,
        incarnation: u64,
        seed: u64,
    ) -> Self {
        let membership = Membership::new(
            settings.membership.clone(),
            me.clone(),
            seeds.clone(),
            incarnation,
            seed,
        );
        let configuration = ConfigurationKeeper::new(
            settings.configuration.clone(),
            me.zone.clone(),
            seed.wrapping_add(1),
        );
        Self {
            outside: Outside::new(me.address, seeds, seed.wrapping_add(2)),
            settings,
            me,
            membership,
            configuration,
            heads: Heads::default(),
            marks: Marks::default(),
            coordinates: false,
            repeat_turn: 0,
            next_rumors: Timestamp::ZERO,
        }
    }

    /// The members of the zone.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Arc<Configuration> {
        self.configuration.current()
    }

    /// The marks on runners.
    pub fn marks(&self) -> &Marks {
        &self.marks
    }

    /// The coordinators of all zones.
    pub fn heads(&self) -> &Heads {
        &self.heads
    }

    /// The coordinator of a zone at its present address, if one is known and, in the own zone, live.
    pub fn coordinator(&self, zone: &ZoneName) -> Option<Peer> {
        let head = self.heads.get(zone)?;
        if *zone != self.me.zone {
            return Some(head.coordinator.clone());
        }
        self.membership
            .alive()
            .into_iter()
            .find(|peer| peer.name == head.coordinator.name)
    }

    /// Handles one event.
    pub fn handle(&mut self, event: GossipEvent, now: Timestamp) -> Vec<GossipAction> {
        match event {
            GossipEvent::Tick => self.tick(now),
            GossipEvent::Received(envelope) => self.receive(envelope, now),
            GossipEvent::Learnt(delta) => {
                let applied = self.configuration.learn(&delta);
                self.after_learning(applied, now)
            }
            GossipEvent::Listed(snapshot) => {
                let changed = self.configuration.learn_snapshot(&snapshot);
                let applied = if changed {
                    Applied::Applied
                } else {
                    Applied::Old
                };
                self.after_learning(applied, now)
            }
            GossipEvent::Runner { runner, leaving } => {
                let changed = self.marks.set(&runner, leaving, now);
                self.after_marks(changed, now)
            }
            GossipEvent::Machines(listed) => {
                let before = self.marks.leaving();
                self.marks.machines(listed, now);
                let changed = self.marks.leaving() != before;
                changed
                    .then_some(GossipAction::MarksChanged)
                    .into_iter()
                    .collect()
            }
            GossipEvent::Lead(term) => self.lead(term, now),
            GossipEvent::Resign => {
                self.coordinates = false;
                self.marks.forget_views();
                Vec::new()
            }
            GossipEvent::Leave => self.leave(now),
        }
    }

    fn tick(&mut self, now: Timestamp) -> Vec<GossipAction> {
        let members = self.membership.handle(MembershipEvent::Tick, now);
        let mut actions = self.carry_out_membership(members);
        let configuration = self.configuration.tick(self.coordinates, now);
        actions.extend(self.carry_out_configuration(configuration));
        actions.extend(self.spread_rumors(now));
        actions.extend(self.exchange(now));
        actions
    }

    fn receive(&mut self, envelope: Envelope, now: Timestamp) -> Vec<GossipAction> {
        let Envelope {
            from,
            configuration,
            members,
            heads,
            marks,
            message,
        } = envelope;
        if from.name == self.me.name {
            return Vec::new();
        }
        self.configuration.heard(&from, configuration, now);
        let mut actions = self.merge_facts(&from, &heads, &marks, &message, now);
        let event = MembershipEvent::Received {
            from: from.clone(),
            members,
            message: message.clone(),
        };
        let from_membership = self.membership.handle(event, now);
        actions.extend(self.carry_out_membership(from_membership));
        let from_configuration = self.configuration.receive(&from, &message, now);
        actions.extend(self.carry_out_configuration(from_configuration));
        if is_for_others(&message) {
            actions.push(GossipAction::Deliver(from, message));
        }
        actions
    }

    fn merge_facts(
        &mut self,
        from: &Peer,
        heads: &[ZoneHead],
        marks: &[RunnerMark],
        message: &Message,
        now: Timestamp,
    ) -> Vec<GossipAction> {
        let mut actions = Vec::new();
        let mut heads_changed = false;
        for head in heads {
            heads_changed |= self.heads.merge(head);
        }
        if heads_changed {
            actions.push(GossipAction::HeadsChanged);
        }
        if self.marks.merge(marks, now) {
            actions.push(GossipAction::MarksChanged);
        }
        if from.zone != self.me.zone {
            self.outside.heard(from);
            actions.extend(self.answer_outside(from, heads, marks, message));
        }
        actions
    }

    fn after_learning(&mut self, applied: Applied, now: Timestamp) -> Vec<GossipAction> {
        match applied {
            Applied::Applied => {
                let mut actions = vec![GossipAction::ConfigurationChanged];
                let pushes = self.configuration.tick(self.coordinates, now);
                actions.extend(self.carry_out_configuration(pushes));
                actions
            }
            Applied::Behind | Applied::Malformed => vec![GossipAction::ConfigurationIncomplete],
            Applied::Old => Vec::new(),
        }
    }

    fn after_marks(&mut self, changed: bool, now: Timestamp) -> Vec<GossipAction> {
        if !changed {
            return Vec::new();
        }
        let mut actions = vec![GossipAction::MarksChanged];
        actions.extend(self.spread_rumors(now));
        actions
    }

    fn lead(&mut self, term: flaxward_types::Term, now: Timestamp) -> Vec<GossipAction> {
        self.coordinates = true;
        let head = ZoneHead {
            zone: self.me.zone.clone(),
            term,
            coordinator: self.me.clone(),
        };
        if !self.heads.merge(&head) {
            return Vec::new();
        }
        let mut actions = vec![GossipAction::HeadsChanged];
        actions.extend(self.spread_rumors(now));
        actions.extend(self.announce_outside());
        actions
    }

    fn leave(&mut self, now: Timestamp) -> Vec<GossipAction> {
        let from_membership = self.membership.leave(now);
        let mut actions = self.carry_out_membership(from_membership);
        actions.extend(self.spread_rumors(now));
        actions
    }

    /// Sends news for its own sake, paced.
    fn spread_rumors(&mut self, now: Timestamp) -> Vec<GossipAction> {
        if now < self.next_rumors || !self.has_news() {
            return Vec::new();
        }
        self.next_rumors = now + self.settings.rumor_interval;
        let fanout = self.settings.rumor_fanout;
        let chosen = self.membership.next_for_news(fanout);
        let mut actions = Vec::new();
        for to in chosen {
            actions.extend(self.send_news(&to));
        }
        actions
    }

    /// Sends all news to one member, if it does not take too many envelopes.
    fn send_news(&mut self, to: &Peer) -> Vec<GossipAction> {
        let news = self.membership.news() + self.heads.news() + self.marks.news();
        let mut sent = 0;
        let mut actions = Vec::new();
        while sent < news && actions.len() < NEWS_ENVELOPES {
            let envelope = self.wrap(to, Message::Facts);
            sent += envelope.members.len() + envelope.heads.len() + envelope.marks.len();
            actions.push(GossipAction::Send(to.address, envelope));
        }
        actions
    }

    fn has_news(&self) -> bool {
        self.membership.news() + self.heads.news() + self.marks.news() > 0
    }

    fn carry_out_membership(&mut self, actions: Vec<MembershipAction>) -> Vec<GossipAction> {
        let mut carried_out = Vec::new();
        let mut changed = false;
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => {
                    let envelope = self.wrap_for_zone(to, message);
                    carried_out.push(GossipAction::Send(to, envelope));
                }
                MembershipAction::MemberChanged { .. } => changed = true,
            }
        }
        if changed {
            self.configuration.set_members(&self.membership.others());
            carried_out.push(GossipAction::MembersChanged);
        }
        carried_out
    }

    fn carry_out_configuration(&mut self, actions: Vec<KeeperAction>) -> Vec<GossipAction> {
        actions
            .into_iter()
            .map(|action| match action {
                KeeperAction::Send { to, message } => self.send(&to, message),
                KeeperAction::Changed => GossipAction::ConfigurationChanged,
            })
            .collect()
    }

    fn send(&mut self, to: &Peer, message: Message) -> GossipAction {
        let envelope = self.wrap(to, message);
        GossipAction::Send(to.address, envelope)
    }
}

/// Whether a message is for other parts of the daemon.
fn is_for_others(message: &Message) -> bool {
    match message {
        Message::Probe { .. }
        | Message::ProbeFor { .. }
        | Message::Alive { .. }
        | Message::Join
        | Message::Members { .. }
        | Message::Facts
        | Message::Configuration(_)
        | Message::ConfigurationWanted { .. }
        | Message::Snapshot(_) => false,
        Message::Demands(_)
        | Message::Routes(_)
        | Message::RoutesHeld(_)
        | Message::Reports(_)
        | Message::Machines(_)
        | Message::ViewWanted { .. }
        | Message::ViewRows { .. } => true,
    }
}
