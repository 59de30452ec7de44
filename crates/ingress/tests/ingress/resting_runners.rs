//! Runners that refuse a request and ask for rest.
//!
//! Guards against requests to a runner that rests: a runner had asked a daemon for 3 s of rest and
//! received three requests in that time. It refused them too, and each cost its service a retry.
//! The requested time was not read: a saturated runner was only ranked after others for 0.4 s, and
//! a request that had tried all runners tried them again after 80 and 320 ms. These tests failed on
//! that code.

use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::runner::{Behaviour, ScriptedRunner};
use crate::support::TestIngress;

const REST_HEADER: &str = "x-rest: 2\r\n";
const REST: Duration = Duration::from_secs(2);
/// Time after the runner's first request from which requests count.
const GRACE: Duration = Duration::from_millis(500);
/// Requests that may reach the runner in spite of its rest.
const ALLOWED: usize = 2;
const PAUSE: Duration = Duration::from_millis(100);

/// A runner that refuses all requests and asks for rest.
async fn resting_runner() -> ScriptedRunner {
    let runner = ScriptedRunner::start(vec![Behaviour::NotRun; 100]).await;
    runner.set_notice(REST_HEADER);
    runner
}

/// Sends a request each [`PAUSE`] for some time; returns the status and duration of each.
async fn send_load(ingress: &TestIngress, time: Duration) -> Vec<(u16, Duration)> {
    let mut requests = JoinSet::new();
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < time {
        let request = ingress.request("/safe/x", &format!("id-{number}"));
        requests.spawn(async move {
            let sent = Instant::now();
            let answer = request.send().await.unwrap();
            let status = answer.status().as_u16();
            assert!(status == 200 || answer.headers().contains_key("retry-after"));
            (status, sent.elapsed())
        });
        number += 1;
        sleep(PAUSE).await;
    }
    requests.join_all().await
}

/// Number of requests that reached a runner during its rest, which starts with the first request.
fn received_during_rest(runner: &ScriptedRunner) -> usize {
    let received = runner.received();
    let started = received[0].at;
    let count = received.iter().filter(|it| {
        let after = it.at - started;
        after > GRACE && after < REST
    });
    count.count()
}

#[tokio::test]
async fn a_runner_that_asks_for_rest_is_left_alone() {
    let runner = resting_runner().await;
    let ingress = TestIngress::start(&[&runner]).await;
    let answers = send_load(&ingress, REST).await;
    let count = received_during_rest(&runner);
    assert!(count <= ALLOWED, "{count} requests during its rest");
    // No other runner can serve them, so they are refused immediately with `retry-after`.
    assert!(answers.iter().all(|(status, _)| *status == 503));
    let quick = answers
        .iter()
        .filter(|(_, took)| *took < Duration::from_millis(300));
    assert!(quick.count() >= 3, "{answers:?}");
}

#[tokio::test]
async fn requests_go_to_runners_that_do_not_rest() {
    let (runner, other) = (
        resting_runner().await,
        ScriptedRunner::start(Vec::new()).await,
    );
    let ingress = TestIngress::start(&[&runner, &other]).await;
    let answers = send_load(&ingress, REST).await;
    assert!(answers.iter().all(|(status, _)| *status == 200));
    let count = received_during_rest(&runner);
    assert!(count <= ALLOWED, "{count} requests during its rest");
}

#[tokio::test]
async fn a_runner_that_has_rested_gets_requests_again() {
    let runner = ScriptedRunner::start(vec![Behaviour::NotRun]).await;
    runner.set_notice(REST_HEADER);
    let ingress = TestIngress::start(&[&runner]).await;
    let refused = ingress.request("/safe/x", "first").send().await.unwrap();
    assert_eq!(refused.status(), 503);
    runner.set_notice("");
    sleep(REST).await;
    let served = ingress.request("/safe/x", "second").send().await.unwrap();
    assert_eq!(served.status(), 200);
}
