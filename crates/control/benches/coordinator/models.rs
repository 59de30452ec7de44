//! Configuration and stored records of the region that contains the measured zone.

use std::collections::BTreeMap;

use bytesize::ByteSize;
use flaxward_control::configuration::Configuration;
use flaxward_control::coordinator::split_units;
use flaxward_types::configuration::{AdapterSpec, CopyRule, ModelSpec, PolicySpec, VersionSpec};
use flaxward_types::records::{Quota, QuotaSubject, Slot};
use flaxward_types::{
    AdapterName, ArtifactId, ConfigurationItem, ItemKey, ModelName, Revision, RunnerName, Term,
    VersionName, ZoneName,
};

/// Runners of a zone at the target scale, relative to which everything else is scaled.
const TARGET_RUNNERS: usize = 318;
/// Models of a region at the target scale.
const TARGET_MODELS: usize = 590;
/// Adapters of a region at the target scale.
const TARGET_ADAPTERS: usize = 31_000;
/// One model in this many is busy: it always has replicas on many runners.
const MODELS_PER_BUSY_MODEL: usize = 20;
/// Runners of a zone for each replica of a busy model.
const RUNNERS_PER_REPLICA: usize = 13;
/// Initial revision of all records and items.
const INITIAL_REVISION: Revision = Revision(1);
/// Maximum number of concurrent loads from the weight store.
const PARALLEL_LOADS: u32 = 24;
/// Memory of a model that is not busy, and of an adapter, in bytes.
const MODEL_BYTES: u64 = 60 << 30;
const ADAPTER_BYTES: u64 = 1 << 30;

/// The zones, models and adapters of a region, scaled to the number of runners per zone.
pub struct Region {
    pub zones: Vec<ZoneName>,
    pub runners: Vec<RunnerName>,
    pub models: usize,
    pub adapters: usize,
}

impl Region {
    pub fn new(runners: usize) -> Self {
        let scaled = |target: usize| (target * runners / TARGET_RUNNERS).max(1);
        Self {
            zones: ["alpha", "beta", "gamma"].map(ZoneName::literal).to_vec(),
            runners: (0..runners).map(runner).collect(),
            models: scaled(TARGET_MODELS),
            adapters: scaled(TARGET_ADAPTERS),
        }
    }

    /// Minimum and maximum number of replicas of a model in the zone.
    fn copies(&self, model: usize) -> u32 {
        if is_busy(model) {
            u32::try_from((self.runners.len() / RUNNERS_PER_REPLICA).max(1)).expect("few runners")
        } else {
            1
        }
    }

    /// Every artifact of the region, models first.
    fn artifacts(&self) -> impl Iterator<Item = (usize, ArtifactId)> {
        let bases = (0..self.models).map(|model| (model, artifact(model, None)));
        let adapters = (0..self.adapters).map(|adapter| {
            let model = adapter % self.models;
            (model, artifact(model, Some(adapter)))
        });
        bases.chain(adapters)
    }

    /// The zone that has the units of a model which is not busy, and of its adapters.
    fn home_zone(&self, model: usize) -> &ZoneName {
        let subject = QuotaSubject::Model(model_name(model));
        let split = split_units(&subject, 1, &self.zones.iter().cloned().collect());
        let owner = self.zones.iter().find(|zone| split.get(*zone) == Some(&1));
        owner.expect("one zone has the unit")
    }

    /// The slots of the measured zone, which is the first: those of each artifact of which it has
    /// units.
    pub fn slots(&self) -> Vec<Slot> {
        let mut slots = Vec::new();
        for (model, artifact) in self.artifacts() {
            let is_in_zone = is_busy(model) || self.home_zone(model) == &self.zones[0];
            let has_one_copy = artifact.is_adapter() || !is_busy(model);
            if !is_in_zone || (artifact.is_adapter() && self.home_zone(model) != &self.zones[0]) {
                continue;
            }
            let copies = if has_one_copy { 1 } else { self.copies(model) };
            for copy in 0..copies as usize {
                let index = (model + copy * RUNNERS_PER_REPLICA) % self.runners.len();
                slots.push(Slot {
                    artifact: artifact.clone(),
                    runner: self.runners[index].clone(),
                });
            }
        }
        slots
    }

