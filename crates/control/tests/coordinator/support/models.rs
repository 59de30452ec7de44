//! The models and adapters of the simulation.

use bytesize::ByteSize;
use flaxward_control::configuration::Configuration;
use flaxward_types::configuration::{AdapterSpec, CopyRule, ModelSpec, PolicySpec, VersionSpec};
use flaxward_types::{ArtifactId, ConfigurationItem, ItemKey, Revision, ZoneName};

use super::simulation::GIGABYTE;

pub fn artifact(text: &str) -> ArtifactId {
    text.parse().expect("an artifact of the test")
}

/// The artifacts of the simulation.
pub fn artifacts() -> Vec<ArtifactId> {
    [
        "one@v1", "two@v1", "three@v1", "four@v1", "four@v2", "one:a@v1", "two:b@v1",
    ]
    .map(artifact)
    .to_vec()
}

fn model(at_least: u32, at_most: u32, zones: &[&str], serving: &str) -> ConfigurationItem {
    let copies = CopyRule {
        at_least,
        at_most,
        zones: zones.iter().map(|zone| ZoneName::literal(zone)).collect(),
    };
    ConfigurationItem::Model(ModelSpec {
        serving: serving.parse().expect("a version"),
        copies,
        priority: 1,
        queue_limit: 10,
    })
}

/// The variable parts of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// Whether `four@v2` serves instead of `four@v1`.
    pub four_v2_serves: bool,
    /// Whether `three@v2` serves instead of `three@v1`.
    pub three_v2_serves: bool,
    /// Maximum number of copies of the model `two`.
    pub copies_of_two: u32,
    /// Maximum number of concurrent loads from the weight store.
    pub parallel_loads: u32,
    /// Whether the model `one` is configured.
    pub has_one: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            four_v2_serves: false,
            three_v2_serves: false,
            copies_of_two: 2,
            parallel_loads: 4,
            has_one: true,
        }
    }
}

/// The configuration of all models, adapters and the policy.
pub fn configuration(revision: u64, rules: Rules) -> Configuration {
    let version = |gigabytes| {
        ConfigurationItem::Version(VersionSpec {
            checkpoint: "weights".to_owned(),
            weights: ByteSize(gigabytes * GIGABYTE),
            kv_cache: ByteSize(GIGABYTE),
        })
    };
    let adapter = |at_most| {
        ConfigurationItem::Adapter(AdapterSpec {
            checkpoint: "weights".to_owned(),
            weights: ByteSize(GIGABYTE),
            at_most,
        })
    };
    let serving = if rules.four_v2_serves { "v2" } else { "v1" };
    let serving_of_three = if rules.three_v2_serves { "v2" } else { "v1" };
    let policy = PolicySpec {
        weight_store_parallel: rules.parallel_loads,
        weight_store_per_second: 20.0,
        keep_alive_min_ms: 3_000,
        keep_alive_max_ms: 3_000,
        ..PolicySpec::default()
    };
    let items = [
        ("model.one", model(0, 1, &[], "v1")),
        ("version.one@v1", version(3)),
        ("adapter.one:a", adapter(1)),
        ("model.two", model(0, rules.copies_of_two, &[], "v1")),
        ("version.two@v1", version(5)),
        ("adapter.two:b", adapter(2)),
        ("model.three", model(0, 1, &["alpha"], serving_of_three)),
        ("version.three@v1", version(4)),
        ("version.three@v2", version(4)),
        ("model.four", model(1, 2, &[], serving)),
        ("version.four@v1", version(3)),
        ("version.four@v2", version(4)),
        ("policy", ConfigurationItem::Policy(policy)),
    ];
    let configured = items
        .into_iter()
        .filter(|(key, _)| rules.has_one || !key.contains(".one"));
    let keyed = configured.map(|(key, item)| {
        let key: ItemKey = key.parse().expect("a key");
        (key, Revision(revision), item)
    });
    Configuration::new(Revision(revision), keyed)
}
