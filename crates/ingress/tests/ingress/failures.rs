//! Faults of runners and of the store.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use flaxward_routing::configuration::{Route, RouteKind};
use tokio::time::sleep;

use crate::runner::{Behaviour, ScriptedRunner};
use crate::support::{MODEL, TestIngress, configuration, route};

#[tokio::test]
async fn an_answer_to_another_request_is_never_shown() {
    let runner = ScriptedRunner::start(vec![Behaviour::OtherId]).await;
    let test = TestIngress::start(&[&runner]).await;
    let response = test.request("/unsafe/", "id-1").send().await.unwrap();
    assert_eq!(response.status(), 502);
    assert!(!response.text().await.unwrap().contains("foreign"));
}

#[tokio::test]
async fn a_request_that_may_not_be_repeated_is_sent_once() {
    for behaviour in [
        Behaviour::Reset,
        Behaviour::OtherId,
        Behaviour::Answer(500, ""),
    ] {
        let first = ScriptedRunner::start(vec![behaviour]).await;
        let second = ScriptedRunner::start(Vec::new()).await;
        let test = TestIngress::start(&[&first, &second]).await;
        let response = test.request("/unsafe/", "id-1").send().await.unwrap();
        assert!(response.status().is_server_error());
        assert_ne!(
            response.status(),
            503,
            "a 503 states that the request did not run"
        );
        assert_eq!(first.received().len() + second.received().len(), 1);
    }
}

#[tokio::test]
async fn a_request_that_was_not_run_goes_to_another_runner() {
    let first = ScriptedRunner::start(vec![Behaviour::NotRun]).await;
    let second = ScriptedRunner::start(Vec::new()).await;
    let test = TestIngress::start(&[&first, &second]).await;
    let response = test.request("/unsafe/", "id-1").send().await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(second.received().len(), 1);
}

#[tokio::test]
async fn a_repeatable_request_is_sent_again_after_any_failure() {
    for behaviour in [
        Behaviour::Reset,
        Behaviour::Hang,
        Behaviour::OtherId,
        Behaviour::Answer(500, ""),
    ] {
        let first = ScriptedRunner::start(vec![behaviour]).await;
        let second = ScriptedRunner::start(Vec::new()).await;
        let test = TestIngress::start(&[&first, &second]).await;
        let response = test.request("/safe/", "id-1").send().await.unwrap();
        assert_eq!(response.status(), 200);
        assert_eq!(response.text().await.unwrap(), "done");
    }
}

/// Guards against abandoning a request at the only runner with its model. Such a runner was full and therefore silent
/// for a while, and requests that it would have served were aborted.
#[tokio::test]
async fn a_silent_runner_is_waited_for_if_there_is_no_other() {
    let runner = ScriptedRunner::start(vec![Behaviour::LateEvents(1, 2)]).await;
    let test = TestIngress::start(&[&runner]).await;
    let response = test.request("/stream/", "id-1").send().await.unwrap();
    assert_eq!(response.status(), 200);
}

#[tokio::test]
async fn a_broken_answer_is_asked_for_again_at_the_only_runner() {
    let runner = ScriptedRunner::start(vec![Behaviour::Reset]).await;
    let test = TestIngress::start(&[&runner]).await;
    let response = test.request("/safe/", "id-1").send().await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(runner.received().len(), 2);
}

#[tokio::test]
async fn a_silent_runner_costs_the_route_s_time_and_no_more() {
    let runner = ScriptedRunner::start(vec![Behaviour::Hang]).await;
    let test = TestIngress::start(&[&runner]).await;
    let started_at = Instant::now();
    let response = test.request("/unsafe/", "id-1").send().await.unwrap();
    assert_eq!(response.status(), 504);
    let elapsed = started_at.elapsed();
    assert!(elapsed >= Duration::from_millis(1_450), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(1_900), "{elapsed:?}");
}

