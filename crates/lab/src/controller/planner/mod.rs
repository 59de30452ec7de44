//! A simple planner for the whole region, without leases, slots and quotas, for comparing rules for
//! keeping replicas: the same loads, tiers, memory and limits of the weight store for each rule.

mod answers;
mod loads;
mod stays;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxward_control::configuration::Configuration;
use flaxward_control::coordinator::{Decision, DecisionKind};
use flaxward_types::engine::{HeldState, Machine, OrderAnswer};
use flaxward_types::routing::{Demand, Outlook, Replica};
use flaxward_types::time::millis;
use flaxward_types::{ArtifactId, DaemonName, RunnerName, Term, Timestamp};

use crate::controller::choice::KnownRunner;
use crate::controller::retention::Retention;
use crate::controller::{Command, Controller, Input};
use crate::scenario::Scenario;

/// Time between looks while something is in progress.
const BUSY_TICK: Duration = Duration::from_millis(100);
/// Time between looks while nothing is.
const IDLE_TICK: Duration = Duration::from_mins(10);
/// Time after which a demand that is not renewed is forgotten.
const DEMAND_EXPIRY: Duration = Duration::from_secs(5);
/// Waiting for longer than this on a loaded model calls for one more replica.
const SCALE_OUT_AFTER: Duration = Duration::from_secs(1);
/// Requests running on each replica above which one more is called for.
const RUNNING_PER_REPLICA: u32 = 32;
/// When to ask again after a refusal, in milliseconds.
const ASK_AGAIN_MILLIS: u64 = 5_000;
/// The one term under which the planner gives orders.
const TERM: Term = Term(1);

/// What is wanted of one artifact.
#[derive(Clone, Debug, Default)]
struct Wanted {
    gateways: BTreeMap<DaemonName, (Demand, Timestamp)>,
    waiting_since: Option<Timestamp>,
    since: Timestamp,
    answered: Option<(Vec<Replica>, Outlook)>,
}

/// The planner.
pub struct Planner<'a> {
    scenario: &'a Scenario,
    configuration: Configuration,
    retention: Box<dyn Retention + 'a>,
    runners: BTreeMap<RunnerName, KnownRunner>,
    wanted: BTreeMap<ArtifactId, Wanted>,
    last_use: BTreeMap<ArtifactId, Timestamp>,
    ready_since: BTreeMap<ArtifactId, Timestamp>,
    load_ahead: BTreeMap<ArtifactId, Timestamp>,
    /// What nothing can be loaded for now.
    blocked: BTreeSet<ArtifactId>,
    /// Gateways that know of replicas and must hear when they go.
    informed: BTreeMap<ArtifactId, BTreeSet<DaemonName>>,
    next_start: Timestamp,
    next_order: u128,
    sequence: u64,
    next_tick: Timestamp,
    commands: Vec<Command>,
}

impl<'a> Planner<'a> {
    /// A planner for a scenario with a rule for keeping replicas.
    pub fn new(
        scenario: &'a Scenario,
        configuration: Configuration,
        retention: Box<dyn Retention + 'a>,
    ) -> Self {
        Self {
            scenario,
            configuration,
            retention,
            runners: BTreeMap::new(),
            wanted: BTreeMap::new(),
            last_use: BTreeMap::new(),
            ready_since: BTreeMap::new(),
            load_ahead: BTreeMap::new(),
            blocked: BTreeSet::new(),
            informed: BTreeMap::new(),
            next_start: Timestamp::ZERO,
            next_order: 1,
            sequence: 0,
            next_tick: Timestamp::ZERO,
            commands: Vec::new(),
        }
    }

    fn machines(&mut self, machines: Vec<Machine>) {
        let names: Vec<RunnerName> = machines
            .iter()
            .map(|machine| machine.name.clone())
            .collect();
        self.runners.retain(|name, _| names.contains(name));
        for machine in machines {
            let name = machine.name.clone();
            if let Some(known) = self.runners.get_mut(&name) {
                known.machine = machine;
                continue;
            }
            let runner = KnownRunner {
                machine,
                inventory: None,
                loads: BTreeMap::new(),
                unloads: BTreeMap::new(),
            };
            self.runners.insert(name.clone(), runner);
            self.commands.push(Command::ReadInventory(name));
        }
    }

    fn demanded(&mut self, gateway: DaemonName, demand: Demand, now: Timestamp) {
        let artifact = demand.artifact.clone();
        let in_use = demand.waiting + demand.running + demand.arrivals > 0;
        if in_use {
            self.note_use(&artifact, now);
        }
        let wanted = self.wanted.entry(artifact).or_insert_with(|| Wanted {
            since: now,
            ..Wanted::default()
        });
        wanted.gateways.insert(gateway, (demand, now));
        wanted.note_waiting(now);
    }

