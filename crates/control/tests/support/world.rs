//! The world: daemons, engines, store, gateways, and the messages between them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytesize::ByteSize;
use flaxward_control::configuration::Configuration;
use flaxward_control::coordinator::{
    Coordinator, CoordinatorAction, CoordinatorEvent, CoordinatorSettings, EngineFault, StoreFault,
    Weakness,
};
use flaxward_types::configuration::{AdapterSpec, CopyRule, ModelSpec, PolicySpec, VersionSpec};
use flaxward_types::engine::{HeldState, Machine, MachineRole, Order, OrderAnswer};
use flaxward_types::records::{QuotaSubject, Slot};
use flaxward_types::routing::{Demand, Outlook, RouteAnswer};
use flaxward_types::{
    ArtifactId, BootId, ConfigurationItem, DaemonName, ItemKey, Revision, RunnerName, Term,
    Timestamp, ZoneName,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::engine::{Effect, Engine};
use super::schedule::{Fault, Schedule};
use super::store::Store;

/// One unit of memory.
pub const GIGABYTE: u64 = 1_000_000_000;
const MEMORY: u64 = 10 * GIGABYTE;
const TICK: u64 = 100;
const DRIVER_TIMEOUT: u64 = 1_500;
const LATEST: u64 = 9_000;
const RUNNERS_PER_ZONE: usize = 3;

/// What happens at some time.
enum Happening {
    Tick(DaemonName),
    Tell(DaemonName, u64, Box<CoordinatorEvent>),
    AtStore(DaemonName, u64, Box<CoordinatorAction>, Reply),
    AtRunner(DaemonName, u64, RunnerName, Option<Box<Order>>, Reply),
    Loaded(RunnerName, BootId, ArtifactId),
    Unloaded(RunnerName, BootId, ArtifactId),
    Renew(DaemonName, ArtifactId),
    Answer(DaemonName, Box<RouteAnswer>),
    Start(DaemonName),
    MachineGone(RunnerName),
    Unlisted(RunnerName),
    Fault(Fault),
    RankZero(ZoneName),
    Lists,
}

/// Whether the answer to an operation gets back.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reply {
    Kept,
    Lost,
}

struct Daemon {
    zone: ZoneName,
    coordinator: Option<Coordinator>,
    /// Start of the daemon; what was sent to an earlier start is lost.
    start: u64,
    paused_until: u64,
    cut_until: u64,
    watching: bool,
}

/// What a gateway wants of one artifact.
pub struct Want {
    until: u64,
    zone: ZoneName,
    tried: BTreeSet<ZoneName>,
    newest: BTreeMap<ZoneName, (Term, u64)>,
    pub outlook: Option<Outlook>,
}

/// The world.
pub struct World {
    pub now: u64,
    queue: BTreeMap<(u64, u64), Happening>,
    count: u64,
    generator: ChaCha8Rng,
    weakness: Weakness,
    zones: Vec<ZoneName>,
    pub store: Store,
    store_down_until: u64,
    lossy: (u64, u32),
    daemons: BTreeMap<DaemonName, Daemon>,
    pub engines: BTreeMap<RunnerName, Engine>,
    machines: BTreeMap<RunnerName, Machine>,
    cut_runners: BTreeMap<RunnerName, u64>,
    runner_count: usize,
    pub gateways: BTreeMap<DaemonName, (ZoneName, BTreeMap<ArtifactId, Want>)>,
    pub configuration: Configuration,
    second_serves: bool,
    pub violation: Option<String>,
}

pub fn artifact(text: &str) -> ArtifactId {
    text.parse().expect("an artifact of the test")
}

/// The artifacts of the world.
pub fn artifacts() -> Vec<ArtifactId> {
    [
        "one@v1", "two@v1", "three@v1", "four@v1", "four@v2", "one:a@v1", "two:b@v1",
    ]
    .map(artifact)
    .to_vec()
}