#[tokio::test]
async fn a_broken_stream_goes_on_after_the_last_whole_event() {
    let first = ScriptedRunner::start(vec![Behaviour::EventsThenReset(1, 3)]).await;
    let second = ScriptedRunner::start(vec![Behaviour::Events(4, 6)]).await;
    let test = TestIngress::start(&[&first, &second]).await;
    let response = test.request("/stream/", "id-1").send().await.unwrap();
    let expected: String = (1..=6)
        .map(|number| format!("id: {number}\ndata: e{number}\n\n"))
        .collect();
    assert_eq!(response.text().await.unwrap(), expected);
    assert_eq!(second.received()[0].header("last-event-id"), Some("3"));
}

/// Starts an ingress with two runners and a route whose timeout allows a long silence.
async fn two_runners_with_a_long_route(
    first: &ScriptedRunner,
    second: &ScriptedRunner,
) -> TestIngress {
    let test = TestIngress::start(&[first, second]).await;
    let long = Route {
        timeout: Duration::from_secs(6),
        ..route("/long/", RouteKind::Stream { resumable: true })
    };
    test.store.set_configuration(configuration(2, vec![long]));
    sleep(Duration::from_millis(800)).await;
    test
}

async fn long_stream(test: &TestIngress) -> reqwest::Result<String> {
    let response = test.request("/long/", "id-1").send().await?;
    response.text().await
}

/// Guards against cancelling a silent run before another runner has accepted the stream. In a scenario with 295
/// machines, during a configuration change, a saturated runner was silent for over two seconds, its run was cancelled,
/// the next runner was full, and the stream was aborted.
#[tokio::test]
async fn a_silent_stream_is_not_ended_if_the_next_runner_is_full() {
    let first = ScriptedRunner::start(vec![Behaviour::PausedEvents(1, 6)]).await;
    let second = ScriptedRunner::start(vec![Behaviour::NotRun]).await;
    let test = two_runners_with_a_long_route(&first, &second).await;
    let expected: String = (1..=6)
        .map(|number| format!("id: {number}\ndata: e{number}\n\n"))
        .collect();
    assert_eq!(long_stream(&test).await.unwrap(), expected);
    assert_eq!(
        second.received().len(),
        1,
        "the second runner was not tried"
    );
}

#[tokio::test]
async fn a_silent_stream_goes_on_at_a_runner_that_takes_it() {
    let first = ScriptedRunner::start(vec![Behaviour::PausedEvents(1, 6)]).await;
    let second = ScriptedRunner::start(vec![Behaviour::Events(3, 6)]).await;
    let test = two_runners_with_a_long_route(&first, &second).await;
    let expected: String = (1..=6)
        .map(|number| format!("id: {number}\ndata: e{number}\n\n"))
        .collect();
    assert_eq!(long_stream(&test).await.unwrap(), expected);
    assert_eq!(second.received()[0].header("last-event-id"), Some("2"));
    // The scripted runner checks its connection after its pause.
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(
        first.closed(),
        1,
        "the silent run continues in parallel with the new one"
    );
}

/// Guards against a busy loop: after its deadline, a silent stream was polled again and again without a pause (found in
/// code review).
#[tokio::test]
async fn a_silent_stream_that_nobody_can_continue_ends_with_its_time() {
    let only = ScriptedRunner::start(vec![Behaviour::PausedEvents(1, 6)]).await;
    let test = TestIngress::start(&[&only]).await;
    let started_at = Instant::now();
    let response = test.request("/stream/", "id-1").send().await.unwrap();
    assert!(
        response.text().await.is_err(),
        "the response looks complete"
    );
    let elapsed = started_at.elapsed();
    assert!(elapsed >= Duration::from_millis(1_450), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(1_900), "{elapsed:?}");
}

