//! One daemon as a process of its own.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use anyhow::Context;
use flaxward_platform_stand_in::caller::READY_PATH;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

use crate::ports::Ports;

/// Time from the order to stop until the process must have ended.
pub const STOP_GRACE: Duration = Duration::from_secs(8);
/// Time allowed beyond the grace, for a busy machine.
const STOP_SLACK: Duration = Duration::from_secs(1);
/// Pause between looks at whether a daemon is ready.
const READY_PAUSE: Duration = Duration::from_millis(50);

/// Addresses of a daemon, which stay the same when it starts again.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Where clients reach it.
    pub clients: SocketAddr,
    /// Where it says whether it is ready.
    pub ready: SocketAddr,
    /// Where other daemons reach it.
    pub peers: SocketAddr,
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
    /// Builds that take turns from start to start.
    binaries: Vec<PathBuf>,
    starts: usize,
    settings: PathBuf,
    log: PathBuf,
    addresses: Addresses,
    child: Option<Child>,
}

impl Daemon {
    /// Writes the settings of a daemon in a folder. It does not run yet. Of several builds the first one runs first.
    ///
    /// # Errors
    /// Fails if no port is free or the settings cannot be made or written.
    pub fn prepare(
        name: &str,
        binaries: &[PathBuf],
        folder: &Path,
        ports: &mut Ports,
        settings_text: impl FnOnce(Addresses) -> anyhow::Result<String>,
    ) -> anyhow::Result<Self> {
        let addresses = Addresses {
            clients: ports.free_address()?,
            ready: ports.free_address()?,
            peers: ports.free_address()?,
        };
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, settings_text(addresses)?)
            .with_context(|| format!("cannot write {}", settings.display()))?;
        Ok(Self {
            log: folder.join(format!("{name}.log")),
            name: name.to_owned(),
            binaries: binaries.to_vec(),
            starts: 0,
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

    /// Identity of the process, while it runs.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
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
        let binary = self.binaries.get(self.starts % self.binaries.len().max(1));
        let binary = binary.context("there is no build to start")?;
        self.starts += 1;
        let child = Command::new(binary)
            .args(["serve", "--config"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("cannot start {}", binary.display()))?;
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
