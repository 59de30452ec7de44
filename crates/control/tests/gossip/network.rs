//! Daemons in virtual time on a simulated network with loss, duplication, delay and partitions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

use flaxward_control::gossip::{Gossip, GossipAction, GossipEvent, GossipSettings};
use flaxward_types::{DaemonName, Revision, Timestamp, ZoneName};
use flaxward_wire::{Envelope, MAX_DATAGRAM_BYTES, Peer, encode};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Milliseconds between two ticks of a daemon.
const TICK_MS: u64 = 100;
/// IPv4 and UDP headers, in bytes.
const DATAGRAM_HEADERS: u64 = 28;
/// Headers of a short TCP connection with its acknowledgements, in bytes.
const STREAM_HEADERS: u64 = 500;

/// Faults that the network injects into datagrams.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Probability of loss.
    pub loss: f64,
    /// Probability of duplication.
    pub duplication: f64,
    /// Maximum delay in milliseconds; varying delays reorder datagrams.
    pub delay: u64,
}

pub const NO_FAULTS: Faults = Faults {
    loss: 0.0,
    duplication: 0.0,
    delay: 2,
};
pub const LOSSY_NETWORK: Faults = Faults {
    loss: 0.1,
    duplication: 0.05,
    delay: 80,
};

pub struct Daemon {
    pub peer: Peer,
    /// `None` while it is killed.
    pub gossip: Option<Gossip>,
    /// Daemons reach each other only within the same network partition.
    pub partition: u8,
    paused_until: u64,
    socket_buffer: Vec<Envelope>,
    clock_offset: u64,
    pub bytes_sent: u64,
    pub messages_sent: u64,
    /// Every revision that was in force, in order.
    pub revisions: Vec<(u64, Revision)>,
    /// When marks last changed.
    pub marks_changed: u64,
}

enum Event {
    Tick(usize),
    Arrive(SocketAddr, u8, Box<Envelope>),
}

pub struct Network {
    pub now: u64,
    pub faults: Faults,
    pub settings: GossipSettings,
    pub daemons: Vec<Daemon>,
    events: BTreeMap<(u64, u64), Event>,
    scheduled: u64,
    starts: u64,
    pub random: ChaCha8Rng,
}

impl Network {
    /// Zones with the given numbers of daemons, all started together. The first two daemons of
    /// each zone are the seeds of all daemons.
    pub fn new(zones: &[usize], faults: Faults, seed: u64) -> Self {
        let mut network = Self {
            now: 0,
            faults,
            settings: GossipSettings::default(),
            daemons: Vec::new(),
            events: BTreeMap::new(),
            scheduled: 0,
            starts: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for (zone, size) in zones.iter().enumerate() {
            network.add_daemons(zone, *size);
        }
        network
    }

    /// Adds daemons to a zone and starts them.
    pub fn add_daemons(&mut self, zone: usize, size: usize) {
        let first = self.daemons.len();
        for position in 0..size {
            self.add(zone, position);
        }
        for index in first..self.daemons.len() {
            self.start(index);
        }
    }

    fn add(&mut self, zone: usize, position: usize) {
        let index = self.daemons.len();
        let peer = Peer {
            name: DaemonName::literal(&format!("flaxward-{zone}-{position:02}")),
            zone: ZoneName::literal(&format!("zone-{zone}")),
            address: address(index),
        };
        self.daemons.push(Daemon {
            peer,
            gossip: None,
            partition: 0,
            paused_until: 0,
            socket_buffer: Vec::new(),
            clock_offset: 0,
            bytes_sent: 0,
            messages_sent: 0,
            revisions: Vec::new(),
            marks_changed: 0,
        });
        let phase = self.random.random_range(0..TICK_MS);
        self.schedule(self.now + phase, Event::Tick(index));
    }

    /// Starts a killed daemon without any of its former state.
    pub fn start(&mut self, index: usize) {
        self.starts += 1;
        let incarnation = self.now + 1;
        self.start_with(index, incarnation);
    }

    pub fn start_with(&mut self, index: usize, incarnation: u64) {
        let seeds = self.seeds();
        let seed = self.random.random();
        let offset = self.random.random_range(0..1_000_000);
        let settings = self.settings.clone();
        let daemon = &mut self.daemons[index];
        let me = daemon.peer.clone();
        daemon.gossip = Some(Gossip::new(settings, me, seeds, incarnation, seed));
        daemon.clock_offset = offset;
        daemon.paused_until = 0;
        daemon.socket_buffer.clear();
        daemon.revisions.clear();
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        let mut of_zone: BTreeMap<&ZoneName, Vec<SocketAddr>> = BTreeMap::new();
        for daemon in &self.daemons {
            let seeds = of_zone.entry(&daemon.peer.zone).or_default();
            if seeds.len() < 2 {
                seeds.push(daemon.peer.address);
            }
        }
        of_zone.into_values().flatten().collect()
    }

    pub fn kill(&mut self, index: usize) {
        self.daemons[index].gossip = None;
    }

    /// Starts a killed daemon on another machine, under the same name.
    pub fn start_elsewhere(&mut self, index: usize) {
        let moved = 10_000 + index + usize::try_from(self.starts).unwrap() * 100;
        self.daemons[index].peer.address = address(moved);
        self.start(index);
    }

    /// Pauses the process of a daemon; envelopes that arrive meanwhile wait in its socket buffer.
    pub fn pause(&mut self, index: usize, millis: u64) {
        self.daemons[index].paused_until = self.now + millis;
    }

    /// Passes an event to the gossip of a daemon.
    pub fn handle_event(&mut self, index: usize, event: GossipEvent) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        let time = Timestamp(now + daemon.clock_offset);
        let Some(gossip) = daemon.gossip.as_mut() else {
            return;
        };
        let actions = gossip.handle(event, time);
        let revision = gossip.configuration().revision();
        if daemon
            .revisions
            .last()
            .is_none_or(|last| last.1 != revision)
        {
            daemon.revisions.push((now, revision));
        }
        for action in actions {
            self.apply_action(index, action);
        }
    }

