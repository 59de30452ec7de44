//! The simulated fleet: every daemon, the platform and the network in one queue of virtual time.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use flaxward_control::admission::RequestId;
use flaxward_control::coordinator::{CoordinatorAction, CoordinatorEvent};
use flaxward_control::node::{NodeAction, NodeEvent};
use flaxward_types::engine::Machine;
use flaxward_types::{ArtifactId, BootId};
use flaxward_wire::{Envelope, Peer, decode, encode};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::catalogue::Catalogue;
use super::daemon::{HollowDaemon, Start};
use super::engine::HollowEngine;
use super::faults::Fault;
use super::gateway::{Caller, Weights};
use super::network::{Network, WireBytes, message_bytes};
use super::observing::OBSERVATION_INTERVAL;
use super::queue::Queue;
use super::shape::{Shape, daemon_address};
use super::spread::Spread;
use super::store::HollowStore;
use super::tally::{Purpose, purpose_of};

/// Time between ticks of a daemon's state machine and of its gateway, in milliseconds.
const TICK: u64 = 50;
/// Daemons of the own zone that a daemon knows at its start.
const SEEDS_OF_ZONE: usize = 3;
/// Daemons start within this time, in milliseconds.
const START_SPREAD: u64 = 3_000;

/// A daemon's process: its place and its epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process {
    /// Place of the daemon.
    pub place: usize,
    /// Its epoch.
    pub epoch: u64,
}

/// What happens at a time.
#[derive(Debug)]
pub enum Happening {
    /// A daemon starts.
    Start(usize),
    /// A daemon's state machine and gateway tick.
    Tick(Process),
    /// A daemon reads the runners that it observes.
    Observe(Process),
    /// Bytes from another daemon arrive.
    Deliver(SocketAddr, Vec<u8>),
    /// An answer of the platform or of an engine arrives.
    Answer(Process, Purpose, Box<CoordinatorEvent>),
    /// An operation reaches the store.
    Store(Process, Box<CoordinatorAction>),
    /// An order or a read reaches an engine.
    Engine(Process, Box<CoordinatorAction>),
    /// What an order has set going at this start of an engine ends.
    EngineDone(usize, BootId, ArtifactId, EngineWork),
    /// A daemon reads the machine list.
    ReadMachines(Process),
    /// A daemon lists and watches the configuration and the quotas.
    Follow(Process),
    /// A list of the configuration and the quotas arrives.
    Followed(Process),
    /// A change of configuration reaches a watch.
    Watched(Process, Box<flaxward_wire::ConfigurationDelta>),
    /// A caller sends a request.
    Arrive(Process, Caller),
    /// A request ends at its engine.
    Finish(Process, RequestId),
    /// A sleeping artifact is wanted.
    Wake,
    /// Loads of all runners move.
    MoveLoads,
    /// An operator changes the configuration.
    Change,
    /// Bookmarks reach all watches.
    Bookmarks,
    /// Something fails, or comes back.
    Fault(Fault),
}

/// What an engine is busy with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineWork {
    /// A load.
    Load,
    /// An unload.
    Unload,
}

/// The machine list as its readers see it.
#[derive(Debug, Default)]
pub struct MachineList {
    /// Rises with every change.
    pub version: u64,
    /// Length of the list as JSON.
    pub length: u64,
    /// The machines.
    pub machines: Vec<Machine>,
}

/// Counts of what happened, for a check that the fleet works at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Requests that ran.
    pub dispatched: u64,
    /// Requests refused.
    pub refused: u64,
    /// Artifacts woken.
    pub wakes: u64,
    /// Loads that engines finished.
    pub loads: u64,
    /// Unloads that engines finished.
    pub unloads: u64,
    /// Datagrams lost on purpose.
    pub lost: u64,
    /// Calls that a daemon made in vain.
    pub failed_calls: u64,
    /// Changes of configuration.
    pub changes: u64,
}

