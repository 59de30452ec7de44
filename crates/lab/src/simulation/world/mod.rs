//! The event loop.

mod calls;
mod engines;
mod loads;
mod machines;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use flaxward_control::coordinator::EngineFault;
use flaxward_types::engine::{HeldState, Inventory, Order, OrderAnswer};
use flaxward_types::routing::{Demand, RouteAnswer};
use flaxward_types::{ArtifactId, DaemonName, OrderId, RunnerName, Timestamp, ZoneName};

use crate::calls::{Call, Fault};
use crate::controller::{Command, Controller, Input};
use crate::fleet_plan;
use crate::scenario::Scenario;
use crate::simulation::batch::CallIndex;
use crate::simulation::cold_starts::ColdStarts;
use crate::simulation::gateway::Gateway;
use crate::simulation::measures::Measures;
use crate::simulation::runner::{Runner, Source};
use crate::simulation::weight_store::{TransferId, WeightStore};

/// Time between renewals of a demand.
const RENEWAL: Duration = Duration::from_secs(2);

/// The inputs of a run.
#[derive(Clone, Copy)]
pub struct Run<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// The calls, in order of time.
    pub calls: &'a [Call],
    /// The faults, in order of time.
    pub faults: &'a [(Timestamp, Fault)],
    /// When it ends.
    pub end: Timestamp,
}

/// What happens at some time.
#[derive(Clone, Debug)]
enum Event {
    Called(CallIndex),
    Deadline(CallIndex),
    Renew(usize, ArtifactId),
    Demanded(ZoneName, DaemonName, Demand),
    Answered(DaemonName, RouteAnswer),
    OrderSent(RunnerName, Order),
    OrderAnswered(RunnerName, OrderId, Result<OrderAnswer, EngineFault>),
    InventoryAsked(RunnerName),
    InventoryRead(RunnerName, Result<Inventory, EngineFault>),
    Dispatched(RunnerName, CallIndex),
    Prefilled(RunnerName, CallIndex),
    BatchDue(RunnerName),
    TransferBegins(TransferId),
    StoreDue,
    LoadDone(TransferId),
    Tick,
    Failed(Fault),
    StoreRecovers,
    Gone(RunnerName),
    Joined(ZoneName),
}

/// An event in the queue; the earliest first, then the first scheduled.
struct Scheduled {
    at: Timestamp,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A load in progress.
struct Transfer {
    runner: RunnerName,
    artifact: ArtifactId,
    source: Source,
    asked: Timestamp,
}

/// A call in an engine.
struct InFlight {
    gateway: usize,
    runner: RunnerName,
    first_token: Option<Timestamp>,
}

/// The load report that requests are routed by.
#[derive(Clone, Copy)]
struct Report {
    at: Timestamp,
    outstanding: usize,
}

/// A region.
pub struct World<'a> {
    run: Run<'a>,
    controller: &'a mut dyn Controller,
    one_way: Duration,
    now: Timestamp,
    sequence: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    next_tick: Option<Timestamp>,
    weights: BTreeMap<ArtifactId, u64>,
    runners: BTreeMap<RunnerName, Runner>,
    batches_due: BTreeMap<RunnerName, Timestamp>,
    reports: BTreeMap<RunnerName, Report>,
    machines_made: BTreeMap<ZoneName, u32>,
    store: WeightStore,
    transfers: BTreeMap<TransferId, Transfer>,
    next_transfer: TransferId,
    gateways: Vec<Gateway>,
    in_flight: BTreeMap<CallIndex, InFlight>,
    cold_starts: ColdStarts,
    measures: Measures,
}

impl<'a> World<'a> {
    /// A region at its start.
    pub fn new(run: Run<'a>, controller: &'a mut dyn Controller) -> Self {
        let scenario = run.scenario;
        let zones = scenario.zones.iter();
        let mut world = Self {
            run,
            controller,
            one_way: Duration::from_millis(whole_millis(scenario.network.one_way)),
            now: Timestamp::ZERO,
            sequence: 0,
            queue: BinaryHeap::new(),
            next_tick: None,
            weights: weights(scenario),
            runners: BTreeMap::new(),
            batches_due: BTreeMap::new(),
            reports: BTreeMap::new(),
            machines_made: BTreeMap::new(),
            store: WeightStore::new(scenario.weight_store.clone()),
            transfers: BTreeMap::new(),
            next_transfer: 0,
            gateways: zones.map(|zone| Gateway::new(&zone.name)).collect(),
            in_flight: BTreeMap::new(),
            cold_starts: ColdStarts::default(),
            measures: Measures::default(),
        };
        for zone in &scenario.zones {
            for _ in 0..zone.runners {
                world.add_machine(&zone.name);
            }
        }
        world.fill_disks();
        world
    }

