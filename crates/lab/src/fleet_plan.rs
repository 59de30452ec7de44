//! The configuration and the machines that a scenario describes.

use std::collections::BTreeSet;

use flaxward_control::configuration::Configuration;
use flaxward_types::configuration::{AdapterSpec, CopyRule, ModelSpec, PolicySpec, VersionSpec};
use flaxward_types::engine::{Machine, MachineRole};
use flaxward_types::time::millis;
use flaxward_types::{
    AdapterName, ArtifactId, ConfigurationItem, ItemKey, ModelName, Revision, RunnerName,
    VersionName, ZoneName,
};

use crate::scenario::{ModelGroup, Scenario};

/// Requests waiting at one gateway for one model, at most.
const QUEUE_LIMIT: u32 = 1_000;

/// The one version of each model.
const VERSION: &str = "v1";

/// One model of a group, with its adapters.
#[derive(Clone, Debug)]
pub struct PlannedModel {
    /// The base.
    pub base: ArtifactId,
    /// Its adapters.
    pub adapters: Vec<ArtifactId>,
    /// Position of its group in the scenario.
    pub group: usize,
}

impl PlannedModel {
    /// The base and the adapters.
    pub fn artifacts(&self) -> impl Iterator<Item = &ArtifactId> {
        std::iter::once(&self.base).chain(&self.adapters)
    }
}

/// The models of a scenario.
///
/// # Panics
/// Panics if a prefix makes no valid name.
pub fn models(scenario: &Scenario) -> Vec<PlannedModel> {
    let mut models = Vec::new();
    for (position, group) in scenario.models.iter().enumerate() {
        for number in 0..group.count {
            models.push(model(group, position, number));
        }
    }
    models
}

fn model(group: &ModelGroup, position: usize, number: u32) -> PlannedModel {
    let base = ArtifactId {
        model: ModelName::literal(&format!("{}-{number}", group.prefix)),
        version: VersionName::literal(VERSION),
        adapter: None,
    };
    let adapters = (0..group.adapters)
        .filter(|adapter| adapter % group.count == number)
        .map(|adapter| ArtifactId {
            adapter: Some(AdapterName::literal(&format!("site-{adapter}"))),
            ..base.clone()
        })
        .collect();
    PlannedModel {
        base,
        adapters,
        group: position,
    }
}

/// The policy of a scenario's deployment.
pub fn policy(scenario: &Scenario) -> PolicySpec {
    PolicySpec {
        cold_start_weight: scenario.cold_start_weight,
        weight_store_parallel: scenario.weight_store.parallel,
        weight_store_per_second: scenario.weight_store.starts_per_second,
        keep_alive_min_ms: millis(scenario.keep_alive_min),
        keep_alive_max_ms: millis(scenario.keep_alive_max),
    }
}

/// The configuration of a scenario, under some policy.
pub fn configuration(scenario: &Scenario, policy: &PolicySpec) -> Configuration {
    let mut items = vec![(ItemKey::Policy, ConfigurationItem::Policy(policy.clone()))];
    for model in models(scenario) {
        let group = &scenario.models[model.group];
        let name = model.base.model.clone();
        items.push((ItemKey::Model(name.clone()), model_item(group)));
        let version = VersionSpec {
            checkpoint: model.base.to_string(),
            weights: group.weights,
            kv_cache: group.kv_cache,
        };
        let key = ItemKey::Version(name.clone(), model.base.version.clone());
        items.push((key, ConfigurationItem::Version(version)));
        for adapter in &model.adapters {
            let Some(adapter_name) = adapter.adapter.clone() else {
                continue;
            };
            let spec = AdapterSpec {
                checkpoint: adapter.to_string(),
                weights: group.adapter_weights,
                at_most: group.at_most,
            };
            let key = ItemKey::Adapter(name.clone(), adapter_name);
            items.push((key, ConfigurationItem::Adapter(spec)));
        }
    }
    let items = items
        .into_iter()
        .map(|(key, item)| (key, Revision(1), item));
    Configuration::new(Revision(1), items)
}

fn model_item(group: &ModelGroup) -> ConfigurationItem {
    ConfigurationItem::Model(ModelSpec {
        serving: VersionName::literal(VERSION),
        copies: CopyRule {
            at_least: 0,
            at_most: group.at_most,
            zones: BTreeSet::new(),
        },
        priority: group.priority,
        queue_limit: QUEUE_LIMIT,
    })
}

/// The machines of a scenario at its start.
pub fn machines(scenario: &Scenario) -> Vec<Machine> {
    let mut machines = Vec::new();
    for zone in &scenario.zones {
        for number in 0..zone.runners {
            machines.push(machine(&zone.name, number));
        }
    }
    machines
}

/// One machine; its name doubles as its address, since nothing is sent anywhere.
pub fn machine(zone: &ZoneName, number: u32) -> Machine {
    let name = RunnerName::literal(&format!("runner-{zone}-{number}"));
    Machine {
        address: name.to_string(),
        name,
        zone: zone.clone(),
        role: MachineRole::Engine,
        leaving: false,
    }
}
