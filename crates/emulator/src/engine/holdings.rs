//! What an engine holds and how it answers orders; no I/O.

use std::collections::{HashMap, VecDeque};

use flaxward_types::engine::{Held, HeldState, Inventory, Order, OrderAction, OrderAnswer};
use flaxward_types::{ArtifactId, BootId, OrderId, Term};

use super::record::LoadSource;

/// Weights in main memory or on disk, least recently used first.
#[derive(Debug, Default)]
pub(crate) struct Tier {
    limit: u64,
    weights: VecDeque<(ArtifactId, u64)>,
}

impl Tier {
    pub(crate) fn new(limit: u64) -> Self {
        Self {
            limit,
            weights: VecDeque::new(),
        }
    }

    fn has(&self, artifact: &ArtifactId) -> bool {
        self.weights.iter().any(|(held, _)| held == artifact)
    }

    fn put(&mut self, artifact: &ArtifactId, bytes: u64) {
        self.weights.retain(|(held, _)| held != artifact);
        if bytes > self.limit {
            return;
        }
        self.weights.push_back((artifact.clone(), bytes));
        while self.used() > self.limit {
            self.weights.pop_front();
        }
    }

    fn used(&self) -> u64 {
        self.weights.iter().map(|(_, bytes)| bytes).sum()
    }

    fn artifacts(&self) -> Vec<ArtifactId> {
        self.weights
            .iter()
            .map(|(artifact, _)| artifact.clone())
            .collect()
    }
}

/// One artifact in accelerator memory.
#[derive(Debug)]
struct Slot {
    held: Held,
    running: u32,
    load: u64,
}

/// A load to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LoadJob {
    pub(crate) number: u64,
    pub(crate) artifact: ArtifactId,
    pub(crate) checkpoint: String,
    pub(crate) bytes: u64,
    pub(crate) source: LoadSource,
}

/// What an order sets off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// Begin a load.
    Begin(LoadJob),
    /// A load was given up.
    GiveUp(u64),
    /// The memory of a load is free again.
    Freed(u64),
}

/// Everything an engine holds since its start.
#[derive(Debug)]
pub(crate) struct Holdings {
    boot: BootId,
    term: Term,
    sequence: u64,
    memory: u64,
    slots: Vec<Slot>,
    in_memory: Tier,
    on_disk: Tier,
    leaving: bool,
    answered: HashMap<OrderId, Option<OrderAnswer>>,
    next_load: u64,
    max_used: u64,
}

/// Sizes of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sizes {
    pub(crate) memory: u64,
    pub(crate) memory_tier: u64,
    pub(crate) disk_tier: u64,
}

impl Holdings {
    pub(crate) fn new(boot: BootId, sizes: Sizes) -> Self {
        Self {
            boot,
            term: Term(0),
            sequence: 0,
            memory: sizes.memory,
            slots: Vec::new(),
            in_memory: Tier::new(sizes.memory_tier),
            on_disk: Tier::new(sizes.disk_tier),
            leaving: false,
            answered: HashMap::new(),
            next_load: 0,
            max_used: 0,
        }
    }

    pub(crate) fn boot(&self) -> BootId {
        self.boot
    }

    pub(crate) fn max_used(&self) -> u64 {
        self.max_used
    }

    /// Starts anew: all but the disk is forgotten.
    pub(crate) fn restart(&mut self, boot: BootId) {
        self.boot = boot;
        self.term = Term(0);
        self.sequence = 0;
        self.slots.clear();
        self.in_memory = Tier::new(self.in_memory.limit);
        self.answered.clear();
    }

    pub(crate) fn set_leaving(&mut self, leaving: bool) {
        if self.leaving != leaving {
            self.leaving = leaving;
            self.sequence += 1;
        }
    }

    pub(crate) fn inventory(&self) -> Inventory {
        Inventory {
            boot: self.boot,
            term: self.term,
            sequence: self.sequence,
            memory: self.memory,
            artifacts: self.slots.iter().map(|slot| slot.held.clone()).collect(),
            in_memory: self.in_memory.artifacts(),
            on_disk: self.on_disk.artifacts(),
            leaving: self.leaving,
        }
    }

