//! A model engine: fence, boots, memory, tiers, loads and answers.

use std::collections::BTreeMap;
use std::sync::Arc;

use flaxward_types::engine::{
    Held, HeldState, Inventory, LoadReport, Machine, Order, OrderAction, OrderAnswer,
};
use flaxward_types::{ArtifactId, AttemptId, BootId, OrderId, Term};

use crate::caller::CallerRequest;
use crate::process::ProcessId;
use crate::time::VirtualTime;

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

/// What an order sets going.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A load with this number.
    Load(u64, Source, u64),
    /// An unload of this load's memory, now or when its last request ends.
    Unload(u64),
}

/// One artifact in accelerator memory.
#[derive(Clone, Debug)]
struct Slot {
    held: Held,
    number: u64,
    running: u32,
}

/// One answer being made.
#[derive(Clone, Debug)]
pub struct Generation {
    /// Who asked.
    pub process: ProcessId,
    /// What was asked.
    pub request: Arc<CallerRequest>,
    /// On which artifact it runs.
    pub artifact: ArtifactId,
    /// Index of the next token.
    pub next: u64,
    /// Whether its answer gets lost.
    pub lost: bool,
}

/// Faults that tests put in.
#[derive(Clone, Debug, Default)]
pub struct EngineFaults {
    /// Loads that will fail, of those to come.
    pub failing_loads: u8,
    /// Loads that will never end, of those to come.
    pub stuck_loads: u8,
    /// Until when nobody reaches the engine.
    pub cut_until: VirtualTime,
    /// Until when frames are lost, doubled and swapped.
    pub garbled_until: VirtualTime,
    /// Until when streams make no progress.
    pub hung_until: VirtualTime,
}

/// One machine's engine, one start after the other.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The machine.
    pub machine: Machine,
    /// The present start.
    pub boot: BootId,
    /// Whether the engine runs.
    pub alive: bool,
    /// Whether the machine is gone for good.
    pub gone: bool,
    /// Whether the engine says that it is leaving.
    pub leaving: bool,
    /// Whether it refuses new requests as well while it is leaving.
    pub refuses: bool,
    /// Accelerator memory, in bytes.
    pub memory: u64,
    /// Faults.
    pub faults: EngineFaults,
    /// Answers being made.
    pub generations: BTreeMap<AttemptId, Generation>,
    /// The highest term seen.
    pub term: Term,
    sequence: u64,
    slots: BTreeMap<ArtifactId, Slot>,
    on_disk: Vec<ArtifactId>,
    in_memory: Vec<ArtifactId>,
    answered: BTreeMap<OrderId, OrderAnswer>,
    loads: u64,
}

impl Engine {
    /// An engine that has just started.
    pub fn new(machine: Machine, boot: BootId, memory: u64) -> Self {
        Self {
            machine,
            boot,
            alive: true,
            gone: false,
            leaving: false,
            refuses: false,
            memory,
            faults: EngineFaults::default(),
            generations: BTreeMap::new(),
            term: Term(0),
            sequence: 0,
            slots: BTreeMap::new(),
            on_disk: Vec::new(),
            in_memory: Vec::new(),
            answered: BTreeMap::new(),
            loads: 0,
        }
    }

    /// Starts anew: all but the disk is forgotten. Returns the answers that broke off.
    pub fn restart(&mut self, boot: BootId) -> BTreeMap<AttemptId, Generation> {
        let former = std::mem::replace(self, Self::new(self.machine.clone(), boot, self.memory));
        self.on_disk = former.on_disk;
        self.leaving = former.leaving;
        self.refuses = former.refuses;
        self.gone = former.gone;
        self.faults = former.faults;
        self.loads = former.loads;
        former.generations
    }

    /// Loads begun, over all its starts.
    pub fn loads(&self) -> u64 {
        self.loads
    }

    /// What it holds.
    pub fn held(&self) -> impl Iterator<Item = &Held> {
        self.slots.values().map(|slot| &slot.held)
    }

    /// Bytes that are taken.
    pub fn used(&self) -> u64 {
        self.held().map(|held| held.bytes).sum()
    }

