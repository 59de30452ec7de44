//! Rows of the tables. Their fields match those of [`flaxward_query::Table`], which a test
//! verifies. Daemons exchange rows as JSON.

use serde::{Deserialize, Serialize};

/// State of a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelState {
    /// No replicas and no waiting requests.
    #[default]
    Idle,
    /// At least one replica accepts requests.
    Ready,
    /// A replica is loading.
    Loading,
    /// Requests are waiting and no load has started.
    Waiting,
    /// Loads are failing.
    Failing,
}

/// State of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// Weights are being loaded.
    #[default]
    Loading,
    /// Serving requests.
    Ready,
    /// Finishing its requests before it is unloaded.
    Unloading,
    /// The load failed.
    Failed,
}

/// State of a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunnerState {
    /// Accepting requests.
    #[default]
    Ready,
    /// Being taken out of service.
    Leaving,
    /// Drained by an operator.
    Drained,
    /// Not responding.
    Unreachable,
}

/// Liveness of a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DaemonState {
    /// Responding.
    #[default]
    Alive,
    /// Did not respond to recent probes.
    Suspect,
    /// Stopped as planned.
    Left,
    /// Not responding.
    Dead,
}

/// State of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// Waiting to run.
    #[default]
    Waiting,
    /// Running.
    Running,
}

/// One model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelRow {
    /// Its name.
    pub name: String,
    /// Its state.
    pub state: ModelState,
    /// Version that serves requests without an explicit version.
    pub serving: String,
    /// Ready replicas.
    pub ready: u32,
    /// Loading replicas.
    pub loading: u32,
    /// Minimum number of loaded replicas.
    pub at_least: u32,
    /// Maximum number of replicas.
    pub at_most: u32,
    /// Zones allowed to hold replicas, comma-separated; empty means all.
    pub zones: String,
    /// Waiting requests.
    pub waiting: u32,
    /// Running requests.
    pub running: u32,
    /// Its priority.
    pub priority: u8,
    /// Maximum number of waiting requests per daemon.
    pub queue_limit: u32,
    /// Version of the object.
    pub version: u64,
}

/// One replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// Its model.
    pub model: String,
    /// Its adapter, if any.
    pub adapter: Option<String>,
    /// Version of the model.
    pub release: String,
    /// Its zone.
    pub zone: String,
    /// Its machine.
    pub runner: String,
    /// Its state.
    pub state: ReplicaState,
    /// Memory used, in bytes.
    pub memory: u64,
    /// Outstanding requests.
    pub outstanding: u32,
}

/// One machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerRow {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its address.
    pub address: String,
    /// The service it runs; none for a model engine.
    pub service: Option<String>,
    /// Its state.
    pub state: RunnerState,
    /// Accelerator memory, in bytes.
    pub memory: u64,
    /// Accelerator memory used, in bytes.
    pub used: u64,
    /// Replicas it holds.
    pub replicas: u32,
    /// Running requests.
    pub running: u32,
    /// Requests waiting in its engine.
    pub waiting: u32,
}

/// One daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRow {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its peer address.
    pub address: String,
    /// Its liveness.
    pub state: DaemonState,
    /// Whether it coordinates its zone.
    pub coordinator: bool,
    /// Requests in progress.
    pub requests: u32,
    /// Configuration revision in force.
    pub revision: u64,
}

/// One waiting or running request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRow {
    /// Its id.
    pub id: String,
    /// Its target: `model[:adapter]@version` or a service.
    pub model: String,
    /// Daemon that holds it.
    pub daemon: String,
    /// Zone of the daemon.
    pub zone: String,
    /// Its state.
    pub state: RequestState,
    /// Machine it runs on.
    pub runner: Option<String>,
    /// Its priority.
    pub priority: u8,
    /// Time since arrival, in milliseconds.
    pub age: u64,
    /// Time to its deadline, in milliseconds.
    pub time_left: u64,
}

/// One zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRow {
    /// Its name.
    pub name: String,
    /// Daemon that coordinates it.
    pub coordinator: Option<String>,
    /// Term of the coordinator.
    pub term: u64,
    /// Live daemons.
    pub daemons: u32,
    /// Machines with a model engine.
    pub runners: u32,
    /// Accelerator memory, in bytes.
    pub memory: u64,
    /// Accelerator memory used, in bytes.
    pub used: u64,
}

/// One adapter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterRow {
    /// Its model.
    pub model: String,
    /// Its name.
    pub name: String,
    /// Checkpoint in the weight store.
    pub checkpoint: String,
    /// Accelerator memory, in bytes.
    pub weights: u64,
    /// Maximum number of replicas.
    pub at_most: u32,
    /// Ready replicas.
    pub ready: u32,
    /// Version of the object.
    pub version: u64,
}

/// One version of a model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRow {
    /// Its model.
    pub model: String,
    /// Its name.
    pub name: String,
    /// Checkpoint in the weight store.
    pub checkpoint: String,
    /// Accelerator memory of the weights, in bytes.
    pub weights: u64,
    /// Accelerator memory for the KV cache, in bytes.
    pub kv: u64,
    /// Whether this is the model's serving version.
    pub serving: bool,
    /// Ready replicas.
    pub ready: u32,
    /// Version of the object.
    pub version: u64,
}

/// One service without a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// Its name.
    pub name: String,
    /// Maximum number of requests in progress per machine.
    pub concurrency: u32,
    /// Machines accepting requests.
    pub machines: u32,
    /// Running requests.
    pub running: u32,
    /// Version of the object.
    pub version: u64,
}

/// The quota of one subject in one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRow {
    /// Subject of the quota: `model`, `model:adapter` or `weight-store`.
    pub subject: String,
    /// The zone.
    pub zone: String,
    /// Units granted to the zone.
    pub units: u32,
    /// Units requested by the zone.
    pub wanted: u32,
    /// Total units across all zones.
    pub limit: u32,
    /// Version of the object.
    pub version: u64,
}

/// One machine that operators have drained.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRow {
    /// Its name.
    pub name: String,
    /// Reason for the drain.
    pub reason: String,
    /// Version of the object.
    pub version: u64,
}

/// The policy in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicyRow {
    /// Weight of tail cold-start time against idle accelerator hours.
    pub cold_start_weight: f64,
    /// Maximum number of concurrent loads from the weight store.
    pub weight_store_parallel: u32,
    /// Maximum rate of loads started from the weight store, per second.
    pub weight_store_per_second: f64,
    /// Minimum time that an idle replica stays loaded, in milliseconds.
    pub keep_alive_min: u64,
    /// Maximum time that an idle replica stays loaded, in milliseconds.
    pub keep_alive_max: u64,
    /// Version of the object; 0 if it has never been changed.
    pub version: u64,
}

/// The revision in force at one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRow {
    /// The daemon.
    pub daemon: String,
    /// Its zone.
    pub zone: String,
    /// The revision.
    pub revision: u64,
}

/// One recorded decision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionRow {
    /// Time since the decision, in milliseconds.
    pub age: u64,
    /// Zone of the deciding daemon.
    pub zone: String,
    /// Deciding daemon.
    pub daemon: String,
    /// Artifact concerned.
    pub artifact: String,
    /// Machine concerned.
    pub runner: Option<String>,
    /// The decision.
    pub decision: String,
    /// Reason for the decision.
    pub reason: String,
}
