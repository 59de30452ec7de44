//! Plain services: at most once, at the right machine, under the caller's key.

use std::collections::BTreeSet;
use std::time::Duration;

use flaxward_emulator::fault::Strikes;
use flaxward_types::RunnerName;
use flaxward_types::engine::Machine;
use reqwest::{Method, RequestBuilder};
use serde_json::json;
use tokio::io::AsyncWriteExt;

use crate::support::{Bench, fetch, machine, raw_back_end, settled};

fn order(bench: &Bench, key: &str) -> RequestBuilder {
    let request = bench.request(Method::POST, "/services/despacho/orders?site=T14");
    request.header("idempotency-key", key).body("two vans")
}

#[tokio::test]
async fn a_request_reaches_the_service_as_it_was_sent() {
    let bench = Bench::start(|_| {}).await;
    let (address, mut requests) = raw_back_end().await;
    bench.gateway.on_machines(&[machine("s9", address)]);
    let paths = [
        ("/services/despacho/a/b%20c?d=%C3%B1", "/a/b%20c?d=%C3%B1"),
        ("/services/despacho/", "/"),
        ("/services/despacho", "/"),
    ];
    for (path, target) in paths {
        let request = bench.request(Method::PUT, path).body("two vans");
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
        let kept_back = ["x-hop", "te: ", "not-run", "connection: "];
        assert!(!kept_back.iter().any(|name| text.contains(name)), "{text}");
        let answer = "HTTP/1.1 207 X\r\ncontent-length: 2\r\nx-own: a\r\nkeep-alive: b\r\n\r\nsi";
        connection.write_all(answer.as_bytes()).await.unwrap();
        drop(connection);
        let got = caller.await.unwrap();
        assert_eq!((got.status, got.text.as_str()), (207, "si"));
        assert!(got.headers.contains_key("x-own") && !got.headers.contains_key("keep-alive"));
    }
}

#[tokio::test]
async fn an_order_with_a_key_runs_once_however_often_it_is_sent() {
    let bench = Bench::start(|_| {}).await;
    let first = fetch(order(&bench, "k1")).await;
    assert_eq!(first.status, 200, "{}", first.text);
    // The outcome is recorded right after the answer; until then the key is in progress.
    let second = settled(&order(&bench, "k1")).await;
    assert_eq!((second.status, &second.text), (200, &first.text));
    let other = fetch(order(&bench, "k1").body("three vans")).await;
    assert_eq!(other.code(), Some(4004), "{}", other.text);
    assert_eq!(bench.times_run("k1"), 1);
    let burst = (0..20).map(|_| fetch(order(&bench, "k2")));
    let burst = futures::future::join_all(burst).await;
    assert!(
        burst
            .iter()
            .all(|got| got.status == 200 || got.code() == Some(4001))
    );
    assert_eq!(bench.times_run("k2"), 1);
}

#[tokio::test]
async fn an_order_whose_answer_is_lost_is_not_run_again() {
    let bench = Bench::start(|_| {}).await;
    for service in &bench.services {
        service.update_faults(|faults| faults.lose_answers = Strikes::always());
    }
    let got = fetch(order(&bench, "k1")).await;
    assert_eq!(
        (got.code(), got.error()["not_run"].as_bool()),
        (Some(3001), Some(false))
    );
    let again = settled(&order(&bench, "k1")).await;
    assert_eq!(again.code(), Some(4002), "{}", again.text);
    let without_key = bench.request(Method::POST, "/services/despacho/orders");
    let got = fetch(without_key.header("x-request-id", "r1")).await;
    assert_eq!(got.code(), Some(3001));
    assert_eq!((bench.times_run("k1"), bench.times_run("r1")), (1, 1));
}

#[tokio::test]
async fn an_order_whose_claim_cannot_be_recorded_is_not_run() {
    let bench = Bench::start(|_| {}).await;
    bench.objects.update_faults(|faults| faults.down = true);
    let got = fetch(order(&bench, "k1")).await;
    assert_eq!(
        (got.code(), got.error()["not_run"].as_bool()),
        (Some(4003), Some(true))
    );
    assert!(got.retry_after().is_some());
    bench.objects.update_faults(|faults| faults.down = false);
    assert_eq!(bench.times_run("k1"), 0);
    assert_eq!(fetch(order(&bench, "k1")).await.status, 200);
}