#[tokio::test]
async fn a_stream_that_nobody_can_continue_does_not_look_whole() {
    let only = ScriptedRunner::start(vec![Behaviour::EventsThenReset(1, 3)]).await;
    let test = TestIngress::start(&[&only]).await;
    let response = test.request("/stream/", "id-1").send().await.unwrap();
    assert!(response.text().await.is_err());
}

#[tokio::test]
async fn a_client_that_leaves_ends_the_request_at_the_runner() {
    let runner = ScriptedRunner::start(vec![Behaviour::Hang]).await;
    let test = TestIngress::start(&[&runner]).await;
    let request = test
        .request("/unsafe/", "id-1")
        .timeout(Duration::from_millis(200));
    assert!(request.send().await.is_err());
    sleep(Duration::from_millis(300)).await;
    assert_eq!(runner.closed(), 1);
}

/// Guards against relying on a watch that was opened while the store was unresponsive, because it never gets a
/// response. This left a configuration unknown for 11.5 s.
#[tokio::test]
async fn a_configuration_comes_soon_after_the_store_was_silent() {
    let runner = ScriptedRunner::start(Vec::new()).await;
    let test = TestIngress::start(&[&runner]).await;
    test.store.is_silent.store(true, Ordering::Relaxed);
    // Completes the open watch; the next one hangs.
    test.store.set_configuration(configuration(2, Vec::new()));
    sleep(Duration::from_millis(1_500)).await;
    test.store.is_silent.store(false, Ordering::Relaxed);
    let new = route("/new/", RouteKind::Repeatable);
    test.store.set_configuration(configuration(3, vec![new]));
    sleep(Duration::from_millis(1_500)).await;
    let response = test.request("/new/", "id-1").send().await.unwrap();
    assert_eq!(response.status(), 200);
}

/// Guards against resuming an interrupted watch from a revision that the store has compacted. Such a watch received no
/// changes for 4.6 s.
#[tokio::test]
async fn a_configuration_comes_soon_after_the_history_was_lost() {
    let runner = ScriptedRunner::start(Vec::new()).await;
    let test = TestIngress::start(&[&runner]).await;
    // Gives the daemon time to open its watch.
    sleep(Duration::from_millis(500)).await;
    let new = route("/new/", RouteKind::Repeatable);
    test.store
        .change_and_lose_history(configuration(2, vec![new]));
    sleep(Duration::from_millis(700)).await;
    let response = test.request("/new/", "id-1").send().await.unwrap();
    assert_eq!(response.status(), 200);
}

#[tokio::test]
async fn an_older_configuration_is_never_taken() {
    let runner = ScriptedRunner::start(Vec::new()).await;
    let test = TestIngress::start(&[&runner]).await;
    let new = route("/new/", RouteKind::Repeatable);
    test.store.set_configuration(configuration(5, vec![new]));
    sleep(Duration::from_millis(500)).await;
    test.store.set_configuration(configuration(4, Vec::new()));
    sleep(Duration::from_millis(500)).await;
    let response = test.request("/new/", "id-1").send().await.unwrap();
    assert_eq!(response.status(), 200);
}

/// Without an estimate of when the model is ready, the request is refused early with a `Retry-After`.
#[tokio::test]
async fn a_model_that_nobody_promises_is_refused_early() {
    let runner = ScriptedRunner::start(Vec::new()).await;
    let test = TestIngress::start(&[&runner]).await;
    let started_at = Instant::now();
    let request = test
        .request("/stream/", "id-1")
        .header("x-model", "unknown");
    let response = request.send().await.unwrap();
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert!(started_at.elapsed() < Duration::from_millis(250));
    assert!(runner.received().is_empty());
}

