//! Rows of the tables. Their fields are those of [`flaxward_query::Table`]; a test holds the two
//! together. Rows travel between daemons as JSON.

use serde::{Deserialize, Serialize};

/// How a model stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelState {
    /// No replica, and nobody waits.
    #[default]
    Idle,
    /// A replica takes work.
    Ready,
    /// A replica loads.
    Loading,
    /// Requests wait and nothing loads yet.
    Waiting,
    /// Its loads fail.
    Failing,
}

/// How far a replica is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// Weights are on their way.
    #[default]
    Loading,
    /// It answers requests.
    Ready,
    /// Its requests finish, then it goes.
    Unloading,
    /// Its load failed.
    Failed,
}

/// Whether a machine takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunnerState {
    /// It does.
    #[default]
    Ready,
    /// It is on its way out.
    Leaving,
    /// An operator has drained it.
    Drained,
    /// It does not answer.
    Unreachable,
}

/// Whether a daemon answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DaemonState {
    /// It does.
    #[default]
    Alive,
    /// It did not answer lately.
    Suspect,
    /// It has stopped as planned.
    Left,
    /// It does not answer.
    Dead,
}

/// Whether a request waits or runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// It waits.
    #[default]
    Waiting,
    /// It runs.
    Running,
}

/// One model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelRow {
    /// Its name.
    pub name: String,
    /// How it stands.
    pub state: ModelState,
    /// Version that answers requests which name none.
    pub serving: String,
    /// Replicas ready.
    pub ready: u32,
    /// Replicas loading.
    pub loading: u32,
    /// Replicas kept loaded.
    pub at_least: u32,
    /// Replicas allowed.
    pub at_most: u32,
    /// Zones that may hold replicas, joined by commas; empty means all.
    pub zones: String,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests running.
    pub running: u32,
    /// Its rank.
    pub priority: u8,
    /// Requests waiting at one daemon, at most.
    pub queue_limit: u32,
    /// Version of the object.
    pub version: u64,
}

/// One replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// Its model.
    pub model: String,
    /// Its adapter, if it is one.
    pub adapter: Option<String>,
    /// Version of the model.
    pub release: String,
    /// Its zone.
    pub zone: String,
    /// Its machine.
    pub runner: String,
    /// How far it is.
    pub state: ReplicaState,
    /// Memory it takes, in bytes.
    pub memory: u64,
    /// Requests outstanding on it.
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
    /// Whether it takes work.
    pub state: RunnerState,
    /// Accelerator memory, in bytes.
    pub memory: u64,
    /// Accelerator memory taken, in bytes.
    pub used: u64,
    /// Replicas it holds.
    pub replicas: u32,
    /// Requests running.
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
    /// Its address for daemons.
    pub address: String,
    /// Whether it answers.
    pub state: DaemonState,
    /// Whether it coordinates its zone.
    pub coordinator: bool,
    /// Requests in progress there.
    pub requests: u32,
    /// Revision of the configuration in force there.
    pub revision: u64,
}

/// One request that waits or runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRow {
    /// Its id.
    pub id: String,
    /// What it wants, `model[:adapter]@version`, or the service.
    pub model: String,
    /// Daemon that holds it.
    pub daemon: String,
    /// Zone of the daemon.
    pub zone: String,
    /// Whether it waits or runs.
    pub state: RequestState,
    /// Machine it runs on.
    pub runner: Option<String>,
    /// Its rank.
    pub priority: u8,
    /// Time since it came, in milliseconds.
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
    /// Daemons alive.
    pub daemons: u32,
    /// Machines with a model engine.
    pub runners: u32,
    /// Accelerator memory, in bytes.
    pub memory: u64,
    /// Accelerator memory taken, in bytes.
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
    /// Replicas allowed.
    pub at_most: u32,
    /// Replicas ready.
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
    /// Whether the model serves it.
    pub serving: bool,
    /// Replicas ready.
    pub ready: u32,
    /// Version of the object.
    pub version: u64,
}

/// One plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// Its name.
    pub name: String,
    /// Requests in progress at one machine, at most.
    pub concurrency: u32,
    /// Machines that take work.
    pub machines: u32,
    /// Requests running.
    pub running: u32,
    /// Version of the object.
    pub version: u64,
}

/// The units of one subject in one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRow {
    /// What is counted: `model`, `model:adapter` or `weight-store`.
    pub subject: String,
    /// The zone.
    pub zone: String,
    /// Units the zone may use.
    pub units: u32,
    /// Units it asks for.
    pub wanted: u32,
    /// Units in all zones together.
    pub limit: u32,
    /// Version of the object.
    pub version: u64,
}

/// One machine that operators have drained.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRow {
    /// Its name.
    pub name: String,
    /// Why.
    pub reason: String,
    /// Version of the object.
    pub version: u64,
}

/// The policy in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicyRow {
    /// Weight of tail cold-start time against idle accelerator hours.
    pub cold_start_weight: f64,
    /// Loads from the weight store at one time.
    pub weight_store_parallel: u32,
    /// Loads started from the weight store in a second.
    pub weight_store_per_second: f64,
    /// Shortest time a replica stays loaded without requests, in milliseconds.
    pub keep_alive_min: u64,
    /// Longest time, in milliseconds.
    pub keep_alive_max: u64,
    /// Version of the object; 0 while it has never been changed.
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
    /// Time since, in milliseconds.
    pub age: u64,
    /// Zone that decided.
    pub zone: String,
    /// Daemon that decided.
    pub daemon: String,
    /// About what.
    pub artifact: String,
    /// Machine concerned.
    pub runner: Option<String>,
    /// What was decided.
    pub decision: String,
    /// Why.
    pub reason: String,
}
