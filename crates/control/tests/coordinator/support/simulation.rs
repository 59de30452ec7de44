//! The simulation: daemons, engines, store, gateways, and the messages between them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxward_control::configuration::Configuration;
use flaxward_control::coordinator::{
    Coordinator, CoordinatorAction, CoordinatorEvent, CoordinatorSettings, Weakness,
};
use flaxward_types::engine::{Machine, MachineRole, Order};
use flaxward_types::routing::{Outlook, RouteAnswer};
use flaxward_types::{ArtifactId, BootId, DaemonName, RunnerName, Term, Timestamp, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::engine::Engine;
use super::models::{Rules, configuration};
use super::schedule::{Fault, Schedule};
use super::store::Store;

/// Unit of memory sizes.
pub const GIGABYTE: u64 = 1_000_000_000;
const MEMORY: u64 = 10 * GIGABYTE;
const TICK: u64 = 100;
const RUNNERS_PER_ZONE: usize = 3;

/// An event of the simulation, scheduled for a point in virtual time.
pub(super) enum SimulationEvent {
    Tick(DaemonName),
    Deliver(DaemonName, u64, Box<CoordinatorEvent>),
    StoreRequest(DaemonName, u64, Box<CoordinatorAction>, Reply),
    RunnerRequest(DaemonName, u64, RunnerName, Option<Box<Order>>, Reply),
    Loaded(RunnerName, BootId, ArtifactId),
    Unloaded(RunnerName, BootId, ArtifactId),
    RenewDemand(DaemonName, ArtifactId),
    DeliverAnswer(DaemonName, Box<RouteAnswer>),
    Start(DaemonName),
    RemoveMachine(RunnerName),
    UnlistMachine(RunnerName),
    Fault(Fault),
    RestoreRanks(ZoneName),
    RefreshLists,
}

/// Whether the answer to an operation reaches its sender.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Reply {
    Delivered,
    Lost,
}

pub(super) struct Daemon {
    pub(super) zone: ZoneName,
    pub(super) coordinator: Option<Coordinator>,
    /// Incarnation of the daemon; messages to an earlier incarnation are lost.
    pub(super) incarnation: u64,
    pub(super) paused_until: u64,
    pub(super) store_unreachable_until: u64,
    pub(super) watching: bool,
}

/// A gateway's demand for one artifact, and the answers to it.
pub struct DemandState {
    pub(super) until: u64,
    pub(super) zone: ZoneName,
    pub(super) tried: BTreeSet<ZoneName>,
    pub(super) newest: BTreeMap<ZoneName, (Term, u64)>,
    pub outlook: Option<Outlook>,
    pub ready: Vec<RunnerName>,
}

/// The state of the simulation.
pub struct Simulation {
    pub now: u64,
    pub(super) queue: BTreeMap<(u64, u64), SimulationEvent>,
    pub(super) scheduled_count: u64,
    pub(super) generator: ChaCha8Rng,
    pub(super) weakness: Weakness,
    pub settings: CoordinatorSettings,
    pub(super) zones: Vec<ZoneName>,
    pub store: Store,
    pub(super) store_down_until: u64,
    /// Time until which nothing that is sent to the store arrives.
    pub store_silent_until: u64,
    pub(super) message_loss: (u64, u32),
    pub(super) daemons: BTreeMap<DaemonName, Daemon>,
    pub engines: BTreeMap<RunnerName, Engine>,
    pub(super) machines: BTreeMap<RunnerName, Machine>,
    pub(super) unreachable_runners: BTreeMap<RunnerName, u64>,
    pub(super) runner_count: usize,
    pub gateways: BTreeMap<DaemonName, (ZoneName, BTreeMap<ArtifactId, DemandState>)>,
    pub configuration: Configuration,
    pub rules: Rules,
    pub(super) previous_configurations: Vec<(Configuration, u64)>,
    /// Whether a refused order, such as a load of an artifact that is already loaded, is a
    /// violation.
    pub refusals_are_violations: bool,
    /// Whether observers read the inventories of runners and report them, some with a delay.
    pub has_observers: bool,
    pub violation: Option<String>,
}

/// Settings with short intervals, to cover many transitions in little virtual time.
pub fn settings() -> CoordinatorSettings {
    CoordinatorSettings {
        lease_duration: Duration::from_secs(3),
        lease_renewal: Duration::from_secs(1),
        order_retry: Duration::from_millis(500),
        inventory_refresh: Duration::from_secs(1),
        load_timeout: Duration::from_secs(15),
        load_backoff: Duration::from_secs(2),
        demand_expiry: Duration::from_secs(3),
        running_demand_expiry: Duration::from_secs(3),
        remote_bytes_per_second: 2 * GIGABYTE,
        disk_bytes_per_second: 8 * GIGABYTE,
        ..CoordinatorSettings::default()
    }
}

