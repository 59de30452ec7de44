//! Planned stops.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::runner::{Behaviour, ScriptedRunner};
use crate::support::TestIngress;

#[tokio::test]
async fn a_stop_lets_streams_end_and_is_not_ready_at_once() {
    let runner = ScriptedRunner::start(vec![Behaviour::SlowEvents(1, 10)]).await;
    let mut test = TestIngress::start(&[&runner]).await;
    let response = test.request("/stream/", "id-1").send().await.unwrap();
    let stopping = tokio::spawn(test.ingress.take().unwrap().stop());
    sleep(Duration::from_millis(100)).await;
    assert_eq!(test.ready_status().await, 503);
    let late = test.request("/safe/", "id-2").send().await.unwrap();
    assert_eq!(
        late.status(),
        200,
        "clients still come until the entrance has noticed"
    );
    assert_eq!(late.headers()["connection"], "close");
    assert!(
        response
            .text()
            .await
            .unwrap()
            .ends_with("id: 10\ndata: e10\n\n")
    );
    stopping.await.unwrap();
}

/// Seen on played days: a request that was still under way at the very end of the grace was closed
/// without an answer.
#[tokio::test]
async fn a_request_at_the_end_of_the_grace_gets_its_final_answer() {
    let runner = ScriptedRunner::start(vec![Behaviour::Hang]).await;
    let mut test = TestIngress::start(&[&runner]).await;
    let stopping = tokio::spawn(test.ingress.take().unwrap().stop());
    sleep(Duration::from_millis(2_400)).await;
    let begun = Instant::now();
    let response = test.request("/unsafe/", "id-1").send().await.unwrap();
    assert_eq!(response.status(), 502);
    assert!(begun.elapsed() < Duration::from_millis(1_400));
    stopping.await.unwrap();
}

#[tokio::test]
async fn a_request_after_the_notice_is_refused_and_not_run() {
    let runner = ScriptedRunner::start(vec![Behaviour::SlowEvents(1, 13)]).await;
    let mut test = TestIngress::start(&[&runner]).await;
    let stopping = tokio::spawn(test.ingress.take().unwrap().stop());
    sleep(Duration::from_millis(2_000)).await;
    let held = test.request("/stream/", "id-1").send().await.unwrap();
    sleep(Duration::from_millis(900)).await;
    let response = test.request("/unsafe/", "id-2").send().await.unwrap();
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert_eq!(runner.received().len(), 1);
    drop(held);
    stopping.await.unwrap();
}
