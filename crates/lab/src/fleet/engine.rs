//! Hollow model engines: fence, boots, memory, load times and load reports, and no model.

use std::collections::BTreeMap;

use flaxward_types::engine::{
    Held, HeldState, Inventory, LoadReport, Machine, Order, OrderAction, OrderAnswer,
};
use flaxward_types::{ArtifactId, BootId, OrderId, Term};

/// Orders whose answers an engine remembers.
const MAX_ANSWERED: usize = 256;

/// What an order sets going.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    None,
    /// A load of so many bytes.
    Loading(ArtifactId, u64),
    /// An unload.
    Unloading(ArtifactId),
}

/// One runner and the present start of its engine.
#[derive(Clone, Debug)]
pub struct HollowEngine {
    /// As the machine list shows it.
    pub machine: Machine,
    /// Place of its zone.
    pub zone: usize,
    /// Whether it answers.
    pub alive: bool,
    /// Whether the machine list shows it.
    pub listed: bool,
    /// Start of the engine.
    pub boot: BootId,
    /// Accelerator memory, in bytes.
    pub memory: u64,
    held: BTreeMap<ArtifactId, Held>,
    in_memory: Vec<ArtifactId>,
    on_disk: Vec<ArtifactId>,
    highest: Term,
    sequence: u64,
    answered: BTreeMap<OrderId, OrderAnswer>,
    load: LoadReport,
}

impl HollowEngine {
    /// An engine that holds nothing.
    pub fn new(machine: Machine, zone: usize, boot: BootId, memory: u64) -> Self {
        Self {
            machine,
            zone,
            alive: true,
            listed: true,
            boot,
            memory,
            held: BTreeMap::new(),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            highest: Term(0),
            sequence: 0,
            answered: BTreeMap::new(),
            load: LoadReport::default(),
        }
    }

    /// Starts again: all that was loaded and seen is forgotten, the disk is not.
    pub fn restart(&mut self, boot: BootId) {
        let on_disk = std::mem::take(&mut self.on_disk);
        let machine = self.machine.clone();
        *self = Self::new(machine, self.zone, boot, self.memory);
        self.on_disk = on_disk;
    }

    /// Puts an artifact on the disk.
    pub fn store_on_disk(&mut self, artifact: &ArtifactId) {
        if !self.on_disk.contains(artifact) {
            self.on_disk.push(artifact.clone());
        }
    }

    /// Puts the weights of an artifact into main memory.
    pub fn store_in_memory(&mut self, artifact: &ArtifactId) {
        if !self.in_memory.contains(artifact) {
            self.in_memory.push(artifact.clone());
        }
    }

    /// Makes an artifact ready, as if it had been loaded long ago.
    pub fn preload(&mut self, artifact: &ArtifactId, bytes: u64) {
        self.set(artifact, bytes, HeldState::Ready);
    }

    /// Whether the weights are in main memory or on disk.
    pub fn tier_bytes_per_second(&self, artifact: &ArtifactId) -> u64 {
        if self.in_memory.contains(artifact) {
            16 << 30
        } else if self.on_disk.contains(artifact) {
            4 << 30
        } else {
            1 << 30
        }
    }

    /// Number of artifacts in a state.
    pub fn count(&self, state: HeldState) -> usize {
        let held = self.held.values();
        held.filter(|held| held.state == state).count()
    }

    /// Everything held.
    pub fn inventory(&self) -> Inventory {
        Inventory {
            boot: self.boot,
            term: self.highest,
            sequence: self.sequence,
            memory: self.memory,
            artifacts: self.held.values().cloned().collect(),
            in_memory: self.in_memory.clone(),
            on_disk: self.on_disk.clone(),
            leaving: self.machine.leaving,
        }
    }

    /// The load as last set.
    pub fn load(&self) -> &LoadReport {
        &self.load
    }

    /// Sets the load that the next reports show.
    pub fn set_load(&mut self, load: LoadReport) {
        self.load = load;
    }

