//! Runners that fail if they have to reject too many requests in a second.
//!
//! Guards against daemons sending to a full runner again and again: each of them tried it anew after a short pause, and
//! together they made it reject more than it bears.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::brittle_runner::{BrittleRunner, Properties};
use crate::store::MemoryStore;
use crate::support::{SilentControl, TestIngress, configuration, runner};

/// Rejections per second that the runner bears.
const LIMIT: usize = 6;
/// Requests that it serves at a time.
const ROOM: usize = 2;
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Requests per second at each of the daemons.
const DEMAND: u32 = 30;
const SECONDS: u32 = 5;
/// Time from the first answer until a runner is brittle.
const CONTACT_TIME: Duration = Duration::from_secs(1);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemons_together_do_not_make_a_brittle_runner_fail() {
    let brittle = BrittleRunner::start(Properties {
        limit: LIMIT,
        room: ROOM,
        service_time: SERVICE_TIME,
        fails: false,
    })
    .await;
    let store = MemoryStore::default();
    store.set_runners(vec![runner(0, brittle.address)]);
    store.set_configuration(configuration(1, Vec::new()));
    let mut daemons = Vec::new();
    for name in ["a", "b", "c"] {
        let daemon =
            TestIngress::start_with_store(name, store.share(), Arc::new(SilentControl)).await;
        daemon.until_ready().await;
        daemons.push(daemon);
    }
    sleep(Duration::from_secs(3)).await;
    let started_at = Instant::now();
    let mut requests = JoinSet::new();
    for index in 0..DEMAND * SECONDS {
        for (number, daemon) in daemons.iter().enumerate() {
            requests.spawn(
                daemon
                    .request("/safe/x", &format!("{number}-{index}"))
                    .send(),
            );
        }
        sleep(Duration::from_secs(1) / DEMAND).await;
    }
    requests.join_all().await;
    let state = brittle.state();
    let most = state.most_rejections(started_at + CONTACT_TIME);
    assert!(
        most <= LIMIT,
        "{most} rejections in a second, {LIMIT} borne"
    );
    assert!(state.served >= 50, "{} served", state.served);
}
