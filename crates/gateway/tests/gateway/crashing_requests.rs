//! Requests that crash the machines that run them.
//!
//! Found by reading, after an incident at the ingress: the gateway, too, forgot a request with its try, so that a caller
//! who repeated one that crashes its machine was sent on to machine after machine.

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

use crate::support::{ARTIFACT, Bench, fetch, machine, raw_back_end, until};

/// Machines that a request may crash until it must not be sent any more.
const CRASHES_ALLOWED: u32 = 3;
/// How often it may be sent after that.
const SENDS_ALLOWED: u32 = 3;
/// Tries of the caller.
const TRIES: u32 = 12;

/// A machine that ends with the first request that it gets; counts these.
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
async fn a_request_that_has_crashed_three_machines_is_not_sent_any_more() {
    let bench = Bench::start(|_| {}).await;
    let crashes = Arc::new(AtomicU32::new(0));
    let mut machines: Vec<Machine> = Vec::new();
    for number in 0..TRIES {
        let address = crashing_machine(crashes.clone()).await;
        machines.push(machine(&format!("s{number}"), address));
    }
    bench.gateway.on_machines(&machines);
    for _ in 0..TRIES {
        let request = bench.request(Method::POST, "/services/despacho/orders");
        fetch(request.body("crash")).await;
    }
    let sent = crashes.load(Ordering::Relaxed);
    assert!(
        sent <= CRASHES_ALLOWED + SENDS_ALLOWED,
        "{sent} machines crashed"
    );
}

/// What a machine sends before it ends.
const NOTHING: &str = "";
/// The head and the first event of a stream.
const FIRST_EVENT: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    transfer-encoding: chunked\r\n\r\n17\r\nid: 0\ndata: {\"t\":\"a\"}\n\n\r\n";

/// Machines that end with the first request that they get, after they have sent something.
async fn crashing_machines(
    sent_before: &'static str,
    crashes: &Arc<AtomicU32>,
) -> Vec<(String, SocketAddr)> {
    let mut machines = Vec::new();
    for number in 0..TRIES {
        let address = machine_that_ends(sent_before, crashes.clone()).await;
        machines.push((format!("e-crashing-{number}"), address));
    }
    machines
}

async fn machine_that_ends(sent_before: &'static str, crashes: Arc<AtomicU32>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.unwrap();
        drop(listener);
        let mut bytes = [0; 4096];
        if connection.read(&mut bytes).await.is_ok_and(|it| it > 0) {
            crashes.fetch_add(1, Ordering::Relaxed);
            connection.write_all(sent_before.as_bytes()).await.unwrap();
        }
    });
    address
}

/// A completion that crashes its engine.
fn crashing_completion(stream: bool) -> Value {
    json!({ "model": ARTIFACT, "prompt": "crash", "stream": stream })
}

/// Tries a completion that ends its engines once these have sent something, and checks that it is sent no more.
async fn check_completion(stream: bool, sent_before: &'static str) {
    let bench = Bench::start(|settings| {
        settings.stream_resume_wait = Duration::from_millis(300);
    })
    .await;
    let crashes = Arc::new(AtomicU32::new(0));
    bench.set_replicas(&crashing_machines(sent_before, &crashes).await);
    let mut last = None;
    for _ in 0..TRIES {
        let request = bench.complete(&crashing_completion(stream));
        let request = request.header("x-flaxward-deadline", "1s");
        last = Some(fetch(request).await);
    }
    let sent = crashes.load(Ordering::Relaxed);
    assert!(
        sent <= CRASHES_ALLOWED + SENDS_ALLOWED,
        "{sent} engines crashed"
    );
    let last = last.unwrap();
    assert_eq!(last.code(), Some(3008), "{last:?}");
    assert_eq!(last.status, 503);
    let told = last.retry_after().expect("when to come back");
    assert!((1..=30).contains(&told), "{told} s");
}

#[tokio::test]
async fn a_completion_that_has_crashed_three_engines_is_not_sent_any_more() {
    check_completion(false, NOTHING).await;
}

#[tokio::test]
async fn a_stream_that_has_crashed_three_engines_is_not_sent_any_more() {
    check_completion(true, NOTHING).await;
}

#[tokio::test]
async fn a_stream_whose_engines_crash_after_its_first_event_is_not_sent_any_more() {
    check_completion(true, FIRST_EVENT).await;
}

/// The fault of one request is no other's: one that differs in its body alone is served by the engines that are left.
#[tokio::test]
async fn another_request_is_served_during_the_quarantine() {
    let bench = Bench::start(|_| {}).await;
    let crashes = Arc::new(AtomicU32::new(0));
    let mut replicas = crashing_machines(NOTHING, &crashes).await;
    replicas.truncate(3);
    bench.set_replicas(&replicas);
    while crashes.load(Ordering::Relaxed) < CRASHES_ALLOWED {
        fetch(
            bench
                .complete(&crashing_completion(false))
                .header("x-flaxward-deadline", "1s"),
        )
        .await;
    }
    let engine = &bench.engines[0];
    bench.set_replicas(&[("e0".to_owned(), engine.address())]);
    let other = json!({ "model": ARTIFACT, "prompt": "harmless", "max_tokens": 2 });
    assert_eq!(fetch(bench.complete(&other)).await.status, 200);
    let again = fetch(bench.complete(&crashing_completion(false))).await;
    assert_eq!(again.code(), Some(3008), "{again:?}");
}