    /// Runs to the end and returns what was measured.
    pub fn run(mut self) -> Measures {
        for (position, call) in self.run.calls.iter().enumerate() {
            self.schedule(call.at, Event::Called(position));
        }
        for (at, fault) in self.run.faults {
            self.schedule(*at, Event::Failed(*fault));
        }
        self.tell_machines();
        while let Some(Reverse(scheduled)) = self.queue.pop() {
            if scheduled.at > self.run.end {
                break;
            }
            self.now = scheduled.at;
            self.happen(scheduled.event);
        }
        self.close()
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Called(call) => self.called(call),
            Event::Deadline(call) => self.deadline(call),
            Event::Renew(gateway, artifact) => self.renew(gateway, &artifact),
            Event::Demanded(zone, gateway, demand) => {
                self.tell(Input::Demanded(zone, gateway, demand));
            }
            Event::Answered(gateway, answer) => self.answered(&gateway, &answer),
            Event::OrderSent(runner, order) => self.ordered(&runner, &order),
            Event::OrderAnswered(runner, order, answer) => {
                self.tell(Input::OrderAnswered(runner, order, answer));
            }
            Event::InventoryAsked(runner) => {
                let inventory = self.runners.get(&runner).map(Runner::inventory);
                let inventory = inventory.ok_or(EngineFault::Unreachable);
                self.later(Event::InventoryRead(runner, inventory));
            }
            Event::InventoryRead(runner, inventory) => {
                self.tell(Input::InventoryRead(runner, inventory));
            }
            Event::Dispatched(runner, call) => self.dispatched(&runner, call),
            Event::Prefilled(runner, call) => self.prefilled(&runner, call),
            Event::BatchDue(runner) => {
                if self.batches_due.get(&runner) == Some(&self.now) {
                    self.batch_due(&runner);
                }
            }
            Event::TransferBegins(transfer) => self.transfer_begins(transfer),
            Event::StoreDue => self.store_due(),
            Event::LoadDone(transfer) => self.load_done(transfer),
            Event::Tick => self.tick(),
            Event::Failed(fault) => self.failed(fault),
            Event::StoreRecovers => {
                self.store.set_slow_factor(1.0, self.now);
                self.schedule_store();
            }
            Event::Gone(runner) => self.gone(&runner),
            Event::Joined(zone) => {
                self.add_machine(&zone);
                self.tell_machines();
            }
        }
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        let scheduled = Scheduled {
            at: at.max(self.now),
            sequence: self.sequence,
            event,
        };
        self.queue.push(Reverse(scheduled));
    }

    /// Schedules something for when a message sent now arrives.
    fn later(&mut self, event: Event) {
        self.schedule(self.now + self.one_way, event);
    }

    fn tell(&mut self, input: Input) {
        let commands = self.controller.handle(input, self.now);
        for command in commands {
            self.carry_out(command);
        }
        let next = self.controller.next_tick(self.now);
        let next = next.max(self.now + Duration::from_millis(1));
        if self.next_tick.is_none_or(|known| next < known) {
            self.next_tick = Some(next);
            self.schedule(next, Event::Tick);
        }
    }

    fn tick(&mut self) {
        if self.next_tick == Some(self.now) {
            self.next_tick = None;
            self.tell(Input::Tick);
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Order(runner, order) => {
                let line = format!("{} order {runner} {:?}", self.now, order.action);
                self.measures.log(&line);
                self.later(Event::OrderSent(runner, order));
            }
            Command::ReadInventory(runner) => self.later(Event::InventoryAsked(runner)),
            Command::Answer(gateway, answer) => self.later(Event::Answered(gateway, answer)),
            Command::Decided(decision) => self.measures.decided(&decision, self.now),
        }
    }

    #[allow(clippy::cast_precision_loss)] // sizes stay far below 2^52
    fn note_memory(&mut self, runner: &Runner) {
        let share = runner.most_taken as f64 / runner.memory as f64;
        self.measures.most_memory = self.measures.most_memory.max(share);
    }

    fn close(mut self) -> Measures {
        self.now = self.run.end;
        for runner in std::mem::take(&mut self.runners).into_values() {
            self.note_memory(&runner);
            for holding in runner.holdings.values() {
                let idle = holding
                    .idle_since
                    .filter(|_| holding.state == HeldState::Ready);
                if let Some(since) = idle {
                    self.measures.idle(holding.bytes, since, self.now);
                }
            }
        }
        self.measures
    }
}

fn is_of_group(artifact: &ArtifactId, prefix: &str) -> bool {
    let number = artifact.model.as_str().strip_prefix(prefix);
    number.is_some_and(|number| number.starts_with('-'))
}

fn weights(scenario: &Scenario) -> BTreeMap<ArtifactId, u64> {
    let mut weights = BTreeMap::new();
    for model in fleet_plan::models(scenario) {
        let group = &scenario.models[model.group];
        weights.insert(model.base.clone(), group.weights.as_u64());
        for adapter in &model.adapters {
            weights.insert(adapter.clone(), group.adapter_weights.as_u64());
        }
    }
    weights
}

/// A duration in whole milliseconds, rounded up, so that no message arrives at once.
fn whole_millis(duration: Duration) -> u64 {
    let millis = duration.as_micros().div_ceil(1_000);
    u64::try_from(millis).unwrap_or(u64::MAX)
}
