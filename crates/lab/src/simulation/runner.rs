//! One runner: what it holds, its caches of checkpoints, its fence and its engine.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use flaxward_types::engine::{
    Held, HeldState, Inventory, Machine, Order, OrderAction, OrderAnswer,
};
use flaxward_types::{ArtifactId, BootId, OrderId, Term, Timestamp};

use super::batch::Batch;
use super::cache::Cache;
use crate::scenario::Scenario;

/// Orders whose answers an engine remembers.
const REMEMBERED_ORDERS: usize = 256;

/// Where the weights of a load come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Main memory of the machine.
    Memory,
    /// Disk of the machine.
    Disk,
    /// The weight store.
    WeightStore,
}

/// One artifact on a runner.
#[derive(Clone, Debug)]
pub struct Holding {
    /// Accelerator memory it takes, in bytes.
    pub bytes: u64,
    /// How far it is.
    pub state: HeldState,
    /// Requests running on it; for a base, those of its adapters as well.
    pub running: u32,
    /// Since when it is idle, if it is ready and idle.
    pub idle_since: Option<Timestamp>,
}

/// What an order sets off, besides its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    None,
    /// Weights are to be brought.
    Load(ArtifactId),
    /// An artifact is gone; it was idle since then.
    Unloaded(ArtifactId, u64, Option<Timestamp>),
    /// Refused for want of memory.
    NoMemory,
}

/// A runner.
#[derive(Debug)]
pub struct Runner {
    /// The machine.
    pub machine: Machine,
    /// Its engine.
    pub batch: Batch,
    /// What it holds.
    pub holdings: BTreeMap<ArtifactId, Holding>,
    /// Checkpoints in main memory.
    pub in_memory: Cache<ArtifactId>,
    /// Checkpoints on disk.
    pub on_disk: Cache<ArtifactId>,
    /// Accelerator memory, in bytes.
    pub memory: u64,
    /// Most accelerator memory ever taken, in bytes.
    pub most_taken: u64,
    boot: BootId,
    term: Term,
    sequence: u64,
    orders: VecDeque<OrderId>,
}

impl Runner {
    /// An empty one.
    pub fn new(machine: Machine, boot: BootId, scenario: &Scenario, now: Timestamp) -> Self {
        Self {
            machine,
            batch: Batch::new(scenario.engine.clone(), now),
            holdings: BTreeMap::new(),
            in_memory: Cache::new(scenario.runner.memory_cache.as_u64()),
            on_disk: Cache::new(scenario.runner.disk_cache.as_u64()),
            memory: scenario.runner.bytes(),
            most_taken: 0,
            boot,
            term: Term(0),
            sequence: 0,
            orders: VecDeque::new(),
        }
    }

    /// Accelerator memory taken, in bytes.
    pub fn taken(&self) -> u64 {
        self.holdings.values().map(|holding| holding.bytes).sum()
    }

    /// Whether it takes requests for an artifact.
    pub fn is_ready(&self, artifact: &ArtifactId) -> bool {
        let holding = self.holdings.get(artifact);
        holding.is_some_and(|holding| holding.state == HeldState::Ready)
    }

    /// What it holds, as it tells.
    pub fn inventory(&self) -> Inventory {
        let held = |(artifact, holding): (&ArtifactId, &Holding)| Held {
            artifact: artifact.clone(),
            bytes: holding.bytes,
            state: holding.state,
        };
        Inventory {
            boot: self.boot,
            term: self.term,
            sequence: self.sequence,
            memory: self.memory,
            artifacts: self.holdings.iter().map(held).collect(),
            in_memory: self.in_memory.keys().cloned().collect(),
            on_disk: self.on_disk.keys().cloned().collect(),
            leaving: self.machine.leaving,
        }
    }

    /// Where the weights of a load would come from.
    pub fn source(&self, artifact: &ArtifactId) -> Source {
        if self.in_memory.contains(artifact) {
            Source::Memory
        } else if self.on_disk.contains(artifact) {
            Source::Disk
        } else {
            Source::WeightStore
        }
    }

