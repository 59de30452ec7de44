//! Settings that `create` and `change` accept, one type per kind of item.

use std::collections::BTreeSet;
use std::mem::{Discriminant, discriminant};

use bytesize::ByteSize;
use flaxward_types::configuration::{
    AdapterSpec, CopyRule, ModelSpec, PolicySpec, ServiceSpec, VersionSpec,
};
use flaxward_types::{VersionName, ZoneName};

/// Default priority of a model.
pub const DEFAULT_PRIORITY: u8 = 100;

/// Default queue limit of a model.
pub const DEFAULT_QUEUE_LIMIT: u32 = 1_000;

/// A setting of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ModelSetting {
    /// Version that serves requests without an explicit version.
    Serving(VersionName),
    /// Maximum number of replicas loaded at the same time.
    AtMost(u32),
    /// Minimum number of replicas kept loaded, even without requests.
    AtLeast(u32),
    /// Zones that may hold replicas; empty means every zone.
    Zones(BTreeSet<ZoneName>),
    /// Priority of its loads and requests.
    Priority(u8),
    /// Maximum number of requests queued for the model at one daemon.
    QueueLimit(u32),
}

impl ModelSetting {
    /// Applies the setting to a spec.
    pub fn apply(&self, spec: &mut ModelSpec) {
        match self {
            Self::Serving(version) => spec.serving = version.clone(),
            Self::AtMost(count) => spec.copies.at_most = *count,
            Self::AtLeast(count) => spec.copies.at_least = *count,
            Self::Zones(zones) => spec.copies.zones.clone_from(zones),
            Self::Priority(priority) => spec.priority = *priority,
            Self::QueueLimit(limit) => spec.queue_limit = *limit,
        }
    }

    /// Builds a model spec; `None` if the serving version is missing.
    pub(crate) fn from_settings(settings: &[Self]) -> Option<ModelSpec> {
        let serving = settings.iter().find_map(|setting| match setting {
            Self::Serving(version) => Some(version.clone()),
            _ => None,
        })?;
        let mut spec = ModelSpec {
            serving,
            copies: CopyRule::default(),
            priority: DEFAULT_PRIORITY,
            queue_limit: DEFAULT_QUEUE_LIMIT,
        };
        for setting in settings {
            setting.apply(&mut spec);
        }
        Some(spec)
    }

    /// Returns every setting of a model.
    pub(crate) fn from_spec(spec: &ModelSpec) -> Vec<Self> {
        vec![
            Self::Serving(spec.serving.clone()),
            Self::AtMost(spec.copies.at_most),
            Self::AtLeast(spec.copies.at_least),
            Self::Zones(spec.copies.zones.clone()),
            Self::Priority(spec.priority),
            Self::QueueLimit(spec.queue_limit),
        ]
    }
}

/// A setting of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionSetting {
    /// Checkpoint in the weight store.
    Checkpoint(String),
    /// Accelerator memory of the weights.
    Weights(ByteSize),
    /// Accelerator memory reserved for the KV cache.
    KvCache(ByteSize),
}

impl VersionSetting {
    /// Applies the setting to a spec.
    pub fn apply(&self, spec: &mut VersionSpec) {
        match self {
            Self::Checkpoint(path) => spec.checkpoint.clone_from(path),
            Self::Weights(size) => spec.weights = *size,
            Self::KvCache(size) => spec.kv_cache = *size,
        }
    }

    /// Builds a version spec; `None` if the checkpoint or the weights are missing.
    pub(crate) fn from_settings(settings: &[Self]) -> Option<VersionSpec> {
        let has = |predicate: fn(&Self) -> bool| settings.iter().any(predicate);
        let complete = has(|setting| matches!(setting, Self::Checkpoint(_)))
            && has(|setting| matches!(setting, Self::Weights(_)));
        let mut spec = VersionSpec {
            checkpoint: String::new(),
            weights: ByteSize(0),
            kv_cache: ByteSize(0),
        };
        for setting in settings {
            setting.apply(&mut spec);
        }
        complete.then_some(spec)
    }

    /// Returns every setting of a version.
    pub(crate) fn from_spec(spec: &VersionSpec) -> Vec<Self> {
        vec![
            Self::Checkpoint(spec.checkpoint.clone()),
            Self::Weights(spec.weights),
            Self::KvCache(spec.kv_cache),
        ]
    }
}

