//! Requests that crash the machines that run them.
//!
//! Guards against a fault found in the gateway by code review after an incident at the ingress: the
//! gateway kept no record of a request beyond its attempt, so a caller that retried a request which
//! crashes its machine was routed to one machine after another.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use flaxward_types::RunnerName;
use flaxward_types::engine::Machine;
use reqwest::Method;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::support::{ARTIFACT, Harness, fetch, machine, raw_back_end, wait_until};

/// Number of machines that a request may crash before it is quarantined.
const QUARANTINE_THRESHOLD: u32 = 3;
/// Number of times that the request may still be sent after that.
const MAX_SENDS_AFTER_THRESHOLD: u32 = 3;
/// Number of times that the caller sends the request.
const CALLER_ATTEMPTS: u32 = 12;
/// Time after which a machine that has crashed listens again.
const RESTART_TIME: Duration = Duration::from_millis(1_200);

/// A machine that crashes on its first request and increments the counter.
async fn crashing_machine(crashes: Arc<AtomicU32>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.unwrap();
        drop(listener);
        let mut bytes = [0; 4096];
        if connection
            .read(&mut bytes)
            .await
            .is_ok_and(|length| length > 0)
        {
            crashes.fetch_add(1, Ordering::Relaxed);
        }
    });
    address
}

#[tokio::test]
async fn a_request_that_crashed_three_machines_is_no_longer_sent() {
    let harness = Harness::start(|_| {}).await;
    let crashes = Arc::new(AtomicU32::new(0));
    let mut machines: Vec<Machine> = Vec::new();
    for number in 0..CALLER_ATTEMPTS {
        let address = crashing_machine(crashes.clone()).await;
        machines.push(machine(&format!("s{number}"), address));
    }
    harness.gateway.on_machines(&machines);
    for _ in 0..CALLER_ATTEMPTS {
        let request = harness.request(Method::POST, "/services/despacho/orders");
        fetch(request.body("crash")).await;
    }
    let sent = crashes.load(Ordering::Relaxed);
    assert!(
        sent <= QUARANTINE_THRESHOLD + MAX_SENDS_AFTER_THRESHOLD,
        "{sent} machines crashed"
    );
}

/// A machine that crashes on each request, increments the counter, and listens again a while later.
async fn restarting_machine(crashes: Arc<AtomicU32>) -> SocketAddr {
    let mut listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut connection, _) = listener.accept().await.unwrap();
            let mut bytes = [0; 4096];
            let length = connection.read(&mut bytes).await.unwrap_or_default();
            if length == 0 {
                continue;
            }
            crashes.fetch_add(1, Ordering::Relaxed);
            drop(listener);
            drop(connection);
            tokio::time::sleep(RESTART_TIME).await;
            listener = listen_again(address).await;
        }
    });
    address
}

async fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

/// Guards against crashes that are not counted since machines that start again keep their names.
#[tokio::test]
async fn a_request_that_crashes_two_machines_again_and_again_is_no_longer_sent() {
    let harness = Harness::start(|_| {}).await;
    let crashes = Arc::new(AtomicU32::new(0));
    let mut machines: Vec<Machine> = Vec::new();
    for number in 0..2 {
        let address = restarting_machine(crashes.clone()).await;
        machines.push(machine(&format!("s{number}"), address));
    }
    harness.gateway.on_machines(&machines);
    for _ in 0..5 * CALLER_ATTEMPTS {
        let request = harness.request(Method::POST, "/services/despacho/orders");
        fetch(request.body("crash")).await;
        tokio::time::sleep(RESTART_TIME / 5).await;
    }
    let sent = crashes.load(Ordering::Relaxed);
    assert!(
        sent <= QUARANTINE_THRESHOLD + MAX_SENDS_AFTER_THRESHOLD,
        "machines crashed {sent} times"
    );
}

