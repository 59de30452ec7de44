//! Requests in the absence of faults.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::runner::{Behaviour, ScriptedRunner};
use crate::store::MemoryStore;
use crate::support::{ImmediateLoadControl, TestIngress, configuration, runner};

#[tokio::test]
async fn a_request_and_its_answer_pass_unaltered() {
    let runner = ScriptedRunner::start(vec![Behaviour::Answer(201, "made")]).await;
    let test = TestIngress::start(&[&runner]).await;
    let request = test
        .request("/unsafe/x?y=1", "id-1")
        .header("x-deadline", "900");
    let response = request.header("x-other", "kept").send().await.unwrap();
    assert_eq!(response.status(), 201);
    assert_eq!(response.headers()["x-stamp"], "s");
    assert_eq!(response.text().await.unwrap(), "made");

    let received = runner.received();
    assert_eq!(received.len(), 1);
    assert!(
        received[0]
            .head
            .starts_with("POST /unsafe/x?y=1 HTTP/1.1\r\n")
    );
    assert_eq!(received[0].body, b"the body");
    assert_eq!(received[0].header("x-other"), Some("kept"));
    assert_eq!(received[0].header("host"), Some("a.example"));
    assert_eq!(received[0].header("x-runner"), Some("r0"));
    let left: u64 = received[0].header("x-deadline").unwrap().parse().unwrap();
    assert!((500..=900).contains(&left), "{left}");
}

/// Guards against a daemon that refuses requests until it has received the complete runner list. When hundreds of
/// daemons started at once with thousands of runners, all of them refused requests for the five seconds in which the
/// store's link delivered the last page of the list.
#[tokio::test]
async fn a_daemon_serves_once_the_first_page_of_the_list_has_come() {
    let server = ScriptedRunner::start(vec![Behaviour::Answer(200, "made")]).await;
    let store = MemoryStore::default();
    store.withholds_pages.store(true, Ordering::Relaxed);
    store.set_runners(vec![runner(0, server.address)]);
    store.set_configuration(configuration(1, Vec::new()));
    let control = Arc::new(ImmediateLoadControl::default());
    let test = TestIngress::start_with_store("d", store, control).await;
    test.until_ready().await;
    let response = test.request("/safe/", "id-1").send().await.unwrap();
    assert_eq!(response.status(), 200);
}

#[tokio::test]
async fn a_stream_passes_event_by_event() {
    let runner = ScriptedRunner::start(vec![Behaviour::SlowEvents(1, 4)]).await;
    let test = TestIngress::start(&[&runner]).await;
    let started_at = Instant::now();
    let mut response = test.request("/stream/", "id-1").send().await.unwrap();
    let first = response.chunk().await.unwrap().unwrap();
    assert_eq!(&first[..], b"id: 1\ndata: e1\n\n");
    assert!(
        started_at.elapsed() < Duration::from_millis(250),
        "events are delayed"
    );
    assert!(
        response
            .text()
            .await
            .unwrap()
            .ends_with("id: 4\ndata: e4\n\n")
    );
}

#[tokio::test]
async fn without_a_configuration_nothing_is_refused_for_good() {
    let test = TestIngress::start_unconfigured().await;
    assert_eq!(test.ready_status().await, 503);
    let response = test.request("/safe/", "id-1").send().await.unwrap();
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
}

#[tokio::test]
async fn an_unknown_path_and_a_missing_id_are_refused() {
    let runner = ScriptedRunner::start(Vec::new()).await;
    let test = TestIngress::start(&[&runner]).await;
    let unknown = test.request("/nowhere/", "id-1").send().await.unwrap();
    assert_eq!(unknown.status(), 404);
    assert!(unknown.text().await.unwrap().contains("1007"));
    let url = format!("http://{}/safe/", test.address);
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let request = client.get(url).header("host", "a.example");
    assert_eq!(request.send().await.unwrap().status(), 400);
    assert!(runner.received().is_empty());
}

#[tokio::test]
async fn a_connection_is_used_again() {
    let runner = ScriptedRunner::start(Vec::new()).await;
    let test = TestIngress::start(&[&runner]).await;
    for id in ["id-1", "id-2", "id-3"] {
        let response = test.request("/safe/", id).send().await.unwrap();
        assert_eq!(response.status(), 200);
    }
    assert_eq!(runner.received().len(), 3);
    assert_eq!(runner.closed(), 0);
}
