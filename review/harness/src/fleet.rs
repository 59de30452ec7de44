//! A small deployment: a store, runners and daemons.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::HOST;
use crate::daemon::{Daemon, Machine, Ports};
use crate::json::{Json, number, object, text};
use crate::record::Record;
use crate::runner::Runners;
use crate::store::Store;

pub const MODEL: &str = "model-1";
pub const SERVICE: &str = "lm-pool";
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// `contact_ms` of the small deployment, in s.
pub const CONTACT: f64 = 3.0;

pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub runners: Arc<Runners>,
    pub daemons: Vec<Daemon>,
    folder: PathBuf,
}

/// A route of streams that may be resumed, like `fault-summary` of the small deployment.
pub fn stream_route(name: &str, prefix: &str) -> Json {
    object([
        ("name", text(name)),
        ("host", text(HOST)),
        ("prefix", text(prefix)),
        ("kind", text("stream")),
        ("timeout_ms", number(15_000)),
        ("target_ms", number(600)),
        ("priority", number(1)),
        ("service", text(SERVICE)),
        ("max_attempts", number(2)),
        ("sticky", Json::Bool(true)),
        ("can_resume", Json::Bool(true)),
        ("gap_target_ms", number(300)),
    ])
}

fn engine_service() -> Json {
    let model = object([
        ("name", text(MODEL)),
        ("weights_mb", number(72_700)),
        ("load_s", number(2.5)),
        ("adapters", number(0)),
        ("adapter_mb", number(66)),
        ("warm_s", number(0.9)),
        ("disk_load_s", number(1.2)),
    ]);
    let engine = object([
        ("slots", number(64)),
        ("kv_tokens", number(130_679)),
        ("weights_mb", number(200_000)),
        ("adapter_slots", number(8)),
        ("loads_per_s", number(2.2)),
        ("models", Json::List(vec![model])),
    ]);
    object([
        ("name", text(SERVICE)),
        ("health_path", text("/health")),
        ("max_conns", number(360)),
        ("engine", engine),
    ])
}

impl Fleet {
    /// Starts a store with a configuration, and prepares daemons; neither these nor runners run yet.
    pub fn prepare(record: &Arc<Record>, root: &Path, daemons: usize) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("flaxward-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Arc::new(Store::start()?);
        let ports = Ports::find(daemons)?;
        let prepared: io::Result<Vec<Daemon>> = (0..daemons)
            .map(|index| {
                Daemon::prepare(
                    root,
                    &folder,
                    ports,
                    index,
                    ZONES[index % 3],
                    store.address,
                    Machine::SMALL_SITE,
                )
            })
            .collect();
        Ok(Self {
            record: record.clone(),
            runners: Runners::new(record.clone(), store.clone()),
            store,
            daemons: prepared?,
            folder,
        })
    }

    pub fn publish(&self, version: u64, routes: Vec<Json>) {
        let limits = object([
            ("header_bytes", number(16_384)),
            ("body_bytes", number(4_194_304)),
            ("header_ms", number(10_000)),
            ("idle_ms", number(30_000)),
        ]);
        let spec = object([
            ("version", number(version)),
            ("routes", Json::List(routes)),
            ("services", Json::List(vec![engine_service()])),
            ("limits", limits),
        ]);
        self.store.put("config", "main", spec);
    }

    /// Starts all daemons and waits until each is ready.
    pub fn start_daemons(&mut self) -> io::Result<()> {
        for daemon in &mut self.daemons {
            daemon.start()?;
            self.record.tell(format!("{} starts", daemon.name));
        }
        self.wait_until_ready()
    }

    pub fn wait_until_ready(&self) -> io::Result<()> {
        for daemon in &self.daemons {
            if !daemon.wait_until_ready(Duration::from_secs(15)) {
                return Err(io::Error::other(format!("{} is not ready", daemon.name)));
            }
        }
        self.record.tell("all daemons are ready");
        Ok(())
    }

    /// Kills some daemons at the same moment; each starts again a while later.
    pub fn kill(&mut self, indices: &[usize], pause: Duration) -> io::Result<()> {
        for index in indices {
            self.daemons[*index].kill();
            self.record
                .tell(format!("{} is killed", self.daemons[*index].name));
        }
        thread::sleep(pause);
        for index in indices {
            self.daemons[*index].start()?;
            self.record
                .tell(format!("{} starts again", self.daemons[*index].name));
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_some() {
            println!("logs are in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