    /// Carries out an order.
    pub fn order(&mut self, order: &Order) -> (OrderAnswer, Effect) {
        if order.boot != self.boot {
            return (OrderAnswer::OtherBoot { boot: self.boot }, Effect::None);
        }
        if order.term < self.term {
            let highest = self.term;
            return (OrderAnswer::StaleTerm { highest }, Effect::None);
        }
        self.term = order.term;
        if self.orders.contains(&order.id) {
            return (OrderAnswer::Accepted(self.inventory()), Effect::None);
        }
        let effect = match &order.action {
            OrderAction::Seal => Effect::None,
            OrderAction::Load {
                artifact, bytes, ..
            } => self.load(artifact, *bytes),
            OrderAction::Unload { artifact } => self.unload(artifact),
        };
        if effect == Effect::NoMemory {
            let free = self.memory - self.taken();
            return (OrderAnswer::NoMemory { free }, effect);
        }
        if self.orders.len() == REMEMBERED_ORDERS {
            self.orders.pop_front();
        }
        self.orders.push_back(order.id);
        (OrderAnswer::Accepted(self.inventory()), effect)
    }

    fn load(&mut self, artifact: &ArtifactId, bytes: u64) -> Effect {
        if self.holdings.contains_key(artifact) {
            return Effect::None;
        }
        if self.taken() + bytes > self.memory {
            return Effect::NoMemory;
        }
        let holding = Holding {
            bytes,
            state: HeldState::Loading,
            running: 0,
            idle_since: None,
        };
        self.holdings.insert(artifact.clone(), holding);
        self.most_taken = self.most_taken.max(self.taken());
        self.sequence += 1;
        Effect::Load(artifact.clone())
    }

    fn unload(&mut self, artifact: &ArtifactId) -> Effect {
        let Some(holding) = self.holdings.get_mut(artifact) else {
            return Effect::None;
        };
        holding.state = HeldState::Unloading;
        self.sequence += 1;
        self.settle_unload(artifact)
    }

    /// Lets go of an artifact that is being unloaded once its requests are done.
    pub fn settle_unload(&mut self, artifact: &ArtifactId) -> Effect {
        let done = self
            .holdings
            .get(artifact)
            .is_some_and(|holding| holding.state == HeldState::Unloading && holding.running == 0);
        let removed = if done {
            self.holdings.remove(artifact)
        } else {
            None
        };
        let Some(holding) = removed else {
            return Effect::None;
        };
        self.sequence += 1;
        Effect::Unloaded(artifact.clone(), holding.bytes, holding.idle_since)
    }

    /// The weights of an artifact have arrived.
    pub fn loaded(&mut self, artifact: &ArtifactId, weights: u64, now: Timestamp) -> bool {
        let Some(holding) = self.holdings.get_mut(artifact) else {
            return false;
        };
        if holding.state != HeldState::Loading {
            return false;
        }
        holding.state = HeldState::Ready;
        holding.idle_since = Some(now);
        self.sequence += 1;
        self.in_memory.touch(artifact, weights);
        self.on_disk.touch(artifact, weights);
        true
    }

    /// Adds a request to an artifact and its base, or takes one away. Returns the idle times that
    /// end: bytes and since when.
    pub fn count_running(
        &mut self,
        artifact: &ArtifactId,
        begins: bool,
        now: Timestamp,
    ) -> Vec<(u64, Timestamp)> {
        let mut ended = Vec::new();
        let mut artifacts = vec![artifact.clone()];
        if artifact.is_adapter() {
            artifacts.push(artifact.base());
        }
        for artifact in &artifacts {
            let Some(holding) = self.holdings.get_mut(artifact) else {
                continue;
            };
            if begins {
                holding.running += 1;
                ended.extend(
                    holding
                        .idle_since
                        .take()
                        .map(|since| (holding.bytes, since)),
                );
            } else {
                holding.running = holding.running.saturating_sub(1);
                if holding.running == 0 {
                    holding.idle_since = Some(now);
                }
            }
        }
        ended
    }
}

/// Time that a load takes when nothing holds it up.
pub fn physical_load_time(scenario: &Scenario, source: Source, weights: u64) -> Duration {
    let speed = match source {
        Source::Memory => scenario.runner.memory_speed,
        Source::Disk => scenario.runner.disk_speed,
        Source::WeightStore => scenario.weight_store.speed,
    };
    #[allow(clippy::cast_precision_loss)] // sizes stay far below 2^52
    let seconds = weights as f64 / speed.as_u64() as f64;
    scenario.runner.warm_up + Duration::from_secs_f64(seconds)
}
