//! Plain services: forwarding, choice of a machine, and at-most-once execution by idempotency key.

use std::collections::BTreeSet;
use std::time::Duration;

use flaxward_emulator::fault::Strikes;
use flaxward_types::RunnerName;
use flaxward_types::engine::Machine;
use reqwest::{Method, RequestBuilder};
use serde_json::json;
use tokio::io::AsyncWriteExt;

use crate::support::{Harness, fetch, fetch_until_settled, machine, raw_back_end};

fn post_order(harness: &Harness, key: &str) -> RequestBuilder {
    let request = harness.request(Method::POST, "/services/despacho/orders?site=T14");
    request.header("idempotency-key", key).body("two vans")
}

#[tokio::test]
async fn requests_and_responses_are_forwarded_without_hop_by_hop_headers() {
    let harness = Harness::start(|_| {}).await;
    let (address, mut requests) = raw_back_end().await;
    harness.gateway.on_machines(&[machine("s9", address)]);
    let paths = [
        ("/services/despacho/a/b%20c?d=%C3%B1", "/a/b%20c?d=%C3%B1"),
        ("/services/despacho/", "/"),
        ("/services/despacho", "/"),
    ];
    for (path, target) in paths {
        let request = harness.request(Method::PUT, path).body("two vans");
        let request = request
            .header("accept-language", "es-CL")
            .header("x-hop", "1");
        let request = request
            .header("connection", "x-hop")
            .header("te", "trailers");
        let caller = tokio::spawn(fetch(request.header("x-flaxward-not-run", "true")));
        let (text, mut connection) = requests.recv().await.unwrap();
        assert!(
            text.starts_with(&format!("PUT {target} HTTP/1.1\r\n")),
            "{text}"
        );
        assert!(text.ends_with("\r\n\r\ntwo vans"), "{text}");
        assert!(text.contains("accept-language: es-CL") && text.contains("x-request-id: "));
        let stripped = ["x-hop", "te: ", "not-run", "connection: "];
        assert!(!stripped.iter().any(|name| text.contains(name)), "{text}");
        let raw_response =
            "HTTP/1.1 207 X\r\ncontent-length: 2\r\nx-own: a\r\nkeep-alive: b\r\n\r\nsi";
        connection.write_all(raw_response.as_bytes()).await.unwrap();
        drop(connection);
        let response = caller.await.unwrap();
        assert_eq!((response.status, response.text.as_str()), (207, "si"));
        assert!(
            response.headers.contains_key("x-own") && !response.headers.contains_key("keep-alive")
        );
    }
}

#[tokio::test]
async fn requests_with_the_same_idempotency_key_run_once() {
    let harness = Harness::start(|_| {}).await;
    let first = fetch(post_order(&harness, "k1")).await;
    assert_eq!(first.status, 200, "{}", first.text);
    // The outcome is stored after the response is sent; until then the key is in progress.
    let second = fetch_until_settled(&post_order(&harness, "k1")).await;
    assert_eq!((second.status, &second.text), (200, &first.text));
    let other = fetch(post_order(&harness, "k1").body("three vans")).await;
    assert_eq!(other.code(), Some(4004), "{}", other.text);
    assert_eq!(harness.times_run("k1"), 1);
    let concurrent = (0..20).map(|_| fetch(post_order(&harness, "k2")));
    let concurrent = futures::future::join_all(concurrent).await;
    assert!(
        concurrent
            .iter()
            .all(|response| response.status == 200 || response.code() == Some(4001))
    );
    assert_eq!(harness.times_run("k2"), 1);
}

#[tokio::test]
async fn a_request_whose_response_is_lost_is_not_run_again() {
    let harness = Harness::start(|_| {}).await;
    for service in &harness.services {
        service.update_faults(|faults| faults.lose_answers = Strikes::always());
    }
    let response = fetch(post_order(&harness, "k1")).await;
    assert_eq!(
        (response.code(), response.error()["not_run"].as_bool()),
        (Some(3001), Some(false))
    );
    let retry = fetch_until_settled(&post_order(&harness, "k1")).await;
    assert_eq!(retry.code(), Some(4002), "{}", retry.text);
    let without_key = harness.request(Method::POST, "/services/despacho/orders");
    let response = fetch(without_key.header("x-request-id", "r1")).await;
    assert_eq!(response.code(), Some(3001));
    assert_eq!((harness.times_run("k1"), harness.times_run("r1")), (1, 1));
}

#[tokio::test]
async fn a_request_whose_claim_cannot_be_stored_is_not_run() {
    let harness = Harness::start(|_| {}).await;
    harness.objects.update_faults(|faults| faults.down = true);
    let response = fetch(post_order(&harness, "k1")).await;
    assert_eq!(
        (response.code(), response.error()["not_run"].as_bool()),
        (Some(4003), Some(true))
    );
    assert!(response.retry_after().is_some());
    harness.objects.update_faults(|faults| faults.down = false);
    assert_eq!(harness.times_run("k1"), 0);
    assert_eq!(fetch(post_order(&harness, "k1")).await.status, 200);
}