fn model(at_least: u32, at_most: u32, zones: &[&str], serving: &str) -> ConfigurationItem {
    let copies = CopyRule {
        at_least,
        at_most,
        zones: zones.iter().map(|zone| ZoneName::literal(zone)).collect(),
    };
    ConfigurationItem::Model(ModelSpec {
        serving: serving.parse().expect("a version"),
        copies,
        priority: 1,
        queue_limit: 10,
    })
}

fn configuration(revision: u64, second_serves: bool) -> Configuration {
    let version = |gigabytes| {
        ConfigurationItem::Version(VersionSpec {
            checkpoint: "weights".to_owned(),
            weights: ByteSize(gigabytes * GIGABYTE),
            kv_cache: ByteSize(GIGABYTE),
        })
    };
    let adapter = |at_most| {
        ConfigurationItem::Adapter(AdapterSpec {
            checkpoint: "weights".to_owned(),
            weights: ByteSize(GIGABYTE),
            at_most,
        })
    };
    let serving = if second_serves { "v2" } else { "v1" };
    let policy = PolicySpec {
        weight_store_parallel: 4,
        weight_store_per_second: 20.0,
        keep_alive_min_ms: 3_000,
        keep_alive_max_ms: 3_000,
        ..PolicySpec::default()
    };
    let items = [
        ("model.one", model(0, 1, &[], "v1")),
        ("version.one@v1", version(3)),
        ("adapter.one:a", adapter(1)),
        ("model.two", model(0, 2, &[], "v1")),
        ("version.two@v1", version(5)),
        ("adapter.two:b", adapter(2)),
        ("model.three", model(0, 1, &["alpha"], "v1")),
        ("version.three@v1", version(4)),
        ("model.four", model(1, 2, &[], serving)),
        ("version.four@v1", version(3)),
        ("version.four@v2", version(4)),
        ("policy", ConfigurationItem::Policy(policy)),
    ];
    let keyed = items.map(|(key, item)| {
        let key: ItemKey = key.parse().expect("a key");
        (key, Revision(revision), item)
    });
    Configuration::new(Revision(revision), keyed)
}

/// Settings with short times, so that much happens in little virtual time.
pub fn settings() -> CoordinatorSettings {
    CoordinatorSettings {
        lease_duration: Duration::from_secs(3),
        lease_renewal: Duration::from_secs(1),
        order_retry: Duration::from_millis(500),
        inventory_refresh: Duration::from_secs(1),
        load_timeout: Duration::from_secs(15),
        load_backoff: Duration::from_secs(2),
        demand_expiry: Duration::from_secs(3),
        remote_bytes_per_second: 2 * GIGABYTE,
        disk_bytes_per_second: 8 * GIGABYTE,
        ..CoordinatorSettings::default()
    }
}

impl World {
    pub fn new(seed: u64, weakness: Weakness) -> Self {
        let zones: Vec<ZoneName> = ["alpha", "beta", "gamma"].map(ZoneName::literal).to_vec();
        let mut world = Self {
            now: 0,
            queue: BTreeMap::new(),
            count: 0,
            generator: ChaCha8Rng::seed_from_u64(seed),
            weakness,
            zones: zones.clone(),
            store: Store::default(),
            store_down_until: 0,
            lossy: (0, 0),
            daemons: BTreeMap::new(),
            engines: BTreeMap::new(),
            machines: BTreeMap::new(),
            cut_runners: BTreeMap::new(),
            runner_count: 0,
            gateways: BTreeMap::new(),
            configuration: configuration(1, false),
            second_serves: false,
            violation: None,
        };
        for zone in zones {
            for _ in 0..RUNNERS_PER_ZONE {
                world.add_runner(&zone);
            }
            for number in 0..2 {
                let name = DaemonName::literal(&format!("{zone}-daemon-{number}"));
                let daemon = Daemon {
                    zone: zone.clone(),
                    coordinator: None,
                    start: 0,
                    paused_until: 0,
                    cut_until: 0,
                    watching: false,
                };
                world.daemons.insert(name.clone(), daemon);
                world.at(0, Happening::Start(name));
            }
            let gateway = DaemonName::literal(&format!("{zone}-gateway"));
            world.gateways.insert(gateway, (zone, BTreeMap::new()));
        }
        world.at(0, Happening::Lists);
        world
    }

