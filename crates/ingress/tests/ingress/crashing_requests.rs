//! Requests that crash the runners that run them.
//!
//! Guards against one request crashing runner after runner: eleven runners of one service crashed while running a
//! request that its caller retried at several daemons. Each daemon attributed the broken connection to the runner, sent
//! the request to the next one, and kept no record of it; each retry had a new ID and reached another daemon. The
//! common cause showed in the fingerprint (method, host, path, tenant, body): at each crash a request that had just
//! started was aborted, and all of these had the same one, also at daemons not involved in the earlier crashes.

use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::configuration::{Route, RouteKind};
use tokio::time::{Instant, sleep};

use crate::crashing_runner::{CRASHING_BODY, CrashingRunner};
use crate::runner::{Behaviour, ScriptedRunner};
use crate::store::MemoryStore;
use crate::support::{self, ImmediateLoadControl, TestIngress, configuration, route};

/// Number of runners that a request may crash before it is quarantined.
const MAX_CRASHES: u32 = 3;
/// Time in which every daemon must learn of the quarantine.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Number of times that all daemons together may still send it after that time.
const MAX_QUARANTINED_SENDS: u32 = 3;
/// A model that no runner can load.
const UNKNOWN_MODEL: &str = "unknown";
/// Number of runners, more than any test may crash.
const RUNNERS: usize = 16;

/// Daemons that share a store. The first one is the coordinator.
struct Cluster {
    store: MemoryStore,
    control: Arc<ImmediateLoadControl>,
    runners: Vec<CrashingRunner>,
    daemons: Vec<TestIngress>,
    attempts: u32,
}

impl Cluster {
    async fn start(daemons: usize) -> Self {
        let mut runners = Vec::new();
        for _ in 0..RUNNERS {
            runners.push(CrashingRunner::start().await);
        }
        let store = MemoryStore::default();
        let addresses = runners.iter().map(|it| it.address);
        store.set_runners(support::runners(addresses));
        store.set_configuration(configuration(1, Vec::new()));
        let mut cluster = Self {
            store,
            control: Arc::new(ImmediateLoadControl::default()),
            runners,
            daemons: Vec::new(),
            attempts: 0,
        };
        for index in 0..daemons {
            let daemon = cluster.start_daemon(&format!("d{index}")).await;
            cluster.daemons.push(daemon);
            sleep(Duration::from_millis(1_000)).await;
        }
        sleep(Duration::from_millis(1_000)).await;
        cluster
    }

    async fn start_daemon(&self, name: &str) -> TestIngress {
        let store = self.store.share();
        let daemon = TestIngress::start_with_store(name, store, self.control.clone()).await;
        daemon.until_ready().await;
        daemon
    }

    /// Sends the crashing request to a daemon, with a new request ID. Returns the response status.
    async fn send_to(&mut self, daemon: usize, path: &str) -> u16 {
        self.attempts += 1;
        let id = format!("try-{}", self.attempts);
        let request = self.daemons[daemon].request(path, &id);
        let response = request.body(CRASHING_BODY).send().await.unwrap();
        response.status().as_u16()
    }

    /// Sends the request to one daemon after the other until enough runners have crashed.
    async fn send_until_crashed(&mut self, crashes: u32, path: &str) {
        let mut daemon = 0;
        while self.crashes() < crashes {
            self.send_to(daemon, path).await;
            daemon = (daemon + 1) % self.daemons.len();
        }
    }

    /// Number of runners that have crashed.
    fn crashes(&self) -> u32 {
        let crashed = self.runners.iter().filter(|runner| runner.has_crashed());
        u32::try_from(crashed.count()).unwrap()
    }

    /// Number of times the request has reached a runner.
    fn arrivals(&self) -> u32 {
        self.runners.iter().map(CrashingRunner::arrivals).sum()
    }

    /// Sends the request to all daemons for four rounds and checks that it reaches runners at most
    /// `MAX_QUARANTINED_SENDS` times, and that other requests are served.
    async fn check_quarantine(&mut self, path: &str) {
        let before = self.arrivals();
        for round in 0..4 {
            for daemon in 0..self.daemons.len() {
                self.send_to(daemon, path).await;
                let sent = self.arrivals() - before;
                assert!(
                    sent <= MAX_QUARANTINED_SENDS,
                    "it was sent {sent} more times"
                );
                let other = self.daemons[daemon].request("/safe/x", &format!("o{round}-{daemon}"));
                assert_eq!(other.send().await.unwrap().status(), 200);
            }
        }
    }
}

