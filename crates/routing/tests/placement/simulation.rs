//! Simulated runners and a coordinator in virtual time. The runners check the invariants that every
//! coordinator must keep.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::cold::ColdStart;
use flaxward_routing::configuration::{
    ClientLimits, Configuration, Engine, ModelSpecification, Service,
};
use flaxward_routing::homes::{Homes, Requirement};
use flaxward_routing::locality::Regions;
use flaxward_routing::messages::{KnownState, Usage, UsedUnit, WaitingUnit};
use flaxward_routing::names::{AdapterName, ModelName, Region, RunnerId, ServiceName, Unit, Zone};
use flaxward_routing::placement::{
    Action, Operation, Order, OrderAnswer, Placement, PlacementSettings, RunnerReport,
};
use flaxward_routing::runners::{Holdings, Runner};
use flaxward_routing::strength::MachineStrength;
use flaxward_types::time::Timestamp;

/// Length of one simulation step.
pub const STEP: Duration = Duration::from_millis(50);
/// Delay of reports.
const REPORT_LAG: Duration = Duration::from_millis(100);
const STORE_LOAD: Duration = Duration::from_secs(4);
const DISK_LOAD: Duration = Duration::from_millis(1_700);
const RUNNER_MB: f64 = 200.0;
const ADAPTER_SLOTS: usize = 2;
const LOADS_PER_SECOND: f64 = 2.0;
pub const SERVICE: &str = "pool";

/// Weights of the models `m0`, `m1` and so on, in MB.
pub const MODELS: [f64; 6] = [72.0, 72.0, 65.0, 42.0, 42.0, 72.0];

pub fn model(index: usize) -> Unit {
    Unit {
        service: ServiceName::new(SERVICE),
        model: ModelName::new(&format!("m{}", index % MODELS.len())),
        adapter: None,
    }
}

pub fn adapter(index: usize, name: usize) -> Unit {
    Unit {
        adapter: Some(AdapterName::new(&format!("a{name}"))),
        ..model(index)
    }
}

/// The usage message of a daemon without requests.
pub fn idle_usage() -> Usage {
    Usage {
        from: "d".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: Zone::new("z0"),
        strength: MachineStrength::default(),
        is_stopping: false,
        known: KnownState::default(),
        waiting: Vec::new(),
        used: Vec::new(),
        running: Vec::new(),
    }
}

fn specification(index: usize) -> ModelSpecification {
    ModelSpecification {
        weights_mb: MODELS[index],
        adapter_mb: 0.5,
        store_load: STORE_LOAD,
        disk_load: DISK_LOAD,
        memory_load: Duration::from_millis(1_300),
    }
}

pub fn configuration() -> Configuration {
    configuration_with(None)
}

/// The same configuration, with an optional cold period after the start of runners.
pub fn configuration_with(cold_start: Option<ColdStart>) -> Configuration {
    let models = (0..MODELS.len())
        .map(|index| (model(index).model, specification(index)))
        .collect();
    let engine = Engine {
        slots: 8,
        weights_mb: RUNNER_MB,
        adapter_slots: ADAPTER_SLOTS,
        loads_per_second: LOADS_PER_SECOND,
        models,
    };
    let service = Service {
        name: ServiceName::new(SERVICE),
        max_connections: 100,
        engine: Some(engine),
        cold_start,
    };
    Configuration::new(1, ClientLimits::default(), Vec::new(), vec![service])
}

/// Delivery of an order and its answer.
#[derive(Clone, Copy, Debug)]
pub enum Delivery {
    Answered,
    Lost,
    AnswerLost,
    /// No answer, and the order reaches the runner this many steps later.
    Late(usize),
}

/// Internal state of a simulated runner.
#[derive(Clone, Debug)]
struct EngineState {
    holdings: Holdings,
    pending: BTreeMap<(ModelName, AdapterName), Timestamp>,
    /// Models with a copy on disk.
    on_disk: BTreeSet<ModelName>,
    unload_time: Duration,
    busy: Option<(Order, Timestamp)>,
    count: u64,
    fence: u64,
}

impl Default for EngineState {
    fn default() -> Self {
        Self {
            holdings: Holdings::new(),
            pending: BTreeMap::new(),
            on_disk: BTreeSet::new(),
            unload_time: Duration::from_millis(200),
            busy: None,
            count: 0,
            fence: 0,
        }
    }
}