    fn note_use(&mut self, artifact: &ArtifactId, now: Timestamp) {
        for used in [artifact.clone(), artifact.base()] {
            self.retention.used(&used, now);
            self.load_ahead.remove(&used);
            self.last_use.insert(used, now);
        }
    }

    /// Forgets old demand.
    fn expire(&mut self, now: Timestamp) {
        for (artifact, wanted) in &mut self.wanted {
            wanted.gateways.retain(|_, (demand, at)| {
                let active = demand.waiting + demand.running > 0;
                active && now.since(*at) < DEMAND_EXPIRY
            });
            wanted.note_waiting(now);
            if !wanted.gateways.is_empty() {
                self.last_use.insert(artifact.clone(), now);
                self.last_use.insert(artifact.base(), now);
            }
        }
        self.wanted.retain(|_, wanted| !wanted.gateways.is_empty());
    }

    /// Drops loads and unloads that the inventory shows done.
    fn settle(&mut self, now: Timestamp) {
        for (name, runner) in &mut self.runners {
            let KnownRunner {
                inventory: Some(inventory),
                loads,
                unloads,
                ..
            } = runner
            else {
                continue;
            };
            unloads.retain(|artifact, _| inventory.held(artifact).is_some());
            let mut ready = Vec::new();
            loads.retain(|artifact, load| {
                let held = inventory.held(artifact);
                let done = held.is_some_and(|held| held.state == HeldState::Ready);
                if done {
                    ready.push((artifact.clone(), now.since(load.decided)));
                }
                !done
            });
            for (artifact, took) in ready {
                self.ready_since.insert(artifact.clone(), now);
                let kind = DecisionKind::Ready {
                    runner: name.clone(),
                    took_ms: millis(took),
                };
                self.commands
                    .push(Command::Decided(Decision { artifact, kind }));
            }
        }
    }

    fn plan(&mut self, now: Timestamp) {
        self.expire(now);
        self.settle(now);
        self.next_tick = now + IDLE_TICK;
        self.pursue_wanted(now);
        self.load_ahead(now);
        self.send_loads(now);
        self.unload_idle(now);
        self.answer_changes(now);
        self.poll(now);
    }

    /// Reads inventories on which something is in progress, and comes back soon.
    fn poll(&mut self, now: Timestamp) {
        let mut busy = self
            .wanted
            .values()
            .any(|wanted| wanted.waiting_since.is_some());
        for (name, runner) in &self.runners {
            let ordered = runner.loads.values().any(|load| load.ordered);
            if ordered || !runner.unloads.is_empty() || runner.inventory.is_none() {
                self.commands.push(Command::ReadInventory(name.clone()));
                busy = true;
            }
        }
        if busy {
            self.next_tick = now + BUSY_TICK;
        } else if !self.wanted.is_empty() {
            self.next_tick = self.next_tick.min(now + DEMAND_EXPIRY);
        }
    }

    fn decided(&mut self, artifact: &ArtifactId, kind: DecisionKind) {
        let artifact = artifact.clone();
        self.commands
            .push(Command::Decided(Decision { artifact, kind }));
    }
}

impl Controller for Planner<'_> {
    fn handle(&mut self, input: Input, now: Timestamp) -> Vec<Command> {
        match input {
            Input::Tick => self.plan(now),
            Input::Machines(machines) => {
                self.machines(machines);
                self.plan(now);
            }
            Input::Demanded(_, gateway, demand) => {
                let artifact = demand.artifact.clone();
                let waits = demand.waiting > 0;
                self.demanded(gateway.clone(), demand, now);
                if waits {
                    self.plan(now);
                }
                self.answer(&gateway, &artifact, now);
            }
            Input::OrderAnswered(runner, _, Ok(OrderAnswer::Accepted(inventory)))
            | Input::InventoryRead(runner, Ok(inventory)) => {
                if let Some(known) = self.runners.get_mut(&runner) {
                    known.inventory = Some(inventory);
                }
                self.settle(now);
                self.send_loads(now);
                self.answer_changes(now);
            }
            Input::OrderAnswered(runner, ..) => {
                if let Some(known) = self.runners.get_mut(&runner) {
                    let inventory = known.inventory.clone();
                    let held = |artifact: &ArtifactId| {
                        let inventory = inventory.as_ref();
                        inventory.is_some_and(|inventory| inventory.held(artifact).is_some())
                    };
                    known
                        .loads
                        .retain(|artifact, load| !load.ordered || held(artifact));
                }
            }
            Input::InventoryRead(..) => {}
        }
        std::mem::take(&mut self.commands)
    }

    fn next_tick(&self, now: Timestamp) -> Timestamp {
        self.next_tick.max(now)
    }
}

impl Wanted {
    fn note_waiting(&mut self, now: Timestamp) {
        if self.gateways.values().any(|(demand, _)| demand.waiting > 0) {
            self.waiting_since.get_or_insert(now);
        } else {
            self.waiting_since = None;
        }
    }
}