#[tokio::test]
async fn a_request_that_has_crashed_three_runners_is_not_sent_any_more() {
    for path in ["/stream/x", "/safe/x", "/unsafe/x"] {
        let mut cluster = Cluster::start(3).await;
        cluster.send_until_crashed(MAX_CRASHES, path).await;
        sleep(PROPAGATION_TIME).await;
        cluster.check_quarantine(path).await;
    }
}

/// All daemons are replaced by new ones, none of which has observed a crash.
#[tokio::test]
async fn a_quarantine_outlasts_the_daemons() {
    let path = "/safe/x";
    let mut cluster = Cluster::start(2).await;
    cluster.send_until_crashed(MAX_CRASHES, path).await;
    sleep(Duration::from_millis(500)).await;
    for daemon in &mut cluster.daemons {
        daemon.ingress.take().unwrap().stop().await;
    }
    cluster.daemons = vec![
        cluster.start_daemon("e0").await,
        cluster.start_daemon("e1").await,
    ];
    sleep(PROPAGATION_TIME).await;
    cluster.check_quarantine(path).await;
}

/// The coordinator stops after the crashes; a daemon that starts afterwards learns of the quarantine from the remaining
/// ones.
#[tokio::test]
async fn a_quarantine_outlasts_the_coordinator() {
    let path = "/unsafe/x";
    let mut cluster = Cluster::start(3).await;
    cluster.send_until_crashed(MAX_CRASHES, path).await;
    sleep(Duration::from_millis(100)).await;
    let mut coordinator = cluster.daemons.remove(0);
    coordinator.ingress.take().unwrap().stop().await;
    let late = cluster.start_daemon("late").await;
    cluster.daemons.push(late);
    sleep(PROPAGATION_TIME).await;
    cluster.check_quarantine(path).await;
}

/// The runners reset connections but keep listening, so the request is not counted as having crashed them.
#[tokio::test]
async fn a_runner_that_resets_connections_has_not_crashed() {
    let mut runners = Vec::new();
    for _ in 0..MAX_CRASHES {
        runners.push(ScriptedRunner::start(vec![Behaviour::Reset; 2]).await);
    }
    let listed: Vec<&ScriptedRunner> = runners.iter().collect();
    let test = TestIngress::start(&listed).await;
    let mut attempts = 0;
    while runners.iter().any(|runner| runner.received().is_empty()) {
        attempts += 1;
        let request = test.request("/unsafe/x", &format!("id-{attempts}"));
        let status = request.send().await.unwrap().status();
        assert_ne!(status, 503, "attempt {attempts}");
        assert!(attempts < 100, "a runner was never tried");
    }
    sleep(Duration::from_secs(2)).await;
    let request = test.request("/unsafe/x", "last");
    let status = request.send().await.unwrap().status();
    assert_ne!(status, 503, "the request must still be sent");
}

/// A copy of the request is waiting for a model that no runner holds when the request is quarantined.
#[tokio::test]
async fn a_waiting_request_that_is_put_in_quarantine_is_refused_at_once() {
    let mut cluster = Cluster::start(1).await;
    let long_route = Route {
        timeout: Duration::from_secs(20),
        target: Duration::from_secs(20),
        ..route("/patient/", RouteKind::AtMostOnce)
    };
    cluster
        .store
        .set_configuration(configuration(2, vec![long_route]));
    sleep(Duration::from_millis(800)).await;
    let copy = cluster.daemons[0].request("/patient/x", "waits");
    let copy = copy.header("x-model", UNKNOWN_MODEL).body(CRASHING_BODY);
    let waiting = tokio::spawn(async move { copy.send().await.unwrap().status().as_u16() });
    sleep(Duration::from_millis(100)).await;
    let started_at = Instant::now();
    cluster.send_until_crashed(MAX_CRASHES, "/patient/x").await;
    assert_eq!(waiting.await.unwrap(), 503);
    let waited = started_at.elapsed();
    assert!(waited < Duration::from_millis(500), "{waited:?}");
}