impl Simulation {
    pub fn new(seed: u64, weakness: Weakness) -> Self {
        let zones: Vec<ZoneName> = ["alpha", "beta", "gamma"].map(ZoneName::literal).to_vec();
        let rules = Rules {
            parallel_loads: 1 + u32::try_from(seed % 4).unwrap_or(0),
            ..Rules::default()
        };
        let mut simulation = Self {
            now: 0,
            queue: BTreeMap::new(),
            scheduled_count: 0,
            generator: ChaCha8Rng::seed_from_u64(seed),
            weakness,
            settings: settings(),
            zones: zones.clone(),
            store: Store::default(),
            store_down_until: 0,
            store_silent_until: 0,
            message_loss: (0, 0),
            daemons: BTreeMap::new(),
            engines: BTreeMap::new(),
            machines: BTreeMap::new(),
            unreachable_runners: BTreeMap::new(),
            runner_count: 0,
            gateways: BTreeMap::new(),
            configuration: configuration(1, rules),
            rules,
            previous_configurations: Vec::new(),
            refusals_are_violations: weakness == Weakness::None,
            has_observers: true,
            violation: None,
        };
        for zone in zones {
            for _ in 0..RUNNERS_PER_ZONE {
                simulation.add_runner(&zone);
            }
            for number in 0..2 {
                let name = DaemonName::literal(&format!("{zone}-daemon-{number}"));
                let daemon = Daemon {
                    zone: zone.clone(),
                    coordinator: None,
                    incarnation: 0,
                    paused_until: 0,
                    store_unreachable_until: 0,
                    watching: false,
                };
                simulation.daemons.insert(name.clone(), daemon);
                simulation.schedule(0, SimulationEvent::Start(name));
            }
            let gateway = DaemonName::literal(&format!("{zone}-gateway"));
            simulation.gateways.insert(gateway, (zone, BTreeMap::new()));
        }
        simulation.schedule(0, SimulationEvent::RefreshLists);
        simulation
    }

    pub(super) fn schedule(&mut self, time: u64, event: SimulationEvent) {
        self.scheduled_count += 1;
        self.queue
            .insert((time.max(self.now), self.scheduled_count), event);
    }

    pub(super) fn deliver_at(
        &mut self,
        time: u64,
        name: DaemonName,
        incarnation: u64,
        event: CoordinatorEvent,
    ) {
        self.schedule(
            time,
            SimulationEvent::Deliver(name, incarnation, Box::new(event)),
        );
    }

    pub fn schedule_faults(&mut self, schedule: &Schedule) {
        for (time, fault) in schedule {
            self.schedule(*time, SimulationEvent::Fault(fault.clone()));
        }
    }

    pub(super) fn latency(&mut self) -> u64 {
        self.generator.random_range(1..20)
    }

    pub(super) fn draw_loss(&mut self) -> bool {
        let (until, percent) = self.message_loss;
        self.now < until && self.generator.random_range(0..100) < percent
    }

    pub(super) fn add_runner(&mut self, zone: &ZoneName) {
        self.runner_count += 1;
        let name = RunnerName::literal(&format!("runner-{}", self.runner_count));
        let boot = BootId(self.generator.random());
        self.engines.insert(name.clone(), Engine::new(boot, MEMORY));
        let machine = Machine {
            name: name.clone(),
            zone: zone.clone(),
            address: format!("10.0.0.{}:80", self.runner_count),
            role: MachineRole::Engine,
            leaving: false,
        };
        self.machines.insert(name, machine);
    }

    /// Runs the simulation until a point in time, or until an invariant is violated.
    pub fn run_until(&mut self, end: u64) {
        while self.violation.is_none() {
            let Some(entry) = self.queue.first_entry() else {
                break;
            };
            if entry.key().0 > end {
                break;
            }
            let ((time, _), event) = entry.remove_entry();
            self.now = time;
            self.process(event);
        }
        self.now = self.now.max(end);
    }