    fn at(&mut self, time: u64, happening: Happening) {
        self.count += 1;
        self.queue
            .insert((time.max(self.now), self.count), happening);
    }

    pub fn plan(&mut self, schedule: &Schedule) {
        for (time, fault) in schedule {
            self.at(*time, Happening::Fault(fault.clone()));
        }
    }

    fn latency(&mut self) -> u64 {
        self.generator.random_range(1..20)
    }

    fn is_lossy(&mut self) -> bool {
        let (until, percent) = self.lossy;
        self.now < until && self.generator.random_range(0..100) < percent
    }

    fn add_runner(&mut self, zone: &ZoneName) {
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

    /// Lets the world run until a time, or until an invariant breaks.
    pub fn run_until(&mut self, end: u64) {
        while self.violation.is_none() {
            let Some(entry) = self.queue.first_entry() else {
                break;
            };
            if entry.key().0 > end {
                break;
            }
            let ((time, _), happening) = entry.remove_entry();
            self.now = time;
            self.happen(happening);
        }
        self.now = self.now.max(end);
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick(name) => {
                self.at(self.now + TICK, Happening::Tick(name.clone()));
                let start = self.daemons[&name].start;
                self.tell(&name, start, CoordinatorEvent::Tick);
            }
            Happening::Tell(name, start, event) => self.tell(&name, start, *event),
            Happening::AtStore(name, start, action, reply) => {
                self.at_store(&name, start, &action, reply);
            }
            Happening::AtRunner(name, start, runner, order, reply) => {
                self.at_runner(&name, start, &runner, order.as_deref(), reply);
            }
            Happening::Loaded(runner, boot, artifact) => {
                self.on_engine(&runner, boot, |engine| engine.finish_load(&artifact));
            }
            Happening::Unloaded(runner, boot, artifact) => {
                self.on_engine(&runner, boot, |engine| engine.finish_unload(&artifact));
            }
            Happening::Renew(gateway, artifact) => self.renew(&gateway, &artifact),
            Happening::Answer(gateway, answer) => self.take_answer(&gateway, *answer),
            Happening::Start(name) => self.start(&name),
            Happening::MachineGone(runner) => self.take_machine(&runner),
            Happening::Unlisted(runner) => {
                self.machines.remove(&runner);
            }
            Happening::Fault(fault) => self.fail(fault),
            Happening::RankZero(zone) => self.tell_ranks(&zone, false),
            Happening::Lists => self.send_lists(),
        }
    }

    fn on_engine(&mut self, runner: &RunnerName, boot: BootId, act: impl FnOnce(&mut Engine)) {
        if let Some(engine) = self.engines.get_mut(runner)
            && engine.boot == boot
            && engine.alive
        {
            act(engine);
        }
    }

    fn start(&mut self, name: &DaemonName) {
        let seed = self.generator.random();
        let (zones, weakness) = (self.zones.clone(), self.weakness);
        let daemon = self.daemons.get_mut(name).expect("a known daemon");
        let first = daemon.start == 0;
        daemon.start += 1;
        daemon.watching = false;
        daemon.coordinator = Some(Coordinator::with_weakness(
            settings(),
            name.clone(),
            daemon.zone.clone(),
            zones,
            seed,
            weakness,
        ));
        let zone = daemon.zone.clone();
        if first {
            self.at(self.now, Happening::Tick(name.clone()));
        }
        self.tell_ranks(&zone, false);
        self.send_machines(name);
    }

    fn tell_ranks(&mut self, zone: &ZoneName, both_first: bool) {
        let live = self.daemons.iter().filter(|(_, daemon)| {
            daemon.zone == *zone && daemon.coordinator.is_some() && daemon.paused_until <= self.now
        });
        let names: Vec<(DaemonName, u64)> = live
            .map(|(name, daemon)| (name.clone(), daemon.start))
            .collect();
        for (rank, (name, start)) in names.into_iter().enumerate() {
            let rank = if both_first { 0 } else { rank };
            let event = CoordinatorEvent::Rank(rank);
            self.at(self.now, Happening::Tell(name, start, Box::new(event)));
        }
    }

