//! Runners as the planner knows them, and which one is ready first.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_types::engine::{HeldState, Inventory, Machine};
use flaxward_types::{ArtifactId, RunnerName, Timestamp};

use crate::simulation::Source;

/// Time that unloading something idle is taken to cost.
const UNLOAD_COST: Duration = Duration::from_secs(1);

/// A load that is decided and not done.
#[derive(Clone, Debug)]
pub struct PlannedLoad {
    /// Accelerator memory it takes, in bytes.
    pub bytes: u64,
    /// Where the weights come from.
    pub source: Source,
    /// When it was decided.
    pub decided: Timestamp,
    /// Whether the order is sent.
    pub ordered: bool,
    /// Time from the order to ready expected.
    pub expected: Duration,
    /// When the order was sent, or when it was decided.
    pub started: Timestamp,
}

/// A runner as the planner knows it.
#[derive(Clone, Debug)]
pub struct KnownRunner {
    /// The machine.
    pub machine: Machine,
    /// What it held when last read.
    pub inventory: Option<Inventory>,
    /// Loads decided.
    pub loads: BTreeMap<ArtifactId, PlannedLoad>,
    /// Unloads ordered and not seen done.
    pub unloads: BTreeMap<ArtifactId, Timestamp>,
}

impl KnownRunner {
    /// How far an artifact is, if the runner holds it.
    pub fn state(&self, artifact: &ArtifactId) -> Option<HeldState> {
        Some(self.inventory.as_ref()?.held(artifact)?.state)
    }

    /// Whether requests for an artifact can be sent there.
    pub fn serves(&self, artifact: &ArtifactId) -> bool {
        !self.machine.leaving
            && !self.unloads.contains_key(artifact)
            && self.state(artifact) == Some(HeldState::Ready)
    }

    /// The artifacts that it serves.
    pub fn serving(&self) -> impl Iterator<Item = &ArtifactId> {
        let held = self
            .inventory
            .iter()
            .flat_map(|inventory| &inventory.artifacts);
        held.map(|held| &held.artifact)
            .filter(|artifact| self.serves(artifact))
    }

    /// Whether an artifact is there, or on its way there, and stays.
    pub fn has(&self, artifact: &ArtifactId) -> bool {
        let held = matches!(
            self.state(artifact),
            Some(HeldState::Ready | HeldState::Loading)
        );
        !self.machine.leaving
            && !self.unloads.contains_key(artifact)
            && (held || self.loads.contains_key(artifact))
    }

    /// Bytes held, and those of loads that are not seen there; of all loads or of ordered ones.
    pub fn taken(&self, ordered_only: bool) -> u64 {
        let held = self.inventory.as_ref().map_or(0, Inventory::used);
        let unseen: u64 = self
            .loads
            .iter()
            .filter(|(artifact, load)| {
                self.state(artifact).is_none() && (load.ordered || !ordered_only)
            })
            .map(|(_, load)| load.bytes)
            .sum();
        held + unseen
    }

    /// Accelerator memory in all, in bytes.
    pub fn memory(&self) -> u64 {
        self.inventory
            .as_ref()
            .map_or(0, |inventory| inventory.memory)
    }

    /// Where the weights of an artifact would come from.
    pub fn source(&self, artifact: &ArtifactId) -> Source {
        let Some(inventory) = &self.inventory else {
            return Source::WeightStore;
        };
        if inventory.in_memory.contains(artifact) {
            Source::Memory
        } else if inventory.on_disk.contains(artifact) {
            Source::Disk
        } else {
            Source::WeightStore
        }
    }

    /// Bytes that would be free if all that may go were unloaded.
    pub fn free_after(&self, may_go: impl Fn(&ArtifactId) -> bool) -> u64 {
        let idle: u64 = self
            .going_first(may_go)
            .iter()
            .map(|(_, bytes)| bytes)
            .sum();
        (self.memory() + idle).saturating_sub(self.taken(false))
    }

    /// What may go, adapters before their bases, with its bytes.
    pub fn going_first(&self, may_go: impl Fn(&ArtifactId) -> bool) -> Vec<(ArtifactId, u64)> {
        let Some(inventory) = &self.inventory else {
            return Vec::new();
        };
        let stays = |artifact: &ArtifactId| {
            self.state(artifact) != Some(HeldState::Ready)
                || self.unloads.contains_key(artifact)
                || !may_go(artifact)
        };
        let carries = |base: &ArtifactId| {
            let adapters = inventory.artifacts.iter().map(|held| &held.artifact);
            let coming = self.loads.keys();
            adapters
                .chain(coming)
                .any(|adapter| adapter != base && adapter.base() == *base && stays(adapter))
        };
        let mut going: Vec<(ArtifactId, u64)> = inventory
            .artifacts
            .iter()
            .filter(|held| !stays(&held.artifact))
            .filter(|held| held.artifact.is_adapter() || !carries(&held.artifact))
            .map(|held| (held.artifact.clone(), held.bytes))
            .collect();
        going.sort_by_key(|(artifact, _)| !artifact.is_adapter());
        going
    }
}

/// Where to load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The runner.
    pub runner: RunnerName,
    /// Where the weights come from.
    pub source: Source,
    /// Time to ready expected.
    pub expected: Duration,
}

/// The runner on which an artifact should be ready first.
pub fn choose(
    runners: &BTreeMap<RunnerName, KnownRunner>,
    artifact: &ArtifactId,
    bytes: u64,
    load_time: impl Fn(Source) -> Duration,
    may_go: impl Fn(&ArtifactId) -> bool,
) -> Option<Choice> {
    let mut best: Option<Choice> = None;
    for (name, runner) in runners {
        let present = runner.state(artifact).is_some() || runner.loads.contains_key(artifact);
        let has_base = !artifact.is_adapter() || runner.has(&artifact.base());
        if runner.machine.leaving || present || !has_base {
            continue;
        }
        let base = artifact.base();
        if runner.free_after(|other| *other != base && may_go(other)) < bytes {
            continue;
        }
        let source = runner.source(artifact);
        let mut expected = load_time(source);
        if runner.taken(false) + bytes > runner.memory() {
            expected += UNLOAD_COST;
        }
        if best.as_ref().is_none_or(|best| expected < best.expected) {
            best = Some(Choice {
                runner: name.clone(),
                source,
                expected,
            });
        }
    }
    best
}