impl EngineState {
    fn used_mb(&self) -> f64 {
        let weights = |model: &ModelName| {
            let index: usize = model.as_str()[1..].parse().unwrap();
            MODELS[index]
        };
        let loading = self.busy.as_ref().map(|(order, _)| order);
        let loading = loading.filter(|order| order.operation == Operation::Load);
        let loading = loading.map_or(0.0, |order| weights(&order.unit.model));
        self.holdings.keys().map(weights).sum::<f64>() + loading
    }

    fn adapter_count(&self) -> usize {
        let held: usize = self.holdings.values().map(BTreeSet::len).sum();
        held + self.pending.len()
    }

    fn advance(&mut self, now: Timestamp) {
        if let Some((order, _)) = self.busy.take_if(|(_, end)| *end <= now) {
            match order.operation {
                Operation::Load => {
                    self.on_disk.insert(order.unit.model.clone());
                    self.holdings.insert(order.unit.model, BTreeSet::new());
                }
                Operation::Unload => {
                    self.holdings.remove(&order.unit.model);
                    self.pending
                        .retain(|(model, _), _| *model != order.unit.model);
                }
            }
        }
        let done: Vec<(ModelName, AdapterName)> = self
            .pending
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in done {
            self.pending.remove(&key);
            if let Some(adapters) = self.holdings.get_mut(&key.0) {
                adapters.insert(key.1);
            }
        }
    }

    fn take(&mut self, order: &Order, expected: u64, fence: u64, now: Timestamp) -> OrderAnswer {
        if fence < self.fence {
            return OrderAnswer::FencedOff;
        }
        self.fence = fence;
        if expected != self.count || self.busy.is_some() {
            return OrderAnswer::Conflict;
        }
        self.count += 1;
        match &order.unit.adapter {
            None => {
                let time = match order.operation {
                    Operation::Load if self.on_disk.contains(&order.unit.model) => DISK_LOAD,
                    Operation::Load => STORE_LOAD,
                    Operation::Unload => self.unload_time,
                };
                self.busy = Some((order.clone(), now + time));
                assert!(
                    self.used_mb() <= RUNNER_MB,
                    "memory exceeded by {order:?}: {self:?}"
                );
            }
            Some(adapter) => self.take_adapter(order, adapter, now),
        }
        OrderAnswer::Accepted
    }

    fn take_adapter(&mut self, order: &Order, adapter: &AdapterName, now: Timestamp) {
        let key = (order.unit.model.clone(), adapter.clone());
        match order.operation {
            Operation::Load => {
                self.pending.insert(key, now + Duration::from_millis(60));
                assert!(
                    self.adapter_count() <= ADAPTER_SLOTS,
                    "too many adapters: {self:?}"
                );
            }
            Operation::Unload => {
                self.pending.remove(&key);
                if let Some(adapters) = self.holdings.get_mut(&order.unit.model) {
                    adapters.remove(adapter);
                }
            }
        }
    }

    fn report(&self) -> RunnerReport {
        RunnerReport {
            start: None,
            holdings: self.holdings.clone(),
            pending: self.pending.keys().cloned().collect(),
            in_memory: BTreeSet::new(),
            on_disk: self.on_disk.clone(),
            is_busy: self.busy.is_some(),
            order_count: self.count,
            running: 0,
            waiting: 0,
        }
    }
}

/// A runner with its past reports, from which delayed reports are taken.
struct SimulatedRunner {
    runner: Runner,
    state: EngineState,
    past: VecDeque<(Timestamp, RunnerReport)>,
}

/// An order that is delivered late.
struct LateOrder {
    at_step: usize,
    runner: RunnerId,
    order: Order,
    expected: u64,
    fence: u64,
}

/// The simulation of a coordinator and its runners.
pub struct Simulation {
    pub placement: Placement,
    engines: BTreeMap<RunnerId, SimulatedRunner>,
    late: Vec<LateOrder>,
    fence: u64,
    step: usize,
    store_loads: Vec<Timestamp>,
    waiting: Vec<Unit>,
    /// Number of requests and priority rank of waiting units, where they are not 1.
    demand: Vec<(Unit, u32, u8)>,
    /// The homes of all requests.
    homes: Homes,
    /// A runner that answers nothing.
    unresponsive: Option<RunnerId>,
}

impl Simulation {
    pub fn new(runners: usize) -> Self {
        let engines = (0..runners).map(|index| {
            let runner = runner(index);
            let engine = SimulatedRunner {
                runner: runner.clone(),
                state: EngineState::default(),
                past: VecDeque::new(),
            };
            (runner.id, engine)
        });
        let mut simulation = Self {
            placement: Placement::new(settings(), Timestamp::ZERO, Timestamp::ZERO)
                .in_regions(regions()),
            engines: engines.collect(),
            late: Vec::new(),
            fence: 1,
            step: 0,
            store_loads: Vec::new(),
            waiting: Vec::new(),
            demand: Vec::new(),
            homes: Homes::Anywhere,
            unresponsive: None,
        };
        simulation.placement.configure(&configuration());
        simulation
    }

