//! What a simulated region is made of.

use std::time::Duration;

use bytesize::ByteSize;
use flaxward_control::coordinator::{CoordinatorSettings, Weakness};
use flaxward_control::gossip::GossipSettings;
use flaxward_types::configuration::{
    AdapterSpec, CopyRule, ModelSpec, PolicySpec, ServiceSpec, VersionSpec,
};
use flaxward_types::{ConfigurationItem, ItemKey, ServiceName, ZoneName};

use crate::gateway::GatewaySettings;

/// One unit of memory.
pub const GIGABYTE: u64 = 1_000_000_000;

/// One zone.
#[derive(Clone, Debug)]
pub struct ZoneSettings {
    /// Its name.
    pub name: ZoneName,
    /// Daemons.
    pub daemons: usize,
    /// Machines with engines.
    pub engines: usize,
    /// Machines of each service.
    pub services: usize,
}

/// A region and its times.
#[derive(Clone, Debug)]
pub struct RegionSettings {
    /// Its zones.
    pub zones: Vec<ZoneSettings>,
    /// The services that its service machines run.
    pub services: Vec<ServiceName>,
    /// What operators have written before the start.
    pub items: Vec<(ItemKey, ConfigurationItem)>,
    /// Accelerator memory of each engine, in bytes.
    pub engine_memory: u64,
    /// Speed of one load from the weight store, in bytes a second.
    pub weight_store_speed: u64,
    /// Loads from the weight store at full speed; more share it.
    pub weight_store_parallel: u32,
    /// Speed of a load from disk, in bytes a second.
    pub disk_speed: u64,
    /// Speed of a load from main memory, in bytes a second.
    pub memory_speed: u64,
    /// Time between two tokens.
    pub token_time: Duration,
    /// Longest lag of the machine list.
    pub machine_list_lag: Duration,
    /// Longest time that a service works on a request.
    pub service_time: Duration,
    /// Largest drift of a process's clock, in parts per million.
    pub clock_drift: i64,
    /// Settings of coordinators.
    pub coordinator: CoordinatorSettings,
    /// Settings of gossip.
    pub gossip: GossipSettings,
    /// Settings of gateways.
    pub gateway: GatewaySettings,
    /// A rule that coordinators leave out on purpose.
    pub weakness: Weakness,
    /// Whether envelopes are encoded and decoded on their way.
    pub encodes: bool,
    /// Whether what happens is printed.
    pub traces: bool,
}

impl RegionSettings {
    /// Three zones with two, two and one daemons; five models, two adapters and one service; short
    /// loads and keep-alive, so that much happens in little virtual time.
    pub fn small() -> Self {
        let zone = |name, daemons| ZoneSettings {
            name: ZoneName::literal(name),
            daemons,
            engines: 2,
            services: 1,
        };
        Self {
            zones: vec![zone("alpha", 2), zone("beta", 2), zone("gamma", 1)],
            services: vec![ServiceName::literal("orders")],
            items: small_configuration(),
            engine_memory: 10 * GIGABYTE,
            weight_store_speed: 2 * GIGABYTE,
            weight_store_parallel: 4,
            disk_speed: 8 * GIGABYTE,
            memory_speed: 20 * GIGABYTE,
            token_time: Duration::from_millis(40),
            machine_list_lag: Duration::from_secs(3),
            service_time: Duration::from_millis(400),
            clock_drift: 2_000,
            coordinator: CoordinatorSettings {
                load_timeout: Duration::from_secs(15),
                load_backoff: Duration::from_secs(2),
                remote_bytes_per_second: 2 * GIGABYTE,
                disk_bytes_per_second: 8 * GIGABYTE,
                ..CoordinatorSettings::default()
            },
            gossip: GossipSettings::default(),
            gateway: GatewaySettings::default(),
            weakness: Weakness::None,
            encodes: false,
            traces: false,
        }
    }
}

fn key(text: &str) -> ItemKey {
    text.parse().expect("a literal key is valid")
}

/// A model with this rule and serving version.
pub fn model(at_least: u32, at_most: u32, zones: &[&str], serving: &str) -> ConfigurationItem {
    ConfigurationItem::Model(ModelSpec {
        serving: serving.parse().expect("a literal version is valid"),
        copies: CopyRule {
            at_least,
            at_most,
            zones: zones.iter().map(|zone| ZoneName::literal(zone)).collect(),
        },
        priority: 1,
        queue_limit: 50,
    })
}

fn small_configuration() -> Vec<(ItemKey, ConfigurationItem)> {
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
    let policy = PolicySpec {
        weight_store_parallel: 4,
        weight_store_per_second: 20.0,
        keep_alive_min_ms: 3_000,
        keep_alive_max_ms: 3_000,
        ..PolicySpec::default()
    };
    vec![
        (key("model.one"), model(0, 1, &[], "v1")),
        (key("version.one@v1"), version(3)),
        (key("adapter.one:a"), adapter(1)),
        (key("model.two"), model(0, 2, &[], "v1")),
        (key("version.two@v1"), version(5)),
        (key("adapter.two:b"), adapter(2)),
        (key("model.three"), model(0, 1, &["alpha"], "v1")),
        (key("version.three@v1"), version(4)),
        (key("model.four"), model(1, 2, &[], "v1")),
        (key("version.four@v1"), version(3)),
        (key("version.four@v2"), version(4)),
        (
            key("service.orders"),
            ConfigurationItem::Service(ServiceSpec { concurrency: 4 }),
        ),
        (key("policy"), ConfigurationItem::Policy(policy)),
    ]
}
