//! One zone in virtual time: a coordinator with a store, engines and gateways that do not fail.
//!
//! Only the processor time spent in [`Coordinator::handle`] is measured.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxward_control::configuration::Configuration;
use flaxward_control::coordinator::{
    Coordinator, CoordinatorAction, CoordinatorEvent, CoordinatorSettings,
};
use flaxward_types::engine::{
    Held, HeldState, Inventory, LoadReport, Machine, MachineRole, Order, OrderAction, OrderAnswer,
};
use flaxward_types::records::{Quota, Slot, ZonePlacement};
use flaxward_types::routing::{Demand, Outlook};
use flaxward_types::{ArtifactId, BootId, DaemonName, Revision, RunnerName, Term, Timestamp};
use nix::time::{ClockId, clock_gettime};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::Xxh3;

use crate::gateways::Gateways;
use crate::models::{Region, bytes, is_busy, model_number};

/// One rare model in this many is in use at the start.
const RARE_MODELS_PER_MODEL_IN_USE: usize = 10;
/// One adapter in this many is in use at the start, if its model is.
const ADAPTERS_PER_ADAPTER_IN_USE: usize = 4;
/// Fraction of the zone's artifacts that come into use per hour; as many go out of use.
const ACTIVATIONS_PER_HOUR: f64 = 0.096;
/// Accelerator memory of a runner, in bytes.
const RUNNER_BYTES: u64 = 640 << 30;
/// Response time of the store and the engines.
const RESPONSE_MILLIS: u64 = 3;
/// Duration of a load.
const LOAD_MILLIS: u64 = 4_000;
/// Time between ticks, and between load reports of a runner.
const TICK_MILLIS: u64 = 50;
const REPORT_MILLIS: u64 = 2_000;
/// Time between demands of a gateway with waiting requests.
const WAITING_DEMAND_MILLIS: u64 = 1_000;
/// Time after which a gateway reports that its requests have ended.
const END_OF_DEMAND_MILLIS: u64 = 2_000;
/// Time between changes of the configuration: 11,000 a day.
const CONFIGURATION_CHANGE_MILLIS: u64 = 7_855;

/// An event of the simulation, scheduled for a point in virtual time.
enum SimulationEvent {
    Tick,
    Deliver(Box<CoordinatorEvent>),
    Order(RunnerName, Box<Order>),
    ReadInventory(RunnerName),
    FinishLoad(RunnerName, ArtifactId),
    RenewDemand(DaemonName, ArtifactId),
    ReportLoad(RunnerName),
    ChangeUsage,
    ChangeConfiguration,
}

/// Processor time of each event of one kind.
#[derive(Default)]
pub struct Cost {
    times: Vec<Duration>,
}

impl Cost {
    /// Number of events.
    pub fn events(&self) -> u64 {
        self.times.len() as u64
    }

    /// Total time of all events.
    pub fn total(&self) -> Duration {
        self.times.iter().sum()
    }

    /// Median time of an event, which excludes planning.
    pub fn median(&self) -> Duration {
        let mut times = self.times.clone();
        times.sort_unstable();
        times.get(times.len() / 2).copied().unwrap_or_default()
    }
}

/// The measured zone.
pub struct Zone {
    now: u64,
    queue: BTreeMap<(u64, u64), SimulationEvent>,
    scheduled_count: u64,
    generator: ChaCha8Rng,
    coordinator: Coordinator,
    configuration: Configuration,
    revision: Revision,
    term: Term,
    slots: Vec<Slot>,
    quotas: Vec<(Revision, Quota)>,
    inventories: BTreeMap<RunnerName, Inventory>,
    gateways: Gateways,
    in_use: BTreeSet<ArtifactId>,
    waiting: BTreeSet<ArtifactId>,
    usage_change_millis: u64,
    pub costs: BTreeMap<&'static str, Cost>,
    pub decision_hash: Xxh3,
    pub decision_count: u64,
    pub answers: u64,
    pub confirmations: u64,
}

