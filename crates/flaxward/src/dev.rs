//! `flaxward dev`: an emulated platform and three daemons in one process, to try things out.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use anyhow::{Context, anyhow};
use flaxward_emulator::engine::{EngineConfig, EngineTiming};
use flaxward_emulator::machines::MachineListConfig;
use flaxward_emulator::weights::WeightStoreConfig;
use flaxward_emulator::{Platform, PlatformConfig, ZoneConfig};
use flaxward_operators::client::Connection;
use flaxward_settings::{Flags, Settings};
use flaxward_types::{ServiceName, ZoneName};
use metrics_exporter_prometheus::PrometheusHandle;

use crate::daemon::Daemon;

/// Zones of the emulated region, each with one daemon and some engines.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Engines in each zone.
const ENGINES_PER_ZONE: u32 = 2;

/// What is configured at the start, in the operators' language.
const SAMPLE_COMMANDS: &[&str] = &[
    "create version turbine-report@v1 checkpoint 'turbine-report/v1' weights 12GiB kv 4GiB",
    "create model turbine-report serving v1 copies at most 2 priority 5",
    "create adapter turbine-report:chiloe checkpoint 'turbine-report/chiloe' weights 200MiB",
    "create version fault-summary@v1 checkpoint 'fault-summary/v1' weights 30GiB kv 8GiB",
    "create model fault-summary serving v1 copies at most 1 priority 7",
    "create version parts-assistant@v1 checkpoint 'parts-assistant/v1' weights 8GiB kv 2GiB",
    "create version parts-assistant@v2 checkpoint 'parts-assistant/v2' weights 8GiB kv 2GiB",
    "create model parts-assistant serving v2 copies at most 3",
    "create service field-api concurrency 16",
];

/// Where the daemons of `flaxward dev` listen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ports {
    /// Port of the first daemon; the others take the next ones. 0 lets the system choose all.
    pub first: u16,
}

impl Ports {
    fn of_daemon(self, number: u16) -> u16 {
        if self.first == 0 {
            0
        } else {
            self.first + number
        }
    }
}

/// A running emulated region.
pub struct Region {
    /// The emulated platform.
    pub platform: Platform,
    /// The daemons, one in each zone.
    pub daemons: Vec<Daemon>,
}

impl Region {
    /// Starts the platform and the daemons, and configures the sample models.
    ///
    /// # Errors
    /// Fails if an address cannot be bound or a sample command is refused.
    pub async fn start(ports: Ports, metrics: Option<PrometheusHandle>) -> anyhow::Result<Self> {
        let platform = Platform::start(platform_config()).await?;
        let mut daemons: Vec<Daemon> = Vec::new();
        for (number, zone) in (0_u16..).zip(ZONES) {
            let seeds: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.peer_address).collect();
            let flags = daemon_flags(&platform, zone, ports.of_daemon(number), &seeds);
            let settings = Settings::load(&flags).map_err(|errors| anyhow!("{errors}"))?;
            daemons.push(Daemon::start(&settings, metrics.clone()).await?);
        }
        let region = Self { platform, daemons };
        region.configure().await?;
        Ok(region)
    }

    async fn configure(&self) -> anyhow::Result<()> {
        let daemon = self.daemons.first().context("there is a daemon")?;
        let connection = Connection::new(&daemon.address.to_string())?;
        for command in SAMPLE_COMMANDS {
            let answer = connection.execute(command).await;
            answer.map_err(|error| anyhow!("{command}: {}", error.error.message))?;
        }
        Ok(())
    }

    /// Stops the daemons as planned, then the platform.
    pub async fn stop(self) {
        futures::future::join_all(self.daemons.into_iter().map(Daemon::stop)).await;
        self.platform.shutdown().await;
    }

    /// What to try, for people.
    pub fn introduction(&self) -> String {
        let addresses: Vec<String> = self
            .daemons
            .iter()
            .map(|daemon| daemon.address.to_string())
            .collect();
        let first = addresses.first().cloned().unwrap_or_default();
        format!(
            "Three daemons listen on {}.\n\
             Ask a model that sleeps; the first request wakes it:\n\n  \
             curl -N http://{first}/v1/completions -d \
             '{{\"model\": \"turbine-report\", \"prompt\": \"Turbine 7 stopped.\", \
             \"max_tokens\": 12, \"stream\": true}}'\n\n\
             Ask how things stand, and why:\n\n  \
             flaxward query --daemon {first} 'show models'\n  \
             flaxward query --daemon {first} 'explain model turbine-report'\n\n\
             Ctrl-C stops everything as planned.\n",
            addresses.join(", "),
        )
    }
}

fn platform_config() -> PlatformConfig {
    let zone = |name: &str| ZoneConfig {
        name: ZoneName::literal(name),
        engines: ENGINES_PER_ZONE,
        services: BTreeMap::from([(ServiceName::literal("field-api"), 1)]),
    };
    PlatformConfig {
        zones: ZONES.into_iter().map(zone).collect(),
        machines: MachineListConfig {
            lag_ms: 500,
            ..MachineListConfig::default()
        },
        weights: WeightStoreConfig {
            starts_per_second: 2.0,
            parallel: 8,
            bytes_per_second: 6 << 30,
            ..WeightStoreConfig::default()
        },
        engine: EngineConfig {
            timing: EngineTiming {
                prefill_us_per_thousand: 80_000,
                decode_us: 30_000,
                ..EngineTiming::default()
            },
            ..EngineConfig::default()
        },
        service_time_ms: 5,
        ..PlatformConfig::default()
    }
}

fn daemon_flags(platform: &Platform, zone: &str, port: u16, seeds: &[SocketAddr]) -> Flags {
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    Flags {
        name: Some(format!("daemon-{zone}")),
        zone: Some(zone.to_owned()),
        zones: Some(ZONES.join(",")),
        listen: Some(format!("127.0.0.1:{port}")),
        peer_listen: Some("127.0.0.1:0".to_owned()),
        seeds: Some(seeds.join(",")),
        object_api: Some(platform.objects.url()),
        machine_list: Some(platform.machines.url()),
        ..Flags::default()
    }
}