    /// Whether an order was answered before by this start.
    pub(crate) fn knows(&self, order: &Order) -> bool {
        order.boot == self.boot && self.answered.contains_key(&order.id)
    }

    /// Answers an order, and tells what it sets off.
    pub(crate) fn order(&mut self, order: &Order) -> (OrderAnswer, Vec<Effect>) {
        if order.boot != self.boot {
            return (OrderAnswer::OtherBoot { boot: self.boot }, Vec::new());
        }
        if let Some(answer) = self.answered.get(&order.id) {
            return (self.repeat(answer.as_ref()), Vec::new());
        }
        let result = self.carry_out(order);
        let refusal = result.as_ref().err().cloned();
        self.answered.insert(order.id, refusal);
        match result {
            Ok(effects) => (OrderAnswer::Accepted(self.inventory()), effects),
            Err(refusal) => (refusal, Vec::new()),
        }
    }

    fn repeat(&self, refusal: Option<&OrderAnswer>) -> OrderAnswer {
        match refusal {
            Some(refusal) => refusal.clone(),
            None => OrderAnswer::Accepted(self.inventory()),
        }
    }

    fn carry_out(&mut self, order: &Order) -> Result<Vec<Effect>, OrderAnswer> {
        if order.term < self.term {
            return Err(OrderAnswer::StaleTerm { highest: self.term });
        }
        if order.term > self.term {
            self.term = order.term;
            self.sequence += 1;
        }
        match &order.action {
            OrderAction::Seal => Ok(Vec::new()),
            OrderAction::Load {
                artifact,
                checkpoint,
                bytes,
            } => self.load(artifact, checkpoint, *bytes),
            OrderAction::Unload { artifact } => self.unload(artifact),
        }
    }

    fn load(
        &mut self,
        artifact: &ArtifactId,
        checkpoint: &str,
        bytes: u64,
    ) -> Result<Vec<Effect>, OrderAnswer> {
        if self.leaving {
            return Err(refused("the engine is leaving"));
        }
        match self.state(artifact) {
            Some(HeldState::Loading | HeldState::Ready) => return Ok(Vec::new()),
            Some(HeldState::Unloading) => return Err(refused("the artifact is being unloaded")),
            Some(HeldState::Failed) => self.forget(artifact),
            None => {}
        }
        if artifact.is_adapter() && self.state(&artifact.base()) != Some(HeldState::Ready) {
            return Err(refused("the base of the adapter is not loaded"));
        }
        let free = self.memory - self.used();
        if bytes > free {
            return Err(OrderAnswer::NoMemory { free });
        }
        let source = self.source(artifact);
        let number = self.hold(artifact, bytes, HeldState::Loading);
        Ok(vec![Effect::Begin(LoadJob {
            number,
            artifact: artifact.clone(),
            checkpoint: checkpoint.to_owned(),
            bytes,
            source,
        })])
    }

    fn unload(&mut self, artifact: &ArtifactId) -> Result<Vec<Effect>, OrderAnswer> {
        if self.adapters_on(artifact) {
            return Err(refused("an adapter is loaded on the artifact"));
        }
        let Some(slot) = self.slot(artifact) else {
            return Ok(Vec::new());
        };
        let load = slot.load;
        match slot.held.state {
            HeldState::Unloading => Ok(Vec::new()),
            HeldState::Failed => {
                self.forget(artifact);
                Ok(Vec::new())
            }
            HeldState::Loading => {
                self.forget(artifact);
                Ok(vec![Effect::GiveUp(load), Effect::Freed(load)])
            }
            HeldState::Ready => {
                slot.held.state = HeldState::Unloading;
                self.sequence += 1;
                Ok(self.free_if_idle(artifact))
            }
        }
    }

