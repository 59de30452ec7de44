//! A hollow daemon: a real state machine and real admission, without sockets.

use std::sync::Arc;

use flaxward_control::configuration::Configuration;
use flaxward_control::coordinator::{Coordinator, CoordinatorSettings};
use flaxward_control::gossip::{Gossip, GossipSettings};
use flaxward_control::node::Node;
use flaxward_control::observation::Observer;
use flaxward_types::engine::Machine;
use flaxward_types::{Revision, Timestamp};
use flaxward_wire::Peer;

use super::gateway::{HollowGateway, Weights};
use super::shape::{Shape, daemon_address, daemon_name};
use super::tally::{Role, Spending};

/// Origin of a daemon's clock at its start, so that the clocks of two daemons differ.
const CLOCK_STEP: u64 = 1_000_003;

/// One place of a daemon in the fleet; several daemons may hold it one after the other.
#[derive(Debug)]
pub struct HollowDaemon {
    /// Who it is.
    pub peer: Peer,
    /// Place of its zone.
    pub zone: usize,
    /// Its region.
    pub region: usize,
    /// Rises with each start and stop, so that what was meant for an earlier start is dropped.
    pub epoch: u64,
    /// The running process, if there is one.
    pub running: Option<Running>,
    /// What it has spent while it was counted.
    pub spending: Spending,
    /// When the present process started.
    pub started: u64,
}

/// A daemon's process.
#[derive(Debug)]
pub struct Running {
    /// The state machine.
    pub node: Node,
    /// The callers' side.
    pub gateway: HollowGateway,
    /// The configuration as the drivers hold it.
    pub configuration: Arc<Configuration>,
    /// Its observer of runners.
    pub observer: Observer,
    /// Whether it reads the platform's lists.
    pub reading: bool,
    /// Revision up to which its watch of the configuration has come.
    pub seen: Revision,
    /// Whether its watch of the configuration is open.
    pub watching: bool,
    /// Whether it has begun a planned stop.
    pub stopping: bool,
    /// The machine list that it last parsed, with its version.
    pub machine_list: (u64, Vec<Machine>),
    clock_origin: u64,
}

/// What a daemon is started with.
pub struct Start<'a> {
    /// The fleet.
    pub shape: &'a Shape,
    /// Place of its zone.
    pub zone: usize,
    /// Its number, which makes its name and address.
    pub number: usize,
    /// Numbers of the daemons that it knows at its start.
    pub seeds: Vec<usize>,
    /// Seed of its random draws.
    pub seed: u64,
    /// Time of the simulation in milliseconds.
    pub now: u64,
}

impl HollowDaemon {
    /// A place whose daemon has not started.
    pub fn new(shape: &Shape, zone: usize, number: usize) -> Self {
        Self {
            peer: peer(shape, zone, number),
            zone,
            region: shape.zones[zone].region,
            epoch: 0,
            running: None,
            spending: Spending::default(),
            started: 0,
        }
    }

    /// Starts a process here.
    pub fn start(&mut self, start: &Start, weights: Arc<Weights>) {
        self.peer = peer(start.shape, start.zone, start.number);
        self.epoch += 1;
        self.started = start.now;
        self.running = Some(Running::new(start, &self.peer, weights));
    }

    /// Ends the process.
    pub fn end(&mut self) {
        self.epoch += 1;
        self.running = None;
    }

    /// What it is now.
    pub fn role(&self) -> Role {
        match &self.running {
            Some(running) if running.node.leading().is_some() => Role::Coordinator,
            Some(running) if running.reading => Role::StandBy,
            _ => Role::Member,
        }
    }

    /// The revision of the configuration in force.
    pub fn in_force(&self) -> Revision {
        let running = self.running.as_ref();
        running.map_or(Revision(0), |running| running.configuration.revision())
    }
}

impl Running {
    fn new(start: &Start, me: &Peer, weights: Arc<Weights>) -> Self {
        let seeds = start.seeds.iter().map(|number| daemon_address(*number));
        let incarnation = start.now + 1;
        let gossip = Gossip::new(
            GossipSettings::default(),
            me.clone(),
            seeds.collect(),
            incarnation,
            start.seed,
        );
        let zones = start.shape.zones_from(start.zone);
        let coordinator = Coordinator::new(
            CoordinatorSettings::default(),
            me.name.clone(),
            me.zone.clone(),
            zones.clone(),
            start.seed.wrapping_add(1),
        );
        Self {
            node: Node::new(me.clone(), gossip, coordinator),
            gateway: HollowGateway::new(zones, start.seed.wrapping_add(2), weights),
            configuration: Arc::default(),
            observer: Observer::new(CoordinatorSettings::default().inventory_refresh),
            reading: false,
            seen: Revision(0),
            watching: false,
            stopping: false,
            machine_list: (0, Vec::new()),
            clock_origin: start.now.wrapping_sub(CLOCK_STEP * start.number as u64),
        }
    }

    /// Time of the simulation on this daemon's clock.
    pub fn clock(&self, now: u64) -> Timestamp {
        Timestamp(now.wrapping_sub(self.clock_origin))
    }
}

fn peer(shape: &Shape, zone: usize, number: usize) -> Peer {
    Peer {
        name: daemon_name(number),
        zone: shape.zones[zone].name.clone(),
        address: daemon_address(number),
    }
}