/// The whole fleet.
#[derive(Debug)]
pub struct World {
    pub(super) shape: Shape,
    pub(super) catalogue: Catalogue,
    pub(super) weights: Arc<Weights>,
    pub(super) queue: Queue<Happening>,
    pub(super) now: u64,
    pub(super) daemons: Vec<HollowDaemon>,
    pub(super) by_address: HashMap<SocketAddr, usize>,
    pub(super) next_daemon: usize,
    pub(super) engines: Vec<HollowEngine>,
    pub(super) engine_by_address: HashMap<String, usize>,
    pub(super) next_engine: usize,
    pub(super) next_boot: u64,
    pub(super) store: HollowStore,
    pub(super) store_is_down: bool,
    pub(super) list: MachineList,
    pub(super) network: Network,
    pub(super) spread: Spread,
    pub(super) counts: Counts,
    pub(super) counting: bool,
    pub(super) random: ChaCha8Rng,
    /// Scale of the rates against the target.
    pub(super) scale: f64,
    pub(super) rates: Rates,
    /// Snapshot of the configuration in the wire format, with its revision.
    pub(super) snapshot: (u64, Arc<Vec<u8>>),
}

/// What happens how often.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Wakes in a second at the target's size.
    pub wakes: f64,
    /// Changes of configuration in a second at the target's size.
    pub changes: f64,
}

impl World {
    /// A fleet that is about to start.
    pub fn new(shape: Shape, rates: Rates, lost_per_million: u32, seed: u64) -> Self {
        let catalogue = Catalogue::new(&shape);
        let records = catalogue.records(&shape);
        let store = HollowStore::new(&catalogue, &records);
        let weights = super::callers::weights(&shape, &catalogue);
        let network = Network {
            lost_per_million,
            ..Network::default()
        };
        let mut world = Self {
            scale: shape.scale(),
            weights: Arc::new(weights),
            queue: Queue::default(),
            now: 0,
            daemons: Vec::new(),
            by_address: HashMap::new(),
            next_daemon: 0,
            engines: Vec::new(),
            engine_by_address: HashMap::new(),
            next_engine: 0,
            next_boot: 1,
            store,
            store_is_down: false,
            list: MachineList::default(),
            network,
            spread: Spread::default(),
            counts: Counts::default(),
            counting: false,
            random: ChaCha8Rng::seed_from_u64(seed),
            rates,
            snapshot: (0, Arc::default()),
            shape,
            catalogue,
        };
        world.set_up_engines(&records);
        world.set_up_daemons();
        world.set_up_recurring();
        world
    }

    fn set_up_daemons(&mut self) {
        for (zone, zone_shape) in self.shape.zones.clone().iter().enumerate() {
            for _ in 0..zone_shape.daemons {
                let number = self.next_daemon;
                self.next_daemon += 1;
                let place = self.daemons.len();
                self.daemons
                    .push(HollowDaemon::new(&self.shape, zone, number));
                self.by_address.insert(daemon_address(number), place);
                let at = self.random.random_range(0..START_SPREAD);
                self.queue.add(at, Happening::Start(place));
            }
        }
    }

    fn set_up_recurring(&mut self) {
        self.queue.add(0, Happening::MoveLoads);
        self.queue.add(10_000, Happening::Bookmarks);
        self.add_wake();
        self.add_change();
    }

    /// Lets time pass until a moment in milliseconds.
    pub fn run_until(&mut self, until: u64) {
        while let Some((at, happening)) = self.queue.next_until(until) {
            self.now = at;
            self.happen(happening);
        }
        self.now = until;
    }

    /// Begins to count, from nothing.
    pub fn begin_counting(&mut self) {
        self.counting = true;
        self.counts = Counts::default();
        let now = self.now;
        for daemon in &mut self.daemons {
            daemon.spending = super::tally::Spending::default();
            daemon.started = daemon.started.max(now);
        }
    }

