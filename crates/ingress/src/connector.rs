//! Opens connections to runners, directly or through a relay, whichever is established first.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::names::RunnerId;
use flaxward_routing::runner_paths::{
    ATTEMPT_STAGGER, PartitionChange, Path, PathAttempt, PathLoss, RelayFailure,
};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::{Instant, sleep_until, timeout};

use crate::counters::{CONNECTIONS_OPENED, CONNECTIONS_RELAYED, DIRECT_PROBES, PARTITIONS};
use crate::network::ConnectError;
use crate::pool::{Connection, UsablePaths};
use crate::state::Shared;
use crate::tunnel::{self, TunnelError};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of a probe of the direct path, and of a relay's connection to a runner.
pub(crate) const DIRECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of other runners whose paths are checked when a path is found to be lost.
const CHECKED_RUNNERS: usize = 2;

/// Why one path did not provide a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PathError {
    Direct(ConnectError),
    Relay(SocketAddr, TunnelError),
}

impl PathError {
    /// Whether no other path can lead to a connection.
    fn is_conclusive(self) -> bool {
        matches!(self, Self::Relay(_, TunnelError::TargetRefused))
    }
}

/// Progress of one connection attempt over several paths.
#[derive(Debug, Default)]
struct Progress {
    direct: Option<DirectProgress>,
    /// Relays that have not answered yet, with their start times.
    pending_relays: Vec<(SocketAddr, Instant)>,
}

/// Progress of the direct path in one connection attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DirectProgress {
    Pending,
    Ended(ConnectError),
}

impl Progress {
    fn begin(&mut self, path: Path) {
        match path {
            Path::Direct => self.direct = Some(DirectProgress::Pending),
            Path::Relay(relay) => self.pending_relays.push((relay, Instant::now())),
        }
    }

    fn end_relay(&mut self, relay: SocketAddr) {
        self.pending_relays.retain(|(pending, _)| *pending != relay);
    }

    /// Relays that have had time to answer but have not.
    fn slow_relays(&self) -> impl Iterator<Item = SocketAddr> {
        let pending = self.pending_relays.iter();
        let slow = pending.filter(|(_, begun_at)| begun_at.elapsed() >= ATTEMPT_STAGGER);
        slow.map(|(relay, _)| *relay)
    }

    /// Why there is no direct connection: the errors of relays that do not reach the runner say nothing about it.
    fn direct_error(&self) -> ConnectError {
        match self.direct {
            Some(DirectProgress::Ended(error)) => error,
            Some(DirectProgress::Pending) | None => ConnectError::TimedOut,
        }
    }

    /// How the direct path is lost if a relay reaches the runner now.
    fn direct_loss(&self) -> Option<PathLoss> {
        self.direct.map(|direct| match direct {
            DirectProgress::Pending => PathLoss::Silent,
            DirectProgress::Ended(error) => path_loss(error),
        })
    }
}

impl Shared {
    /// Returns an idle connection to a runner that is ready for a request, or opens one.
    pub(crate) async fn connection(
        self: &Arc<Self>,
        address: SocketAddr,
        may_retry: bool,
    ) -> Result<Connection, ConnectError> {
        let paths = self.usable_paths(address);
        if let Some(connection) = self.pool.take_idle(address, may_retry, paths) {
            return Ok(connection);
        }
        self.connect(address).await
    }

    fn usable_paths(&self, address: SocketAddr) -> UsablePaths {
        let now = self.now();
        let tables = self.tables();
        UsablePaths {
            direct: tables.paths.is_established_usable(address, now),
            relayed: tables.paths.is_lost(address, now),
        }
    }

    /// Opens a connection to a runner.
    pub(crate) async fn connect(
        self: &Arc<Self>,
        address: SocketAddr,
    ) -> Result<Connection, ConnectError> {
        let now = self.now();
        let plan = self.tables().paths.plan(address, rand::random(), now);
        if plan.is_probe_due {
            tokio::spawn(probe_direct(self.clone(), address));
        }
        let mut progress = Progress::default();
        let racing = self.race(address, plan.attempts, &mut progress);
        let result = timeout(CONNECT_TIMEOUT, racing).await;
        self.record_slow_relays(address, &progress);
        let connection = result.map_err(|_| ConnectError::TimedOut)??;
        self.record_connected(&connection, &progress);
        Ok(connection)
    }

