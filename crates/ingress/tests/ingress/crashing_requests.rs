//! Requests that crash the runners that run them.
//!
//! Seen: runners of one service ended one after the other, eleven of them under one request, which its caller repeated
//! at several daemons. How it came about: each daemon took the broken connection for a fault of the runner, sent the
//! request on to the next one, and forgot it with the try; the next try had another identity, came to another daemon and
//! began from nothing. What proved it: at each end a request that had just begun broke off, and all of these have one
//! fingerprint (method, host, path, tenant, body), at daemons that had no part in the ends before.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::crashing_runner::{CRASHING_BODY, CrashingRunner};
use crate::store::MemoryStore;
use crate::support::{ObedientControl, TestIngress, configuration, runner};

/// Runners that a request may end before it is not sent any more.
const ENDS_ALLOWED: u32 = 3;
/// Time after that in which every daemon must know.
const CONTACT: Duration = Duration::from_secs(3);
/// How often it may be sent after that time, all daemons together.
const SENDS_ALLOWED: u32 = 3;
/// More runners than any of the tests may lose.
const RUNNERS: usize = 16;

/// Daemons before one store, the first of which coordinates.
struct Fleet {
    store: MemoryStore,
    control: Arc<ObedientControl>,
    runners: Vec<CrashingRunner>,
    daemons: Vec<TestIngress>,
    tries: u32,
}

impl Fleet {
    async fn start(daemons: usize) -> Self {
        let mut runners = Vec::new();
        for _ in 0..RUNNERS {
            runners.push(CrashingRunner::start().await);
        }
        let store = MemoryStore::default();
        let listed = runners.iter().enumerate();
        store.set_runners(
            listed
                .map(|(index, it)| runner(index, it.address))
                .collect(),
        );
        store.set_configuration(configuration(1, Vec::new()));
        let mut fleet = Self {
            store,
            control: Arc::new(ObedientControl::default()),
            runners,
            daemons: Vec::new(),
            tries: 0,
        };
        for index in 0..daemons {
            let daemon = fleet.start_daemon(&format!("d{index}")).await;
            fleet.daemons.push(daemon);
            sleep(Duration::from_millis(1_000)).await;
        }
        sleep(Duration::from_millis(1_000)).await;
        fleet
    }

    async fn start_daemon(&self, name: &str) -> TestIngress {
        let store = self.store.share();
        let daemon = TestIngress::start_before(name, store, self.control.clone()).await;
        daemon.until_ready().await;
        daemon
    }

    /// One try of the caller at a daemon, with an identity of its own. Returns its status.
    async fn try_at(&mut self, daemon: usize, path: &str) -> u16 {
        self.tries += 1;
        let id = format!("try-{}", self.tries);
        let request = self.daemons[daemon].request(path, &id);
        let response = request.body(CRASHING_BODY).send().await.unwrap();
        response.status().as_u16()
    }

    /// Tries at one daemon after the other until enough runners have ended.
    async fn crash_until(&mut self, ends: u32, path: &str) {
        let mut daemon = 0;
        while self.ends() < ends {
            self.try_at(daemon, path).await;
            daemon = (daemon + 1) % self.daemons.len();
        }
    }

    /// Runners that have ended.
    fn ends(&self) -> u32 {
        let ended = self.runners.iter().filter(|runner| runner.has_ended());
        u32::try_from(ended.count()).unwrap()
    }

    /// How often the request has reached runners.
    fn arrivals(&self) -> u32 {
        self.runners.iter().map(CrashingRunner::arrivals).sum()
    }

    /// Tries at all daemons for some rounds and checks that the request is hardly sent any more, and that others are
    /// served.
    async fn check_quarantine(&mut self, path: &str) {
        let before = self.arrivals();
        for round in 0..4 {
            for daemon in 0..self.daemons.len() {
                self.try_at(daemon, path).await;
                let sent = self.arrivals() - before;
                assert!(sent <= SENDS_ALLOWED, "it was sent {sent} times more");
                let other = self.daemons[daemon].request("/safe/x", &format!("o{round}-{daemon}"));
                assert_eq!(other.send().await.unwrap().status(), 200);
            }
        }
    }
}

#[tokio::test]
async fn a_request_that_has_crashed_three_runners_is_not_sent_any_more() {
    for path in ["/stream/x", "/safe/x", "/unsafe/x"] {
        let mut fleet = Fleet::start(3).await;
        fleet.crash_until(ENDS_ALLOWED, path).await;
        sleep(CONTACT).await;
        fleet.check_quarantine(path).await;
    }
}