    /// The quota records of the region.
    pub fn quotas(&self) -> Vec<(Revision, Quota)> {
        let all = self.artifacts().map(|(model, artifact)| {
            let zones = u32::try_from(self.zones.len()).expect("few zones");
            match artifact.adapter {
                Some(adapter) => (QuotaSubject::Adapter(artifact.model, adapter), 1),
                None if is_busy(model) => (
                    QuotaSubject::Model(artifact.model),
                    self.copies(model) * zones,
                ),
                None => (QuotaSubject::Model(artifact.model), 1),
            }
        });
        all.chain([(QuotaSubject::WeightStore, PARALLEL_LOADS)])
            .map(|(subject, limit)| (INITIAL_REVISION, self.quota(subject, limit)))
            .collect()
    }

    fn quota(&self, subject: QuotaSubject, limit: u32) -> Quota {
        let zones = self.zones.iter().cloned().collect();
        Quota {
            units: split_units(&subject, limit, &zones),
            subject,
            limit,
            wanted: BTreeMap::new(),
            rule: INITIAL_REVISION,
            terms: self
                .zones
                .iter()
                .map(|zone| (zone.clone(), Term(0)))
                .collect(),
        }
    }

    pub fn configuration(&self) -> Configuration {
        let mut items = vec![(ItemKey::Policy, ConfigurationItem::Policy(policy()))];
        let zones = u32::try_from(self.zones.len()).expect("few zones");
        for (model, artifact) in self.artifacts() {
            if let Some(adapter) = artifact.adapter {
                let key = ItemKey::Adapter(artifact.model, adapter);
                items.push((key, adapter_item()));
                continue;
            }
            let copies = self.copies(model);
            let rule = CopyRule {
                at_least: if is_busy(model) { copies * zones } else { 0 },
                at_most: if is_busy(model) { copies * zones } else { 1 },
                ..CopyRule::default()
            };
            let key = ItemKey::Model(artifact.model.clone());
            items.push((key, model_item(rule)));
            let key = ItemKey::Version(artifact.model, artifact.version);
            items.push((key, version_item()));
        }
        let items = items
            .into_iter()
            .map(|(key, item)| (key, INITIAL_REVISION, item));
        Configuration::new(INITIAL_REVISION, items)
    }
}

/// Whether a model always has replicas on many runners.
pub fn is_busy(model: usize) -> bool {
    model.is_multiple_of(MODELS_PER_BUSY_MODEL)
}

/// Memory that an artifact takes, in bytes.
pub fn bytes(artifact: &ArtifactId) -> u64 {
    if artifact.is_adapter() {
        ADAPTER_BYTES
    } else {
        MODEL_BYTES
    }
}

fn runner(number: usize) -> RunnerName {
    RunnerName::literal(&format!("runner-{number:04}"))
}

fn model_name(number: usize) -> ModelName {
    ModelName::literal(&format!("model-{number:03}"))
}

fn artifact(model: usize, adapter: Option<usize>) -> ArtifactId {
    ArtifactId {
        model: model_name(model),
        version: VersionName::literal("v1"),
        adapter: adapter.map(|adapter| AdapterName::literal(&format!("adapter-{adapter:05}"))),
    }
}

/// The number in the name of an artifact's model.
pub fn model_number(artifact: &ArtifactId) -> usize {
    let digits = artifact.model.as_str().rsplit('-').next();
    digits
        .and_then(|digits| digits.parse().ok())
        .expect("a numbered model")
}

fn policy() -> PolicySpec {
    PolicySpec {
        weight_store_parallel: PARALLEL_LOADS,
        weight_store_per_second: f64::from(PARALLEL_LOADS),
        ..PolicySpec::default()
    }
}

fn model_item(copies: CopyRule) -> ConfigurationItem {
    ConfigurationItem::Model(ModelSpec {
        serving: VersionName::literal("v1"),
        copies,
        priority: 1,
        queue_limit: 100,
    })
}

fn version_item() -> ConfigurationItem {
    ConfigurationItem::Version(VersionSpec {
        checkpoint: "weights".to_owned(),
        weights: ByteSize(MODEL_BYTES),
        kv_cache: ByteSize(0),
    })
}

fn adapter_item() -> ConfigurationItem {
    ConfigurationItem::Adapter(AdapterSpec {
        checkpoint: "weights".to_owned(),
        weights: ByteSize(ADAPTER_BYTES),
        at_most: 1,
    })
}
