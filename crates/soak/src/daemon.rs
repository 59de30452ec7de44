//! One daemon as a process of its own.

use std::fmt::Write as _;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use crate::regions::{REGIONS, Region};
use anyhow::Context;
use flaxward_platform_stand_in::caller::READY_PATH;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::RngExt;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// Time from the order to stop until the process must have ended.
pub const STOP_GRACE: Duration = Duration::from_secs(8);
/// Time allowed beyond the grace, for a busy machine.
const STOP_SLACK: Duration = Duration::from_secs(1);
/// Pause between looks at whether a daemon is ready.
const READY_PAUSE: Duration = Duration::from_millis(50);

/// Addresses of a daemon, which stay the same when it starts again.
#[derive(Clone, Copy, Debug)]
struct Addresses {
    clients: SocketAddr,
    ready: SocketAddr,
    peers: SocketAddr,
}

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// In time and without an error.
    Clean,
    /// With an error.
    Failed,
    /// Not in time; it was killed.
    TooLate,
}

/// A daemon.
#[derive(Debug)]
pub struct Daemon {
    name: String,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    addresses: Addresses,
    child: Option<Child>,
}

/// Ports from which those of daemons are taken: below the ones that the system gives to connections, since
/// a daemon that starts again must find its own free.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// An address of which both ports, TCP and UDP, are free now.
fn free_address() -> std::io::Result<SocketAddr> {
    loop {
        let port = rand::rng().random_range(PORTS);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let udp = UdpSocket::bind(address);
        match TcpListener::bind(address).and(udp) {
            Ok(_) => return Ok(address),
            Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
}

impl Daemon {
    /// Writes the settings of a daemon in a folder. It does not run yet.
    ///
    /// # Errors
    /// Fails if no port is free or the settings cannot be written.
    pub fn prepare(
        index: usize,
        region: Region,
        binary: &Path,
        folder: &Path,
        store: SocketAddr,
    ) -> anyhow::Result<Self> {
        let name = format!("daemon-{index}");
        let addresses = Addresses {
            clients: free_address()?,
            ready: free_address()?,
            peers: free_address()?,
        };
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, settings_text(&name, region, addresses, store)?)
            .with_context(|| format!("cannot write {}", settings.display()))?;
        Ok(Self {
            log: folder.join(format!("{name}.log")),
            name,
            binary: binary.to_owned(),
            settings,
            addresses,
            child: None,
        })
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where clients reach it.
    pub fn address(&self) -> SocketAddr {
        self.addresses.clients
    }

    /// Starts the process.
    ///
    /// # Errors
    /// Fails if it cannot be started.
    pub fn start(&mut self) -> anyhow::Result<()> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(&self.binary)
            .args(["serve", "--config"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("cannot start {}", self.binary.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Waits until it says that it is ready, for some time at most.
    pub async fn until_ready(&self, patience: Duration) -> bool {
        let client = reqwest::Client::builder().no_proxy().build();
        let Ok(client) = client else {
            return false;
        };
        let url = format!("http://{}{READY_PATH}", self.addresses.ready);
        let end = Instant::now() + patience;
        while Instant::now() < end {
            let asked = client
                .get(&url)
                .timeout(Duration::from_secs(1))
                .send()
                .await;
            if asked.is_ok_and(|answer| answer.status().is_success()) {
                return true;
            }
            sleep(READY_PAUSE).await;
        }
        false
    }

    /// Whether the process has ended although nobody ended it.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        if let Some(id) = id.and_then(|id| i32::try_from(id).ok()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Kills the process.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Stops the process as planned, and kills it if it does not end in time.
    pub async fn stop(&mut self) -> Stop {
        self.signal(Signal::SIGTERM);
        let Some(mut child) = self.child.take() else {
            return Stop::Failed;
        };
        match timeout(STOP_GRACE + STOP_SLACK, child.wait()).await {
            Ok(Ok(status)) if status.success() => Stop::Clean,
            Ok(_) => Stop::Failed,
            Err(_) => {
                let _ = child.kill().await;
                Stop::TooLate
            }
        }
    }
}

/// The settings of a daemon.
fn settings_text(
    name: &str,
    region: Region,
    addresses: Addresses,
    store: SocketAddr,
) -> anyhow::Result<String> {
    let mut text = String::new();
    writeln!(text, "[ingress]\nname = {name:?}\nzone = {:?}", region.zone)?;
    writeln!(text, "listen = \"{}\"", addresses.clients)?;
    writeln!(text, "ready_listen = \"{}\"", addresses.ready)?;
    writeln!(text, "peer_listen = \"{}\"", addresses.peers)?;
    writeln!(text, "stop_grace = \"{}s\"", STOP_GRACE.as_secs())?;
    writeln!(text, "[regions]")?;
    for Region { name, zone } in REGIONS {
        writeln!(text, "{zone:?} = {name:?}")?;
    }
    writeln!(text, "[store]\naddress = \"{store}\"")?;
    writeln!(
        text,
        "[coordinator]\nlease_duration = \"3s\"\nload_window = \"5s\""
    )?;
    writeln!(text, "[retries]\nratio = 0.2\nallowance = 50")?;
    writeln!(text, "window = \"10s\"")?;
    // Short, so that what follows the first quarantine is played too.
    writeln!(text, "[quarantine]\nfirst = \"4s\"")?;
    Ok(text)
}
