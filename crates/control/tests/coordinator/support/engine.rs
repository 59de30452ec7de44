//! A model engine: fence, boots, memory, load times, failures.

use std::collections::BTreeMap;

use flaxward_types::engine::{Held, HeldState, Inventory, Order, OrderAction, OrderAnswer};
use flaxward_types::{ArtifactId, BootId, OrderId, Term};

/// One start of one engine after the other.
pub struct Engine {
    pub boot: BootId,
    pub alive: bool,
    pub leaving: bool,
    /// Loads that will fail, of those to come.
    pub failing_loads: u32,
    pub memory: u64,
    pub held: BTreeMap<ArtifactId, Held>,
    pub on_disk: Vec<ArtifactId>,
    highest: Term,
    sequence: u64,
    answered: BTreeMap<OrderId, OrderAnswer>,
}

/// What an order sets going.
#[derive(Debug, PartialEq)]
pub enum Effect {
    None,
    Loading(ArtifactId, u64),
    Unloading(ArtifactId),
}

impl Engine {
    pub fn new(boot: BootId, memory: u64) -> Self {
        Self {
            boot,
            alive: true,
            leaving: false,
            failing_loads: 0,
            memory,
            held: BTreeMap::new(),
            on_disk: Vec::new(),
            highest: Term(0),
            sequence: 0,
            answered: BTreeMap::new(),
        }
    }

    /// A new start: all that was held and seen is forgotten, the disk is not.
    pub fn reboot(&mut self, boot: BootId) {
        *self = Self {
            on_disk: std::mem::take(&mut self.on_disk),
            leaving: self.leaving,
            ..Self::new(boot, self.memory)
        };
    }

    pub fn inventory(&self) -> Inventory {
        Inventory {
            boot: self.boot,
            term: self.highest,
            sequence: self.sequence,
            memory: self.memory,
            artifacts: self.held.values().cloned().collect(),
            in_memory: Vec::new(),
            on_disk: self.on_disk.clone(),
            leaving: self.leaving,
        }
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
        self.answered.insert(order.id, answer.clone());
        (answer, effect)
    }

    fn act(&mut self, action: &OrderAction) -> (OrderAnswer, Effect) {
        let effect = match action {
            OrderAction::Seal => Effect::None,
            OrderAction::Load {
                artifact, bytes, ..
            } => {
                let base = self.held.get(&artifact.base()).map(|held| held.state);
                if artifact.is_adapter() && base != Some(HeldState::Ready) {
                    return (refused("no base"), Effect::None);
                }
                if self
                    .state(artifact)
                    .is_some_and(|state| state != HeldState::Failed)
                {
                    return (refused("held already"), Effect::None);
                }
                if self.used() + bytes > self.memory {
                    let free = self.memory - self.used();
                    return (OrderAnswer::NoMemory { free }, Effect::None);
                }
                self.set(artifact, *bytes, HeldState::Loading);
                Effect::Loading(artifact.clone(), *bytes)
            }
            OrderAction::Unload { artifact } => {
                let has_adapters = self.held.values().any(|held| {
                    let on_base = held.artifact.is_adapter() && held.artifact.base() == *artifact;
                    on_base && held.state != HeldState::Failed
                });
                if has_adapters {
                    return (refused("has adapters"), Effect::None);
                }
                match self.held.get(artifact).cloned() {
                    Some(held) if held.state != HeldState::Failed => {
                        self.set(artifact, held.bytes, HeldState::Unloading);
                        Effect::Unloading(artifact.clone())
                    }
                    // A failed load is forgotten at the next order for it.
                    _ => {
                        self.sequence += 1;
                        self.held.remove(artifact);
                        Effect::None
                    }
                }
            }
        };
        (OrderAnswer::Accepted(self.inventory()), effect)
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

    pub fn used(&self) -> u64 {
        self.held.values().map(|held| held.bytes).sum()
    }

    /// The load of an artifact ends.
    pub fn finish_load(&mut self, artifact: &ArtifactId) {
        if self.state(artifact) != Some(HeldState::Loading) {
            return;
        }
        if self.failing_loads > 0 {
            self.failing_loads -= 1;
            self.set(artifact, 0, HeldState::Failed);
            return;
        }
        let bytes = self.held.get(artifact).map_or(0, |held| held.bytes);
        self.set(artifact, bytes, HeldState::Ready);
        if !self.on_disk.contains(artifact) {
            self.on_disk.push(artifact.clone());
        }
    }

    /// The unload of an artifact ends.
    pub fn finish_unload(&mut self, artifact: &ArtifactId) {
        if self.state(artifact) == Some(HeldState::Unloading) {
            self.sequence += 1;
            self.held.remove(artifact);
        }
    }
}

fn refused(reason: &str) -> OrderAnswer {
    OrderAnswer::Refused {
        reason: reason.to_owned(),
    }
}