    pub(super) fn process(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Tick(name) => {
                self.schedule(self.now + TICK, SimulationEvent::Tick(name.clone()));
                let incarnation = self.daemons[&name].incarnation;
                self.deliver(&name, incarnation, CoordinatorEvent::Tick);
            }
            SimulationEvent::Deliver(name, incarnation, event) => {
                self.deliver(&name, incarnation, *event)
            }
            SimulationEvent::StoreRequest(name, incarnation, action, reply) => {
                self.execute_at_store(&name, incarnation, &action, reply);
            }
            SimulationEvent::RunnerRequest(name, incarnation, runner, order, reply) => {
                self.execute_at_runner(&name, incarnation, &runner, order.as_deref(), reply);
            }
            SimulationEvent::Loaded(runner, boot, artifact) => {
                self.on_engine(&runner, boot, |engine| engine.finish_load(&artifact));
            }
            SimulationEvent::Unloaded(runner, boot, artifact) => {
                self.on_engine(&runner, boot, |engine| engine.finish_unload(&artifact));
            }
            SimulationEvent::RenewDemand(gateway, artifact) => {
                self.renew_demand(&gateway, &artifact)
            }
            SimulationEvent::DeliverAnswer(gateway, answer) => self.apply_answer(&gateway, *answer),
            SimulationEvent::Start(name) => self.start_daemon(&name),
            SimulationEvent::RemoveMachine(runner) => self.remove_machine(&runner),
            SimulationEvent::UnlistMachine(runner) => {
                self.machines.remove(&runner);
            }
            SimulationEvent::Fault(fault) => self.inject(fault),
            SimulationEvent::RestoreRanks(zone) => self.send_ranks(&zone, false),
            SimulationEvent::RefreshLists => self.refresh_lists(),
        }
    }

    pub(super) fn on_engine(
        &mut self,
        runner: &RunnerName,
        boot: BootId,
        apply: impl FnOnce(&mut Engine),
    ) {
        if let Some(engine) = self.engines.get_mut(runner)
            && engine.boot == boot
            && engine.is_running
        {
            apply(engine);
        }
    }

    pub(super) fn start_daemon(&mut self, name: &DaemonName) {
        let seed = self.generator.random();
        let (zones, weakness) = (self.zones.clone(), self.weakness);
        let daemon = self.daemons.get_mut(name).expect("a known daemon");
        let is_first_start = daemon.incarnation == 0;
        daemon.incarnation += 1;
        daemon.watching = false;
        daemon.coordinator = Some(Coordinator::with_weakness(
            self.settings.clone(),
            name.clone(),
            daemon.zone.clone(),
            zones,
            seed,
            weakness,
        ));
        let zone = daemon.zone.clone();
        if is_first_start {
            self.schedule(self.now, SimulationEvent::Tick(name.clone()));
        }
        self.send_ranks(&zone, false);
        self.send_machines(name);
    }

    pub(super) fn send_ranks(&mut self, zone: &ZoneName, both_rank_zero: bool) {
        let live = self.daemons.iter().filter(|(_, daemon)| {
            daemon.zone == *zone && daemon.coordinator.is_some() && daemon.paused_until <= self.now
        });
        let names: Vec<(DaemonName, u64)> = live
            .map(|(name, daemon)| (name.clone(), daemon.incarnation))
            .collect();
        for (rank, (name, incarnation)) in names.into_iter().enumerate() {
            let rank = if both_rank_zero { 0 } else { rank };
            let event = CoordinatorEvent::Rank(rank);
            self.deliver_at(self.now, name, incarnation, event);
        }
    }

    pub(super) fn send_machines(&mut self, name: &DaemonName) {
        let daemon = &self.daemons[name];
        let (zone, incarnation) = (daemon.zone.clone(), daemon.incarnation);
        let machines = self
            .machines
            .values()
            .filter(|machine| machine.zone == zone);
        let event = CoordinatorEvent::Machines(machines.cloned().collect());
        let time = self.now + self.latency();
        self.deliver_at(time, name.clone(), incarnation, event);
    }

    pub(super) fn refresh_lists(&mut self) {
        self.schedule(self.now + 1_000, SimulationEvent::RefreshLists);
        self.send_observations();
        let names: Vec<DaemonName> = self.daemons.keys().cloned().collect();
        for name in names {
            self.send_machines(&name);
            // A daemon that was cut off from the store catches up on missed changes soon.
            let daemon = &self.daemons[&name];
            let is_cut = daemon.store_unreachable_until > self.now;
            let is_out = self.store_down_until.max(self.store_silent_until) > self.now;
            if daemon.watching && !is_cut && !is_out {
                let incarnation = daemon.incarnation;
                let quotas: Vec<_> = self.store.quotas().cloned().collect();
                for (revision, quota) in quotas {
                    let event = CoordinatorEvent::QuotaChanged(revision, quota);
                    self.deliver_at(self.now + 5, name.clone(), incarnation, event);
                }
            }
        }
        for zone in self.zones.clone() {
            self.send_ranks(&zone, false);
        }
    }

    /// Delivers an event to a daemon, once it is no longer paused.
    pub(super) fn deliver(&mut self, name: &DaemonName, incarnation: u64, event: CoordinatorEvent) {
        let origin = 1_000_000 * (1 + name.as_str().len() as u64);
        let daemon = self.daemons.get_mut(name).expect("a known daemon");
        if daemon.incarnation != incarnation {
            return;
        }
        if daemon.paused_until > self.now {
            let resumed = daemon.paused_until;
            if event != CoordinatorEvent::Tick {
                self.deliver_at(resumed, name.clone(), incarnation, event);
            }
            return;
        }
        let Some(coordinator) = &mut daemon.coordinator else {
            return;
        };
        let now = Timestamp(origin + self.now);
        let actions = coordinator.handle(event, now, &self.configuration);
        if let Err(index) = coordinator.check_indexes() {
            self.record_violation(format!("{name}: the index of {index} is not up to date"));
        }
        for action in actions {
            self.execute(name, incarnation, action);
        }
    }
}