impl Zone {
    pub fn new(region: &Region, seed: u64) -> Self {
        let slots = region.slots();
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        let in_use: BTreeSet<ArtifactId> = artifacts_in_use(&slots, &mut generator);
        let gateways = Gateways::new();
        let coordinator = Coordinator::new(
            CoordinatorSettings::default(),
            gateways.first().clone(),
            region.zones[0].clone(),
            region.zones.clone(),
            seed,
        );
        let artifacts: BTreeSet<&ArtifactId> = slots.iter().map(|slot| &slot.artifact).collect();
        #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
        #[allow(clippy::cast_sign_loss)]
        let usage_change_millis =
            (3_600_000.0 / (artifacts.len() as f64 * ACTIVATIONS_PER_HOUR)) as u64;
        let mut zone = Self {
            now: 0,
            queue: BTreeMap::new(),
            scheduled_count: 0,
            generator,
            coordinator,
            configuration: region.configuration(),
            revision: Revision(1),
            inventories: inventories(region, &slots, &in_use),
            quotas: region.quotas(),
            term: Term(0),
            slots,
            gateways,
            in_use,
            waiting: BTreeSet::new(),
            usage_change_millis,
            costs: BTreeMap::new(),
            decision_hash: Xxh3::new(),
            decision_count: 0,
            answers: 0,
            confirmations: 0,
        };
        zone.schedule_initial_events(region);
        zone
    }

    fn schedule_initial_events(&mut self, region: &Region) {
        let machines = region
            .runners
            .iter()
            .enumerate()
            .map(|(number, name)| Machine {
                name: name.clone(),
                zone: region.zones[0].clone(),
                address: format!("10.1.{}.{}:8000", number / 250, number % 250),
                role: MachineRole::Engine,
                leaving: false,
            });
        self.deliver_in(0, CoordinatorEvent::Machines(machines.collect()));
        self.deliver_in(0, CoordinatorEvent::Rank(0));
        self.schedule(0, SimulationEvent::Tick);
        self.schedule(self.usage_change_millis, SimulationEvent::ChangeUsage);
        self.schedule(
            CONFIGURATION_CHANGE_MILLIS,
            SimulationEvent::ChangeConfiguration,
        );
        for name in &region.runners {
            let first = self.generator.random_range(0..REPORT_MILLIS);
            self.schedule(first, SimulationEvent::ReportLoad(name.clone()));
        }
        for artifact in self.in_use.clone() {
            for gateway in self.gateways_of(&artifact) {
                let first = self.generator.random_range(0..WAITING_DEMAND_MILLIS);
                self.demand_in(first, gateway, &artifact);
            }
        }
    }

    /// The numbers of slots, artifacts in use and replicas of the zone.
    pub fn sizes(&self) -> (usize, usize, usize) {
        let inventories = self.inventories.values();
        let replicas = inventories.map(|inventory| inventory.artifacts.len()).sum();
        (self.slots.len(), self.in_use.len(), replicas)
    }

    /// Discards the costs measured so far.
    pub fn reset_costs(&mut self) {
        self.costs.clear();
        self.answers = 0;
        self.confirmations = 0;
    }

