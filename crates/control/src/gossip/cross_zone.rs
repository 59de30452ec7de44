//! Gossip across zones: exchanges by coordinators, and replies to daemons of other zones.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use flaxward_types::{Timestamp, ZoneName};
use flaxward_wire::{Message, Peer, RunnerMark, ZoneHead};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Gossip, GossipAction};
use crate::rotation::Rotation;

/// Maximum number of zones whose last sender is remembered.
const MAX_ZONES: usize = 128;

/// One exchange in this many goes to a seed, which may know a coordinator that no known daemon
/// knows.
const SEED_EXCHANGE_RATIO: u32 = 8;

/// Zones that rumors are sent to in each round.
const CROSS_ZONE_FANOUT: usize = 2;

/// Heads added to each exchange for anti-entropy, to repair updates that rumors missed.
const ANTI_ENTROPY_HEADS: usize = 2;

/// Daemons of other zones that can be contacted.
#[derive(Clone, Debug)]
pub(super) struct CrossZone {
    seeds: Vec<SocketAddr>,
    /// The last sender of each other zone.
    contacts: BTreeMap<ZoneName, Peer>,
    next_exchange: Timestamp,
    next_rumors: Timestamp,
    rumor_rotation: Rotation,
    random: ChaCha8Rng,
}

impl CrossZone {
    pub(super) fn new(me: SocketAddr, mut seeds: Vec<SocketAddr>, seed: u64) -> Self {
        seeds.retain(|seed| *seed != me);
        Self {
            seeds,
            contacts: BTreeMap::new(),
            next_exchange: Timestamp::ZERO,
            next_rumors: Timestamp::ZERO,
            rumor_rotation: Rotation::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Records the sender of a message from another zone.
    pub(super) fn record_contact(&mut self, from: &Peer) {
        if self.contacts.contains_key(&from.zone) || self.contacts.len() < MAX_ZONES {
            self.contacts.insert(from.zone.clone(), from.clone());
        }
    }
}

impl Gossip {
    /// As coordinator, exchanges facts with one other zone every interval, and sends pending rumors
    /// to a few more.
    pub(super) fn exchange(&mut self, now: Timestamp) -> Vec<GossipAction> {
        if !self.is_coordinator {
            return Vec::new();
        }
        let mut actions = self.spread_to_other_zones(now);
        if now < self.cross_zone.next_exchange {
            return actions;
        }
        self.cross_zone.next_exchange = now + self.settings.exchange_interval;
        let targets = self.other_zones();
        let join_seed = self.cross_zone.random.random_ratio(1, SEED_EXCHANGE_RATIO);
        match targets.choose(&mut self.cross_zone.random).cloned() {
            Some(to) if !join_seed => actions.push(self.exchange_with(&to)),
            _ => actions.extend(self.join_seed()),
        }
        actions
    }

    fn spread_to_other_zones(&mut self, now: Timestamp) -> Vec<GossipAction> {
        let pending = self.heads.has_cross_zone_rumors() || self.marks.has_cross_zone_rumors();
        if !pending || now < self.cross_zone.next_rumors {
            return Vec::new();
        }
        self.cross_zone.next_rumors = now + self.settings.cross_zone_rumor_interval;
        let zones = self.other_zones();
        let cross_zone = &mut self.cross_zone;
        let chosen =
            cross_zone
                .rumor_rotation
                .next_few(CROSS_ZONE_FANOUT, &zones, &mut cross_zone.random);
        chosen
            .into_iter()
            .map(|to| self.send(&to, Message::Facts))
            .collect()
    }

    fn exchange_with(&mut self, to: &Peer) -> GossipAction {
        let mut envelope = self.wrap_for_other_zone(Message::Facts);
        let own = self.heads.get(&self.me.zone).cloned();
        let anti_entropy =
            (0..ANTI_ENTROPY_HEADS).filter_map(|_| self.heads.next_for_anti_entropy());
        for head in own.into_iter().chain(anti_entropy.collect::<Vec<_>>()) {
            if !envelope.heads.contains(&head) {
                envelope.heads.push(head);
            }
        }
        envelope.marks.extend(self.marks.next_for_anti_entropy());
        GossipAction::Send(to.address, envelope)
    }

    fn join_seed(&mut self) -> Option<GossipAction> {
        let seed = self.unknown_seed()?;
        let envelope = self.wrap_for_zone(seed, Message::Join);
        Some(GossipAction::Send(seed, envelope))
    }

    /// A random seed that is not a live member of the own zone.
    fn unknown_seed(&mut self) -> Option<SocketAddr> {
        let live: Vec<SocketAddr> = self
            .membership
            .others()
            .iter()
            .map(|peer| peer.address)
            .collect();
        let unknown: Vec<SocketAddr> = self
            .cross_zone
            .seeds
            .iter()
            .copied()
            .filter(|seed| !live.contains(seed))
            .collect();
        unknown.choose(&mut self.cross_zone.random).copied()
    }

    /// For each other zone its coordinator, and its last sender if that is another daemon.
    fn other_zones(&self) -> Vec<Peer> {
        let heads = self.heads.iter().map(|head| &head.coordinator);
        let mut peers: Vec<Peer> = heads
            .chain(self.cross_zone.contacts.values())
            .filter(|peer| peer.zone != self.me.zone)
            .cloned()
            .collect();
        peers.sort();
        peers.dedup();
        peers
    }

    /// Announces a new coordinator to every other zone immediately, since demands are sent to it.
    pub(super) fn announce_to_other_zones(&mut self) -> Vec<GossipAction> {
        let zones = self.other_zones();
        zones.iter().map(|to| self.exchange_with(to)).collect()
    }

    /// Replies to a daemon of another zone: with all heads and marks to a join, otherwise with newer
    /// versions of the facts it sent.
    pub(super) fn reply_to_other_zone(
        &mut self,
        from: &Peer,
        heads: &[ZoneHead],
        marks: &[RunnerMark],
        message: &Message,
    ) -> Option<GossipAction> {
        if *message == Message::Join {
            let envelope = self.wrap_full_state(Message::Facts);
            return Some(GossipAction::Send(from.address, envelope));
        }
        if *message != Message::Facts {
            return None;
        }
        let mut envelope = self.empty_envelope(Message::Facts);
        envelope.heads = heads
            .iter()
            .filter_map(|head| self.heads.newer_than(head).cloned())
            .collect();
        envelope.marks = marks
            .iter()
            .filter_map(|mark| self.marks.newer_than(mark))
            .collect();
        let has_newer = !envelope.heads.is_empty() || !envelope.marks.is_empty();
        has_newer.then_some(GossipAction::Send(from.address, envelope))
    }
}
