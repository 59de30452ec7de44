//! A region: a platform of stand-ins in this process and daemons as processes.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use flaxward_backends::Collection;
use flaxward_emulator::engine::{EngineConfig, EngineTiming};
use flaxward_emulator::machines::MachineListConfig;
use flaxward_emulator::objects::API_PATH;
use flaxward_emulator::{Platform, PlatformConfig, ZoneConfig};
use flaxward_operators::client::Connection;
use flaxward_operators::{Answer, ErrorDetail};
use flaxward_types::{ServiceName, ZoneName};
use serde_json::Value;
use tokio::sync::{Semaphore, SemaphorePermit};

use super::callers::{Ask, Ending, ask};
use super::daemon::{Daemon, Settings};
use super::eventually;
use super::network::Network;

/// The zones.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Regions at one time, so that small machines keep up.
static PLACES: Semaphore = Semaphore::const_new(3);

/// Durations scaled down, so that what takes minutes in service takes seconds here.
const SCALED: &[(&str, &str)] = &[
    ("platform.object_api_timeout", "1s"),
    ("platform.machine_list_interval", "200ms"),
    ("platform.engine_timeout", "1s"),
    ("gateway.default_deadline", "30s"),
    ("gateway.demand_renewal", "300ms"),
    ("gateway.running_demand_period", "600ms"),
    ("coordinator.lease_duration", "1500ms"),
    ("coordinator.lease_renewal", "300ms"),
    ("coordinator.clock_drift", "100ms"),
    ("coordinator.order_retry", "300ms"),
    ("coordinator.inventory_poll", "50ms"),
    ("coordinator.inventory_refresh", "500ms"),
    ("coordinator.load_backoff", "300ms"),
    ("coordinator.demand_expiry", "2s"),
    ("membership.probe_interval", "200ms"),
    ("membership.probe_timeout", "100ms"),
    ("membership.suspicion", "600ms"),
];

/// What a region is made of.
pub struct Shape {
    /// Zones used, from the first.
    pub zones: usize,
    /// Daemons in each zone.
    pub daemons: u32,
    /// Engines in each zone.
    pub engines: u32,
    /// Machines of `field-api` in each zone.
    pub services: u32,
    /// Memory of an engine, in bytes.
    pub memory: u64,
    /// Times of the engines.
    pub timing: EngineTiming,
    /// Time of a request to a service, in milliseconds.
    pub service_time_ms: u64,
    /// How late changes show up in the machine list, in milliseconds.
    pub machine_list_lag_ms: u64,
    /// Whether zones can be cut off from each other; see [`Region::network`].
    pub can_be_cut: bool,
    /// Settings that differ from the scaled ones.
    pub settings: &'static [(&'static str, &'static str)],
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            zones: ZONES.len(),
            daemons: 1,
            engines: 2,
            services: 0,
            memory: 16 << 30,
            timing: EngineTiming {
                load_ms: 400,
                decode_us: 2_000,
                ..EngineTiming::default()
            },
            service_time_ms: 0,
            machine_list_lag_ms: 100,
            can_be_cut: false,
            settings: &[],
        }
    }
}

/// A running region.
pub struct Region {
    /// The stand-ins.
    pub platform: Platform,
    /// The daemons, in the order of their start.
    pub daemons: Vec<Daemon>,
    /// The callers' client.
    pub http: reqwest::Client,
    /// What the daemons' messages to each other go through, if zones can be cut off.
    pub network: Option<Network>,
    shape: Shape,
    directory: PathBuf,
    started: u32,
    _place: SemaphorePermit<'static>,
}

impl Region {
    /// Starts a region, configures it and waits until all of it is in force.
    pub async fn start(shape: Shape, commands: &[&str]) -> Self {
        let place = PLACES.acquire().await.expect("the places stay open");
        let platform = Platform::start(platform_config(&shape)).await;
        let http = reqwest::Client::builder().no_proxy().build();
        let network = match shape.can_be_cut {
            true => Some(Network::start().await),
            false => None,
        };
        let mut region = Self {
            platform: platform.expect("the stand-ins start"),
            daemons: Vec::new(),
            http: http.expect("a client"),
            network,
            directory: new_directory(),
            started: 0,
            shape,
            _place: place,
        };
        for zone in &ZONES[..region.shape.zones] {
            for _ in 0..region.shape.daemons {
                region.add_daemon(zone).await;
            }
        }
        for command in commands {
            region.command(0, command).await;
        }
        region.settle().await;
        region
    }

    /// Starts one more daemon; answers its place among the daemons.
    pub async fn add_daemon(&mut self, zone: &str) -> usize {
        self.started += 1;
        let name = format!("daemon-{}", self.started);
        let mut settings = self.settings(&name, zone);
        if let Some(network) = &self.network {
            network.join(&mut settings).await;
        }
        self.daemons
            .push(Daemon::start(&self.directory, &settings).await);
        self.daemons.len() - 1
    }

    /// Starts a daemon anew that has ended, under its name and at new addresses.
    pub async fn restart(&mut self, daemon: usize) {
        let ended = &self.daemons[daemon];
        let settings = self.settings(&ended.name, &ended.zone);
        self.daemons[daemon] = Daemon::start(&self.directory, &settings).await;
    }

    /// The settings of a daemon that joins the others.
    pub fn settings(&self, name: &str, zone: &str) -> Settings {
        let seeds: Vec<&str> = self
            .daemons
            .iter()
            .map(|daemon| daemon.peer_address.as_str())
            .collect();
        let own = [
            ("daemon.name", name.to_owned()),
            ("daemon.zone", zone.to_owned()),
            ("daemon.zones", ZONES[..self.shape.zones].join(",")),
            ("daemon.listen", "127.0.0.1:0".to_owned()),
            ("daemon.peer_listen", "127.0.0.1:0".to_owned()),
            ("daemon.seeds", seeds.join(",")),
            ("platform.object_api", self.platform.objects.url()),
            ("platform.machine_list", self.platform.machines.url()),
        ];
        let own = own.map(|(key, value)| (key.to_owned(), value));
        let scaled = SCALED.iter().chain(self.shape.settings);
        let scaled = scaled.map(|(key, value)| ((*key).to_owned(), (*value).to_owned()));
        own.into_iter().chain(scaled).collect()
    }

