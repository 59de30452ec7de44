//! Paths from a daemon to runners: directly, or through another daemon that relays the bytes.
//!
//! A daemon may lose its path to some or all runners while other daemons still reach them. Connections are then opened
//! through a relay. Deadlines, attempts, budgets and permits stay with the daemon that took the request.
//!
//! A path counts as lost only if a relay reached the runner in the same connection attempt: a runner that nobody
//! reaches has failed itself. Once two runners are known to be lost and none has been reached since, the daemon is
//! taken to be partitioned from all of them. Lost paths are probed in the background, so no request waits for them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::Timestamp;

/// Time after which a relay is tried beside a direct connection that is not established yet. A connection takes a few
/// round trips; a runner that is only slow to accept is silent for a second.
const RELAY_DELAY: Duration = Duration::from_millis(250);
/// Time after which the next path is tried beside the earlier ones.
pub const ATTEMPT_STAGGER: Duration = Duration::from_millis(80);
/// Maximum number of relays tried for one connection.
const MAX_RELAYS: usize = 4;
/// Number of lost runners from which a daemon that has reached none since is taken to be partitioned from all.
const PARTITION_THRESHOLD: usize = 2;
/// Time for which a lost path is remembered after it was last confirmed.
const LOST_TTL: Duration = Duration::from_secs(5);
/// Interval between probes of the direct path.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two rounds of checks of other paths. Without it, checks of checks would spread over all runners
/// while half of them are lost.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a relay that does not answer is not used.
const SILENT_RELAY_BACKOFF: Duration = Duration::from_secs(5);
/// Time for which a relay that does not reach a runner is not used for that runner. It may reach others.
const REFUSING_RELAY_BACKOFF: Duration = Duration::from_secs(2);
/// Time for which a relay that has provided a connection is preferred.
const WORKING_RELAY_TTL: Duration = Duration::from_secs(3);
/// One connection in this many prefers no relay, so that others are found and share the load.
const EXPLORATION_PERIOD: u64 = 8;

/// A path to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Path {
    /// The daemon's own connection.
    Direct,
    /// Through the daemon with this address.
    Relay(SocketAddr),
}

/// A planned attempt to open a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathAttempt {
    /// The path to try.
    pub path: Path,
    /// Time after the start of the first attempt at which this one starts, unless the earlier ones have failed by then.
    pub delay: Duration,
}

/// How to open a connection to a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionPlan {
    /// The paths to try, in this order; the first one that is established is used.
    pub attempts: Vec<PathAttempt>,
    /// Whether the direct path is to be probed in the background.
    pub is_probe_due: bool,
}

/// How a direct path fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathLoss {
    /// Nothing is answered: established connections are lost too.
    Silent,
    /// New connections are refused. Established ones may still work.
    Refused,
}

/// Why a relay did not provide a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFailure {
    /// It does not answer, or does not relay.
    Silent,
    /// It does not reach the runner either, or is at its limit.
    Refusing,
}

