//! Requests that share a part of their prompts that crashes runners.
//!
//! Guards against one part crashing runner after runner: 28 runners of one service ended in an incident. No two of the
//! requests were alike, so the count by the content of the whole request never reached the bound, and sound requests shared
//! the caller and the other parts.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::crashing_runner::CrashingRunner;
use crate::store::MemoryStore;
use crate::support::{self, ImmediateLoadControl, TestIngress, configuration};

/// Number of runners that may crash before the part is known.
const KNOWN_AFTER: u32 = 5;
/// Time in which every daemon must know of the part.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Number of times that all daemons together may still send such requests after that time.
const MAX_SENDS: u32 = 3;
const RUNNERS: usize = 24;
const DAEMONS: usize = 3;

struct Cluster {
    runners: Vec<CrashingRunner>,
    daemons: Vec<TestIngress>,
    requests: u32,
}

impl Cluster {
    async fn start() -> Self {
        let mut runners = Vec::new();
        for _ in 0..RUNNERS {
            runners.push(CrashingRunner::start().await);
        }
        let store = MemoryStore::default();
        let addresses = runners.iter().map(|it| it.address);
        store.set_runners(support::runners(addresses));
        store.set_configuration(configuration(1, Vec::new()));
        let control = Arc::new(ImmediateLoadControl::default());
        let mut daemons = Vec::new();
        for index in 0..DAEMONS {
            let name = format!("d{index}");
            let daemon = TestIngress::start_with_store(&name, store.share(), control.clone());
            let daemon = daemon.await;
            daemon.until_ready().await;
            daemons.push(daemon);
            sleep(Duration::from_millis(1_000)).await;
        }
        sleep(Duration::from_millis(1_000)).await;
        Self {
            runners,
            daemons,
            requests: 0,
        }
    }

    /// Sends a request, unlike any other, whose prompt begins with these parts, to the next daemon.
    async fn send(&mut self, path: &str, parts: &str) -> u16 {
        self.requests += 1;
        let number = self.requests;
        let daemon = &self.daemons[number as usize % DAEMONS];
        let request = daemon.request(path, &format!("id-{number}"));
        let request = request.header("x-parts", format!("{parts},{}", 1_000 + number));
        let response = request.body(format!("body {number}")).send().await.unwrap();
        response.status().as_u16()
    }

    /// Sends sound requests whose first part is that of the crashing ones. Returns the share that is served.
    async fn share_served(&mut self) -> f64 {
        let mut served = 0;
        let prompts = ["11,12", "11,13", "11,14"];
        for round in 0..10 {
            served += u32::from(self.send("/safe/x", prompts[round % prompts.len()]).await == 200);
        }
        f64::from(served) / 10.0
    }

    fn crashes(&self) -> u32 {
        let crashed = self.runners.iter().filter(|runner| runner.has_crashed());
        u32::try_from(crashed.count()).unwrap()
    }

    fn arrivals(&self) -> u32 {
        self.runners.iter().map(CrashingRunner::arrivals).sum()
    }
}

#[tokio::test]
async fn a_part_that_has_crashed_five_runners_is_not_sent_any_more() {
    let mut cluster = Cluster::start().await;
    assert!(cluster.share_served().await > 0.9);
    while cluster.crashes() < KNOWN_AFTER && cluster.requests < 60 {
        cluster.send("/stream/x", "11,77").await;
        cluster.send("/safe/x", "11,12").await;
    }
    sleep(PROPAGATION_TIME).await;
    let before = cluster.arrivals();
    for _ in 0..12 {
        cluster.send("/stream/x", "11,77").await;
    }
    let sent = cluster.arrivals() - before;
    assert!(sent <= MAX_SENDS, "sent {sent} more times");
}

/// Guards against withholding requests that only share the caller and the first part with crashing ones.
#[tokio::test]
async fn sound_requests_with_the_same_first_part_are_served() {
    let mut cluster = Cluster::start().await;
    assert!(cluster.share_served().await > 0.9);
    for _ in 0..12 {
        cluster.send("/stream/x", "11,77").await;
    }
    sleep(PROPAGATION_TIME * 2).await;
    let share = cluster.share_served().await;
    assert!(share >= 0.9, "{share}");
}