    fn send_machines(&mut self, name: &DaemonName) {
        let daemon = &self.daemons[name];
        let (zone, start) = (daemon.zone.clone(), daemon.start);
        let machines = self
            .machines
            .values()
            .filter(|machine| machine.zone == zone);
        let event = CoordinatorEvent::Machines(machines.cloned().collect());
        let time = self.now + self.latency();
        self.at(time, Happening::Tell(name.clone(), start, Box::new(event)));
    }

    fn send_lists(&mut self) {
        self.at(self.now + 1_000, Happening::Lists);
        let names: Vec<DaemonName> = self.daemons.keys().cloned().collect();
        for name in names {
            self.send_machines(&name);
            // The watch of a daemon that was cut off misses nothing for long.
            let daemon = &self.daemons[&name];
            if daemon.watching && daemon.cut_until <= self.now && self.store_down_until <= self.now
            {
                let start = daemon.start;
                let quotas: Vec<_> = self.store.quotas().cloned().collect();
                for (revision, quota) in quotas {
                    let event = Box::new(CoordinatorEvent::QuotaChanged(revision, quota));
                    self.at(self.now + 5, Happening::Tell(name.clone(), start, event));
                }
            }
        }
        for zone in self.zones.clone() {
            self.tell_ranks(&zone, false);
        }
    }

    /// Tells a daemon something, once it runs.
    fn tell(&mut self, name: &DaemonName, start: u64, event: CoordinatorEvent) {
        let origin = 1_000_000 * (1 + name.as_str().len() as u64);
        let daemon = self.daemons.get_mut(name).expect("a known daemon");
        if daemon.start != start {
            return;
        }
        if daemon.paused_until > self.now {
            let resumed = daemon.paused_until;
            if event != CoordinatorEvent::Tick {
                self.at(
                    resumed,
                    Happening::Tell(name.clone(), start, Box::new(event)),
                );
            }
            return;
        }
        let Some(coordinator) = &mut daemon.coordinator else {
            return;
        };
        let now = Timestamp(origin + self.now);
        for action in coordinator.handle(event, now, &self.configuration) {
            self.carry_out(name, start, action);
        }
    }

    fn carry_out(&mut self, name: &DaemonName, start: u64, action: CoordinatorAction) {
        match action {
            CoordinatorAction::SendOrder { runner, order, .. } => {
                self.send_to_runner(name, start, runner, Some(order));
            }
            CoordinatorAction::ReadInventory { runner, .. } => {
                self.send_to_runner(name, start, runner, None);
            }
            CoordinatorAction::Answer(gateway, answer) => {
                let time = self.now + self.latency();
                if !self.is_lossy() {
                    self.at(time, Happening::Answer(gateway, Box::new(answer)));
                }
            }
            CoordinatorAction::Stopped => {
                if let Some(daemon) = self.daemons.get_mut(name) {
                    daemon.coordinator = None;
                    daemon.start += 1;
                }
                self.at(self.now + 2_000, Happening::Start(name.clone()));
            }
            CoordinatorAction::Lead(_)
            | CoordinatorAction::Resign
            | CoordinatorAction::Record(_) => {}
            operation => self.send_to_store(name, start, operation),
        }
    }

    fn send_to_store(&mut self, name: &DaemonName, start: u64, action: CoordinatorAction) {
        let time = self.now + self.latency();
        let action = Box::new(action);
        if !self.is_lossy() {
            self.at(
                time,
                Happening::AtStore(name.clone(), start, action, Reply::Kept),
            );
            return;
        }
        // The answer is lost, and the operation is late or lost itself.
        if let Some(event) = Store::failure(&action, StoreFault::Unknown) {
            let event = Box::new(event);
            self.at(
                self.now + DRIVER_TIMEOUT,
                Happening::Tell(name.clone(), start, event),
            );
        }
        let late = self.now + self.generator.random_range(1..LATEST);
        if self.generator.random_range(0..4) > 0 {
            self.at(
                late,
                Happening::AtStore(name.clone(), start, action, Reply::Lost),
            );
        }
    }

