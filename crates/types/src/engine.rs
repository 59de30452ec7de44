//! What flaxward and a runner's engine say to each other about loading.

use serde::{Deserialize, Serialize};

use crate::ids::{ArtifactId, BootId, OrderId, RunnerName, Term, ZoneName};

/// A fenced, idempotent order to a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Id; the same order sent again has no further effect and gets the same answer.
    pub id: OrderId,
    /// Fencing token: the term of the coordinator's lease. Refused if below the highest seen.
    pub term: Term,
    /// The start of the engine the order is meant for. Refused by any other, because a restarted
    /// engine has forgotten the highest term it saw.
    pub boot: BootId,
    /// What to do.
    pub action: OrderAction,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Raise the highest term seen, nothing else.
    Seal,
    /// Load an artifact; answered at once, done later, seen in the inventory.
    Load {
        /// What to load. An adapter needs its base loaded first.
        artifact: ArtifactId,
        /// Checkpoint in the weight store.
        checkpoint: String,
        /// Memory it takes, in bytes: weights and KV cache.
        bytes: u64,
    },
    /// Unload an artifact; requests running on it finish first.
    Unload {
        /// What to unload.
        artifact: ArtifactId,
    },
}

/// An engine's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// Accepted now or before, with the inventory after it.
    Accepted(Inventory),
    /// Refused: a higher term has been seen.
    StaleTerm {
        /// The highest term seen.
        highest: Term,
    },
    /// Refused: this is another start of the engine.
    OtherBoot {
        /// This start.
        boot: BootId,
    },
    /// Refused: it does not fit.
    NoMemory {
        /// Bytes free.
        free: u64,
    },
    /// Refused for another reason.
    Refused {
        /// The reason, for people.
        reason: String,
    },
}

/// Everything a runner holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The start of the engine.
    pub boot: BootId,
    /// The highest term seen.
    pub term: Term,
    /// Rises with every change of this inventory.
    pub sequence: u64,
    /// Accelerator memory in all, in bytes.
    pub memory: u64,
    /// What is loaded, loading or unloading.
    pub artifacts: Vec<Held>,
    /// Artifacts whose weights are in the machine's main memory.
    pub in_memory: Vec<ArtifactId>,
    /// Artifacts whose weights are on the machine's disk.
    pub on_disk: Vec<ArtifactId>,
    /// Whether the engine says it is leaving.
    pub leaving: bool,
}

/// Names one state of an inventory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InventoryVersion {
    /// The start of the engine.
    pub boot: BootId,
    /// The highest term seen.
    pub term: Term,
    /// Rises with every change.
    pub sequence: u64,
}

impl Inventory {
    /// What names this state of the inventory.
    pub fn version(&self) -> InventoryVersion {
        InventoryVersion {
            boot: self.boot,
            term: self.term,
            sequence: self.sequence,
        }
    }

    /// Accelerator memory taken by all that is held, in bytes.
    pub fn used(&self) -> u64 {
        self.artifacts.iter().map(|held| held.bytes).sum()
    }

    /// What is held of one artifact.
    pub fn held(&self, artifact: &ArtifactId) -> Option<&Held> {
        self.artifacts
            .iter()
            .find(|held| held.artifact == *artifact)
    }
}

/// One artifact on a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// What it is.
    pub artifact: ArtifactId,
    /// Memory it takes, in bytes.
    pub bytes: u64,
    /// How far it is.
    pub state: HeldState,
}

/// How far an artifact on a runner is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HeldState {
    /// Weights are on their way.
    Loading,
    /// It answers requests.
    Ready,
    /// Requests on it finish, then it goes.
    Unloading,
    /// The load failed; takes no memory and is forgotten at the next order for it.
    Failed,
}

/// Lagging report of a runner's load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests being decoded.
    pub running: u32,
    /// Requests waiting in the engine.
    pub waiting: u32,
    /// Tokens held in the KV cache.
    pub kv_tokens: u64,
    /// Age of the figures, in milliseconds.
    pub age_ms: u64,
    /// Whether the engine says it is leaving; not late, unlike the figures.
    #[serde(default)]
    pub leaving: bool,
}

/// One late cache event of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Rises by one with each event of the engine; a gap means that events were lost.
    pub sequence: u64,
    /// Digest of the prefix.
    pub prefix: u64,
    /// Whether the prefix was stored or dropped.
    pub stored: bool,
}

/// One machine as the machine list shows it, late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Its name, never reused.
    pub name: RunnerName,
    /// Its zone.
    pub zone: ZoneName,
    /// Address of its engine or service, `ip:port`.
    pub address: String,
    /// What runs on it.
    pub role: MachineRole,
    /// Whether it is on its way out.
    pub leaving: bool,
}

/// What runs on a machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineRole {
    /// A model engine.
    Engine,
    /// A plain service.
    Service(crate::ids::ServiceName),
}
