//! What operators write: models, versions, adapters, services, drains and the policy.
//!
//! All items live in one collection of the object API, so that they share one order of revisions.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use bytesize::ByteSize;
use serde::{Deserialize, Serialize, Serializer};

use crate::ids::{AdapterName, ModelName, RunnerName, ServiceName, VersionName, ZoneName};

/// Writes a size as its exact number of bytes; the text form of the library rounds to one decimal,
/// so that a size would come back smaller than it was stored.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn serialize_exact_bytes<S: Serializer>(size: &ByteSize, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(size.as_u64())
}

/// Rule for the replicas of one model, over all its versions and zones of the region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CopyRule {
    /// Replicas kept loaded even when nobody asks.
    pub at_least: u32,
    /// Replicas loaded at any one time, at most.
    pub at_most: u32,
    /// Zones that may hold replicas; empty means every zone.
    pub zones: BTreeSet<ZoneName>,
}

impl Default for CopyRule {
    fn default() -> Self {
        Self {
            at_least: 0,
            at_most: 1,
            zones: BTreeSet::new(),
        }
    }
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Version that answers requests which name none.
    pub serving: VersionName,
    /// Rule for copies.
    pub copies: CopyRule,
    /// Rank of its loads and requests when machines are short; higher goes first.
    pub priority: u8,
    /// Requests waiting for it at one daemon, at most.
    pub queue_limit: u32,
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSpec {
    /// Checkpoint in the weight store.
    pub checkpoint: String,
    /// Accelerator memory of the weights.
    #[serde(serialize_with = "serialize_exact_bytes")]
    pub weights: ByteSize,
    /// Accelerator memory set aside for the KV cache of its requests.
    #[serde(serialize_with = "serialize_exact_bytes")]
    pub kv_cache: ByteSize,
}

/// An adapter of a model; loads onto any version of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// Checkpoint in the weight store.
    pub checkpoint: String,
    /// Accelerator memory of the adapter.
    #[serde(serialize_with = "serialize_exact_bytes")]
    pub weights: ByteSize,
    /// Replicas loaded at any one time, at most.
    pub at_most: u32,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Requests in progress at one machine, at most.
    pub concurrency: u32,
}

/// An operator's wish that a machine takes no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainSpec {
    /// Why, for the other operators.
    pub reason: String,
}

/// Settings of the whole region that operators change while it runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySpec {
    /// Weight of tail cold-start time against idle accelerator hours: 0 saves accelerators, 1 saves
    /// waiting.
    pub cold_start_weight: f64,
    /// Loads from the weight store at one time, in all zones together.
    pub weight_store_parallel: u32,
    /// Loads started from the weight store in a second, in all zones together.
    pub weight_store_per_second: f64,
    /// Shortest time a replica stays loaded without requests, in milliseconds.
    pub keep_alive_min_ms: u64,
    /// Longest time a replica stays loaded without requests, in milliseconds.
    pub keep_alive_max_ms: u64,
}

impl Default for PolicySpec {
    fn default() -> Self {
        Self {
            cold_start_weight: 0.5,
            weight_store_parallel: 8,
            weight_store_per_second: 2.0,
            keep_alive_min_ms: 30_000,
            keep_alive_max_ms: 3_600_000,
        }
    }
}

/// One item of configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationItem {
    /// A model.
    Model(ModelSpec),
    /// A version of a model.
    Version(VersionSpec),
    /// An adapter.
    Adapter(AdapterSpec),
    /// A plain service.
    Service(ServiceSpec),
    /// A drained machine.
    Drain(DrainSpec),
    /// The region's policy.
    Policy(PolicySpec),
}

/// What sort of item a key names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKind {
    /// A model.
    Model,
    /// A version.
    Version,
    /// An adapter.
    Adapter,
    /// A service.
    Service,
    /// A drain.
    Drain,
    /// The policy.
    Policy,
}

/// Key of one item of configuration. Text form, also its name in the object API:
/// `model.M`, `version.M@V`, `adapter.M:A`, `service.S`, `drain.R`, `policy`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKey {
    /// A model.
    Model(ModelName),
    /// A version of a model.
    Version(ModelName, VersionName),
    /// An adapter of a model.
    Adapter(ModelName, AdapterName),
    /// A service.
    Service(ServiceName),
    /// A drained machine.
    Drain(RunnerName),
    /// The one policy.
    Policy,
}

impl ItemKey {
    /// The kind of the item.
    pub fn kind(&self) -> ItemKind {
        match self {
            Self::Model(_) => ItemKind::Model,
            Self::Version(..) => ItemKind::Version,
            Self::Adapter(..) => ItemKind::Adapter,
            Self::Service(_) => ItemKind::Service,
            Self::Drain(_) => ItemKind::Drain,
            Self::Policy => ItemKind::Policy,
        }
    }
}

impl ConfigurationItem {
    /// The kind of the item.
    pub fn kind(&self) -> ItemKind {
        match self {
            Self::Model(_) => ItemKind::Model,
            Self::Version(_) => ItemKind::Version,
            Self::Adapter(_) => ItemKind::Adapter,
            Self::Service(_) => ItemKind::Service,
            Self::Drain(_) => ItemKind::Drain,
            Self::Policy(_) => ItemKind::Policy,
        }
    }
}

impl fmt::Display for ItemKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(model) => write!(formatter, "model.{model}"),
            Self::Version(model, version) => write!(formatter, "version.{model}@{version}"),
            Self::Adapter(model, adapter) => write!(formatter, "adapter.{model}:{adapter}"),
            Self::Service(service) => write!(formatter, "service.{service}"),
            Self::Drain(runner) => write!(formatter, "drain.{runner}"),
            Self::Policy => write!(formatter, "policy"),
        }
    }
}

impl fmt::Debug for ItemKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self}")
    }
}

impl FromStr for ItemKey {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let bad = || format!("{text:?} is not the key of a configuration item");
        if text == "policy" {
            return Ok(Self::Policy);
        }
        let (kind, name) = text.split_once('.').ok_or_else(bad)?;
        match kind {
            "model" => Ok(Self::Model(name.parse().map_err(|_| bad())?)),
            "service" => Ok(Self::Service(name.parse().map_err(|_| bad())?)),
            "drain" => Ok(Self::Drain(name.parse().map_err(|_| bad())?)),
            "version" => {
                let (model, version) = name.split_once('@').ok_or_else(bad)?;
                let model = model.parse().map_err(|_| bad())?;
                Ok(Self::Version(model, version.parse().map_err(|_| bad())?))
            }
            "adapter" => {
                let (model, adapter) = name.split_once(':').ok_or_else(bad)?;
                let model = model.parse().map_err(|_| bad())?;
                Ok(Self::Adapter(model, adapter.parse().map_err(|_| bad())?))
            }
            _ => Err(bad()),
        }
    }
}