/// A setting of an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdapterSetting {
    /// Checkpoint in the weight store.
    Checkpoint(String),
    /// Accelerator memory of the adapter.
    Weights(ByteSize),
    /// Maximum number of replicas loaded at the same time.
    AtMost(u32),
}

impl AdapterSetting {
    /// Applies the setting to a spec.
    pub fn apply(&self, spec: &mut AdapterSpec) {
        match self {
            Self::Checkpoint(path) => spec.checkpoint.clone_from(path),
            Self::Weights(size) => spec.weights = *size,
            Self::AtMost(count) => spec.at_most = *count,
        }
    }

    /// Builds an adapter spec; `None` if the checkpoint or the weights are missing.
    pub(crate) fn from_settings(settings: &[Self]) -> Option<AdapterSpec> {
        let has = |predicate: fn(&Self) -> bool| settings.iter().any(predicate);
        let complete = has(|setting| matches!(setting, Self::Checkpoint(_)))
            && has(|setting| matches!(setting, Self::Weights(_)));
        let mut spec = AdapterSpec {
            checkpoint: String::new(),
            weights: ByteSize(0),
            at_most: CopyRule::default().at_most,
        };
        for setting in settings {
            setting.apply(&mut spec);
        }
        complete.then_some(spec)
    }

    /// Returns every setting of an adapter.
    pub(crate) fn from_spec(spec: &AdapterSpec) -> Vec<Self> {
        vec![
            Self::Checkpoint(spec.checkpoint.clone()),
            Self::Weights(spec.weights),
            Self::AtMost(spec.at_most),
        ]
    }
}

/// A setting of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceSetting {
    /// Maximum number of concurrent requests at one machine.
    Concurrency(u32),
}

impl ServiceSetting {
    /// Applies the setting to a spec.
    pub fn apply(&self, spec: &mut ServiceSpec) {
        let Self::Concurrency(count) = self;
        spec.concurrency = *count;
    }

    /// Builds a service spec; `None` without settings.
    pub(crate) fn from_settings(settings: &[Self]) -> Option<ServiceSpec> {
        let Self::Concurrency(concurrency) = settings.first()?;
        Some(ServiceSpec {
            concurrency: *concurrency,
        })
    }

    /// Returns every setting of a service.
    pub(crate) fn from_spec(spec: &ServiceSpec) -> Vec<Self> {
        vec![Self::Concurrency(spec.concurrency)]
    }
}

/// A setting of the region's policy.
#[derive(Clone, Debug, PartialEq)]
pub enum PolicySetting {
    /// Weight of tail cold-start time against idle accelerator hours.
    ColdStartWeight(f64),
    /// Maximum number of concurrent loads from the weight store.
    WeightStoreParallel(u32),
    /// Maximum number of loads started from the weight store per second.
    WeightStorePerSecond(f64),
    /// Minimum time a replica stays loaded without requests, in milliseconds.
    KeepAliveMin(u64),
    /// Maximum time a replica stays loaded without requests, in milliseconds.
    KeepAliveMax(u64),
}

impl PolicySetting {
    /// Applies the setting to a spec.
    pub fn apply(&self, spec: &mut PolicySpec) {
        match self {
            Self::ColdStartWeight(weight) => spec.cold_start_weight = *weight,
            Self::WeightStoreParallel(count) => spec.weight_store_parallel = *count,
            Self::WeightStorePerSecond(rate) => spec.weight_store_per_second = *rate,
            Self::KeepAliveMin(millis) => spec.keep_alive_min_ms = *millis,
            Self::KeepAliveMax(millis) => spec.keep_alive_max_ms = *millis,
        }
    }

    /// Returns every setting of the policy.
    pub(crate) fn from_spec(spec: &PolicySpec) -> Vec<Self> {
        vec![
            Self::ColdStartWeight(spec.cold_start_weight),
            Self::WeightStoreParallel(spec.weight_store_parallel),
            Self::WeightStorePerSecond(spec.weight_store_per_second),
            Self::KeepAliveMin(spec.keep_alive_min_ms),
            Self::KeepAliveMax(spec.keep_alive_max_ms),
        ]
    }
}

/// Whether each setting occurs at most once.
pub(crate) fn has_no_duplicates<T>(settings: &[T]) -> bool {
    let kinds: Vec<Discriminant<T>> = settings.iter().map(discriminant).collect();
    kinds
        .iter()
        .enumerate()
        .all(|(index, kind)| !kinds[..index].contains(kind))
}