    /// Runs the simulation until a point in time, in milliseconds.
    pub fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                return;
            }
            let ((time, _), event) = entry.remove_entry();
            self.now = time;
            self.process(event);
        }
    }

    fn schedule(&mut self, delay: u64, event: SimulationEvent) {
        self.scheduled_count += 1;
        self.queue
            .insert((self.now + delay, self.scheduled_count), event);
    }

    /// Schedules a gateway's next demand after a delay, replacing one scheduled before.
    fn demand_in(&mut self, delay: u64, gateway: DaemonName, artifact: &ArtifactId) {
        let time = self.now + delay;
        self.gateways.schedule_demand(&gateway, artifact, time);
        self.schedule(
            delay,
            SimulationEvent::RenewDemand(gateway, artifact.clone()),
        );
    }

    fn deliver_in(&mut self, delay: u64, event: CoordinatorEvent) {
        self.schedule(delay, SimulationEvent::Deliver(Box::new(event)));
    }

    fn process(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Tick => {
                self.schedule(TICK_MILLIS, SimulationEvent::Tick);
                self.deliver(CoordinatorEvent::Tick);
            }
            SimulationEvent::Deliver(event) => self.deliver(*event),
            SimulationEvent::Order(runner, order) => self.handle_order(runner, &order),
            SimulationEvent::ReadInventory(runner) => {
                let inventory = Ok(self.inventories[&runner].clone());
                let event = CoordinatorEvent::InventoryRead { runner, inventory };
                self.deliver_in(RESPONSE_MILLIS, event);
            }
            SimulationEvent::FinishLoad(runner, artifact) => self.finish_load(&runner, &artifact),
            SimulationEvent::RenewDemand(gateway, artifact) => {
                self.renew_demand(gateway, &artifact)
            }
            SimulationEvent::ReportLoad(runner) => {
                self.schedule(REPORT_MILLIS, SimulationEvent::ReportLoad(runner.clone()));
                let report = LoadReport {
                    running: self.generator.random_range(0..20),
                    ..LoadReport::default()
                };
                self.deliver(CoordinatorEvent::LoadReported(runner, report));
            }
            SimulationEvent::ChangeUsage => self.change_usage(),
            SimulationEvent::ChangeConfiguration => self.change_configuration(),
        }
    }

    /// Delivers an event to the coordinator and measures its processor time.
    fn deliver(&mut self, event: CoordinatorEvent) {
        let kind = event_kind(&event);
        let started_at = processor_time();
        let actions = self
            .coordinator
            .handle(event, Timestamp(self.now), &self.configuration);
        let time = processor_time().saturating_sub(started_at);
        let cost = self.costs.entry(kind).or_default();
        cost.times.push(time);
        for action in actions {
            self.hash_decision(&action);
            self.execute(action);
        }
    }

    /// Adds a decision to the hash, so that two builds can be compared.
    fn hash_decision(&mut self, action: &CoordinatorAction) {
        let text = match action {
            CoordinatorAction::Record(decision) => {
                self.decision_count += 1;
                format!("{decision:?}")
            }
            CoordinatorAction::WritePlacement(_, record) => format!("{:?}", record.slots),
            CoordinatorAction::WriteQuota(_, quota) => format!("{quota:?}"),
            CoordinatorAction::SendOrder { runner, order, .. } => {
                format!("{runner} {:?}", order.action)
            }
            _ => return,
        };
        if std::env::var_os("FLAXWARD_BENCH_TRACE").is_some() && text.len() < 1_000 {
            println!("{:>8} {text}", self.now);
        }
        self.decision_hash.update(&self.now.to_le_bytes());
        self.decision_hash.update(text.as_bytes());
    }

    fn execute(&mut self, action: CoordinatorAction) {
        match action {
            CoordinatorAction::ReadLease => {
                self.deliver_in(RESPONSE_MILLIS, CoordinatorEvent::LeaseRead(Ok(None)));
            }
            CoordinatorAction::WriteLease(..) => {
                let revision = self.next_revision();
                self.deliver_in(
                    RESPONSE_MILLIS,
                    CoordinatorEvent::LeaseWritten(Ok(revision)),
                );
            }
            CoordinatorAction::ReadPlacement => {
                let record = ZonePlacement {
                    term: self.term,
                    slots: self.slots.clone(),
                };
                let read = Ok(Some((self.revision, record)));
                self.deliver_in(RESPONSE_MILLIS, CoordinatorEvent::PlacementRead(read));
            }
            CoordinatorAction::WritePlacement(_, record) => {
                self.term = record.term;
                self.slots = record.slots;
                let revision = self.next_revision();
                let written = CoordinatorEvent::PlacementWritten(Ok(revision));
                self.deliver_in(RESPONSE_MILLIS, written);
            }
            CoordinatorAction::ReadQuotas => {
                let read = CoordinatorEvent::QuotasRead(Ok(self.quotas.clone()));
                self.deliver_in(RESPONSE_MILLIS, read);
            }
            CoordinatorAction::WriteQuota(_, quota) => {
                let revision = self.next_revision();
                let written = CoordinatorEvent::QuotaWritten(quota.subject, Ok(revision));
                self.deliver_in(RESPONSE_MILLIS, written);
            }
            CoordinatorAction::SendOrder { runner, order, .. } => {
                self.schedule(
                    RESPONSE_MILLIS,
                    SimulationEvent::Order(runner, Box::new(order)),
                );
            }
            CoordinatorAction::ReadInventory { runner, .. } => {
                self.schedule(RESPONSE_MILLIS, SimulationEvent::ReadInventory(runner));
            }
            CoordinatorAction::Confirm(..) => self.confirmations += 1,
            CoordinatorAction::Answer(gateway, answer) => {
                self.answers += 1;
                self.gateways.record_answer(&gateway, &answer);
                if answer.outlook == Outlook::Ready {
                    self.waiting.remove(&answer.artifact);
                }
            }
            _ => {}
        }
    }

    fn next_revision(&mut self) -> Revision {
        self.revision = self.revision.next();
        self.revision
    }

    fn handle_order(&mut self, runner: RunnerName, order: &Order) {
        let inventory = self.inventories.get_mut(&runner).expect("a runner");
        inventory.term = order.term;
        match &order.action {
            OrderAction::Seal => {}
            OrderAction::Load {
                artifact, bytes, ..
            } => {
                inventory.sequence += 1;
                inventory.artifacts.push(Held {
                    artifact: artifact.clone(),
                    bytes: *bytes,
                    state: HeldState::Loading,
                });
                let finish = SimulationEvent::FinishLoad(runner.clone(), artifact.clone());
                self.schedule(LOAD_MILLIS, finish);
            }
            OrderAction::Unload { artifact } => {
                inventory.sequence += 1;
                inventory
                    .artifacts
                    .retain(|entry| entry.artifact != *artifact);
            }
        }
        let inventory = self.inventories[&runner].clone();
        let answered = CoordinatorEvent::OrderAnswered {
            runner,
            order: order.id,
            answer: Ok(OrderAnswer::Accepted(inventory)),
        };
        self.deliver_in(RESPONSE_MILLIS, answered);
    }

    fn finish_load(&mut self, runner: &RunnerName, artifact: &ArtifactId) {
        let inventory = self.inventories.get_mut(runner).expect("a runner");
        inventory.sequence += 1;
        let entries = inventory.artifacts.iter_mut();
        for entry in entries.filter(|entry| entry.artifact == *artifact) {
            entry.state = HeldState::Ready;
        }
    }

    /// Sends a gateway's demand and schedules the next one, until the artifact is no longer in use.
    fn renew_demand(&mut self, gateway: DaemonName, artifact: &ArtifactId) {
        if !self.gateways.is_due(&gateway, artifact, self.now) {
            return;
        }
        let in_use = self.in_use.contains(artifact);
        let waits = in_use && self.waiting.contains(artifact);
        let demand = Demand {
            artifact: artifact.clone(),
            waiting: u32::from(waits),
            running: u32::from(in_use && !waits),
            priority: 1,
            earliest_deadline_ms: 30_000,
            arrivals: u32::from(in_use),
            known: self.gateways.last_answer(&gateway, artifact),
        };
        self.deliver(CoordinatorEvent::Demanded(gateway.clone(), demand));
        if !in_use {
            self.gateways.remove(&gateway, artifact);
            return;
        }
        let delay = if waits {
            WAITING_DEMAND_MILLIS
        } else {
            self.gateways.until_renewal(&gateway, self.now)
        };
        self.demand_in(delay, gateway, artifact);
    }

    /// Brings one artifact into use and takes another one out of use.
    fn change_usage(&mut self) {
        self.schedule(self.usage_change_millis, SimulationEvent::ChangeUsage);
        let index = self.generator.random_range(0..self.slots.len());
        let artifact = self.slots[index].artifact.clone();
        if self.in_use.insert(artifact.clone()) {
            self.waiting.insert(artifact.clone());
            for gateway in self.gateways_of(&artifact) {
                self.demand_in(0, gateway, &artifact);
            }
        }
        let index = self.generator.random_range(0..self.in_use.len());
        let deactivated = self.in_use.iter().nth(index).cloned();
        if let Some(artifact) = deactivated.filter(|artifact| !is_busy(model_number(artifact))) {
            self.in_use.remove(&artifact);
            for gateway in self.gateways.using(&artifact) {
                self.demand_in(END_OF_DEMAND_MILLIS, gateway, &artifact);
            }
        }
    }

    /// Writes a random configuration item again.
    fn change_configuration(&mut self) {
        self.schedule(
            CONFIGURATION_CHANGE_MILLIS,
            SimulationEvent::ChangeConfiguration,
        );
        let revision = self.next_revision();
        let changed = self
            .generator
            .random_range(0..self.configuration.items().count());
        let items = self.configuration.items().enumerate();
        let items = items.map(|(index, (key, known, item))| {
            let known = if index == changed { revision } else { known };
            (key.clone(), known, item.clone())
        });
        self.configuration = Configuration::new(revision, items);
    }

    fn gateways_of(&mut self, artifact: &ArtifactId) -> Vec<DaemonName> {
        let is_busy = !artifact.is_adapter() && is_busy(model_number(artifact));
        self.gateways.choose(is_busy, &mut self.generator)
    }
}

