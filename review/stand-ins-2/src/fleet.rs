//! Daemons as separate processes, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// Bounds of a small deployment, as andrade-ops.toml and its sheet have them.
pub const LEASE_MS: u64 = 3_000;
pub const CONFIG_APPLY_MS: u64 = 2_000;
pub const DRAIN_MS: u64 = 2_000;
pub const CONTACT_MS: u64 = 3_000;

pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Fleet {
    pub daemons: Vec<Daemon>,
    program: PathBuf,
    record: Record,
}

/// Ports below those that the system gives to outgoing connections, so that none of these takes one before its daemon.
struct FreePorts {
    next: u16,
}

impl FreePorts {
    fn new() -> Self {
        let spread = std::process::id() % 400 * 40;
        Self {
            next: 12_000 + u16::try_from(spread).unwrap_or(0),
        }
    }

    /// An address that is free over TCP and UDP.
    fn take(&mut self) -> SocketAddr {
        loop {
            let address = SocketAddr::from(([127, 0, 0, 1], self.next));
            self.next = if self.next < 31_000 {
                self.next + 1
            } else {
                12_000
            };
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return address;
            }
        }
    }
}

impl Fleet {
    /// Writes the settings of the daemons, as the template of the deploy file gives them. Starts none.
    pub fn new(
        count: usize,
        zones: &[&str],
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> Self {
        let program = std::env::var("FLAXWARD").unwrap_or("target/release/flaxward".to_owned());
        let regions: String = zones
            .iter()
            .map(|zone| format!("{zone:?} = \"costa\"\n"))
            .collect();
        let mut ports = FreePorts::new();
        let daemon = |index: usize| {
            let zone = zones[index % zones.len()].to_owned();
            let name = format!("front-{zone}-{}", index / zones.len() + 1);
            let (front, ready) = (ports.take(), ports.take());
            let (peers, metrics) = (ports.take(), ports.take());
            let settings = folder.join(format!("{name}.toml"));
            let text = format!(
                "[ingress]\nname = {name:?}\nzone = {zone:?}\nlisten = \"{front}\"\n\
                 ready_listen = \"{ready}\"\npeer_listen = \"{peers}\"\nmetrics_listen = \"{metrics}\"\n\
                 stop_grace = \"8s\"\n\n[regions]\n{regions}\n[store]\naddress = \"{store}\"\n\n\
                 [coordinator]\nlease_duration = \"{LEASE_MS}ms\"\nload_window = \"5s\"\n\n\
                 [retries]\nratio = 0.2\nallowance = 58\nwindow = \"10s\"\n\n\
                 [news]\nconfiguration = \"{CONFIG_APPLY_MS}ms\"\ndraining = \"{DRAIN_MS}ms\"\n\n\
                 [machine]\nprocessor_share = 0.25\nlink_mbps = 1000.0\nmemory_mb = 260\ndescriptors = 4100\n"
            );
            fs::write(&settings, text).expect("the settings can be written");
            Daemon {
                log: folder.join(format!("{name}.log")),
                name,
                front,
                ready,
                settings,
                child: None,
            }
        };
        Self {
            daemons: (0..count).map(daemon).collect(),
            program: PathBuf::from(program),
            record: record.clone(),
        }
    }

    pub fn start(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        let log = File::options().create(true).append(true).open(&daemon.log);
        let log = log.expect("the log can be written");
        let child = Command::new(&self.program)
            .args(["serve", "--config"])
            .arg(&daemon.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        self.record.line(&format!("start {}", daemon.name));
        daemon.child = Some(child);
    }

    /// Kills several at the same moment.
    pub fn kill_together(&mut self, indices: &[usize]) {
        let mut children = Vec::new();
        for &index in indices {
            self.record
                .line(&format!("SIGKILL to {}", self.daemons[index].name));
            children.extend(self.daemons[index].child.take());
        }
        for child in &mut children {
            let _ = child.kill();
        }
        for child in &mut children {
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let timeout = Duration::from_millis(500);
        let ready = self.daemons[index].ready;
        let Some(mut reader) = http::send(ready, "GET /v1/ready", &[("Host", "x")], b"", timeout)
        else {
            return false;
        };
        http::read_head(&mut reader).is_some_and(|head| head.status() == 200)
    }

    /// Waits until all daemons are ready. Returns whether they are.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        loop {
            if (0..self.daemons.len()).all(|index| self.is_ready(index)) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            if let Some(mut child) = daemon.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}