/// A request that waits for a machine is told at once that copies of it have crashed others, not at its deadline.
#[tokio::test]
async fn a_waiting_request_that_is_put_in_quarantine_is_refused_at_once() {
    let bench = Bench::start(|settings| settings.quarantine.crashes = 1).await;
    let taken = Arc::new(AtomicU32::new(0));
    let address = machine_that_ends_on_cue(taken.clone()).await;
    bench.gateway.on_machines(&[machine("s7", address)]);
    // The machine runs two requests at once, so that one of them waits.
    let copies = [(); 3].map(|()| {
        let request = bench.request(Method::POST, "/services/despacho/orders");
        tokio::spawn(async move { fetch(request.body("crash")).await })
    });
    until(|| taken.load(Ordering::Relaxed) == 1 && bench.gateway.requests().len() == 3).await;
    let begun = Instant::now();
    taken.fetch_add(1, Ordering::Relaxed);
    let mut codes = Vec::new();
    for copy in copies {
        codes.push(copy.await.unwrap().code());
    }
    assert!(codes.contains(&Some(3008)), "{codes:?}");
    assert!(begun.elapsed() < Duration::from_secs(2), "{codes:?}");
}

/// A machine that breaks connections and listens on has not crashed.
#[tokio::test]
async fn a_machine_that_breaks_connections_has_not_crashed() {
    let bench = Bench::start(|_| {}).await;
    let (address, mut requests) = raw_back_end().await;
    let broken = Arc::new(AtomicU32::new(0));
    let counted = broken.clone();
    tokio::spawn(async move {
        while let Some((_, connection)) = requests.recv().await {
            counted.fetch_add(1, Ordering::Relaxed);
            drop(connection);
        }
    });
    let machines: Vec<Machine> = (0..TRIES)
        .map(|number| machine(&format!("s{number}"), address))
        .collect();
    bench.gateway.on_machines(&machines);
    for _ in 0..TRIES {
        let request = bench.request(Method::POST, "/services/despacho/orders");
        let got = fetch(request.body("harmless")).await;
        assert_ne!(got.code(), Some(3008), "{got:?}");
    }
    assert!(broken.load(Ordering::Relaxed) >= TRIES);
}

/// A machine that leaves as planned may end while requests are there.
#[tokio::test]
async fn a_machine_that_leaves_has_not_crashed() {
    let bench = Bench::start(|settings| settings.quarantine.crashes = 1).await;
    let crashes = Arc::new(AtomicU32::new(0));
    let address = machine_that_ends_on_cue(crashes.clone()).await;
    bench.gateway.on_machines(&[machine("s7", address)]);
    let request = bench.request(Method::POST, "/services/despacho/orders");
    let sent = tokio::spawn(async move { fetch(request.body("harmless")).await });
    until(|| crashes.load(Ordering::Relaxed) == 1).await;
    bench
        .gateway
        .on_leaving(BTreeSet::from([RunnerName::literal("s7")]));
    crashes.fetch_add(1, Ordering::Relaxed);
    sent.await.unwrap();
    bench.set_machines(&[0, 1]);
    let request = bench.request(Method::POST, "/services/despacho/orders");
    assert_eq!(fetch(request.body("harmless")).await.status, 200);
}

/// A machine that takes a request and ends when the counter is raised once more.
async fn machine_that_ends_on_cue(taken: Arc<AtomicU32>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.unwrap();
        let mut bytes = [0; 4096];
        let length = connection.read(&mut bytes).await.unwrap();
        assert!(length > 0);
        taken.fetch_add(1, Ordering::Relaxed);
        until(|| taken.load(Ordering::Relaxed) > 1).await;
        drop(listener);
    });
    address
}

/// Machines that crashed under a request which then runs well elsewhere did so for another reason.
#[tokio::test]
async fn a_completed_run_clears_a_request() {
    let bench = Bench::start(|settings| settings.quarantine.crashes = 2).await;
    let crashes = Arc::new(AtomicU32::new(0));
    let request = || {
        let request = bench.request(Method::GET, "/services/despacho/orders");
        request.body("harmless")
    };
    for number in 0..3 {
        let address = machine_that_ends(NOTHING, crashes.clone()).await;
        bench
            .gateway
            .on_machines(&[machine(&format!("c{number}"), address)]);
        fetch(request().header("x-flaxward-deadline", "500ms")).await;
        bench.set_machines(&[0, 1]);
        assert_eq!(fetch(request()).await.status, 200, "after crash {number}");
    }
    assert_eq!(crashes.load(Ordering::Relaxed), 3);
}