    /// Tries one path after the other, without waiting for a slow one to fail.
    async fn race(
        &self,
        address: SocketAddr,
        attempts: Vec<PathAttempt>,
        progress: &mut Progress,
    ) -> Result<Connection, ConnectError> {
        let started_at = Instant::now();
        let mut waiting = attempts.into_iter().peekable();
        let mut running = FuturesUnordered::new();
        let mut is_next_due = true;
        loop {
            if is_next_due && let Some(attempt) = waiting.next() {
                progress.begin(attempt.path);
                running.push(self.open(address, attempt.path));
            }
            let next_at = waiting.peek().map(|next| started_at + next.delay);
            tokio::select! {
                biased;
                Some(result) = running.next() => match result {
                    Ok(connection) => {
                        if let Path::Relay(relay) = connection.path() {
                            progress.end_relay(relay);
                        }
                        return Ok(connection);
                    }
                    Err(error) => {
                        self.record_failed(address, error, progress);
                        if error.is_conclusive() {
                            return Err(ConnectError::Refused);
                        }
                        if running.is_empty() && next_at.is_none() {
                            return Err(progress.direct_error());
                        }
                    }
                },
                () = sleep_until(next_at.unwrap_or(started_at)), if next_at.is_some() => {}
            }
            is_next_due = true;
        }
    }

    async fn open(&self, address: SocketAddr, path: Path) -> Result<Connection, PathError> {
        match path {
            Path::Direct => self.open_direct(address).await.map_err(PathError::Direct),
            Path::Relay(relay) => {
                let tunnel = tunnel::open(relay, address).await;
                let tunnel = tunnel.map_err(|error| PathError::Relay(relay, error))?;
                let connection = Connection::tunneled(tunnel, address, relay).await;
                connection.map_err(|_| PathError::Relay(relay, TunnelError::Silent))
            }
        }
    }

    async fn open_direct(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        metrics::counter!(CONNECTIONS_OPENED.name).increment(1);
        Connection::direct(&*self.settings.network, address).await
    }

    fn record_connected(self: &Arc<Self>, connection: &Connection, progress: &Progress) {
        let now = self.now();
        let address = connection.address();
        let Path::Relay(relay) = connection.path() else {
            let change = self.tables().paths.record_direct(address, now);
            self.record_partition_change(change);
            return;
        };
        self.tables().paths.record_relay_success(relay, now);
        metrics::counter!(CONNECTIONS_RELAYED.name).increment(1);
        let Some(loss) = progress.direct_loss() else {
            return;
        };
        let was_lost = self.tables().paths.is_lost(address, now);
        let change = self.tables().paths.record_loss(address, loss, now);
        if !was_lost {
            self.log_lost_path(address, loss, relay);
            self.check_other_paths(address);
        }
        self.record_partition_change(change);
    }

    fn record_failed(&self, address: SocketAddr, error: PathError, progress: &mut Progress) {
        match error {
            PathError::Direct(error) => progress.direct = Some(DirectProgress::Ended(error)),
            PathError::Relay(relay, error) => {
                progress.end_relay(relay);
                if let Some(failure) = relay_failure(error) {
                    self.record_relay_failure(relay, address, failure);
                }
            }
        }
    }

    fn record_slow_relays(&self, address: SocketAddr, progress: &Progress) {
        for relay in progress.slow_relays() {
            self.record_relay_failure(relay, address, RelayFailure::Refusing);
        }
    }

    fn record_relay_failure(&self, relay: SocketAddr, runner: SocketAddr, failure: RelayFailure) {
        let now = self.now();
        let mut tables = self.tables();
        tables
            .paths
            .record_relay_failure(relay, runner, failure, now);
    }

    /// Checks whether the paths to a few other runners are lost as well, so that a partition from all of them is
    /// detected before requests run into it.
    fn check_other_paths(self: &Arc<Self>, address: SocketAddr) {
        let now = self.now();
        if !self.tables().paths.take_check(now) {
            return;
        }
        let mut others: Vec<SocketAddr> = {
            let tables = self.tables();
            let listed = tables.runners.iter().map(|runner| runner.address);
            listed.filter(|other| *other != address).collect()
        };
        for _ in 0..CHECKED_RUNNERS.min(others.len()) {
            let other = others.swap_remove(rand::random_range(0..others.len()));
            self.check_path(other);
        }
    }