#[tokio::test]
async fn the_outcome_of_a_request_is_stored_after_its_caller_disconnects() {
    let harness = Harness::start(|_| {}).await;
    for service in &harness.services {
        service.update_faults(|faults| faults.slow_ms = 200);
    }
    let abandoned = post_order(&harness, "k1").timeout(Duration::from_millis(100));
    assert!(abandoned.send().await.is_err());
    let retry = fetch_until_settled(&post_order(&harness, "k1")).await;
    assert_eq!(
        (retry.status, harness.times_run("k1")),
        (200, 1),
        "{}",
        retry.text
    );
}

#[tokio::test]
async fn safe_requests_are_retried_elsewhere_and_leaving_machines_are_skipped() {
    let harness = Harness::start(|_| {}).await;
    harness.services[0].update_faults(|faults| faults.lose_answers = Strikes::next(3));
    for _ in 0..6 {
        let response = fetch(harness.request(Method::GET, "/services/despacho/stock")).await;
        assert_eq!(response.status, 200, "{}", response.text);
    }
    let before = harness.services[0].record().executions.len();
    harness
        .gateway
        .on_leaving(BTreeSet::from([RunnerName::literal("s0")]));
    for _ in 0..20 {
        let response = fetch(harness.request(Method::GET, "/services/despacho/stock")).await;
        assert_eq!(response.status, 200, "{}", response.text);
    }
    assert_eq!(harness.services[0].record().executions.len(), before);
    let leaving = Machine {
        leaving: true,
        ..machine("s1", harness.services[1].address())
    };
    let listed = machine("s0", harness.services[0].address());
    harness.gateway.on_machines(&[listed, leaving]);
    let response = fetch(harness.request(Method::GET, "/services/despacho/stock")).await;
    assert_eq!(response.code(), Some(2010), "{}", response.text);
}

/// Guards against a back end in trouble whose bytes reach a caller as an answer, under a status that no answer has.
#[tokio::test]
async fn a_status_that_no_answer_has_is_not_passed_on() {
    let harness = Harness::start(|_| {}).await;
    let (address, mut requests) = raw_back_end().await;
    harness.gateway.on_machines(&[machine("s9", address)]);
    for status in ["101", "600", "999"] {
        let caller = tokio::spawn(fetch(post_order(&harness, status)));
        let (_, mut connection) = requests.recv().await.unwrap();
        let raw_response = format!("HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\nsi");
        connection.write_all(raw_response.as_bytes()).await.unwrap();
        drop(connection);
        let response = caller.await.unwrap();
        assert_eq!(
            (response.status, response.code()),
            (502, Some(3001)),
            "{status}"
        );
    }
}

#[tokio::test]
async fn requests_over_the_concurrency_limit_of_a_machine_are_queued() {
    let harness = Harness::start(|_| {}).await;
    harness.set_machines(&[0]);
    let slow_ms = 50;
    // Failed attempts release their slots.
    harness.services[0].update_faults(|faults| {
        faults.slow_ms = slow_ms;
        faults.lose_answers = Strikes::next(2);
    });
    let stock = || fetch(harness.request(Method::GET, "/services/despacho/stock"));
    let responses = futures::future::join_all((0..6).map(|_| stock())).await;
    assert!(responses.iter().all(|response| response.status == 200));
    let executions = harness.services[0].record().executions;
    let times: Vec<u64> = executions.iter().map(|run| run.at_unix_ms).collect();
    // Eight executions (six requests, two retries), two at a time.
    let elapsed = times.iter().max().unwrap() - times.iter().min().unwrap();
    assert!(elapsed >= 3 * slow_ms - 5, "{times:?}");
}

#[tokio::test]
async fn requests_succeed_while_a_dead_machine_is_still_listed() {
    let mut harness = Harness::start(|_| {}).await;
    harness.services.remove(0).shutdown().await;
    for index in 0..50 {
        let order = harness.request(Method::POST, "/services/despacho/orders");
        let response = fetch(order).await;
        assert_eq!(response.status, 200, "{index}: {}", response.text);
    }
}

#[tokio::test]
async fn a_slow_store_delays_no_response_past_its_deadline() {
    let harness = Harness::start(|_| {}).await;
    let body = json!({"model": "turbine", "prompt": "why", "stream": true});
    let completion = harness
        .completion_request(&body)
        .header("idempotency-key", "k2");
    let completion = completion.header("x-flaxward-repeatable", "false");
    for request in [post_order(&harness, "k1"), completion] {
        let retry = request.try_clone().unwrap();
        harness
            .objects
            .update_faults(|faults| faults.delay_ms = 4_000);
        let request = request.header("x-flaxward-deadline", "200ms");
        let response = fetch(request.timeout(Duration::from_secs(2))).await;
        assert_eq!(
            (response.code(), response.error()["not_run"].as_bool()),
            (Some(2003), Some(true))
        );
        harness.objects.update_faults(|faults| faults.delay_ms = 0);
        // The claim that reaches the store late does not block a retry with the same key.
        let response = fetch_until_settled(&retry).await;
        assert_eq!(response.status, 200, "{}", response.text);
    }
    assert_eq!(
        (harness.times_run("k1"), harness.accepted_requests()),
        (1, vec![1, 0])
    );
}
