//! Gossip between daemons as one state machine: members, configuration, coordinators of zones and
//! marks on runners.
//!
//! Facts are piggybacked on every message. Pending rumors are also sent in messages of their own, to
//! a few random members several times a second, until each daemon has sent them a bounded number of
//! times; without pending rumors, only probes are sent. Only coordinators communicate across zones.

mod cross_zone;
mod envelopes;
mod interface;

use std::net::SocketAddr;
use std::sync::Arc;

use flaxward_types::{Timestamp, ZoneName};
use flaxward_wire::{Envelope, Message, Peer, RunnerMark, ZoneHead};

use crate::configuration::{
    ApplyOutcome, Configuration, ConfigurationReplicator, ReplicatorAction,
};
use crate::heads::Heads;
use crate::marks::Marks;
use crate::membership::{Membership, MembershipAction, MembershipEvent};

use cross_zone::CrossZone;
pub use interface::{GossipAction, GossipEvent, GossipSettings};

/// Maximum number of rumor envelopes sent to one member in one round, for bursts of changes.
const MAX_RUMOR_ENVELOPES: usize = 4;

/// The gossip of one daemon.
#[derive(Clone, Debug)]
pub struct Gossip {
    settings: GossipSettings,
    me: Peer,
    membership: Membership,
    configuration: ConfigurationReplicator,
    heads: Heads,
    marks: Marks,
    cross_zone: CrossZone,
    is_coordinator: bool,
    anti_entropy_turn: u8,
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
        let configuration = ConfigurationReplicator::new(
            settings.configuration.clone(),
            me.zone.clone(),
            seed.wrapping_add(1),
        );
        Self {
            cross_zone: CrossZone::new(me.address, seeds, seed.wrapping_add(2)),
            settings,
            me,
            membership,
            configuration,
            heads: Heads::default(),
            marks: Marks::default(),
            is_coordinator: false,
            anti_entropy_turn: 0,
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

    /// The coordinator of a zone at its current address, if one is known and, in the own zone, live.
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
            GossipEvent::Watched(delta) => {
                let applied = self.configuration.apply_watch_delta(&delta);
                self.after_store_update(applied, now)
            }
            GossipEvent::Listed(snapshot) => {
                let changed = self.configuration.apply_listing(&snapshot);
                let applied = if changed {
                    ApplyOutcome::Applied
                } else {
                    ApplyOutcome::Old
                };
                self.after_store_update(applied, now)
            }
            GossipEvent::Runner { runner, leaving } => {
                let changed = self.marks.record_view(&runner, leaving, now);
                self.after_mark_change(changed, now)
            }
            GossipEvent::Machines(listed) => {
                let before = self.marks.leaving();
                self.marks.record_machine_list(listed, now);
                let changed = self.marks.leaving() != before;
                changed
                    .then_some(GossipAction::MarksChanged)
                    .into_iter()
                    .collect()
            }
            GossipEvent::Lead(term) => self.become_coordinator(term, now),
            GossipEvent::Resign => {
                self.is_coordinator = false;
                self.marks.clear_views();
                Vec::new()
            }
            GossipEvent::Leave => self.leave(now),
        }
    }

    fn tick(&mut self, now: Timestamp) -> Vec<GossipAction> {
        let members = self.membership.handle(MembershipEvent::Tick, now);
        let mut actions = self.apply_membership_actions(members);
        let configuration = self.configuration.tick(self.is_coordinator, now);
        actions.extend(self.apply_replicator_actions(configuration));
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
        self.configuration
            .record_peer_revision(&from, configuration, now);
        let mut actions = self.merge_facts(&from, &heads, &marks, &message, now);
        let event = MembershipEvent::Received {
            from: from.clone(),
            members,
            message: message.clone(),
        };
        let from_membership = self.membership.handle(event, now);
        actions.extend(self.apply_membership_actions(from_membership));
        let from_configuration = self.configuration.receive(&from, &message, now);
        actions.extend(self.apply_replicator_actions(from_configuration));
        if is_for_other_component(&message) {
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
            self.cross_zone.record_contact(from);
            actions.extend(self.reply_to_other_zone(from, heads, marks, message));
        }
        actions
    }

    fn after_store_update(&mut self, applied: ApplyOutcome, now: Timestamp) -> Vec<GossipAction> {
        match applied {
            ApplyOutcome::Applied => {
                let mut actions = vec![GossipAction::ConfigurationChanged];
                let pushes = self.configuration.tick(self.is_coordinator, now);
                actions.extend(self.apply_replicator_actions(pushes));
                actions
            }
            ApplyOutcome::Behind | ApplyOutcome::Malformed => {
                vec![GossipAction::ConfigurationIncomplete]
            }
            ApplyOutcome::Old => Vec::new(),
        }
    }

    fn after_mark_change(&mut self, changed: bool, now: Timestamp) -> Vec<GossipAction> {
        if !changed {
            return Vec::new();
        }
        let mut actions = vec![GossipAction::MarksChanged];
        actions.extend(self.spread_rumors(now));
        actions
    }

    fn become_coordinator(
        &mut self,
        term: flaxward_types::Term,
        now: Timestamp,
    ) -> Vec<GossipAction> {
        self.is_coordinator = true;
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
        actions.extend(self.announce_to_other_zones());
        actions
    }

    fn leave(&mut self, now: Timestamp) -> Vec<GossipAction> {
        let from_membership = self.membership.leave(now);
        let mut actions = self.apply_membership_actions(from_membership);
        actions.extend(self.spread_rumors(now));
        actions
    }

    /// Sends pending rumors in messages of their own, rate-limited by the rumor interval.
    fn spread_rumors(&mut self, now: Timestamp) -> Vec<GossipAction> {
        if now < self.next_rumors || !self.has_pending_rumors() {
            return Vec::new();
        }
        self.next_rumors = now + self.settings.rumor_interval;
        let fanout = self.settings.rumor_fanout;
        let chosen = self.membership.next_rumor_targets(fanout);
        let mut actions = Vec::new();
        for to in chosen {
            actions.extend(self.send_rumors(&to));
        }
        actions
    }

    /// Sends all pending rumors to one member, within the limit of envelopes.
    fn send_rumors(&mut self, to: &Peer) -> Vec<GossipAction> {
        let pending = self.membership.pending_rumors()
            + self.heads.pending_rumors()
            + self.marks.pending_rumors();
        let mut sent = 0;
        let mut actions = Vec::new();
        while sent < pending && actions.len() < MAX_RUMOR_ENVELOPES {
            let envelope = self.wrap(to, Message::Facts);
            sent += envelope.members.len() + envelope.heads.len() + envelope.marks.len();
            actions.push(GossipAction::Send(to.address, envelope));
        }
        actions
    }

    fn has_pending_rumors(&self) -> bool {
        self.membership.pending_rumors() + self.heads.pending_rumors() + self.marks.pending_rumors()
            > 0
    }

    fn apply_membership_actions(&mut self, actions: Vec<MembershipAction>) -> Vec<GossipAction> {
        let mut gossip_actions = Vec::new();
        let mut changed = false;
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => {
                    let envelope = self.wrap_for_zone(to, message);
                    gossip_actions.push(GossipAction::Send(to, envelope));
                }
                MembershipAction::MemberChanged { .. } => changed = true,
            }
        }
        if changed {
            self.configuration.set_members(&self.membership.others());
            gossip_actions.push(GossipAction::MembersChanged);
        }
        gossip_actions
    }

    fn apply_replicator_actions(&mut self, actions: Vec<ReplicatorAction>) -> Vec<GossipAction> {
        actions
            .into_iter()
            .map(|action| match action {
                ReplicatorAction::Send { to, message } => self.send(&to, message),
                ReplicatorAction::Changed => GossipAction::ConfigurationChanged,
            })
            .collect()
    }

    fn send(&mut self, to: &Peer, message: Message) -> GossipAction {
        let envelope = self.wrap(to, message);
        GossipAction::Send(to.address, envelope)
    }
}

/// Whether a message is for another component of the daemon.
fn is_for_other_component(message: &Message) -> bool {
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
