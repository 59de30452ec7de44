//! A simulated model engine: fencing by term and boot, memory, loads and their failures.

use std::collections::BTreeMap;

use flaxward_types::engine::{Held, HeldState, Inventory, Order, OrderAction, OrderAnswer};
use flaxward_types::{ArtifactId, BootId, OrderId, Term};

/// An engine process; a reboot replaces its state.
pub struct Engine {
    pub boot: BootId,
    pub is_running: bool,
    pub leaving: bool,
    /// Number of subsequent loads that will fail.
    pub failing_loads: u32,
    pub memory: u64,
    pub entries: BTreeMap<ArtifactId, Held>,
    pub on_disk: Vec<ArtifactId>,
    highest_term: Term,
    sequence: u64,
    answers: BTreeMap<OrderId, OrderAnswer>,
}

/// The asynchronous operation that an order starts.
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
            is_running: true,
            leaving: false,
            failing_loads: 0,
            memory,
            entries: BTreeMap::new(),
            on_disk: Vec::new(),
            highest_term: Term(0),
            sequence: 0,
            answers: BTreeMap::new(),
        }
    }

    /// Restarts the engine: everything except the disk contents is lost.
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
            term: self.highest_term,
            sequence: self.sequence,
            memory: self.memory,
            artifacts: self.entries.values().cloned().collect(),
            in_memory: Vec::new(),
            on_disk: self.on_disk.clone(),
            leaving: self.leaving,
        }
    }

    /// Answers an order and returns the operation that it starts.
    pub fn handle_order(&mut self, order: &Order) -> (OrderAnswer, Effect) {
        if order.boot != self.boot {
            return (OrderAnswer::OtherBoot { boot: self.boot }, Effect::None);
        }
        if order.term < self.highest_term {
            let highest = self.highest_term;
            return (OrderAnswer::StaleTerm { highest }, Effect::None);
        }
        self.highest_term = order.term;
        if let Some(answer) = self.answers.get(&order.id) {
            let answer = match answer {
                OrderAnswer::Accepted(_) => OrderAnswer::Accepted(self.inventory()),
                other => other.clone(),
            };
            return (answer, Effect::None);
        }
        let (answer, effect) = self.apply(&order.action);
        self.answers.insert(order.id, answer.clone());
        (answer, effect)
    }

    fn apply(&mut self, action: &OrderAction) -> (OrderAnswer, Effect) {
        let effect = match action {
            OrderAction::Seal => Effect::None,
            OrderAction::Load {
                artifact, bytes, ..
            } => {
                let base = self.entries.get(&artifact.base()).map(|entry| entry.state);
                if artifact.is_adapter() && base != Some(HeldState::Ready) {
                    return (refused("base model not ready"), Effect::None);
                }
                if self
                    .state(artifact)
                    .is_some_and(|state| state != HeldState::Failed)
                {
                    return (refused("already loaded"), Effect::None);
                }
                if self.used_memory() + bytes > self.memory {
                    let free = self.memory - self.used_memory();
                    return (OrderAnswer::NoMemory { free }, Effect::None);
                }
                self.set_state(artifact, *bytes, HeldState::Loading);
                Effect::Loading(artifact.clone(), *bytes)
            }
            OrderAction::Unload { artifact } => {
                let has_adapters = self.entries.values().any(|entry| {
                    let on_base = entry.artifact.is_adapter() && entry.artifact.base() == *artifact;
                    on_base && entry.state != HeldState::Failed
                });
                if has_adapters {
                    return (refused("has adapters"), Effect::None);
                }
                match self.entries.get(artifact).cloned() {
                    Some(entry) if entry.state != HeldState::Failed => {
                        self.set_state(artifact, entry.bytes, HeldState::Unloading);
                        Effect::Unloading(artifact.clone())
                    }
                    // The entry of a failed load is removed by the next order for it.
                    _ => {
                        self.sequence += 1;
                        self.entries.remove(artifact);
                        Effect::None
                    }
                }
            }
        };
        (OrderAnswer::Accepted(self.inventory()), effect)
    }

    fn state(&self, artifact: &ArtifactId) -> Option<HeldState> {
        self.entries.get(artifact).map(|entry| entry.state)
    }

    fn set_state(&mut self, artifact: &ArtifactId, bytes: u64, state: HeldState) {
        self.sequence += 1;
        let entry = Held {
            artifact: artifact.clone(),
            bytes,
            state,
        };
        self.entries.insert(artifact.clone(), entry);
    }

    pub fn used_memory(&self) -> u64 {
        self.entries.values().map(|entry| entry.bytes).sum()
    }

    /// Completes the load of an artifact.
    pub fn finish_load(&mut self, artifact: &ArtifactId) {
        if self.state(artifact) != Some(HeldState::Loading) {
            return;
        }
        if self.failing_loads > 0 {
            self.failing_loads -= 1;
            self.set_state(artifact, 0, HeldState::Failed);
            return;
        }
        let bytes = self.entries.get(artifact).map_or(0, |entry| entry.bytes);
        self.set_state(artifact, bytes, HeldState::Ready);
        if !self.on_disk.contains(artifact) {
            self.on_disk.push(artifact.clone());
        }
    }

    /// Completes the unload of an artifact.
    pub fn finish_unload(&mut self, artifact: &ArtifactId) {
        if self.state(artifact) == Some(HeldState::Unloading) {
            self.sequence += 1;
            self.entries.remove(artifact);
        }
    }
}

fn refused(reason: &str) -> OrderAnswer {
    OrderAnswer::Refused {
        reason: reason.to_owned(),
    }
}