    fn at_store(
        &mut self,
        name: &DaemonName,
        start: u64,
        action: &CoordinatorAction,
        reply: Reply,
    ) {
        let time = self.now + self.latency();
        let cut = self.daemons[name].cut_until > self.now;
        let event = if cut || self.store_down_until > self.now {
            Store::failure(action, StoreFault::Unavailable)
        } else if let CoordinatorAction::ReadQuota(subject) = action {
            let found = self.store.quota(subject);
            found.map(|(revision, quota)| CoordinatorEvent::QuotaChanged(revision, quota))
        } else {
            if *action == CoordinatorAction::ReadQuotas {
                self.daemons.get_mut(name).expect("a known daemon").watching = true;
            }
            let zone = self.daemons[name].zone.clone();
            let event = self.store.carry_out(&zone, action);
            self.tell_watchers(&event);
            self.check_store();
            Some(event)
        };
        if let Some(event) = event.filter(|_| reply == Reply::Kept) {
            self.at(time, Happening::Tell(name.clone(), start, Box::new(event)));
        }
    }

    fn tell_watchers(&mut self, event: &CoordinatorEvent) {
        let CoordinatorEvent::QuotaWritten(subject, Ok(_)) = event else {
            return;
        };
        let Some((revision, quota)) = self.store.quota(subject) else {
            return;
        };
        let watching = self
            .daemons
            .iter()
            .filter(|(_, daemon)| daemon.watching && daemon.cut_until <= self.now);
        let names: Vec<(DaemonName, u64)> = watching
            .map(|(name, daemon)| (name.clone(), daemon.start))
            .collect();
        for (name, start) in names {
            let event = CoordinatorEvent::QuotaChanged(revision, quota.clone());
            let time = self.now + self.latency() * 3;
            self.at(time, Happening::Tell(name, start, Box::new(event)));
        }
    }

    fn send_to_runner(
        &mut self,
        name: &DaemonName,
        start: u64,
        runner: RunnerName,
        order: Option<Order>,
    ) {
        let time = self.now + self.latency();
        let boxed = order.clone().map(Box::new);
        if !self.is_lossy() {
            let happening = Happening::AtRunner(name.clone(), start, runner, boxed, Reply::Kept);
            self.at(time, happening);
            return;
        }
        let event = Box::new(no_answer(&runner, order.as_ref(), EngineFault::Unknown));
        self.at(
            self.now + DRIVER_TIMEOUT,
            Happening::Tell(name.clone(), start, event),
        );
        let late = self.now + self.generator.random_range(1..LATEST);
        if self.generator.random_range(0..4) > 0 {
            let happening = Happening::AtRunner(name.clone(), start, runner, boxed, Reply::Lost);
            self.at(late, happening);
        }
    }

    fn at_runner(
        &mut self,
        name: &DaemonName,
        start: u64,
        runner: &RunnerName,
        order: Option<&Order>,
        reply: Reply,
    ) {
        let mut time = self.now + self.latency();
        let cut = self
            .cut_runners
            .get(runner)
            .is_some_and(|until| *until > self.now);
        let Some(engine) = self
            .engines
            .get_mut(runner)
            .filter(|engine| engine.alive && !cut)
        else {
            let event = Box::new(no_answer(runner, order, EngineFault::Unreachable));
            if reply == Reply::Kept {
                self.at(time, Happening::Tell(name.clone(), start, event));
            }
            return;
        };
        let event = match order {
            None => CoordinatorEvent::InventoryRead {
                runner: runner.clone(),
                inventory: Ok(engine.inventory()),
            },
            Some(order) => {
                let (answer, effect) = engine.order(order);
                let boot = engine.boot;
                self.check_answer(runner, order, &answer);
                self.set_going(runner, boot, effect);
                CoordinatorEvent::OrderAnswered {
                    runner: runner.clone(),
                    order: order.id,
                    answer: Ok(answer),
                }
            }
        };
        if self.is_lossy() {
            time += self.generator.random_range(0..LATEST);
        }
        if reply == Reply::Kept {
            self.at(time, Happening::Tell(name.clone(), start, Box::new(event)));
        }
    }

