//! A daemon that starts under a coordinator of the first builds, which knows of no eras and does not notice that a member's
//! process has started anew.

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
/// Version of the holdings that the process before has been told.
const HOLDINGS_VERSION: u64 = 5;
/// The store's revision up to which the coordinator knows all changes of runners.
const RUNNERS_REVISION: u64 = 2;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which a daemon that has just started must know what runners hold.
const TOLD_WITHIN: Duration = Duration::from_secs(2);

/// How far the coordinator has told the member.
struct Progress {
    holdings_version: u64,
    /// The member has said before that it knows what the runner holds.
    knows_holdings: bool,
}

struct EarlierCoordinator {
    socket: UdpSocket,
    address: SocketAddr,
    runner: Runner,
    progress: Progress,
}

impl EarlierCoordinator {
    /// One that has told everything to a process of the member that is gone.
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

    /// Sends heartbeats, and counts the digests that come in some time.
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
                self.heard(known);
                let answer = self.direction(Some(known));
                self.send(answer, member).await;
            }
        }
    }

    /// Takes a member back to what it says that it knows, and begins anew only with one that says another term.
    fn heard(&mut self, known: KnownState) {
        if known.term != TERM {
            self.progress = Progress {
                holdings_version: 0,
                knows_holdings: false,
            };
        }
        let told = self.progress.holdings_version;
        self.progress.holdings_version = told.min(known.holdings_version);
    }

    /// What the member is told: a heartbeat, or what it lacks of what it says that it knows.
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
            summary: Some(RunnerSummary::of(&self.runner)),
        };
        MembershipUpdate {
            after: 0,
            until: RUNNERS_REVISION,
            changes: vec![present],
            scope: UpdateScope::Whole { is_last: true },
        }
    }

    /// Sends a message as builds do that know of no parts behind it.
    async fn send(&self, direction: Direction, to: SocketAddr) {
        let message = Message::Direction(Box::new(direction));
        let mut bytes = Encoding::default().encode(&message);
        bytes.pop();
        self.socket.send_to(&bytes, to).await.unwrap();
    }
}

/// Guards against a daemon that is never told what runners hold: seen in a soak of builds in turns, where a daemon that started
/// while the store was away served no model that was loaded before, for as long as its process ran. It hears its coordinator
/// before it has a list of runners, so it can't say what it knows, and the coordinator leaves out what the process before knew.
#[tokio::test]
async fn a_daemon_that_starts_without_the_store_is_told_what_runners_hold() {
    let server = ScriptedRunner::start(vec![Behaviour::Events(1, 2)]).await;
    let runner = runner(0, server.address);
    let store = MemoryStore::default();
    store.set_runners(vec![runner.clone()]);
    store.set_configuration(configuration(1, Vec::new()));
    store.lacks_lists.store(true, Ordering::Relaxed);
    let coordinator = EarlierCoordinator::start(runner).await;
    let daemon = TestIngress::start_with_store("d", store, Arc::new(SilentControl)).await;
    let member = daemon.ingress.as_ref().unwrap().peer_address;
    let leading = tokio::spawn(coordinator.lead(member));
    daemon.until_ready().await;
    sleep(TOLD_WITHIN).await;
    let request = daemon.request("/stream/", "id-1");
    let response = request.header("x-model", RARE_MODEL).send().await.unwrap();
    leading.abort();
    assert_eq!(response.status(), 200);
}

/// Guards against a coordinator that tells a member everything once more because the first part of what differs was lost: by then
/// it has used the digests that the member sent.
#[tokio::test]
async fn a_daemon_sends_digests_until_it_is_told_holdings_from_the_beginning() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let runner = runner(0, server.address);
    let store = MemoryStore::default();
    store.lacks_lists.store(true, Ordering::Relaxed);
    let coordinator = EarlierCoordinator::start(runner).await;
    let daemon = TestIngress::start_with_store("d", store, Arc::new(SilentControl)).await;
    let member = daemon.ingress.as_ref().unwrap().peer_address;
    let summaries = coordinator.count_summaries(member, TOLD_WITHIN).await;
    assert!(summaries > 3, "{summaries} in {TOLD_WITHIN:?}");
}