    /// Marks it as leaving or not.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
        self.sequence += 1;
    }

    /// Everything it holds, as it tells.
    pub fn inventory(&self) -> Inventory {
        Inventory {
            boot: self.boot,
            term: self.term,
            sequence: self.sequence,
            memory: self.memory,
            artifacts: self.held().cloned().collect(),
            in_memory: self.in_memory.clone(),
            on_disk: self.on_disk.clone(),
            leaving: self.leaving,
        }
    }

    /// Its load.
    pub fn load_report(&self) -> LoadReport {
        let running = u32::try_from(self.generations.len()).unwrap_or(u32::MAX);
        LoadReport {
            running,
            leaving: self.leaving,
            ..LoadReport::default()
        }
    }

    /// Answers an order and says what it sets going.
    pub fn order(&mut self, order: &Order) -> (OrderAnswer, Option<Effect>) {
        if order.boot != self.boot {
            return (OrderAnswer::OtherBoot { boot: self.boot }, None);
        }
        match self.answered.get(&order.id) {
            Some(OrderAnswer::Accepted(_)) => {
                return (OrderAnswer::Accepted(self.inventory()), None);
            }
            Some(refusal) => return (refusal.clone(), None),
            None => {}
        }
        let (answer, effect) = match self.carry_out(order) {
            Ok(effect) => (OrderAnswer::Accepted(self.inventory()), effect),
            Err(refusal) => (refusal, None),
        };
        self.answered.insert(order.id, answer.clone());
        (answer, effect)
    }

    fn carry_out(&mut self, order: &Order) -> Result<Option<Effect>, OrderAnswer> {
        if order.term < self.term {
            return Err(OrderAnswer::StaleTerm { highest: self.term });
        }
        if order.term > self.term {
            self.term = order.term;
            self.sequence += 1;
        }
        match &order.action {
            OrderAction::Seal => Ok(None),
            OrderAction::Load {
                artifact, bytes, ..
            } => self.load(artifact, *bytes),
            OrderAction::Unload { artifact } => self.unload(artifact),
        }
    }

    fn load(&mut self, artifact: &ArtifactId, bytes: u64) -> Result<Option<Effect>, OrderAnswer> {
        if self.leaving {
            return Err(refused("the engine is leaving"));
        }
        match self.state(artifact) {
            Some(HeldState::Loading | HeldState::Ready) => return Ok(None),
            Some(HeldState::Unloading) => return Err(refused("it is being unloaded")),
            Some(HeldState::Failed) | None => {}
        }
        if artifact.is_adapter() && self.state(&artifact.base()) != Some(HeldState::Ready) {
            return Err(refused("the base of the adapter is not loaded"));
        }
        let free = self.memory - self.used();
        if bytes > free {
            return Err(OrderAnswer::NoMemory { free });
        }
        let source = if self.in_memory.contains(artifact) {
            Source::Memory
        } else if self.on_disk.contains(artifact) {
            Source::Disk
        } else {
            Source::WeightStore
        };
        self.loads += 1;
        self.sequence += 1;
        let held = Held {
            artifact: artifact.clone(),
            bytes,
            state: HeldState::Loading,
        };
        let slot = Slot {
            held,
            number: self.loads,
            running: 0,
        };
        self.slots.insert(artifact.clone(), slot);
        Ok(Some(Effect::Load(self.loads, source, bytes)))
    }

    fn unload(&mut self, artifact: &ArtifactId) -> Result<Option<Effect>, OrderAnswer> {
        let has_adapter = self.held().any(|held| {
            let is_on_it = held.artifact.is_adapter() && held.artifact.base() == *artifact;
            is_on_it && held.state != HeldState::Failed
        });
        if has_adapter && !artifact.is_adapter() {
            return Err(refused("an adapter is loaded on it"));
        }
        let Some(slot) = self.slots.get_mut(artifact) else {
            return Ok(None);
        };
        self.sequence += 1;
        let number = slot.number;
        match slot.held.state {
            HeldState::Unloading => Ok(None),
            HeldState::Failed | HeldState::Loading => {
                self.slots.remove(artifact);
                Ok(None)
            }
            HeldState::Ready => {
                slot.held.state = HeldState::Unloading;
                Ok(Some(Effect::Unload(number)))
            }
        }
    }

    /// Ends a load, unless it was given up.
    pub fn end_load(&mut self, number: u64, succeeded: bool) {
        let loading =
            |slot: &&mut Slot| slot.number == number && slot.held.state == HeldState::Loading;
        let Some(slot) = self.slots.values_mut().find(loading) else {
            return;
        };
        self.sequence += 1;
        if !succeeded {
            slot.held.state = HeldState::Failed;
            slot.held.bytes = 0;
            return;
        }
        slot.held.state = HeldState::Ready;
        let artifact = slot.held.artifact.clone();
        for tier in [&mut self.on_disk, &mut self.in_memory] {
            if !tier.contains(&artifact) {
                tier.push(artifact.clone());
            }
        }
    }

    /// Ends an unload, unless requests still run there. Returns whether it has ended.
    pub fn end_unload(&mut self, number: u64) -> bool {
        let before = self.slots.len();
        self.slots.retain(|_, slot| {
            let is_idle = slot.held.state == HeldState::Unloading && slot.running == 0;
            slot.number != number || !is_idle
        });
        let has_ended = self.slots.len() < before;
        self.sequence += u64::from(has_ended);
        has_ended
    }

    /// Begins to answer a request. `None`: it refuses before running.
    pub fn begin(&mut self, attempt: AttemptId, generation: Generation) -> Option<()> {
        let refuses = self.leaving && self.refuses;
        let slot = self.slots.get_mut(&generation.artifact)?;
        if refuses || slot.held.state != HeldState::Ready {
            return None;
        }
        slot.running += 1;
        self.generations.insert(attempt, generation);
        Some(())
    }

    /// Ends an answer. Returns the unload that can end now.
    pub fn end(&mut self, attempt: AttemptId) -> Option<u64> {
        let generation = self.generations.remove(&attempt)?;
        let slot = self.slots.get_mut(&generation.artifact)?;
        slot.running -= 1;
        (slot.held.state == HeldState::Unloading).then_some(slot.number)
    }

    fn state(&self, artifact: &ArtifactId) -> Option<HeldState> {
        self.slots.get(artifact).map(|slot| slot.held.state)
    }
}

fn refused(reason: &str) -> OrderAnswer {
    OrderAnswer::Refused {
        reason: reason.to_owned(),
    }
}