    fn set_going(&mut self, runner: &RunnerName, boot: BootId, effect: Effect) {
        match effect {
            Effect::None => {}
            Effect::Loading(artifact, bytes) => {
                self.check_load(runner, &artifact);
                let on_disk = self.engines[runner].on_disk.contains(&artifact);
                let millis = bytes / (GIGABYTE / if on_disk { 125 } else { 500 });
                let time = self.now + millis + self.generator.random_range(0..500);
                self.at(time, Happening::Loaded(runner.clone(), boot, artifact));
            }
            Effect::Unloading(artifact) => {
                let time = self.now + self.generator.random_range(50..1_500);
                self.at(time, Happening::Unloaded(runner.clone(), boot, artifact));
            }
        }
    }

    // What must always hold.

    fn broken(&mut self, what: String) {
        let time = self.now;
        self.violation
            .get_or_insert(format!("at {time} ms: {what}"));
    }

    fn check_answer(&mut self, runner: &RunnerName, order: &Order, answer: &OrderAnswer) {
        match answer {
            OrderAnswer::NoMemory { .. } => {
                self.broken(format!("{runner} has no memory for {:?}", order.action));
            }
            OrderAnswer::Refused { reason } => {
                self.broken(format!("{runner} refuses {:?}: {reason}", order.action));
            }
            _ => {}
        }
    }

    /// A load has been accepted: it has a slot, and the rule allows it.
    fn check_load(&mut self, runner: &RunnerName, artifact: &ArtifactId) {
        let slot = Slot {
            artifact: artifact.clone(),
            runner: runner.clone(),
        };
        let recorded = self.zones.iter().any(|zone| {
            let placement = self.store.placement(zone);
            placement.is_some_and(|placement| placement.slots.contains(&slot))
        });
        if !recorded {
            self.broken(format!("{runner} loads {artifact} without a slot"));
        }
        let subject = subject_of(artifact);
        let limit = self.limit(&subject);
        let held = self
            .engines
            .values()
            .filter(|engine| engine.alive)
            .flat_map(|engine| {
                engine
                    .held
                    .values()
                    .filter(|held| held.state != HeldState::Failed)
            });
        let replicas = held
            .filter(|held| subject_of(&held.artifact) == subject)
            .count();
        if replicas > limit {
            self.broken(format!(
                "{replicas} replicas of {subject:?}, {limit} allowed"
            ));
        }
        let engine = &self.engines[runner];
        if engine.used() > engine.memory {
            self.broken(format!("{runner} holds {} bytes", engine.used()));
        }
    }

    fn limit(&self, subject: &QuotaSubject) -> usize {
        let limit = match subject {
            QuotaSubject::Model(model) => self
                .configuration
                .model(model)
                .map_or(0, |spec| spec.copies.at_most),
            QuotaSubject::Adapter(model, adapter) => {
                let id = format!("{model}:{adapter}@v1");
                self.configuration
                    .adapter(&artifact(&id))
                    .map_or(0, |spec| spec.at_most)
            }
            QuotaSubject::WeightStore => self.configuration.policy().weight_store_parallel,
        };
        limit as usize
    }

    /// The records agree: units within the limit, slots within the units.
    fn check_store(&mut self) {
        let mut broken = Vec::new();
        for (_, quota) in self.store.quotas() {
            let total: u32 = quota.units.values().sum();
            if total as usize > self.limit(&quota.subject) {
                broken.push(format!("{total} units of {:?}", quota.subject));
            }
            for zone in &self.zones {
                let units = quota.units.get(zone).copied().unwrap_or(0) as usize;
                let slots = self.store.placement(zone).map_or(0, |placement| {
                    let slots = placement.slots.iter();
                    slots
                        .filter(|slot| subject_of(&slot.artifact) == quota.subject)
                        .count()
                });
                if slots > units {
                    broken.push(format!("{slots} slots of {:?} in {zone}", quota.subject));
                }
            }
        }
        for what in broken {
            self.broken(what);
        }
    }

