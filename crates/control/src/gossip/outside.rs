//! What a coordinator tells other zones, and what is answered to daemons of other zones.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use flaxward_types::{Timestamp, ZoneName};
use flaxward_wire::{Message, Peer, RunnerMark, ZoneHead};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Gossip, GossipAction};
use crate::rotation::Rotation;

/// Most zones whose last sender is remembered.
const MAX_ZONES: usize = 128;

/// One exchange in this many goes to a seed, which may know of a coordinator that nobody else does.
const SEED_SHARE: u32 = 8;

/// Zones that news is sent to each time.
const OUTSIDE_FANOUT: usize = 2;

/// Heads repeated in each exchange beside news, to repair what rumors missed.
const REPEATED_HEADS: usize = 2;

/// Daemons of other zones that can be talked to.
#[derive(Clone, Debug)]
pub(super) struct Outside {
    seeds: Vec<SocketAddr>,
    /// The daemon last heard of each other zone.
    contacts: BTreeMap<ZoneName, Peer>,
    next_exchange: Timestamp,
    next_news: Timestamp,
    news_turn: Rotation,
    random: ChaCha8Rng,
}

impl Outside {
    pub(super) fn new(me: SocketAddr, mut seeds: Vec<SocketAddr>, seed: u64) -> Self {
        seeds.retain(|seed| *seed != me);
        Self {
            seeds,
            contacts: BTreeMap::new(),
            next_exchange: Timestamp::ZERO,
            next_news: Timestamp::ZERO,
            news_turn: Rotation::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Notes that a daemon of another zone was heard.
    pub(super) fn heard(&mut self, from: &Peer) {
        if self.contacts.contains_key(&from.zone) || self.contacts.len() < MAX_ZONES {
            self.contacts.insert(from.zone.clone(), from.clone());
        }
    }
}

impl Gossip {
    /// A coordinator talks to one other zone every interval, and to a few more while it has news.
    pub(super) fn exchange(&mut self, now: Timestamp) -> Vec<GossipAction> {
        if !self.coordinates {
            return Vec::new();
        }
        let mut actions = self.spread_outside(now);
        if now < self.outside.next_exchange {
            return actions;
        }
        self.outside.next_exchange = now + self.settings.exchange_interval;
        let targets = self.other_zones();
        let ask_seed = self.outside.random.random_ratio(1, SEED_SHARE);
        match targets.choose(&mut self.outside.random).cloned() {
            Some(to) if !ask_seed => actions.push(self.exchange_with(&to)),
            _ => actions.extend(self.ask_seed()),
        }
        actions
    }

    fn spread_outside(&mut self, now: Timestamp) -> Vec<GossipAction> {
        let news = self.heads.spreading_outside() || self.marks.spreading_outside();
        if !news || now < self.outside.next_news {
            return Vec::new();
        }
        self.outside.next_news = now + self.settings.outside_rumor_interval;
        let zones = self.other_zones();
        let outside = &mut self.outside;
        let chosen = outside
            .news_turn
            .next_few(OUTSIDE_FANOUT, &zones, &mut outside.random);
        chosen
            .into_iter()
            .map(|to| self.send(&to, Message::Facts))
            .collect()
    }

    fn exchange_with(&mut self, to: &Peer) -> GossipAction {
        let mut envelope = self.wrap_for_outside(Message::Facts);
        let own = self.heads.get(&self.me.zone).cloned();
        let repeated = (0..REPEATED_HEADS).filter_map(|_| self.heads.repeat());
        for head in own.into_iter().chain(repeated.collect::<Vec<_>>()) {
            if !envelope.heads.contains(&head) {
                envelope.heads.push(head);
            }
        }
        envelope.marks.extend(self.marks.repeat());
        GossipAction::Send(to.address, envelope)
    }

    fn ask_seed(&mut self) -> Option<GossipAction> {
        let seed = self.stranger()?;
        let envelope = self.wrap_for_zone(seed, Message::Join);
        Some(GossipAction::Send(seed, envelope))
    }

    /// A seed that is no live member of the own zone.
    fn stranger(&mut self) -> Option<SocketAddr> {
        let live: Vec<SocketAddr> = self
            .membership
            .others()
            .iter()
            .map(|peer| peer.address)
            .collect();
        let strangers: Vec<SocketAddr> = self
            .outside
            .seeds
            .iter()
            .copied()
            .filter(|seed| !live.contains(seed))
            .collect();
        strangers.choose(&mut self.outside.random).copied()
    }

    /// For each other zone its coordinator, and the daemon last heard of it if that is another one.
    fn other_zones(&self) -> Vec<Peer> {
        let heads = self.heads.iter().map(|head| &head.coordinator);
        let mut peers: Vec<Peer> = heads
            .chain(self.outside.contacts.values())
            .filter(|peer| peer.zone != self.me.zone)
            .cloned()
            .collect();
        peers.sort();
        peers.dedup();
        peers
    }

    /// A new coordinator tells every other zone at once, since demands go to it.
    pub(super) fn announce_outside(&mut self) -> Vec<GossipAction> {
        let zones = self.other_zones();
        zones.iter().map(|to| self.exchange_with(to)).collect()
    }

    /// Answers a daemon of another zone: all heads and marks if it asks, else what it has old.
    pub(super) fn answer_outside(
        &mut self,
        from: &Peer,
        heads: &[ZoneHead],
        marks: &[RunnerMark],
        message: &Message,
    ) -> Option<GossipAction> {
        if *message == Message::Join {
            let envelope = self.wrap_everything(Message::Facts);
            return Some(GossipAction::Send(from.address, envelope));
        }
        if *message != Message::Facts {
            return None;
        }
        let mut envelope = self.bare(Message::Facts);
        envelope.heads = heads
            .iter()
            .filter_map(|head| self.heads.newer_than(head).cloned())
            .collect();
        envelope.marks = marks
            .iter()
            .filter_map(|mark| self.marks.newer_than(mark))
            .collect();
        let news = !envelope.heads.is_empty() || !envelope.marks.is_empty();
        news.then_some(GossipAction::Send(from.address, envelope))
    }
}
