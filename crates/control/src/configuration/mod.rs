//! The configuration in force at one daemon, and its dissemination.

mod apply;
mod log;
mod replicator;

pub use apply::ApplyOutcome;
pub use replicator::{
    ConfigurationReplicator, FAST_REQUESTS, ReplicatorAction, ReplicatorSettings,
};

use std::collections::{BTreeMap, BTreeSet};

use flaxward_types::configuration::{AdapterSpec, ModelSpec, PolicySpec, ServiceSpec, VersionSpec};
use flaxward_types::{
    ArtifactId, ConfigurationItem, ItemKey, ModelName, ModelRef, ResultCode, Revision, RunnerName,
    ServiceName,
};

/// All items in force, and the revision up to which they are complete.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    revision: Revision,
    items: BTreeMap<ItemKey, (Revision, ConfigurationItem)>,
}

impl Configuration {
    /// Makes a configuration from all items at a revision.
    pub fn new(
        revision: Revision,
        items: impl IntoIterator<Item = (ItemKey, Revision, ConfigurationItem)>,
    ) -> Self {
        let items = items
            .into_iter()
            .map(|(key, changed, item)| (key, (changed, item)))
            .collect();
        Self { revision, items }
    }

    /// The revision in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// One item and the revision of its last change.
    pub fn item(&self, key: &ItemKey) -> Option<&(Revision, ConfigurationItem)> {
        self.items.get(key)
    }

    /// Every item, in the order of the keys.
    pub fn items(&self) -> impl Iterator<Item = (&ItemKey, Revision, &ConfigurationItem)> {
        self.items
            .iter()
            .map(|(key, (revision, item))| (key, *revision, item))
    }

    /// A model.
    pub fn model(&self, model: &ModelName) -> Option<&ModelSpec> {
        match self.items.get(&ItemKey::Model(model.clone())) {
            Some((_, ConfigurationItem::Model(spec))) => Some(spec),
            _ => None,
        }
    }

    /// A version of a model.
    pub fn version(&self, artifact: &ArtifactId) -> Option<&VersionSpec> {
        let key = ItemKey::Version(artifact.model.clone(), artifact.version.clone());
        match self.items.get(&key) {
            Some((_, ConfigurationItem::Version(spec))) => Some(spec),
            _ => None,
        }
    }

    /// The adapter of an artifact, if it is one.
    pub fn adapter(&self, artifact: &ArtifactId) -> Option<&AdapterSpec> {
        let adapter = artifact.adapter.as_ref()?;
        let key = ItemKey::Adapter(artifact.model.clone(), adapter.clone());
        match self.items.get(&key) {
            Some((_, ConfigurationItem::Adapter(spec))) => Some(spec),
            _ => None,
        }
    }

    /// A service.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceSpec> {
        match self.items.get(&ItemKey::Service(service.clone())) {
            Some((_, ConfigurationItem::Service(spec))) => Some(spec),
            _ => None,
        }
    }

    /// The policy, or its default.
    pub fn policy(&self) -> PolicySpec {
        match self.items.get(&ItemKey::Policy) {
            Some((_, ConfigurationItem::Policy(spec))) => spec.clone(),
            _ => PolicySpec::default(),
        }
    }

    /// Machines that operators have drained.
    pub fn drained(&self) -> BTreeSet<RunnerName> {
        self.items
            .keys()
            .filter_map(|key| match key {
                ItemKey::Drain(runner) => Some(runner.clone()),
                _ => None,
            })
            .collect()
    }

    /// Resolves a caller's reference to an artifact.
    ///
    /// # Errors
    /// [`ResultCode::UnknownModel`] if the model, the version or the adapter does not exist.
    pub fn resolve(&self, reference: &ModelRef) -> Result<ArtifactId, ResultCode> {
        let model = self
            .model(&reference.model)
            .ok_or(ResultCode::UnknownModel)?;
        let artifact = ArtifactId {
            model: reference.model.clone(),
            version: reference
                .version
                .clone()
                .unwrap_or_else(|| model.serving.clone()),
            adapter: reference.adapter.clone(),
        };
        let known = self.version(&artifact).is_some()
            && (!artifact.is_adapter() || self.adapter(&artifact).is_some());
        if known {
            Ok(artifact)
        } else {
            Err(ResultCode::UnknownModel)
        }
    }

    /// Accelerator memory that an artifact occupies when loaded, in bytes: weights and KV cache.
    pub fn bytes(&self, artifact: &ArtifactId) -> Option<u64> {
        if artifact.is_adapter() {
            return self.adapter(artifact).map(|spec| spec.weights.as_u64());
        }
        self.version(artifact)
            .map(|spec| spec.weights.as_u64() + spec.kv_cache.as_u64())
    }

    /// Checkpoint of an artifact in the weight store.
    pub fn checkpoint(&self, artifact: &ArtifactId) -> Option<&str> {
        if artifact.is_adapter() {
            return self.adapter(artifact).map(|spec| spec.checkpoint.as_str());
        }
        self.version(artifact).map(|spec| spec.checkpoint.as_str())
    }
}