    /// Ends counting.
    pub fn end_counting(&mut self) {
        let now = self.now;
        for daemon in &mut self.daemons {
            if daemon.running.is_some() {
                daemon.spending.alive += now - daemon.started;
            }
        }
        self.counting = false;
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Start(place) => self.start_daemon(place),
            Happening::Tick(process) => self.tick(process),
            Happening::Observe(process) => self.observe(process),
            Happening::Deliver(to, bytes) => self.deliver(to, &bytes),
            Happening::Answer(process, purpose, event) => {
                self.drive(process, purpose, NodeEvent::Answered(*event));
            }
            Happening::Store(process, action) => self.reach_store(process, &action),
            Happening::Engine(process, action) => self.reach_engine(process, &action),
            Happening::EngineDone(engine, boot, artifact, work) => {
                self.engine_done(engine, boot, &artifact, work);
            }
            Happening::ReadMachines(process) => self.read_machines(process),
            Happening::Follow(process) => self.follow(process),
            Happening::Followed(process) => self.followed(process),
            Happening::Watched(process, delta) => self.watched(process, *delta),
            Happening::Arrive(process, caller) => self.arrive(process, caller),
            Happening::Finish(process, request) => self.finish(process, request),
            Happening::Wake => self.wake(),
            Happening::MoveLoads => self.move_loads(),
            Happening::Change => self.change_configuration(),
            Happening::Bookmarks => self.bookmarks(),
            Happening::Fault(fault) => self.fail(fault),
        }
    }

    /// Whether a process still runs.
    pub(super) fn is_running(&self, process: Process) -> bool {
        let daemon = &self.daemons[process.place];
        daemon.epoch == process.epoch && daemon.running.is_some()
    }

    /// The process that runs at a place, if any.
    pub(super) fn process(&self, place: usize) -> Process {
        Process {
            place,
            epoch: self.daemons[place].epoch,
        }
    }

    pub(super) fn start_daemon(&mut self, place: usize) {
        let daemon = &self.daemons[place];
        if daemon.running.is_some() {
            return;
        }
        let start = Start {
            shape: &self.shape,
            zone: daemon.zone,
            number: self.number_of(place),
            seeds: self.seeds(daemon.zone),
            seed: self.random.random(),
            now: self.now,
        };
        let weights = Arc::clone(&self.weights);
        self.daemons[place].start(&start, weights);
        let process = self.process(place);
        let tick = self.now + self.random.random_range(0..TICK);
        self.queue.add(tick, Happening::Tick(process));
        let observation = self.now + self.random.random_range(0..OBSERVATION_INTERVAL);
        self.queue.add(observation, Happening::Observe(process));
        self.add_callers(process);
    }

    fn number_of(&self, place: usize) -> usize {
        let address = self.daemons[place].peer.address;
        let std::net::IpAddr::V4(address) = address.ip() else {
            return place;
        };
        let bytes = address.octets();
        u32::from_be_bytes([0, bytes[1], bytes[2], bytes[3]]) as usize
    }

    /// Numbers of some daemons of the zone and of one daemon of each other zone.
    fn seeds(&self, zone: usize) -> Vec<usize> {
        let mut seen: BTreeMap<usize, usize> = BTreeMap::new();
        let mut seeds = Vec::new();
        for (place, daemon) in self.daemons.iter().enumerate() {
            let wanted = if daemon.zone == zone {
                SEEDS_OF_ZONE
            } else {
                1
            };
            let count = seen.entry(daemon.zone).or_default();
            if *count < wanted {
                *count += 1;
                seeds.push(self.number_of(place));
            }
        }
        seeds
    }

    fn tick(&mut self, process: Process) {
        if !self.is_running(process) {
            return;
        }
        self.queue.add(self.now + TICK, Happening::Tick(process));
        self.drive(process, Purpose::Ticks, NodeEvent::Tick);
        self.tick_gateway(process);
    }

    /// Hands an event to a daemon's state machine and carries out what it asks for.
    pub(super) fn drive(&mut self, process: Process, purpose: Purpose, event: NodeEvent) {
        if !self.is_running(process) {
            return;
        }
        let now = self.now;
        let daemon = &mut self.daemons[process.place];
        let Some(running) = daemon.running.as_mut() else {
            return;
        };
        let clock = running.clock(now);
        let began = Instant::now();
        let actions = running.node.handle(event, clock);
        daemon.spending.worked(purpose, began.elapsed());
        for action in actions {
            self.act(process, action);
        }
    }

    fn act(&mut self, process: Process, action: NodeAction) {
        match action {
            NodeAction::Send(to, envelope) => self.send(process, to, envelope),
            NodeAction::Platform(operation) => self.operate(process, operation),
            NodeAction::Configuration(configuration) => {
                let revision = configuration.revision();
                let daemon = &mut self.daemons[process.place];
                let before = daemon.in_force();
                if let Some(running) = daemon.running.as_mut() {
                    running.configuration = configuration;
                }
                self.spread
                    .in_force(process.place, before, revision, self.now);
            }
            NodeAction::Reading(reading) => self.set_reading(process, reading),
            NodeAction::Observe(share) => {
                if let Some(running) = self.daemons[process.place].running.as_mut() {
                    running.observer.set_share(share);
                }
            }
            NodeAction::Relist => self.queue.add(self.now, Happening::Follow(process)),
            NodeAction::Stopped => self.stopped(process),
            NodeAction::Routes(answers) => self.routes(process, answers),
            NodeAction::RoutesHeld(held) => self.routes_held(process, held),
            NodeAction::Heads(zones) => self.heads(process, zones),
            NodeAction::Leaving(runners) => self.leaving(process, runners),
            NodeAction::Services(_)
            | NodeAction::Lead(_)
            | NodeAction::Resign
            | NodeAction::Record(_)
            | NodeAction::ViewWanted(..)
            | NodeAction::ViewRows(..) => {}
        }
    }

    fn send(&mut self, process: Process, to: SocketAddr, envelope: Envelope) {
        let purpose = purpose_of(&envelope.message);
        let began = Instant::now();
        let bytes = encode(&envelope);
        drop(envelope);
        let time = began.elapsed();
        let cost = message_bytes(bytes.len());
        let daemon = &mut self.daemons[process.place];
        daemon.spending.worked(purpose, time);
        daemon.spending.sent(purpose, cost);
        let from = (daemon.zone, daemon.region);
        let Some(place) = self.by_address.get(&to) else {
            return;
        };
        let receiver = &self.daemons[*place];
        let target = (receiver.zone, receiver.region);
        if !self.network.connects(from.1, target.1) || self.is_lost(bytes.len()) {
            return;
        }
        let at = self.now + self.network.delay(from, target);
        self.queue.add(at, Happening::Deliver(to, bytes));
    }

    fn is_lost(&mut self, length: usize) -> bool {
        let lost = super::network::is_datagram(length)
            && self.random.random_range(0..1_000_000) < self.network.lost_per_million;
        self.counts.lost += u64::from(lost);
        lost
    }

    fn deliver(&mut self, to: SocketAddr, bytes: &[u8]) {
        let Some(place) = self.by_address.get(&to).copied() else {
            return;
        };
        let process = self.process(place);
        if !self.is_running(process) {
            return;
        }
        let began = Instant::now();
        let Ok(envelope) = decode(bytes) else {
            return;
        };
        let time = began.elapsed();
        let purpose = purpose_of(&envelope.message);
        let cost: WireBytes = message_bytes(bytes.len()).reversed();
        let spending = &mut self.daemons[place].spending;
        spending.worked(purpose, time);
        spending.received(purpose, cost);
        let event = NodeEvent::Received(Box::new(envelope));
        self.drive(process, purpose, event);
    }

    /// The peer at a place.
    pub fn peer(&self, place: usize) -> &Peer {
        &self.daemons[place].peer
    }

    /// All daemons.
    pub fn daemons(&self) -> &[HollowDaemon] {
        &self.daemons
    }

    /// The shape of the fleet.
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// What happened since counting began.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Virtual time in milliseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Adds a fault at a time in milliseconds.
    pub fn add_fault(&mut self, at: u64, fault: Fault) {
        self.queue.add(at, Happening::Fault(fault));
    }

    /// How changes of configuration have spread.
    pub fn spread(&self) -> &Spread {
        &self.spread
    }
}
