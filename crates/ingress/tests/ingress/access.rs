//! Keys, tenants and quotas at the ingress.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flaxward_ingress::settings::KeyTrust;
use flaxward_routing::configuration::Configuration;
use flaxward_soak::ports::Ports;
use tokio::time::sleep;

use crate::runner::ScriptedRunner;
use crate::store::MemoryStore;
use crate::support::{
    ImmediateLoadControl, SilentControl, TestIngress, configuration_with_tenants, runner, settings,
    tenant,
};

/// For how long the daemons in these tests rely on keys without confirmation.
const KEY_TRUST: Duration = Duration::from_millis(2_500);

/// Time until a coordinator is elected and has announced itself to all daemons.
const COORDINATION_TIME: Duration = Duration::from_millis(1_500);

async fn daemon(name: &str, store: MemoryStore) -> TestIngress {
    let mut settings = settings(name);
    settings.key_trust = KeyTrust {
        known: Some(KEY_TRUST),
        unknown: Some(KEY_TRUST),
    };
    let test =
        TestIngress::start_with(settings, store, Arc::new(ImmediateLoadControl::default())).await;
    test.until_ready().await;
    test
}

fn store(server: &ScriptedRunner, configuration: Configuration) -> MemoryStore {
    let store = MemoryStore::default();
    store.set_runners(vec![runner(0, server.address)]);
    store.set_configuration(configuration);
    store
}

async fn status(test: &TestIngress, path: &str, id: &str, key: Option<&str>) -> u16 {
    let request = test.request(path, id);
    let request = match key {
        Some(key) => request.header("x-key", key),
        None => request,
    };
    request.send().await.unwrap().status().as_u16()
}

#[tokio::test]
async fn a_key_admits_as_its_tenant_and_goes_no_further() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let tenants = vec![tenant("a", &["ka"], None), tenant("b", &["kb"], None)];
    let test = daemon("d", store(&server, configuration_with_tenants(1, tenants))).await;
    let request = test.request("/safe/", "id-1");
    let request = request.header("x-key", "kb").header("x-tenant", "a");
    assert_eq!(request.send().await.unwrap().status(), 200);
    assert_eq!(server.received()[0].header("x-tenant"), Some("b"));
    assert_eq!(server.received()[0].header("x-key"), None);

    // Headers that the client lists in `connection` are dropped, and the daemon's own are set
    // afterwards.
    let request = test.request("/safe/", "id-2").header("x-key", "ka");
    let request = request
        .header("connection", "x-tenant")
        .header("x-tenant", "b");
    assert_eq!(request.send().await.unwrap().status(), 200);
    assert_eq!(server.received()[1].header("x-tenant"), Some("a"));
}

#[tokio::test]
async fn without_a_key_that_holds_a_request_is_denied_unless_its_route_is_public() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let tenants = vec![tenant("a", &["ka"], None)];
    let test = daemon("d", store(&server, configuration_with_tenants(1, tenants))).await;
    let denied = test.request("/safe/", "id-1").header("x-key", "other");
    let denied = denied.send().await.unwrap();
    assert_eq!(denied.status(), 401);
    assert!(denied.text().await.unwrap().contains("1009"));
    assert_eq!(status(&test, "/safe/", "id-2", None).await, 401);
    assert!(server.received().is_empty());
    assert_eq!(status(&test, "/open/", "id-3", None).await, 200);
    assert_eq!(status(&test, "/open/", "id-4", Some("other")).await, 200);
    assert_eq!(server.received()[1].header("x-key"), None);
    assert_eq!(server.received()[1].header("x-tenant"), None);
}

#[tokio::test]
async fn without_tenants_no_key_is_asked_for() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let test = daemon(
        "d",
        store(&server, configuration_with_tenants(1, Vec::new())),
    )
    .await;
    assert_eq!(status(&test, "/safe/", "id-1", None).await, 200);
    assert_eq!(status(&test, "/safe/", "id-2", Some("k")).await, 200);
    assert_eq!(server.received()[1].header("x-key"), Some("k"));
}

/// A key may have been revoked without a disconnected daemon learning of it.
#[tokio::test]
async fn a_daemon_that_is_cut_off_serves_no_key_after_the_bound() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let tenants = vec![tenant("a", &["ka"], None)];
    let store = store(&server, configuration_with_tenants(1, tenants));
    let test = daemon("d", store).await;
    test.store.is_silent.store(true, Ordering::Relaxed);
    assert_eq!(status(&test, "/safe/", "id-1", Some("ka")).await, 200);
    sleep(KEY_TRUST + Duration::from_millis(300)).await;
    let refused = test.request("/safe/", "id-2").header("x-key", "ka");
    let refused = refused.send().await.unwrap();
    assert_eq!(refused.status(), 503);
    assert!(refused.headers().contains_key("retry-after"));
    assert!(refused.text().await.unwrap().contains("7004"));
    // It must not deny a key that may have been added either.
    assert_eq!(status(&test, "/safe/", "id-3", Some("new")).await, 503);
    assert_eq!(status(&test, "/safe/", "id-4", None).await, 401);
    assert_eq!(status(&test, "/open/", "id-5", None).await, 200);
    assert_eq!(test.ready_status().await, 503);
    assert_eq!(server.received().len(), 2);

    test.store.is_silent.store(false, Ordering::Relaxed);
    test.until_ready().await;
    assert_eq!(status(&test, "/safe/", "id-6", Some("ka")).await, 200);
}

