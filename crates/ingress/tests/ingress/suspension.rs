//! The machine of a daemon is suspended: timers and messages keep their order, and only the clock that counts suspension
//! tells of it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use flaxward_clock::{SystemTime, TimeSource};
use flaxward_ingress::settings::KeyTrust;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::runner::{Behaviour, ScriptedRunner};
use crate::store::MemoryStore;
use crate::support::{
    ImmediateLoadControl, RARE_MODEL, TestIngress, configuration, configuration_with_tenants,
    runner, settings, tenant,
};

/// One lease, and some time for others.
const SUSPENSION: Duration = Duration::from_secs(4);
/// Time until a daemon coordinates.
const COORDINATED: Duration = Duration::from_millis(1_500);

/// The time of the system with suspensions that never were.
#[derive(Debug, Default)]
struct Leaping {
    suspended_ms: AtomicU64,
}

impl Leaping {
    fn suspend(&self, time: Duration) {
        let time = u64::try_from(time.as_millis()).unwrap();
        self.suspended_ms.fetch_add(time, Ordering::Relaxed);
    }
}

impl TimeSource for Leaping {
    fn elapsed(&self) -> Duration {
        let suspended = self.suspended_ms.load(Ordering::Relaxed);
        SystemTime.elapsed() + Duration::from_millis(suspended)
    }
}

/// The store turns the daemon away from the moment at which it wakes, so that nothing but the clock tells it that its lease
/// has ended.
#[tokio::test]
async fn a_coordinator_that_was_suspended_past_its_lease_gives_no_orders() {
    let server = ScriptedRunner::start(vec![Behaviour::Events(1, 2)]).await;
    let store = MemoryStore::default();
    store.set_runners(vec![runner(0, server.address)]);
    store.set_configuration(configuration(1, Vec::new()));
    let (time, control) = (
        Arc::new(Leaping::default()),
        Arc::new(ImmediateLoadControl::default()),
    );
    let mut own_settings = settings("a");
    own_settings.time = time.clone();
    let daemon = TestIngress::start_with(own_settings, store.share(), control.clone()).await;
    daemon.until_ready().await;
    sleep(COORDINATED).await;

    daemon.store.is_silent.store(true, Ordering::Relaxed);
    time.suspend(SUSPENSION);
    let request = daemon
        .request("/stream/", "id-1")
        .header("x-model", RARE_MODEL);
    assert_eq!(request.send().await.unwrap().status(), 503);
    sleep(Duration::from_millis(500)).await;
    assert_eq!(control.order_count(), 0);

    // Once the store answers, it coordinates again.
    daemon.store.is_silent.store(false, Ordering::Relaxed);
    sleep(Duration::from_millis(2_000)).await;
    let request = daemon
        .request("/stream/", "id-2")
        .header("x-model", RARE_MODEL);
    assert_eq!(request.send().await.unwrap().status(), 200);
    assert_eq!(control.order_count(), 1);
}

/// A key may have been taken away meanwhile.
#[tokio::test]
async fn keys_are_not_relied_on_after_a_suspension_until_they_are_confirmed() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let store = MemoryStore::default();
    store.set_runners(vec![runner(0, server.address)]);
    store.set_configuration(configuration_with_tenants(
        1,
        vec![tenant("a", &["ka"], None)],
    ));
    let time = Arc::new(Leaping::default());
    let mut own_settings = settings("a");
    own_settings.time = time.clone();
    own_settings.key_trust = KeyTrust {
        known: Some(SUSPENSION / 2),
        unknown: Some(SUSPENSION / 2),
    };
    let control = Arc::new(ImmediateLoadControl::default());
    let daemon = TestIngress::start_with(own_settings, store.share(), control).await;
    daemon.until_ready().await;
    sleep(COORDINATED).await;
    let status = async |id: &str| {
        let request = daemon.request("/safe/", id).header("x-key", "ka");
        request.send().await.unwrap().status().as_u16()
    };
    assert_eq!(status("id-1").await, 200);

    daemon.store.is_silent.store(true, Ordering::Relaxed);
    time.suspend(SUSPENSION);
    assert_eq!(status("id-2").await, 503);
    daemon.store.is_silent.store(false, Ordering::Relaxed);
    sleep(Duration::from_millis(2_000)).await;
    assert_eq!(status("id-3").await, 200);
}

/// Found by reading: the time for which an answer was on its way left out a suspension, so that an answer from before the runner
/// named its rate counted as one from after it, and the rate ended for all daemons.
#[tokio::test]
async fn an_answer_from_before_a_suspension_ends_no_rate_that_was_named_since() {
    const BURST: usize = 30;
    // In 4 s, at a rate of 1 a second: one and a half times that, and 5.
    const ALLOWED: usize = 11;
    let server = ScriptedRunner::start(vec![Behaviour::LateEvents(1, 2)]).await;
    let store = MemoryStore::default();
    store.set_runners(vec![runner(0, server.address)]);
    store.set_configuration(configuration(1, Vec::new()));
    let time = Arc::new(Leaping::default());
    let mut own_settings = settings("a");
    own_settings.time = time.clone();
    let daemon = TestIngress::start_with(
        own_settings,
        store.share(),
        Arc::new(ImmediateLoadControl::default()),
    )
    .await;
    daemon.until_ready().await;

    let late = tokio::spawn(daemon.request("/stream/", "late").send());
    sleep(Duration::from_millis(200)).await;
    server.set_notice("x-rate-limit: 1\r\n");
    let told = daemon.request("/safe/", "told").send().await.unwrap();
    assert_eq!(told.status(), 200);
    time.suspend(SUSPENSION);
    assert_eq!(late.await.unwrap().unwrap().status(), 200);

    let before = server.received().len();
    let mut requests = JoinSet::new();
    for number in 0..BURST {
        let request = daemon.request("/safe/", &format!("id-{number}"));
        requests.spawn(request.send());
    }
    requests.join_all().await;
    let count = server.received().len() - before;
    assert!(count <= ALLOWED, "{count} requests");
}