    /// Writes a file that goes away with the region.
    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.directory.join(name);
        std::fs::write(&path, text).expect("the file is written");
        path
    }

    /// Runs an operator's command at a daemon.
    pub async fn execute(&self, daemon: usize, command: &str) -> Result<Answer, ErrorDetail> {
        let connection = Connection::new(&self.daemons[daemon].address).expect("a client");
        let answer = connection.execute(command).await;
        answer.map_err(|body| body.error)
    }

    /// Runs an operator's command that must succeed.
    pub async fn command(&self, daemon: usize, command: &str) -> Answer {
        match self.execute(daemon, command).await {
            Ok(answer) => answer,
            Err(error) => panic!("{command}: {error:?}"),
        }
    }

    /// Rows that a daemon shows, each as the values of some columns.
    pub async fn rows(&self, daemon: usize, command: &str, columns: &[&str]) -> Vec<Vec<Value>> {
        let answer = self.command(daemon, command).await;
        let row = |row: &serde_json::Map<String, Value>| {
            columns.iter().map(|name| row[*name].clone()).collect()
        };
        answer.rows.iter().map(row).collect()
    }

    /// Waits until every zone has a coordinator and the newest configuration is in force everywhere.
    pub async fn settle(&self) {
        eventually("the region settles", async || self.is_settled().await).await;
    }

    async fn is_settled(&self) -> bool {
        let newest = self.newest_configuration();
        for daemon in 0..self.daemons.len() {
            let zones = self.rows(daemon, "show zones", &["coordinator"]).await;
            let revisions = self.rows(daemon, "show config", &["revision"]).await;
            let in_force = |row: &Vec<Value>| row[0].as_u64() >= Some(newest);
            let settled = zones.len() == self.shape.zones
                && revisions.len() == self.daemons.len()
                && revisions.iter().all(in_force);
            if !settled {
                return false;
            }
        }
        true
    }

    /// Waits until every daemon knows a machine of a service.
    pub async fn wait_for_services(&self, service: &str) {
        for daemon in &self.daemons {
            let url = format!("http://{}/services/{service}/ping", daemon.address);
            eventually("a machine of the service is known", async || {
                let answer = self.http.get(&url).send().await.expect("an answer");
                answer.status().is_success()
            })
            .await;
        }
    }

    /// Revision of the last change of configuration.
    pub fn newest_configuration(&self) -> u64 {
        let writes = self.platform.objects.record();
        let mut changes = writes
            .iter()
            .filter(|write| write.collection == "configurations");
        changes.next_back().map_or(0, |write| write.revision)
    }

    /// Whether a slot for an artifact is recorded, in this zone or in any.
    pub async fn has_slot(&self, artifact: &str, zone: Option<&str>) -> bool {
        let url = format!(
            "{}/{API_PATH}/{}",
            self.platform.objects.url(),
            Collection::Placements
        );
        let response = self.http.get(url).send().await.expect("an answer");
        let list: Value = response.json().await.expect("a list");
        let placements = list["items"].as_array().expect("a list").iter();
        let mut placements =
            placements.filter(|item| zone.is_none_or(|zone| item["metadata"]["name"] == zone));
        placements.any(|item| {
            let slots = item["spec"]["slots"].as_array().expect("a list");
            slots.iter().any(|slot| slot["artifact"] == artifact)
        })
    }

    /// Place of the daemon that coordinates a zone, as a daemon sees it.
    pub async fn coordinator(&self, asked: usize, zone: &str) -> Option<usize> {
        let rows = self.rows(asked, "show zones", &["name", "coordinator"]);
        let rows = rows.await;
        let row = rows.iter().find(|row| row[0] == zone)?;
        self.daemons.iter().position(|daemon| row[1] == daemon.name)
    }

    /// Sends a request to a daemon.
    pub async fn ask(&self, daemon: usize, request: &Ask) -> Ending {
        ask(&self.http, &self.daemons[daemon].address, request).await
    }

    /// Sends many requests at once, the first to the first daemon, and so on around.
    pub async fn ask_all(&self, requests: &[Ask]) -> Vec<Ending> {
        let asking = requests.iter().enumerate().map(|(number, request)| {
            let daemon = number % self.daemons.len();
            self.ask(daemon, request)
        });
        futures::future::join_all(asking).await
    }
}

impl Drop for Region {
    fn drop(&mut self) {
        // What is left behind in the build directory does no harm.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn platform_config(shape: &Shape) -> PlatformConfig {
    let zone = |name: &&str| ZoneConfig {
        name: ZoneName::literal(name),
        engines: shape.engines,
        services: BTreeMap::from([(ServiceName::literal("field-api"), shape.services)]),
    };
    PlatformConfig {
        zones: ZONES[..shape.zones].iter().map(zone).collect(),
        machines: MachineListConfig {
            lag_ms: shape.machine_list_lag_ms,
            ..MachineListConfig::default()
        },
        engine: EngineConfig {
            memory: shape.memory,
            timing: shape.timing.clone(),
            ..EngineConfig::default()
        },
        service_time_ms: shape.service_time_ms,
        ..PlatformConfig::default()
    }
}

fn new_directory() -> PathBuf {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("region-{}-{number}", std::process::id());
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).expect("the directory is made");
    directory
}
