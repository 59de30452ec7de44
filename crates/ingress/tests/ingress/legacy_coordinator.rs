//! A daemon that starts under a coordinator of a legacy build, which does not know eras and does not detect that a member's
//! process has restarted.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flaxward_routing::encoding::Encoding;
use flaxward_routing::lease::LeaseHeartbeat;
use flaxward_routing::membership::{
    MembershipChange, MembershipUpdate, RunnerSummary, UpdateScope,
};
use flaxward_routing::messages::{Direction, KnownState, Message, StoreState};
use flaxward_routing::names::ModelName;
use flaxward_routing::quota::QuotaNews;
use flaxward_routing::runners::{Runner, RunnerHoldings};
use flaxward_routing::standby::StandbyPlace;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout_at};

use crate::runner::{Behaviour, ScriptedRunner};
use crate::store::MemoryStore;
use crate::support::{MODEL, RARE_MODEL, SilentControl, TestIngress, configuration, runner};

const TERM: u64 = 3;
/// Version of the holdings that the member's previous process has received.
const HOLDINGS_VERSION: u64 = 5;
/// The store's revision up to which the coordinator knows all changes of runners.
const RUNNERS_REVISION: u64 = 2;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which a daemon that has just started must know the holdings of the runners.
const HOLDINGS_BOUND: Duration = Duration::from_secs(2);

/// What the coordinator has sent to the member.
struct Progress {
    holdings_version: u64,
    /// The member has reported before that it knows the holdings of the runner.
    knows_holdings: bool,
}

struct LegacyCoordinator {
    socket: UdpSocket,
    address: SocketAddr,
    runner: Runner,
    progress: Progress,
}

impl LegacyCoordinator {
    /// A coordinator that has sent everything to a previous process of the member.
    async fn start(runner: Runner) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        Self {
            address: socket.local_addr().unwrap(),
            socket,
            runner,
            progress: Progress {
                holdings_version: HOLDINGS_VERSION,
                knows_holdings: true,
            },
        }
    }

    /// Sends heartbeats for some time, and counts the digests that arrive.
    async fn count_summaries(mut self, member: SocketAddr, time: Duration) -> usize {
        let mut bytes = vec![0; 64 * 1024];
        let mut summaries = 0;
        let end = Instant::now() + time;
        while Instant::now() < end {
            let direction = Direction {
                membership: Some(self.whole_list()),
                ..self.direction(None)
            };
            self.send(direction, member).await;
            let due = Instant::now() + HEARTBEAT_INTERVAL;
            while let Ok(received) = timeout_at(due, self.socket.recv_from(&mut bytes)).await {
                let (length, _) = received.unwrap();
                let message = Encoding::default().decode(&bytes[..length]).unwrap();
                summaries += usize::from(matches!(message, Message::HoldingsSummary(_)));
            }
        }
        summaries
    }

    /// Sends heartbeats and answers until it is dropped.
    async fn lead(mut self, member: SocketAddr) {
        let mut bytes = vec![0; 64 * 1024];
        loop {
            let heartbeat = self.direction(None);
            self.send(heartbeat, member).await;
            let due = Instant::now() + HEARTBEAT_INTERVAL;
            while let Ok(received) = timeout_at(due, self.socket.recv_from(&mut bytes)).await {
                let (length, _) = received.unwrap();
                let known = match Encoding::default().decode(&bytes[..length]).unwrap() {
                    Message::Usage(usage) => usage.known,
                    Message::Waiting(notice) => notice.known,
                    _ => continue,
                };
                self.record_known_state(known);
                let answer = self.direction(Some(known));
                self.send(answer, member).await;
            }
        }
    }

    /// Resets the member's progress to the state that it reports, and starts over only if it reports another term.
    fn record_known_state(&mut self, known: KnownState) {
        if known.term != TERM {
            self.progress = Progress {
                holdings_version: 0,
                knows_holdings: false,
            };
        }
        let sent = self.progress.holdings_version;
        self.progress.holdings_version = sent.min(known.holdings_version);
    }

    /// The direction for the member: a heartbeat or, if its state is known, what that state lacks.
    fn direction(&mut self, known: Option<KnownState>) -> Direction {
        let lease = LeaseHeartbeat {
            term: TERM,
            renewals: 1,
            age_ms: 0,
        };
        let store = StoreState {
            configuration_version: 1,
            membership_revision: RUNNERS_REVISION,
            silence_ms: 0,
            configuration_age_ms: 0,
        };
        let quota = QuotaNews {
            from: self.address,
            keepers: Vec::new(),
            daemons: 2,
            limits: Vec::new(),
        };
        let after = self.progress.holdings_version;
        let heartbeat = Direction {
            standby: StandbyPlace::None,
            holdings_after: after,
            holdings_version: after,
            ..Direction::heartbeat(lease, self.address, store, quota)
        };
        let Some(known) = known else {
            return heartbeat;
        };
        let lacks_holdings = after < HOLDINGS_VERSION && !self.progress.knows_holdings;
        self.progress.holdings_version = HOLDINGS_VERSION;
        Direction {
            membership: (known.runners_revision < RUNNERS_REVISION).then(|| self.whole_list()),
            holdings_version: HOLDINGS_VERSION,
            holdings: lacks_holdings
                .then(|| self.holdings())
                .into_iter()
                .collect(),
            ..heartbeat
        }
    }

    fn holdings(&self) -> RunnerHoldings {
        let models = [MODEL, RARE_MODEL].map(|model| (ModelName::new(model), Vec::new()));
        RunnerHoldings {
            runner: self.runner.id.clone(),
            holdings: models.into(),
        }
    }

    fn whole_list(&self) -> MembershipUpdate {
        let present = MembershipChange {
            runner: self.runner.id.clone(),
            revision: RUNNERS_REVISION,
            // These builds do not send it.
            summary: Some(RunnerSummary {
                software_version: None,
                ..RunnerSummary::of(&self.runner)
            }),
        };
        MembershipUpdate {
            after: 0,
            until: RUNNERS_REVISION,
            changes: vec![present],
            scope: UpdateScope::Whole { is_last: true },
        }
    }

    /// Sends a message in the format of builds that do not know extensions after it.
    async fn send(&self, direction: Direction, to: SocketAddr) {
        let message = Message::Direction(Box::new(direction));
        let mut bytes = Encoding::default().encode(&message);
        bytes.pop();
        self.socket.send_to(&bytes, to).await.unwrap();
    }
}