    fn apply_action(&mut self, index: usize, action: GossipAction) {
        match action {
            GossipAction::Send(to, envelope) => self.send(index, to, &envelope),
            GossipAction::MarksChanged => self.daemons[index].marks_changed = self.now,
            _ => {}
        }
    }

    fn send(&mut self, index: usize, to: SocketAddr, envelope: &Envelope) {
        let length = encode(envelope).len() as u64;
        let datagram = length <= MAX_DATAGRAM_BYTES as u64;
        let headers = if datagram {
            DATAGRAM_HEADERS
        } else {
            STREAM_HEADERS
        };
        let partition = self.daemons[index].partition;
        self.daemons[index].bytes_sent += length + headers;
        self.daemons[index].messages_sent += 1;
        let lost = datagram && self.random.random_bool(self.faults.loss);
        let duplicated = datagram && self.random.random_bool(self.faults.duplication);
        let copies = usize::from(!lost) + usize::from(duplicated);
        for _ in 0..copies {
            let delay = self.random.random_range(1..=self.faults.delay);
            let event = Event::Arrive(to, partition, Box::new(envelope.clone()));
            self.schedule(self.now + delay, event);
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    /// Advances virtual time by this many milliseconds.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            match event {
                Event::Tick(index) => self.tick(index),
                Event::Arrive(to, partition, envelope) => self.arrive(to, partition, *envelope),
            }
        }
        self.now = end;
    }

    /// Runs until the condition holds, for at most `limit` milliseconds. Returns the milliseconds it
    /// took.
    pub fn run_until(&mut self, limit: u64, condition: impl Fn(&Self) -> bool) -> Option<u64> {
        let started_at = self.now;
        while !condition(self) {
            if self.now - started_at >= limit {
                return None;
            }
            self.run(50);
        }
        Some(self.now - started_at)
    }

    fn tick(&mut self, index: usize) {
        self.schedule(self.now + TICK_MS, Event::Tick(index));
        if self.now < self.daemons[index].paused_until {
            return;
        }
        // After a pause the timer fires before the socket buffer is read.
        self.handle_event(index, GossipEvent::Tick);
        for envelope in std::mem::take(&mut self.daemons[index].socket_buffer) {
            self.handle_event(index, GossipEvent::Received(envelope));
        }
    }

    fn arrive(&mut self, to: SocketAddr, partition: u8, envelope: Envelope) {
        let Some(index) = self
            .daemons
            .iter()
            .position(|daemon| daemon.peer.address == to && daemon.partition == partition)
        else {
            return;
        };
        if self.now < self.daemons[index].paused_until {
            self.daemons[index].socket_buffer.push(envelope);
        } else {
            self.handle_event(index, GossipEvent::Received(envelope));
        }
    }

    pub fn running(&self) -> impl Iterator<Item = (usize, &Daemon, &Gossip)> {
        self.daemons
            .iter()
            .enumerate()
            .filter_map(|(index, daemon)| Some((index, daemon, daemon.gossip.as_ref()?)))
    }

    /// Whether every daemon sees exactly the running daemons of its zone, at their addresses.
    pub fn agrees_on_members(&self) -> bool {
        self.running().all(|(_, daemon, gossip)| {
            let expected: BTreeSet<&Peer> = self
                .running()
                .map(|(_, other, _)| &other.peer)
                .filter(|peer| peer.zone == daemon.peer.zone)
                .collect();
            let alive = gossip.membership().alive();
            alive.iter().collect::<BTreeSet<_>>() == expected
        })
    }
}

fn address(index: usize) -> SocketAddr {
    let host = Ipv4Addr::new(
        10,
        0,
        u8::try_from(index / 250).unwrap(),
        u8::try_from(index % 250).unwrap(),
    );
    SocketAddr::from((host, 7_400))
}