    // Gateways.

    /// A gateway begins to want an artifact.
    pub fn demand(&mut self, gateway: &DaemonName, artifact: &ArtifactId, millis: u64) {
        let until = self.now + millis;
        let (zone, wants) = self.gateways.get_mut(gateway).expect("a known gateway");
        let zone = zone.clone();
        let known = wants.contains_key(artifact);
        let want = wants.entry(artifact.clone()).or_insert_with(|| Want {
            until,
            zone,
            tried: BTreeSet::new(),
            newest: BTreeMap::new(),
            outlook: None,
        });
        want.until = want.until.max(until);
        if !known {
            self.renew(gateway, artifact);
        }
    }

    /// The gateway wants the artifact no longer.
    pub fn end_demand(&mut self, gateway: &DaemonName, artifact: &ArtifactId) {
        if let Some((_, wants)) = self.gateways.get_mut(gateway)
            && let Some(want) = wants.get_mut(artifact)
        {
            want.until = self.now;
        }
    }

    fn renew(&mut self, gateway: &DaemonName, artifact: &ArtifactId) {
        let now = self.now;
        let (_, wants) = self.gateways.get_mut(gateway).expect("a known gateway");
        let Some(want) = wants.get(artifact) else {
            return;
        };
        if want.until <= now {
            wants.remove(artifact);
            return;
        }
        self.send_demand(gateway, artifact);
        self.at(
            now + 1_000,
            Happening::Renew(gateway.clone(), artifact.clone()),
        );
    }

    fn send_demand(&mut self, gateway: &DaemonName, artifact: &ArtifactId) {
        let want = &self.gateways[gateway].1[artifact];
        let ready = u32::from(want.outlook == Some(Outlook::Ready));
        let demand = Demand {
            artifact: artifact.clone(),
            waiting: 1 - ready,
            running: ready,
            priority: 1,
            earliest_deadline_ms: want.until.saturating_sub(self.now),
            arrivals: 0,
        };
        let zone = want.zone.clone();
        let daemons: Vec<(DaemonName, u64)> = self
            .daemons
            .iter()
            .filter(|(_, daemon)| daemon.zone == zone)
            .map(|(name, daemon)| (name.clone(), daemon.start))
            .collect();
        for (name, start) in daemons {
            let time = self.now + self.latency();
            if !self.is_lossy() {
                let event = CoordinatorEvent::Demanded(gateway.clone(), demand.clone());
                self.at(time, Happening::Tell(name, start, Box::new(event)));
            }
        }
    }

    fn take_answer(&mut self, gateway: &DaemonName, answer: RouteAnswer) {
        let Some((_, wants)) = self.gateways.get_mut(gateway) else {
            return;
        };
        let Some(want) = wants.get_mut(&answer.artifact) else {
            return;
        };
        let order = (answer.term, answer.sequence);
        let newest = want.newest.entry(answer.zone.clone()).or_default();
        if *newest >= order || answer.zone != want.zone {
            return;
        }
        *newest = order;
        want.outlook = Some(answer.outlook.clone());
        let Outlook::Elsewhere { zones } = answer.outlook else {
            return;
        };
        want.tried.insert(answer.zone);
        let next = zones.iter().find(|zone| !want.tried.contains(*zone));
        // Whoever has tried all begins anew with the next renewal.
        let Some(next) = next.cloned() else {
            want.tried.clear();
            return;
        };
        want.zone = next;
        self.send_demand(gateway, &answer.artifact);
    }

    // Faults.

    fn take_machine(&mut self, runner: &RunnerName) {
        let zone = self
            .machines
            .get(runner)
            .map(|machine| machine.zone.clone());
        let alive = self.engines.get_mut(runner).filter(|engine| engine.alive);
        let (Some(engine), Some(zone)) = (alive, zone) else {
            return;
        };
        engine.alive = false;
        self.add_runner(&zone);
        let lag = self.generator.random_range(100..4_000);
        self.at(self.now + lag, Happening::Unlisted(runner.clone()));
    }