/// The partial response of a machine that crashes before sending anything.
const NO_RESPONSE: &str = "";
/// The head and the first event of a stream.
const FIRST_EVENT: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    transfer-encoding: chunked\r\n\r\n17\r\nid: 0\ndata: {\"t\":\"a\"}\n\n\r\n";

/// Machines that crash on their first request after sending the partial response.
async fn crashing_replicas(
    partial_response: &'static str,
    crashes: &Arc<AtomicU32>,
) -> Vec<(String, SocketAddr)> {
    let mut machines = Vec::new();
    for number in 0..CALLER_ATTEMPTS {
        let address = machine_crashing_after(partial_response, crashes.clone()).await;
        machines.push((format!("e-crashing-{number}"), address));
    }
    machines
}

async fn machine_crashing_after(
    partial_response: &'static str,
    crashes: Arc<AtomicU32>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.unwrap();
        drop(listener);
        let mut bytes = [0; 4096];
        if connection
            .read(&mut bytes)
            .await
            .is_ok_and(|length| length > 0)
        {
            crashes.fetch_add(1, Ordering::Relaxed);
            connection
                .write_all(partial_response.as_bytes())
                .await
                .unwrap();
        }
    });
    address
}

/// A completion that crashes its engine.
fn crashing_completion(stream: bool) -> Value {
    json!({ "model": ARTIFACT, "prompt": "crash", "stream": stream })
}

/// Repeats a completion that crashes its engines after they send the partial response, and checks
/// that it is quarantined.
async fn assert_completion_is_quarantined(stream: bool, partial_response: &'static str) {
    let harness = Harness::start(|settings| {
        settings.stream_resume_wait = Duration::from_millis(300);
    })
    .await;
    let crashes = Arc::new(AtomicU32::new(0));
    harness.set_replicas(&crashing_replicas(partial_response, &crashes).await);
    let mut last = None;
    for _ in 0..CALLER_ATTEMPTS {
        let request = harness.completion_request(&crashing_completion(stream));
        let request = request.header("x-flaxward-deadline", "1s");
        last = Some(fetch(request).await);
    }
    let sent = crashes.load(Ordering::Relaxed);
    assert!(
        sent <= QUARANTINE_THRESHOLD + MAX_SENDS_AFTER_THRESHOLD,
        "{sent} engines crashed"
    );
    let last = last.unwrap();
    assert_eq!(last.code(), Some(3008), "{last:?}");
    assert_eq!(last.status, 503);
    let retry_after = last.retry_after().expect("a retry-after header");
    assert!((1..=30).contains(&retry_after), "{retry_after} s");
}

#[tokio::test]
async fn a_completion_that_crashed_three_engines_is_quarantined() {
    assert_completion_is_quarantined(false, NO_RESPONSE).await;
}

#[tokio::test]
async fn a_stream_that_crashed_three_engines_is_quarantined() {
    assert_completion_is_quarantined(true, NO_RESPONSE).await;
}

#[tokio::test]
async fn a_stream_that_crashed_three_engines_after_its_first_event_is_quarantined() {
    assert_completion_is_quarantined(true, FIRST_EVENT).await;
}

/// The quarantine covers one request only: another that differs just in its body is served by the
/// remaining engines.
#[tokio::test]
async fn a_request_with_another_body_is_served_during_the_quarantine() {
    let harness = Harness::start(|_| {}).await;
    let crashes = Arc::new(AtomicU32::new(0));
    let mut replicas = crashing_replicas(NO_RESPONSE, &crashes).await;
    replicas.truncate(3);
    harness.set_replicas(&replicas);
    while crashes.load(Ordering::Relaxed) < QUARANTINE_THRESHOLD {
        fetch(
            harness
                .completion_request(&crashing_completion(false))
                .header("x-flaxward-deadline", "1s"),
        )
        .await;
    }
    let engine = &harness.engines[0];
    harness.set_replicas(&[("e0".to_owned(), engine.address())]);
    let other = json!({ "model": ARTIFACT, "prompt": "harmless", "max_tokens": 2 });
    assert_eq!(fetch(harness.completion_request(&other)).await.status, 200);
    let again = fetch(harness.completion_request(&crashing_completion(false))).await;
    assert_eq!(again.code(), Some(3008), "{again:?}");
}

