//! What an engine stand-in really did: the evidence that promises are checked against.

use flaxward_types::engine::{Order, OrderAnswer};
use flaxward_types::{ArtifactId, AttemptId, BootId};
use serde::{Deserialize, Serialize};

/// What an engine stand-in really did, over all its starts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRecord {
    /// Accelerator memory, in bytes.
    pub memory: u64,
    /// Most memory taken at any time, in bytes.
    pub max_used: u64,
    /// Most requests decoded at one time.
    pub max_batch: u32,
    /// Every order that reached it, in order.
    pub orders: Vec<OrderRecord>,
    /// Every load, in the order of their beginnings.
    pub loads: Vec<LoadRecord>,
    /// Requests that were accepted, in order; the newest if there are too many.
    pub requests: Vec<RequestRecord>,
    /// Requests that were accepted, counted.
    pub requests_accepted: u64,
    /// Requests that were refused before running.
    pub refusals: Vec<RefusalRecord>,
    /// Requests that were refused before running, counted.
    pub requests_refused: u64,
}

/// One order that reached the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Wall-clock milliseconds.
    pub at_unix_ms: u64,
    /// The order.
    pub order: Order,
    /// The answer to it.
    pub answer: OrderAnswer,
    /// Whether it had been answered before, so that it had no effect now.
    pub repeated: bool,
    /// Whether the answer was lost on purpose.
    pub answer_lost: bool,
}

/// Where weights were loaded from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadSource {
    /// Loaded from the start.
    Start,
    /// The machine's main memory.
    Memory,
    /// The machine's disk.
    Disk,
    /// The weight store.
    WeightStore,
}

/// What became of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadOutcome {
    /// It runs.
    Running,
    /// It is done.
    Ready,
    /// It failed.
    Failed,
    /// It was given up because of an unload or a crash.
    GivenUp,
}

/// One load, from the order to the moment its memory was free again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRecord {
    /// What was loaded.
    pub artifact: ArtifactId,
    /// The start of the engine.
    pub boot: BootId,
    /// Memory taken, in bytes.
    pub bytes: u64,
    /// Where from.
    pub source: LoadSource,
    /// Wall-clock milliseconds of its beginning.
    pub begun_unix_ms: u64,
    /// Wall-clock milliseconds of its end.
    pub ended_unix_ms: Option<u64>,
    /// Wall-clock milliseconds at which its memory was free again.
    pub freed_unix_ms: Option<u64>,
    /// What became of it.
    pub outcome: LoadOutcome,
}

/// What became of a request that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// It waits or runs.
    Running,
    /// Its answer was sent to the end.
    Finished,
    /// It was cancelled by order.
    Cancelled,
    /// Its client went away.
    Abandoned,
    /// Its answer was broken, truncated or lost on purpose.
    Broken,
    /// The engine crashed under it.
    Crashed,
}

/// One request that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Number among all accepted requests, from 0.
    pub number: u64,
    /// The attempt.
    pub attempt: AttemptId,
    /// Header `x-request-id`.
    pub request_id: Option<String>,
    /// The start of the engine.
    pub boot: BootId,
    /// What it asks.
    pub artifact: ArtifactId,
    /// Digest of the prompt.
    pub prompt_digest: String,
    /// Its priority.
    pub priority: u8,
    /// Index of its first token; above 0 if it resumes another attempt.
    pub first_token: u32,
    /// Whether an imported KV cache spared it the prefill.
    pub cache_imported: bool,
    /// Tokens decoded.
    pub tokens: u32,
    /// Wall-clock milliseconds of its beginning.
    pub begun_unix_ms: u64,
    /// Wall-clock milliseconds of its end.
    pub ended_unix_ms: Option<u64>,
    /// Milliseconds since the engine said that it was leaving, if it was.
    pub after_leaving_ms: Option<u64>,
    /// What became of it.
    pub outcome: RequestOutcome,
}

/// One request that was refused before running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalRecord {
    /// Wall-clock milliseconds.
    pub at_unix_ms: u64,
    /// The attempt.
    pub attempt: AttemptId,
    /// Header `x-request-id`.
    pub request_id: Option<String>,
    /// What it asked for.
    pub artifact: ArtifactId,
    /// Why.
    pub reason: String,
    /// Milliseconds since the engine said that it was leaving, if it was.
    pub after_leaving_ms: Option<u64>,
}