    /// Holds an artifact and returns the number of its load. The caller has checked the memory.
    pub(crate) fn hold(&mut self, artifact: &ArtifactId, bytes: u64, state: HeldState) -> u64 {
        let load = self.next_load;
        self.next_load += 1;
        self.slots.push(Slot {
            held: Held {
                artifact: artifact.clone(),
                bytes,
                state,
            },
            running: 0,
            load,
        });
        self.sequence += 1;
        self.max_used = self.max_used.max(self.used());
        load
    }

    /// Ends a load; false if it had been given up.
    pub(crate) fn end_load(&mut self, number: u64, succeeded: bool) -> bool {
        let loading =
            |slot: &&mut Slot| slot.load == number && slot.held.state == HeldState::Loading;
        let Some(slot) = self.slots.iter_mut().find(loading) else {
            return false;
        };
        let artifact = slot.held.artifact.clone();
        let bytes = slot.held.bytes;
        if succeeded {
            slot.held.state = HeldState::Ready;
            self.in_memory.put(&artifact, bytes);
            self.on_disk.put(&artifact, bytes);
        } else {
            slot.held.state = HeldState::Failed;
            slot.held.bytes = 0;
        }
        self.sequence += 1;
        true
    }

    /// Lets a request run on an artifact, or says why not.
    pub(crate) fn begin_request(&mut self, artifact: &ArtifactId) -> Result<(), &'static str> {
        match self.slot(artifact) {
            Some(slot) if slot.held.state == HeldState::Ready => {
                slot.running += 1;
                Ok(())
            }
            Some(_) => Err("the artifact is not ready"),
            None => Err("the artifact is not loaded"),
        }
    }

    /// Ends a request of a start.
    pub(crate) fn end_request(&mut self, boot: BootId, artifact: &ArtifactId) -> Vec<Effect> {
        if boot != self.boot {
            return Vec::new();
        }
        if let Some(slot) = self.slot(artifact) {
            slot.running -= 1;
        }
        self.free_if_idle(artifact)
    }

    /// What is ready.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &ArtifactId> {
        let ready = |slot: &&Slot| slot.held.state == HeldState::Ready;
        self.slots
            .iter()
            .filter(ready)
            .map(|slot| &slot.held.artifact)
    }

    fn free_if_idle(&mut self, artifact: &ArtifactId) -> Vec<Effect> {
        let idle = |slot: &&Slot| {
            slot.held.artifact == *artifact
                && slot.held.state == HeldState::Unloading
                && slot.running == 0
        };
        let Some(load) = self.slots.iter().find(idle).map(|slot| slot.load) else {
            return Vec::new();
        };
        self.forget(artifact);
        vec![Effect::Freed(load)]
    }

    fn forget(&mut self, artifact: &ArtifactId) {
        self.slots.retain(|slot| slot.held.artifact != *artifact);
        self.sequence += 1;
    }

    fn slot(&mut self, artifact: &ArtifactId) -> Option<&mut Slot> {
        self.slots
            .iter_mut()
            .find(|slot| slot.held.artifact == *artifact)
    }

    fn state(&self, artifact: &ArtifactId) -> Option<HeldState> {
        let slot = self
            .slots
            .iter()
            .find(|slot| slot.held.artifact == *artifact);
        slot.map(|slot| slot.held.state)
    }

    fn adapters_on(&self, artifact: &ArtifactId) -> bool {
        self.slots.iter().any(|slot| {
            let held = &slot.held;
            held.state != HeldState::Failed
                && held.artifact.is_adapter()
                && held.artifact.base() == *artifact
        })
    }

    fn used(&self) -> u64 {
        self.slots.iter().map(|slot| slot.held.bytes).sum()
    }

    fn source(&self, artifact: &ArtifactId) -> LoadSource {
        if self.in_memory.has(artifact) {
            LoadSource::Memory
        } else if self.on_disk.has(artifact) {
            LoadSource::Disk
        } else {
            LoadSource::WeightStore
        }
    }
}

fn refused(reason: &str) -> OrderAnswer {
    OrderAnswer::Refused {
        reason: reason.to_owned(),
    }
}