    pub fn now(&self) -> Timestamp {
        Timestamp(1_000) + STEP * u32::try_from(self.step).unwrap()
    }

    /// Replaces the coordinator by another one.
    pub fn take_over(&mut self) {
        self.fence += 1;
        let now = self.now();
        self.placement = Placement::new(settings(), now, now).in_regions(regions());
        self.placement.configure(&configuration());
    }

    /// Number of loads from the weight store so far.
    pub fn store_loads(&self) -> usize {
        self.store_loads.len()
    }

    /// Sets the duration of unloads on all runners.
    pub fn set_unload_time(&mut self, time: Duration) {
        for engine in self.engines.values_mut() {
            engine.state.unload_time = time;
        }
    }

    /// Makes the runner with this number unresponsive.
    pub fn make_unresponsive(&mut self, runner: usize) {
        self.unresponsive = Some(RunnerId::new(&format!("r{runner}")));
    }

    /// Puts a copy of a model on the disk of the runner with this number.
    pub fn cache_at(&mut self, runner: usize, unit: &Unit) {
        let engine = self.engines.get_mut(&RunnerId::new(&format!("r{runner}")));
        engine.unwrap().state.on_disk.insert(unit.model.clone());
    }

    /// Sets the units that requests wait for, with the numbers of requests and their priority rank.
    pub fn set_demand(&mut self, demand: Vec<(Unit, u32, u8)>) {
        self.waiting = demand.iter().map(|(unit, _, _)| unit.clone()).collect();
        self.demand = demand;
    }

    pub fn set_waiting(&mut self, units: Vec<Unit>) {
        self.waiting = units;
    }

    /// Sets the regions in which requests may be served.
    pub fn set_homes(&mut self, homes: Homes) {
        self.homes = homes;
    }

    /// Whether a runner holds a unit.
    pub fn holds(&self, unit: &Unit) -> bool {
        self.holds_within(unit, &Homes::Anywhere)
    }

    /// Whether a runner within some homes holds a unit.
    pub fn holds_within(&self, unit: &Unit, homes: &Homes) -> bool {
        let regions = regions();
        let engines = self.engines.values();
        let mut within_homes = engines.filter(|it| regions.allow(homes, &it.runner.zone));
        within_homes.any(|engine| {
            let adapters = engine.state.holdings.get(&unit.model);
            match (&unit.adapter, adapters) {
                (_, None) => false,
                (None, Some(_)) => true,
                (Some(adapter), Some(adapters)) => adapters.contains(adapter),
            }
        })
    }

    pub fn step(&mut self, deliveries: &mut impl Iterator<Item = Delivery>) {
        self.step += 1;
        let now = self.now();
        self.deliver_late(now);
        for engine in self.engines.values_mut() {
            engine.state.advance(now);
            engine.past.push_back((now, engine.state.report()));
            while engine.past.len() > 20 {
                engine.past.pop_front();
            }
        }
        let usage = self.usage();
        self.placement.update_usage(usage, now);
        let runners: Vec<Runner> = self.engines.values().map(|it| it.runner.clone()).collect();
        self.placement.set_runners(runners.iter());
        for action in self.placement.plan(now) {
            self.carry_out(action, deliveries, now);
        }
        self.check_store_load_rate(now);
    }

    fn usage(&self) -> Usage {
        let is_served = |unit: &&Unit| self.holds_within(unit, &self.homes);
        let waiting = self.waiting.iter().filter(|unit| !is_served(unit));
        let used = self.waiting.iter().filter(is_served);
        let requirement = |unit: &Unit| Requirement {
            unit: unit.clone(),
            homes: self.homes.clone(),
            software_version: None,
        };
        Usage {
            known: KnownState {
                term: self.fence,
                holdings_version: 0,
                ..KnownState::default()
            },
            waiting: waiting
                .map(|unit| {
                    let demand = self.demand.iter().find(|(wanted, _, _)| wanted == unit);
                    let (requests, priority) = demand.map_or((1, 1), |it| (it.1, it.2));
                    WaitingUnit {
                        requirement: requirement(unit),
                        requests,
                        late: 0,
                        priority,
                    }
                })
                .collect(),
            used: used
                .map(|unit| {
                    let demand = self.demand.iter().find(|(wanted, _, _)| wanted == unit);
                    UsedUnit {
                        requirement: requirement(unit),
                        requests: demand.map_or(1, |it| it.1),
                    }
                })
                .collect(),
            ..idle_usage()
        }
    }