    /// Checks the paths to a runner in the background. The connection is kept for reuse.
    pub(crate) fn check_path(self: &Arc<Self>, address: SocketAddr) {
        let shared = self.clone();
        tokio::spawn(async move {
            if let Ok(connection) = shared.connect(address).await {
                shared.pool.put(connection);
            }
        });
    }

    /// Checks the path to a runner in the background.
    pub(crate) fn check_path_of(self: &Arc<Self>, runner: &RunnerId) {
        let address = self.tables().runners.get(runner).map(|it| it.address);
        if let Some(address) = address {
            self.check_path(address);
        }
    }

    /// Returns whether nothing listens at the address of a runner, as far as this daemon and its relays can tell. A
    /// connection established by this check is kept for reuse.
    pub(crate) async fn is_refused(self: &Arc<Self>, address: SocketAddr) -> bool {
        match self.connect(address).await {
            Ok(connection) => {
                self.pool.put(connection);
                false
            }
            Err(error) => error == ConnectError::Refused,
        }
    }

    /// Records that a runner has answered on an established connection.
    pub(crate) fn record_path_answer(self: &Arc<Self>, connection: &Connection) {
        if connection.path() != Path::Direct {
            return;
        }
        let now = self.now();
        let change = self.tables().paths.record_answer(connection.address(), now);
        self.record_partition_change(change);
    }

    fn log_lost_path(&self, address: SocketAddr, loss: PathLoss, relay: SocketAddr) {
        let fields: &[(&str, &dyn Display)] = &[
            ("runner_address", &address),
            ("loss", &format!("{loss:?}")),
            ("relay", &relay),
        ];
        self.log.write(self.now(), "path-lost", fields);
    }

    fn record_partition_change(&self, change: Option<PartitionChange>) {
        let now = self.now();
        match change {
            None => {}
            Some(PartitionChange::Partitioned { lost }) => {
                // The failed attempts say nothing about the runners.
                self.tables().health.end_ejections();
                metrics::counter!(PARTITIONS.name).increment(1);
                let fields: &[(&str, &dyn Display)] = &[("lost", &lost)];
                self.log.write(now, "partitioned-from-runners", fields);
                self.partition_changed.notify_one();
            }
            Some(PartitionChange::Reconnected { after }) => {
                let fields: &[(&str, &dyn Display)] = &[("after_ms", &after.as_millis())];
                self.log.write(now, "reconnected-to-runners", fields);
                self.partition_changed.notify_one();
            }
        }
    }
}

/// What an error says about the relay; `None` if it has done its part.
fn relay_failure(error: TunnelError) -> Option<RelayFailure> {
    match error {
        TunnelError::Silent => Some(RelayFailure::Silent),
        TunnelError::Refused | TunnelError::TargetSilent => Some(RelayFailure::Refusing),
        TunnelError::TargetRefused => None,
    }
}

/// Tries the direct path to a runner whose path is lost. A connection is kept for reuse.
async fn probe_direct(shared: Arc<Shared>, address: SocketAddr) {
    let probe = timeout(DIRECT_TIMEOUT, shared.open_direct(address)).await;
    let probed = probe.unwrap_or(Err(ConnectError::TimedOut));
    let outcome = if probed.is_ok() {
        "connected"
    } else {
        "failed"
    };
    metrics::counter!(DIRECT_PROBES.name, "outcome" => outcome).increment(1);
    match probed {
        Ok(connection) => {
            shared.record_connected(&connection, &Progress::default());
            shared.pool.put(connection);
        }
        Err(error) => {
            let now = shared.now();
            let mut tables = shared.tables();
            let paths = &mut tables.paths;
            paths.record_failed_probe(address, path_loss(error), now);
        }
    }
}

/// How a direct path is lost if connections fail like this while a relay reaches the runner.
fn path_loss(error: ConnectError) -> PathLoss {
    match error {
        ConnectError::TimedOut => PathLoss::Silent,
        ConnectError::Refused | ConnectError::Failed => PathLoss::Refused,
    }
}