/// Guards against a daemon that the store refuses to serve still accepting revoked keys although
/// its peers have the newer configuration.
#[tokio::test]
async fn a_daemon_that_the_store_turns_away_gets_the_configuration_from_a_peer() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let both = vec![tenant("a", &["ka"], None), tenant("b", &["kb"], None)];
    let store = store(&server, configuration_with_tenants(1, both));
    let first = daemon("a", store.share()).await;
    sleep(COORDINATION_TIME).await;
    let second = daemon("b", store.share()).await;
    sleep(COORDINATION_TIME).await;

    second.store.is_silent.store(true, Ordering::Relaxed);
    let less = vec![tenant("a", &["ka2"], None)];
    store.set_configuration(configuration_with_tenants(2, less));
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(status(&second, "/safe/", "id-1", Some("kb")).await, 401);
    assert_eq!(status(&second, "/safe/", "id-2", Some("ka2")).await, 200);
    // The peer confirms the configuration for as long as the peer itself reaches the store.
    sleep(KEY_TRUST + Duration::from_millis(500)).await;
    assert_eq!(status(&second, "/safe/", "id-3", Some("ka2")).await, 200);
    // After that, neither can confirm the configuration.
    first.store.is_silent.store(true, Ordering::Relaxed);
    sleep(KEY_TRUST + Duration::from_millis(1_000)).await;
    assert_eq!(status(&second, "/safe/", "id-4", Some("ka2")).await, 503);
}

/// Guards against a daemon that restarts while the store refuses to serve it and so has no
/// configuration.
#[tokio::test]
async fn a_daemon_that_starts_while_the_store_turns_it_away_is_told_by_the_next_coordinator() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let tenants = vec![tenant("a", &["ka"], None)];
    let store = store(&server, configuration_with_tenants(1, tenants));
    let mut first = daemon("a", store.share()).await;
    sleep(COORDINATION_TIME).await;
    // A port that the system gives to no connection, since the daemon must find it free again.
    let mut ports = Ports::claim().unwrap();
    let mut second_settings = settings("b");
    second_settings.peer_listen = ports.free_address().unwrap();
    second_settings.key_trust.known = Some(KEY_TRUST);
    let control = Arc::new(SilentControl);
    let second = TestIngress::start_with(second_settings.clone(), store.share(), control.clone());
    let mut second = second.await;
    second.until_ready().await;
    // Longer than the coordinator takes to record its known daemons.
    sleep(Duration::from_millis(5_500)).await;

    second.ingress.take().unwrap().stop().await;
    let cut_off = store.share();
    cut_off.is_silent.store(true, Ordering::Relaxed);
    first.ingress.take().unwrap().stop().await;
    let third = daemon("c", store.share()).await;
    let again = TestIngress::start_with(second_settings, cut_off, control).await;
    sleep(Duration::from_millis(5_000)).await;
    assert_eq!(status(&third, "/safe/", "id-1", Some("ka")).await, 200);
    assert_eq!(again.ready_status().await, 200);
    assert_eq!(status(&again, "/safe/", "id-2", Some("ka")).await, 200);
}

#[tokio::test]
async fn what_exceeds_a_quota_is_refused_whichever_daemon_it_reaches() {
    let server = ScriptedRunner::start(Vec::new()).await;
    let tenants = vec![
        tenant("a", &["ka"], Some(10.0)),
        tenant("b", &["kb"], Some(10.0)),
    ];
    let store = store(&server, configuration_with_tenants(1, tenants));
    let first = daemon("a", store.share()).await;
    sleep(COORDINATION_TIME).await;
    let second = daemon("b", store.share()).await;
    // A coordinator that has just started assumes more daemons than have reported.
    sleep(Duration::from_millis(5_000)).await;

    let mut served = 0;
    let mut refused = 0;
    for number in 0..60 {
        let daemon = if number % 2 == 0 { &first } else { &second };
        match status(daemon, "/safe/", &format!("id-{number}"), Some("ka")).await {
            200 => served += 1,
            429 => refused += 1,
            other => panic!("{other}"),
        }
    }
    // The burst size plus the refill since the first request.
    assert!(
        (8..=25).contains(&served),
        "{served} served, {refused} refused"
    );
    assert_eq!(status(&first, "/safe/", "id-b", Some("kb")).await, 200);
    let last = second.request("/safe/", "id-last").header("x-key", "ka");
    let last = last.send().await.unwrap();
    if last.status() == 429 {
        assert!(last.headers().contains_key("retry-after"));
        assert!(last.text().await.unwrap().contains("2012"));
    }
}