#[tokio::test]
async fn an_order_whose_caller_goes_is_recorded_all_the_same() {
    let bench = Bench::start(|_| {}).await;
    for service in &bench.services {
        service.update_faults(|faults| faults.slow_ms = 200);
    }
    let gone = order(&bench, "k1").timeout(Duration::from_millis(100));
    assert!(gone.send().await.is_err());
    let again = settled(&order(&bench, "k1")).await;
    assert_eq!(
        (again.status, bench.times_run("k1")),
        (200, 1),
        "{}",
        again.text
    );
}

#[tokio::test]
async fn lookups_are_repeated_elsewhere_and_leaving_machines_are_passed_over() {
    let bench = Bench::start(|_| {}).await;
    bench.services[0].update_faults(|faults| faults.lose_answers = Strikes::next(3));
    for _ in 0..6 {
        let got = fetch(bench.request(Method::GET, "/services/despacho/stock")).await;
        assert_eq!(got.status, 200, "{}", got.text);
    }
    let before = bench.services[0].record().executions.len();
    bench
        .gateway
        .on_leaving(BTreeSet::from([RunnerName::literal("s0")]));
    for _ in 0..20 {
        let got = fetch(bench.request(Method::GET, "/services/despacho/stock")).await;
        assert_eq!(got.status, 200, "{}", got.text);
    }
    assert_eq!(bench.services[0].record().executions.len(), before);
    let leaving = Machine {
        leaving: true,
        ..machine("s1", bench.services[1].address())
    };
    let listed = machine("s0", bench.services[0].address());
    bench.gateway.on_machines(&[listed, leaving]);
    let got = fetch(bench.request(Method::GET, "/services/despacho/stock")).await;
    assert_eq!(got.code(), Some(2010), "{}", got.text);
}

#[tokio::test]
async fn requests_beyond_the_concurrency_of_a_machine_wait_for_their_turn() {
    let bench = Bench::start(|_| {}).await;
    bench.set_machines(&[0]);
    let slow_ms = 50;
    // Places of failed attempts are free again.
    bench.services[0].update_faults(|faults| {
        faults.slow_ms = slow_ms;
        faults.lose_answers = Strikes::next(2);
    });
    let stock = || fetch(bench.request(Method::GET, "/services/despacho/stock"));
    let answers = futures::future::join_all((0..6).map(|_| stock())).await;
    assert!(answers.iter().all(|got| got.status == 200));
    let executions = bench.services[0].record().executions;
    let times: Vec<u64> = executions.iter().map(|run| run.at_unix_ms).collect();
    // Eight runs, two at a time.
    let span = times.iter().max().unwrap() - times.iter().min().unwrap();
    assert!(span >= 3 * slow_ms - 5, "{times:?}");
}

#[tokio::test]
async fn a_machine_that_is_gone_but_still_listed_costs_few_retries() {
    let mut bench = Bench::start(|_| {}).await;
    bench.services.remove(0).shutdown().await;
    for nth in 0..50 {
        let order = bench.request(Method::POST, "/services/despacho/orders");
        let got = fetch(order).await;
        assert_eq!(got.status, 200, "{nth}: {}", got.text);
    }
}

#[tokio::test]
async fn a_slow_store_holds_no_caller_past_its_deadline() {
    let bench = Bench::start(|_| {}).await;
    let body = json!({"model": "turbine", "prompt": "why", "stream": true});
    let completion = bench.complete(&body).header("idempotency-key", "k2");
    let completion = completion.header("x-flaxward-repeatable", "false");
    for request in [order(&bench, "k1"), completion] {
        let again = request.try_clone().unwrap();
        bench
            .objects
            .update_faults(|faults| faults.delay_ms = 4_000);
        let request = request.header("x-flaxward-deadline", "200ms");
        let got = fetch(request.timeout(Duration::from_secs(2))).await;
        assert_eq!(
            (got.code(), got.error()["not_run"].as_bool()),
            (Some(2003), Some(true))
        );
        bench.objects.update_faults(|faults| faults.delay_ms = 0);
        // The claim that arrives late stands in nobody's way.
        let answer = settled(&again).await;
        assert_eq!(answer.status, 200, "{}", answer.text);
    }
    assert_eq!((bench.times_run("k1"), bench.accepted()), (1, vec![1, 0]));
}