/// Guards against a wrong "not run" refusal: a request may have run at a runner that broke the connection, then waited
/// for its model and was refused like one that has definitely not run (found in code review).
#[tokio::test]
async fn a_request_that_may_have_run_is_not_refused_as_not_run() {
    let gone = Behaviour::Answer(421, "");
    let first = ScriptedRunner::start(vec![Behaviour::Reset, gone.clone()]).await;
    let second = ScriptedRunner::start(vec![gone]).await;
    let test = TestIngress::start(&[&first, &second]).await;
    let request = test.request("/stream/", "id-1").header("x-model", MODEL);
    let response = request.send().await.unwrap();
    assert!(response.status().is_server_error());
    assert_ne!(
        response.status(),
        503,
        "a 503 states that the request did not run"
    );
    assert_eq!(first.received().len() + second.received().len(), 3);
}

/// Guards against a whole stream that is taken for a broken one: its body has neither a length nor chunks, and its last event
/// is complete when the connection ends.
#[tokio::test]
async fn a_stream_that_ends_with_its_connection_between_events_is_complete() {
    let first = ScriptedRunner::start(vec![Behaviour::UnsizedEvents(1, 3)]).await;
    let second = ScriptedRunner::start(Vec::new()).await;
    let test = TestIngress::start(&[&first, &second]).await;
    let response = test.request("/stream/x", "id-1").send().await.unwrap();
    let body = response.text().await.unwrap();
    assert!(body.ends_with("data: e3\n\n"), "{body}");
    assert_eq!(second.received().len(), 0);
}

/// Guards against a stream that is shown as complete although its connection ended inside an event.
#[tokio::test]
async fn a_stream_that_ends_with_its_connection_inside_an_event_is_continued() {
    let first = ScriptedRunner::start(vec![Behaviour::UnsizedEventsThenPart(1, 3)]).await;
    let second = ScriptedRunner::start(vec![Behaviour::UnsizedEvents(4, 5)]).await;
    let test = TestIngress::start(&[&first, &second]).await;
    let response = test.request("/stream/x", "id-1").send().await.unwrap();
    let body = response.text().await.unwrap();
    assert!(body.ends_with("data: e5\n\n"), "{body}");
    assert!(!body.contains("99"), "{body}");
    assert_eq!(second.received()[0].header("last-event-id"), Some("3"));
}

/// Statuses that are not the status of an answer: out of the range of HTTP, or of an answer that is still to come.
const NO_ANSWERS: [&str; 6] = ["000", "099", "101", "600", "700", "999"];

/// Guards against a runner in trouble whose bytes reach a client as an answer, under a status that no answer has.
#[tokio::test]
async fn a_status_that_no_answer_has_is_never_shown() {
    for status in NO_ANSWERS {
        let runner = ScriptedRunner::start(vec![Behaviour::Status(status)]).await;
        let test = TestIngress::start(&[&runner]).await;
        let response = test.request("/unsafe/", "id-1").send().await.unwrap();
        assert_eq!(response.status(), 502, "{status}");
    }
}

/// Guards against a request that is not tried elsewhere, because what its runner sent was taken for its answer.
#[tokio::test]
async fn a_repeatable_request_is_sent_again_after_a_status_that_no_answer_has() {
    for status in NO_ANSWERS {
        let first = ScriptedRunner::start(vec![Behaviour::Status(status)]).await;
        let second = ScriptedRunner::start(Vec::new()).await;
        let test = TestIngress::start(&[&first, &second]).await;
        let response = test.request("/safe/", "id-1").send().await.unwrap();
        assert_eq!(response.status(), 200, "{status}");
        assert_eq!(response.text().await.unwrap(), "done");
    }
}

/// Guards against a request that is held until its deadline, and a processor that is kept busy, by a runner that sends
/// informational answers without end.
#[tokio::test]
async fn informational_answers_without_end_are_no_answer() {
    let runner = ScriptedRunner::start(vec![Behaviour::EndlessInformational]).await;
    let test = TestIngress::start(&[&runner]).await;
    let sent_at = std::time::Instant::now();
    let response = test.request("/unsafe/", "id-1").send().await.unwrap();
    assert_eq!(response.status(), 502);
    assert!(sent_at.elapsed() < std::time::Duration::from_millis(500));
}