    fn runner(&self, number: u8) -> RunnerName {
        let live: Vec<&RunnerName> = self.machines.keys().collect();
        live[usize::from(number) % live.len()].clone()
    }

    fn daemon(&mut self, number: u8) -> (DaemonName, &mut Daemon) {
        let index = usize::from(number) % self.daemons.len();
        let (name, daemon) = self.daemons.iter_mut().nth(index).expect("a daemon");
        (name.clone(), daemon)
    }

    fn fail(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Demand {
                gateway,
                artifact,
                millis,
            } => {
                let names: Vec<DaemonName> = self.gateways.keys().cloned().collect();
                let gateway = &names[usize::from(gateway) % names.len()];
                let all = artifacts();
                self.demand(gateway, &all[usize::from(artifact) % all.len()], millis);
            }
            Fault::StoreDown { millis } => self.store_down_until = now + millis,
            Fault::CutFromStore { daemon, millis } => {
                self.daemon(daemon).1.cut_until = now + millis
            }
            Fault::Pause { daemon, millis } => self.daemon(daemon).1.paused_until = now + millis,
            Fault::Kill { daemon } => {
                let (name, daemon) = self.daemon(daemon);
                daemon.start += 1;
                if daemon.coordinator.take().is_some() {
                    self.at(now + 1_500, Happening::Start(name));
                }
            }
            Fault::Stop { daemon } => {
                let (name, daemon) = self.daemon(daemon);
                let start = daemon.start;
                self.tell(&name, start, CoordinatorEvent::Stop);
            }
            Fault::Lossy { percent, millis } => self.lossy = (now + millis, u32::from(percent)),
            Fault::CutRunner { runner, millis } => {
                let runner = self.runner(runner);
                self.cut_runners.insert(runner, now + millis);
            }
            Fault::Reboot { runner } => {
                let boot = BootId(self.generator.random());
                let runner = self.runner(runner);
                if let Some(engine) = self.engines.get_mut(&runner).filter(|engine| engine.alive) {
                    engine.reboot(boot);
                }
            }
            Fault::Reclaim { runner } => self.take_machine(&self.runner(runner)),
            Fault::Leave { runner, millis } => {
                let runner = self.runner(runner);
                if let Some(engine) = self.engines.get_mut(&runner) {
                    engine.leaving = true;
                }
                self.at(now + millis, Happening::MachineGone(runner));
            }
            Fault::FailLoads { runner, count } => {
                let runner = self.runner(runner);
                if let Some(engine) = self.engines.get_mut(&runner) {
                    engine.failing_loads = u32::from(count);
                }
            }
            Fault::BothFirst { zone, millis } => {
                let zone = self.zones[usize::from(zone) % self.zones.len()].clone();
                self.tell_ranks(&zone, true);
                self.at(now + millis, Happening::RankZero(zone));
            }
            Fault::Serve { second } => {
                if self.second_serves != second {
                    self.second_serves = second;
                    let next = self.configuration.revision().0 + 1;
                    self.configuration = configuration(next, second);
                }
            }
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.store_down_until = 0;
        self.lossy = (0, 0);
        self.cut_runners.clear();
        for daemon in self.daemons.values_mut() {
            daemon.cut_until = 0;
            daemon.paused_until = 0;
        }
        for engine in self.engines.values_mut() {
            engine.failing_loads = 0;
        }
    }
}

fn no_answer(runner: &RunnerName, order: Option<&Order>, fault: EngineFault) -> CoordinatorEvent {
    let runner = runner.clone();
    match order {
        Some(order) => CoordinatorEvent::OrderAnswered {
            runner,
            order: order.id,
            answer: Err(fault),
        },
        None => CoordinatorEvent::InventoryRead {
            runner,
            inventory: Err(fault),
        },
    }
}

fn subject_of(artifact: &ArtifactId) -> QuotaSubject {
    match &artifact.adapter {
        Some(adapter) => QuotaSubject::Adapter(artifact.model.clone(), adapter.clone()),
        None => QuotaSubject::Model(artifact.model.clone()),
    }
}