    fn carry_out(
        &mut self,
        action: Action,
        deliveries: &mut impl Iterator<Item = Delivery>,
        now: Timestamp,
    ) {
        match action {
            Action::Report { runner, .. } if self.unresponsive.as_ref() == Some(&runner) => {
                self.placement.apply_report(&runner, None, now, now);
            }
            Action::Order { runner, .. } if self.unresponsive.as_ref() == Some(&runner) => {
                let answer = OrderAnswer::Unknown;
                self.placement.apply_answer(&runner, answer, now);
            }
            Action::Report { runner, .. } => {
                let known = now - REPORT_LAG;
                let past = &self.engines[&runner].past;
                let report = past.iter().rev().find(|(at, _)| *at <= known);
                let report = report.map(|(_, report)| report.clone());
                self.placement.apply_report(&runner, report, now, now);
            }
            Action::Order {
                runner,
                order,
                expected_count,
                ..
            } => {
                let delivery = deliveries.next().unwrap_or(Delivery::Answered);
                let answer = self.send(&runner, order, expected_count, delivery, now);
                self.placement.apply_answer(&runner, answer, now);
            }
        }
    }

    fn send(
        &mut self,
        runner: &RunnerId,
        order: Order,
        expected: u64,
        delivery: Delivery,
        now: Timestamp,
    ) -> OrderAnswer {
        match delivery {
            Delivery::Answered => self.deliver(runner, &order, expected, self.fence, now),
            Delivery::Lost => OrderAnswer::Unknown,
            Delivery::AnswerLost => {
                self.deliver(runner, &order, expected, self.fence, now);
                OrderAnswer::Unknown
            }
            Delivery::Late(steps) => {
                self.late.push(LateOrder {
                    at_step: self.step + steps,
                    runner: runner.clone(),
                    order,
                    expected,
                    fence: self.fence,
                });
                OrderAnswer::Unknown
            }
        }
    }

    fn deliver(
        &mut self,
        runner: &RunnerId,
        order: &Order,
        expected: u64,
        fence: u64,
        now: Timestamp,
    ) -> OrderAnswer {
        let engine = self.engines.get_mut(runner).unwrap();
        let is_cached = engine.state.on_disk.contains(&order.unit.model);
        let answer = engine.state.take(order, expected, fence, now);
        let is_load = order.operation == Operation::Load && order.unit.adapter.is_none();
        if answer == OrderAnswer::Accepted && is_load && !is_cached {
            self.store_loads.push(now);
        }
        answer
    }

    fn deliver_late(&mut self, now: Timestamp) {
        let step = self.step;
        let (due, later): (Vec<LateOrder>, Vec<LateOrder>) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|late| late.at_step <= step);
        self.late = later;
        for late in due {
            self.deliver(&late.runner, &late.order, late.expected, late.fence, now);
        }
    }

    /// Checks that the loads started in any window stay within the platform's store load rate.
    fn check_store_load_rate(&self, now: Timestamp) {
        let window = settings().load_window;
        let start = now - window;
        let recent = self.store_loads.iter().filter(|&&at| at >= start).count();
        let allowed = LOADS_PER_SECOND * window.as_secs_f64() * 1.1 + 3.0;
        assert!(
            recent as f64 <= allowed,
            "{recent} loads started in one window"
        );
    }
}

/// The region of each runner's zone.
pub fn regions() -> Regions {
    let regions = [("z0", "west"), ("z1", "east"), ("z2", "north")];
    Regions::from_iter(regions.map(|(zone, region)| (Zone::new(zone), Region::new(region))))
}

fn settings() -> PlacementSettings {
    PlacementSettings::default()
}

pub fn runners(count: usize) -> Vec<Runner> {
    (0..count).map(runner).collect()
}

fn runner(index: usize) -> Runner {
    Runner {
        id: RunnerId::new(&format!("r{index}")),
        revision: 0,
        service: ServiceName::new(SERVICE),
        software_version: None,
        address: SocketAddr::from(([127, 0, 0, 1], 100)),
        zone: Zone::new(&format!("z{}", index % 3)),
        slots: 8,
        draining: false,
        leaves_in: None,
        cold_for: Duration::ZERO,
        holdings: Holdings::new(),
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
    }
}