fn artifacts_in_use(slots: &[Slot], generator: &mut ChaCha8Rng) -> BTreeSet<ArtifactId> {
    let mut in_use = BTreeSet::new();
    for slot in slots {
        let artifact = &slot.artifact;
        let chosen = if artifact.is_adapter() {
            in_use.contains(&artifact.base())
                && generator.random_range(0..ADAPTERS_PER_ADAPTER_IN_USE) == 0
        } else {
            is_busy(model_number(artifact))
                || generator.random_range(0..RARE_MODELS_PER_MODEL_IN_USE) == 0
        };
        if chosen {
            in_use.insert(artifact.clone());
        }
    }
    in_use
}

fn inventories(
    region: &Region,
    slots: &[Slot],
    in_use: &BTreeSet<ArtifactId>,
) -> BTreeMap<RunnerName, Inventory> {
    let empty = |number: u64| Inventory {
        boot: BootId(number),
        term: Term(0),
        sequence: 1,
        memory: RUNNER_BYTES,
        artifacts: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        leaving: false,
    };
    let names = region.runners.iter().cloned();
    let mut inventories: BTreeMap<RunnerName, Inventory> = names.zip((1..).map(empty)).collect();
    for slot in slots.iter().filter(|slot| in_use.contains(&slot.artifact)) {
        let inventory = inventories.get_mut(&slot.runner).expect("a runner");
        inventory.artifacts.push(Held {
            artifact: slot.artifact.clone(),
            bytes: bytes(&slot.artifact),
            state: HeldState::Ready,
        });
    }
    inventories
}

fn event_kind(event: &CoordinatorEvent) -> &'static str {
    match event {
        CoordinatorEvent::Tick => "tick",
        CoordinatorEvent::Demanded(..) => "demand",
        CoordinatorEvent::InventoryRead { .. } => "inventory",
        CoordinatorEvent::LoadReported(..) => "load report",
        CoordinatorEvent::OrderAnswered { .. } => "order",
        _ => "record",
    }
}

/// Processor time of the calling thread.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("a clock of the thread");
    Duration::from(time)
}