    /// Answers an order and says what it sets going.
    pub fn order(&mut self, order: &Order) -> (OrderAnswer, Effect) {
        if order.boot != self.boot {
            return (OrderAnswer::OtherBoot { boot: self.boot }, Effect::None);
        }
        if order.term < self.highest {
            let highest = self.highest;
            return (OrderAnswer::StaleTerm { highest }, Effect::None);
        }
        self.highest = order.term;
        if let Some(answer) = self.answered.get(&order.id) {
            let repeated = match answer {
                OrderAnswer::Accepted(_) => OrderAnswer::Accepted(self.inventory()),
                other => other.clone(),
            };
            return (repeated, Effect::None);
        }
        let (answer, effect) = self.act(&order.action);
        if self.answered.len() >= MAX_ANSWERED {
            self.answered.pop_first();
        }
        self.answered.insert(order.id, answer.clone());
        (answer, effect)
    }

    fn act(&mut self, action: &OrderAction) -> (OrderAnswer, Effect) {
        let done = match action {
            OrderAction::Seal => Ok(Effect::None),
            OrderAction::Load {
                artifact, bytes, ..
            } => self.begin_load(artifact, *bytes),
            OrderAction::Unload { artifact } => self.begin_unload(artifact),
        };
        match done {
            Ok(effect) => (OrderAnswer::Accepted(self.inventory()), effect),
            Err(refusal) => (refusal, Effect::None),
        }
    }

    fn begin_load(&mut self, artifact: &ArtifactId, bytes: u64) -> Result<Effect, OrderAnswer> {
        let base = self.state(&artifact.base());
        if artifact.is_adapter() && base != Some(HeldState::Ready) {
            return Err(refused("its base is not ready"));
        }
        if self.state(artifact).is_some() {
            return Err(refused("it is held already"));
        }
        let free = self.memory - self.used();
        if bytes > free {
            return Err(OrderAnswer::NoMemory { free });
        }
        self.set(artifact, bytes, HeldState::Loading);
        Ok(Effect::Loading(artifact.clone(), bytes))
    }

    fn begin_unload(&mut self, artifact: &ArtifactId) -> Result<Effect, OrderAnswer> {
        let is_on_base =
            |held: &Held| held.artifact.is_adapter() && held.artifact.base() == *artifact;
        if self.held.values().any(is_on_base) {
            return Err(refused("adapters are on it"));
        }
        let Some(bytes) = self.held.get(artifact).map(|held| held.bytes) else {
            return Ok(Effect::None);
        };
        self.set(artifact, bytes, HeldState::Unloading);
        Ok(Effect::Unloading(artifact.clone()))
    }

    /// The load of an artifact ends.
    pub fn finish_load(&mut self, artifact: &ArtifactId) {
        if self.state(artifact) != Some(HeldState::Loading) {
            return;
        }
        let bytes = self.held.get(artifact).map_or(0, |held| held.bytes);
        self.set(artifact, bytes, HeldState::Ready);
        self.store_on_disk(artifact);
    }

    /// The unload of an artifact ends.
    pub fn finish_unload(&mut self, artifact: &ArtifactId) {
        if self.state(artifact) == Some(HeldState::Unloading) {
            self.sequence += 1;
            self.held.remove(artifact);
        }
    }

    fn used(&self) -> u64 {
        self.held.values().map(|held| held.bytes).sum()
    }

    fn state(&self, artifact: &ArtifactId) -> Option<HeldState> {
        self.held.get(artifact).map(|held| held.state)
    }

    fn set(&mut self, artifact: &ArtifactId, bytes: u64, state: HeldState) {
        self.sequence += 1;
        let held = Held {
            artifact: artifact.clone(),
            bytes,
            state,
        };
        self.held.insert(artifact.clone(), held);
    }
}

fn refused(reason: &str) -> OrderAnswer {
    OrderAnswer::Refused {
        reason: reason.to_owned(),
    }
}