/// A change of what is believed of the paths to all runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionChange {
    /// The daemon reaches no runner directly.
    Partitioned {
        /// Number of runners that were found to be lost.
        lost: usize,
    },
    /// The daemon reaches runners directly again.
    Reconnected {
        /// Duration of the partition.
        after: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct LostPath {
    loss: PathLoss,
    since: Timestamp,
    confirmed_at: Timestamp,
    probed_at: Timestamp,
}

impl LostPath {
    fn new(loss: PathLoss, now: Timestamp) -> Self {
        Self {
            loss,
            since: now,
            confirmed_at: now,
            probed_at: now,
        }
    }

    fn is_current(&self, now: Timestamp) -> bool {
        now.since(self.confirmed_at) < LOST_TTL
    }

    fn confirm(&mut self, loss: PathLoss, now: Timestamp) {
        self.loss = loss;
        self.confirmed_at = now;
    }

    /// Whether a probe is due; the caller starts it.
    fn take_probe(&mut self, now: Timestamp) -> bool {
        let is_due = now.since(self.probed_at) >= PROBE_INTERVAL;
        if is_due {
            self.probed_at = now;
        }
        is_due
    }
}

/// What a daemon knows of its paths to runners.
#[derive(Debug, Default)]
pub struct RunnerPaths {
    relays: Vec<SocketAddr>,
    /// Until when relays are not used at all.
    silent_relays: HashMap<SocketAddr, Timestamp>,
    /// Until when relays are not used for a runner.
    refusing_relays: HashMap<(SocketAddr, SocketAddr), Timestamp>,
    /// When relays last provided a connection.
    working_relays: HashMap<SocketAddr, Timestamp>,
    lost: HashMap<SocketAddr, LostPath>,
    partition: Option<LostPath>,
    /// When other paths were last checked because one was lost.
    checked_at: Option<Timestamp>,
    /// When a runner was last reached directly.
    reached_at: Option<Timestamp>,
}

impl RunnerPaths {
    /// Sets the daemons that can relay.
    pub fn set_relays(&mut self, relays: Vec<SocketAddr>) {
        self.relays = relays;
    }

    /// Plans a connection to a runner. `random` spreads the daemons over the relays.
    pub fn plan(&mut self, runner: SocketAddr, random: u64, now: Timestamp) -> ConnectionPlan {
        self.expire(now);
        let relays = self.choose_relays(runner, random);
        let lost = self.partition.as_mut().or(self.lost.get_mut(&runner));
        let is_probe_due = lost.is_some_and(|lost| lost.take_probe(now));
        let is_lost = self.partition.is_some() || self.lost.contains_key(&runner);
        ConnectionPlan {
            attempts: order_attempts(relays, is_lost),
            is_probe_due,
        }
    }

    fn expire(&mut self, now: Timestamp) {
        self.lost.retain(|_, lost| lost.is_current(now));
        self.partition.take_if(|lost| !lost.is_current(now));
        self.silent_relays.retain(|_, until| now < *until);
        self.refusing_relays.retain(|_, until| now < *until);
        self.working_relays
            .retain(|_, at| now.since(*at) < WORKING_RELAY_TTL);
    }

    /// Relays that are not known to be unable to help, those that have just helped first. Called after [`Self::expire`].
    fn choose_relays(&self, runner: SocketAddr, random: u64) -> Vec<SocketAddr> {
        let is_usable = |relay: &&SocketAddr| {
            !self.silent_relays.contains_key(*relay)
                && !self.refusing_relays.contains_key(&(**relay, runner))
        };
        let mut usable: Vec<SocketAddr> = self.relays.iter().filter(is_usable).copied().collect();
        if usable.is_empty() {
            return usable;
        }
        let length = u64::try_from(usable.len()).unwrap_or(u64::MAX);
        let start = usize::try_from(random % length).unwrap_or_default();
        usable.rotate_left(start);
        if !(random / length).is_multiple_of(EXPLORATION_PERIOD) {
            usable.sort_by_key(|relay| !self.working_relays.contains_key(relay));
        }
        usable.truncate(MAX_RELAYS);
        usable
    }

    /// Records that a runner was reached directly.
    pub fn record_direct(&mut self, runner: SocketAddr, now: Timestamp) -> Option<PartitionChange> {
        self.reached_at = Some(now);
        self.lost.remove(&runner);
        let partition = self.partition.take()?;
        Some(PartitionChange::Reconnected {
            after: now.since(partition.since),
        })
    }

    /// Records an answer on an established direct connection, which shows that the path is not silent.
    pub fn record_answer(&mut self, runner: SocketAddr, now: Timestamp) -> Option<PartitionChange> {
        let is_silent = |lost: &LostPath| lost.loss == PathLoss::Silent;
        let is_contradicted = self.partition.as_ref().is_some_and(is_silent)
            || self.lost.get(&runner).is_some_and(is_silent);
        if !is_contradicted {
            return None;
        }
        self.record_direct(runner, now)
    }

    /// Records that a relay reached a runner while the direct path to it failed.
    pub fn record_loss(
        &mut self,
        runner: SocketAddr,
        loss: PathLoss,
        now: Timestamp,
    ) -> Option<PartitionChange> {
        let entry = self.lost.entry(runner);
        entry
            .and_modify(|lost| lost.confirm(loss, now))
            .or_insert(LostPath::new(loss, now));
        if let Some(partition) = &mut self.partition {
            partition.confirm(loss, now);
            return None;
        }
        let reached_at = self.reached_at.unwrap_or(Timestamp::ZERO);
        let is_lost_since = |lost: &&LostPath| lost.is_current(now) && lost.since >= reached_at;
        let count = self.lost.values().filter(is_lost_since).count();
        if count < PARTITION_THRESHOLD {
            return None;
        }
        self.partition = Some(LostPath::new(loss, now));
        Some(PartitionChange::Partitioned { lost: count })
    }

    /// Whether the paths to a few other runners are to be checked, because one was found to be lost. The caller checks
    /// them.
    pub fn take_check(&mut self, now: Timestamp) -> bool {
        let is_due = |at: Timestamp| now.since(at) >= CHECK_INTERVAL;
        let is_due = self.checked_at.is_none_or(is_due);
        if is_due {
            self.checked_at = Some(now);
        }
        is_due
    }

    /// Records that a probe of the direct path to a runner failed.
    pub fn record_failed_probe(&mut self, runner: SocketAddr, loss: PathLoss, now: Timestamp) {
        if let Some(lost) = self.lost.get_mut(&runner) {
            lost.confirm(loss, now);
        }
        if let Some(partition) = &mut self.partition {
            partition.confirm(loss, now);
        }
    }

    /// Records that a relay provided a connection.
    pub fn record_relay_success(&mut self, relay: SocketAddr, now: Timestamp) {
        self.working_relays.insert(relay, now);
    }

    /// Records that a relay did not provide a connection to a runner.
    pub fn record_relay_failure(
        &mut self,
        relay: SocketAddr,
        runner: SocketAddr,
        failure: RelayFailure,
        now: Timestamp,
    ) {
        match failure {
            RelayFailure::Silent => {
                self.working_relays.remove(&relay);
                self.silent_relays.insert(relay, now + SILENT_RELAY_BACKOFF);
            }
            RelayFailure::Refusing => {
                let until = now + REFUSING_RELAY_BACKOFF;
                self.refusing_relays.insert((relay, runner), until);
            }
        }
    }

    /// Whether the daemon reaches no runner directly.
    pub fn is_partitioned(&self, now: Timestamp) -> bool {
        let partition = self.partition.as_ref();
        partition.is_some_and(|partition| partition.is_current(now))
    }

    /// Whether the direct path to a runner is lost.
    pub fn is_lost(&self, runner: SocketAddr, now: Timestamp) -> bool {
        let lost = self.lost.get(&runner);
        self.is_partitioned(now) || lost.is_some_and(|lost| lost.is_current(now))
    }

    /// Whether an established direct connection to a runner may carry a request.
    pub fn is_established_usable(&self, runner: SocketAddr, now: Timestamp) -> bool {
        let is_silent = |lost: &LostPath| lost.loss == PathLoss::Silent && lost.is_current(now);
        !self.partition.as_ref().is_some_and(is_silent)
            && !self.lost.get(&runner).is_some_and(is_silent)
    }
}

/// The direct path first, or last if it is lost.
fn order_attempts(relays: Vec<SocketAddr>, is_lost: bool) -> Vec<PathAttempt> {
    let relays = relays.into_iter().map(Path::Relay);
    let (paths, first_delay): (Vec<Path>, Duration) = if is_lost {
        (relays.chain([Path::Direct]).collect(), ATTEMPT_STAGGER)
    } else {
        (
            std::iter::once(Path::Direct).chain(relays).collect(),
            RELAY_DELAY,
        )
    };
    let mut delay = Duration::ZERO;
    let mut attempts = Vec::new();
    for (index, path) in paths.into_iter().enumerate() {
        attempts.push(PathAttempt { path, delay });
        delay += if index == 0 {
            first_delay
        } else {
            ATTEMPT_STAGGER
        };
    }
    attempts
}