/// A request queued for a machine is refused as soon as its copies have crashed other machines, not
/// at its deadline.
#[tokio::test]
async fn a_queued_request_is_refused_as_soon_as_it_is_quarantined() {
    let harness = Harness::start(|settings| settings.quarantine.crashes = 1).await;
    let accepted = Arc::new(AtomicU32::new(0));
    let address = machine_crashing_on_signal(accepted.clone()).await;
    harness.gateway.on_machines(&[machine("s7", address)]);
    // The machine runs two requests concurrently, so one of the three is queued.
    let copies = [(); 3].map(|()| {
        let request = harness.request(Method::POST, "/services/despacho/orders");
        tokio::spawn(async move { fetch(request.body("crash")).await })
    });
    wait_until(|| accepted.load(Ordering::Relaxed) == 1 && harness.gateway.requests().len() == 3)
        .await;
    let started_at = Instant::now();
    accepted.fetch_add(1, Ordering::Relaxed);
    let mut codes = Vec::new();
    for copy in copies {
        codes.push(copy.await.unwrap().code());
    }
    assert!(codes.contains(&Some(3008)), "{codes:?}");
    assert!(started_at.elapsed() < Duration::from_secs(2), "{codes:?}");
}

/// A machine that closes connections but still listens has not crashed.
#[tokio::test]
async fn closed_connections_are_not_counted_as_crashes() {
    let harness = Harness::start(|_| {}).await;
    let (address, mut requests) = raw_back_end().await;
    let broken = Arc::new(AtomicU32::new(0));
    let broken_counter = broken.clone();
    tokio::spawn(async move {
        while let Some((_, connection)) = requests.recv().await {
            broken_counter.fetch_add(1, Ordering::Relaxed);
            drop(connection);
        }
    });
    let machines: Vec<Machine> = (0..CALLER_ATTEMPTS)
        .map(|number| machine(&format!("s{number}"), address))
        .collect();
    harness.gateway.on_machines(&machines);
    for _ in 0..CALLER_ATTEMPTS {
        let request = harness.request(Method::POST, "/services/despacho/orders");
        let response = fetch(request.body("harmless")).await;
        assert_ne!(response.code(), Some(3008), "{response:?}");
    }
    assert!(broken.load(Ordering::Relaxed) >= CALLER_ATTEMPTS);
}

/// A leaving machine may exit while requests are running on it.
#[tokio::test]
async fn the_exit_of_a_leaving_machine_is_not_counted_as_a_crash() {
    let harness = Harness::start(|settings| settings.quarantine.crashes = 1).await;
    let crashes = Arc::new(AtomicU32::new(0));
    let address = machine_crashing_on_signal(crashes.clone()).await;
    harness.gateway.on_machines(&[machine("s7", address)]);
    let request = harness.request(Method::POST, "/services/despacho/orders");
    let sent = tokio::spawn(async move { fetch(request.body("harmless")).await });
    wait_until(|| crashes.load(Ordering::Relaxed) == 1).await;
    harness
        .gateway
        .on_leaving(BTreeSet::from([RunnerName::literal("s7")]));
    crashes.fetch_add(1, Ordering::Relaxed);
    sent.await.unwrap();
    harness.set_machines(&[0, 1]);
    let request = harness.request(Method::POST, "/services/despacho/orders");
    assert_eq!(fetch(request.body("harmless")).await.status, 200);
}

/// A machine that accepts a request and crashes once the counter is incremented again.
async fn machine_crashing_on_signal(accepted: Arc<AtomicU32>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.unwrap();
        let mut bytes = [0; 4096];
        let length = connection.read(&mut bytes).await.unwrap();
        assert!(length > 0);
        accepted.fetch_add(1, Ordering::Relaxed);
        wait_until(|| accepted.load(Ordering::Relaxed) > 1).await;
        drop(listener);
    });
    address
}

/// If a request succeeds on another machine after crashes, those are attributed to another cause.
#[tokio::test]
async fn a_successful_run_clears_the_crashes_of_a_request() {
    let harness = Harness::start(|settings| settings.quarantine.crashes = 2).await;
    let crashes = Arc::new(AtomicU32::new(0));
    let request = || {
        let request = harness.request(Method::GET, "/services/despacho/orders");
        request.body("harmless")
    };
    for number in 0..3 {
        let address = machine_crashing_after(NO_RESPONSE, crashes.clone()).await;
        harness
            .gateway
            .on_machines(&[machine(&format!("c{number}"), address)]);
        fetch(request().header("x-flaxward-deadline", "500ms")).await;
        harness.set_machines(&[0, 1]);
        assert_eq!(fetch(request()).await.status, 200, "after crash {number}");
    }
    assert_eq!(crashes.load(Ordering::Relaxed), 3);
}