/// Guards against a daemon that never receives the holdings. In a soak test that alternated builds, a daemon that started
/// while the store was unavailable served no model loaded before then, for as long as its process ran. It receives messages
/// of its coordinator before it has a list of runners, so it can't report its state, and the coordinator omits what the
/// previous process knew.
#[tokio::test]
async fn a_daemon_that_starts_without_the_store_receives_the_holdings() {
    let server = ScriptedRunner::start(vec![Behaviour::Events(1, 2)]).await;
    let runner = runner(0, server.address);
    let store = MemoryStore::default();
    store.set_runners(vec![runner.clone()]);
    store.set_configuration(configuration(1, Vec::new()));
    store.withholds_lists.store(true, Ordering::Relaxed);
    let coordinator = LegacyCoordinator::start(runner).await;
    let daemon = TestIngress::start_with_store("d", store, Arc::new(SilentControl)).await;
    let member = daemon.ingress.as_ref().unwrap().peer_address;
    let coordinator_task = tokio::spawn(coordinator.lead(member));
    daemon.until_ready().await;
    sleep(HOLDINGS_BOUND).await;
    let request = daemon.request("/stream/", "id-1");
    let response = request.header("x-model", RARE_MODEL).send().await.unwrap();
    coordinator_task.abort();
    assert_eq!(response.status(), 200);
}

/// Guards against a coordinator that sends a member all holdings again because the first part of the differences was lost: by
/// then it has consumed the digests that the member sent.
#[tokio::test]
async fn a_daemon_sends_digests_until_it_receives_holdings_from_the_beginning() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let runner = runner(0, server.address);
    let store = MemoryStore::default();
    store.withholds_lists.store(true, Ordering::Relaxed);
    let coordinator = LegacyCoordinator::start(runner).await;
    let daemon = TestIngress::start_with_store("d", store, Arc::new(SilentControl)).await;
    let member = daemon.ingress.as_ref().unwrap().peer_address;
    let summaries = coordinator.count_summaries(member, HOLDINGS_BOUND).await;
    assert!(summaries > 3, "{summaries} in {HOLDINGS_BOUND:?}");
}

/// Guards against requests to brittle runners that wait for the permits of a coordinator that gives none.
#[tokio::test]
async fn brittle_runners_are_used_under_a_coordinator_that_gives_no_permits() {
    let server = ScriptedRunner::start(Vec::new()).await;
    server.set_notice("x-rejection-limit: 6\r\n");
    let runner = runner(0, server.address);
    let store = MemoryStore::default();
    store.set_runners(vec![runner.clone()]);
    store.set_configuration(configuration(1, Vec::new()));
    let coordinator = LegacyCoordinator::start(runner).await;
    let daemon = TestIngress::start_with_store("d", store, Arc::new(SilentControl)).await;
    let member = daemon.ingress.as_ref().unwrap().peer_address;
    let coordinator_task = tokio::spawn(coordinator.lead(member));
    daemon.until_ready().await;
    let started_at = Instant::now();
    for index in 0..40 {
        let response = daemon.request("/safe/x", &format!("id-{index}"));
        assert_eq!(response.send().await.unwrap().status(), 200, "{index}");
    }
    let elapsed = started_at.elapsed();
    coordinator_task.abort();
    assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
}
