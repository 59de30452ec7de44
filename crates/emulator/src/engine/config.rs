//! How an engine stand-in is made.

use std::net::SocketAddr;

use flaxward_types::{ArtifactId, RunnerName, ZoneName};
use serde::{Deserialize, Serialize};

/// How an engine stand-in is made.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineConfig {
    /// Its machine.
    pub name: RunnerName,
    /// Its zone.
    pub zone: ZoneName,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Accelerator memory, in bytes.
    pub memory: u64,
    /// Main memory for weights, in bytes.
    pub memory_tier: u64,
    /// Disk for weights, in bytes.
    pub disk_tier: u64,
    /// Base URL of the weight store; loads from it take no time if there is none.
    pub weight_store: Option<String>,
    /// Times.
    pub timing: EngineTiming,
    /// Requests decoded at one time; others wait by priority. 0 means no limit.
    pub batch: u32,
    /// Prompt tokens kept in the prefix cache.
    pub prefix_cache_tokens: u64,
    /// Requests kept in the record; older ones are only counted.
    pub record_limit: usize,
    /// What is loaded from the start.
    pub loaded: Vec<LoadedAtStart>,
    /// Seed of its randomness.
    pub seed: u64,
}

impl Default for EngineConfig {
    fn default() -> Self {
        const GIBIBYTE: u64 = 1 << 30;
        Self {
            name: RunnerName::literal("engine"),
            zone: ZoneName::literal("zone"),
            listen: crate::platform::ANY_PORT,
            memory: 80 * GIBIBYTE,
            memory_tier: 160 * GIBIBYTE,
            disk_tier: 1000 * GIBIBYTE,
            weight_store: None,
            timing: EngineTiming::default(),
            batch: 0,
            prefix_cache_tokens: 0,
            record_limit: 100_000,
            loaded: Vec::new(),
            seed: 1,
        }
    }
}

/// Something loaded from the start.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadedAtStart {
    /// What.
    pub artifact: ArtifactId,
    /// Memory it takes, in bytes.
    pub bytes: u64,
}

/// Times of an engine stand-in; zero means that no time passes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineTiming {
    /// Speed of loads from main memory, in bytes a second.
    pub memory_bytes_per_second: u64,
    /// Speed of loads from disk, in bytes a second.
    pub disk_bytes_per_second: u64,
    /// Time of every load besides, in milliseconds.
    pub load_ms: u64,
    /// Prefill of a thousand prompt tokens, in microseconds.
    pub prefill_us_per_thousand: u64,
    /// Decoding of one token of a request that is alone, in microseconds.
    pub decode_us: u64,
    /// Share by which each further request of the batch slows decoding down.
    pub batch_slowdown: f64,
    /// Age of load reports, in milliseconds.
    pub load_report_lag_ms: u64,
    /// Age at which cache events are published, in milliseconds.
    pub event_lag_ms: u64,
}
