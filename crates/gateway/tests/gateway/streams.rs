//! Completions: each caller gets its own answer, whole, whatever one engine does.

use std::time::Duration;

use flaxward_emulator::engine::tokens::answer_text;
use flaxward_emulator::engine::{RequestOutcome, StreamFault};
use flaxward_emulator::fault::Strikes;
use flaxward_types::routing::Outlook;
use futures::StreamExt;
use serde_json::{Value, json};

use crate::support::{ARTIFACT, Bench, Got, fetch};

const TOKENS: u32 = 20;
const PROMPT: &str = "why does the gearbox of T14 run hot";

fn body(stream: bool) -> Value {
    json!({"model": "turbine", "prompt": PROMPT, "stream": stream, "max_tokens": TOKENS})
}

/// The text of a stream, if its tokens are in order, each once, and its end mark came.
fn streamed_text(got: &Got) -> Option<String> {
    let events = got.text.strip_suffix("data: [DONE]\n\n")?;
    let mut text = String::new();
    for (index, event) in events.split_terminator("\n\n").enumerate() {
        let (id, data) = event.strip_prefix("id: ")?.split_once("\ndata: ")?;
        if id.parse() != Ok(index) {
            return None;
        }
        let data: Value = serde_json::from_str(data).ok()?;
        text += data["choices"][0]["text"].as_str()?;
    }
    Some(text)
}

fn whole_text(got: &Got) -> Option<String> {
    let answer: Value = serde_json::from_str(&got.text).ok()?;
    Some(answer["choices"][0]["text"].as_str()?.to_owned())
}

/// A fault of the first engine, and from which tokens the second one then goes on: for a stream, and
/// for an answer in one piece, if the fault can be seen in one.
type Case = (StreamFault, &'static [u32], Option<&'static [u32]>);

const CASES: [Case; 9] = [
    (StreamFault::BreakAfter(0), &[0], Some(&[0])),
    (StreamFault::BreakAfter(7), &[7], Some(&[0])),
    (StreamFault::BreakAfter(TOKENS), &[TOKENS], Some(&[0])),
    (StreamFault::TruncateAfter(0), &[0], Some(&[0])),
    (StreamFault::TruncateAfter(7), &[7], Some(&[0])),
    (StreamFault::LoseAnswer, &[0], Some(&[0])),
    (StreamFault::SwapTokens(7), &[7], None),
    (StreamFault::DoubleToken(7), &[], None),
    (StreamFault::DelayFirstToken(30_000), &[0], None),
];

async fn check_case(fault: StreamFault, stream: bool, goes_on: &[u32]) {
    let case = format!("{fault:?}, stream {stream}");
    let bench = Bench::start(|settings| {
        settings.stream_idle = Duration::from_millis(300);
    })
    .await;
    bench.add_fault(0, fault, Strikes::next(1));
    let got = fetch(bench.complete(&body(stream))).await;
    assert_eq!(got.status, 200, "{case}: {}", got.text);
    let text = if stream {
        streamed_text(&got)
    } else {
        whole_text(&got)
    };
    let expected = answer_text(ARTIFACT, PROMPT, TOKENS);
    assert_eq!(text, Some(expected), "{case}: {}", got.text);
    let requests = bench.engines[1].record().requests;
    let first_tokens: Vec<u32> = requests.iter().map(|request| request.first_token).collect();
    assert_eq!(first_tokens, goes_on, "{case}");
}

#[tokio::test]
async fn an_answer_arrives_whole_whatever_one_engine_does() {
    for (fault, streamed, whole) in CASES {
        check_case(fault, true, streamed).await;
        if let Some(goes_on) = whole {
            check_case(fault, false, goes_on).await;
        }
    }
}

#[tokio::test]
async fn a_stream_that_cannot_go_on_ends_in_a_stated_error() {
    let bench = Bench::start(|settings| {
        settings.stream_resume_wait = Duration::from_millis(100);
    })
    .await;
    for index in 0..2 {
        bench.add_fault(index, StreamFault::BreakAfter(3), Strikes::always());
    }
    let got = fetch(bench.complete(&body(true))).await;
    // Three attempts, three tokens each.
    let tokens = got.text.matches("id: ").count();
    assert_eq!((got.status, tokens), (200, 9), "{}", got.text);
    assert!(!got.text.contains("[DONE]"), "{}", got.text);
    assert!(got.text.contains("event: error\n"), "{}", got.text);
    assert_eq!(got.code(), Some(3003), "{}", got.text);
    assert_eq!(got.error()["not_run"], false);
}

#[tokio::test]
async fn an_engine_that_refuses_before_running_is_passed_over() {
    let bench = Bench::start(|_| {}).await;
    bench.engines[0].update_faults(|faults| faults.down = true);
    let got = fetch(bench.complete(&body(true))).await;
    assert!(streamed_text(&got).is_some(), "{}", got.text);
    assert_eq!(bench.accepted(), [0, 1]);
}

#[tokio::test]
async fn a_caller_who_goes_cancels_its_attempt_and_frees_its_place() {
    for stream in [true, false] {
        let bench = Bench::start(|_| {}).await;
        bench.answer(&[0], Outlook::Ready);
        bench.add_fault(0, StreamFault::DelayFirstToken(60_000), Strikes::always());
        let request = bench.complete(&body(stream)).send();
        let caller = tokio::spawn(async move {
            let mut chunks = request.await.unwrap().bytes_stream();
            chunks.next().await;
        });
        until(|| bench.accepted()[0] == 1).await;
        assert_eq!(bench.gateway.running(), 1);
        caller.abort();
        until(|| bench.engines[0].record().requests[0].outcome != RequestOutcome::Running).await;
        until(|| bench.gateway.running() == 0).await;
        bench.gateway.stop().await;
    }
}

#[tokio::test]
async fn a_planned_stop_lets_requests_finish_and_refuses_new_ones() {
    let bench = Bench::start(|_| {}).await;
    bench.add_fault(0, StreamFault::DelayFirstToken(200), Strikes::always());
    let running = tokio::spawn(fetch(bench.complete(&body(true))));
    until(|| bench.accepted()[0] == 1).await;
    let gateway = bench.gateway.clone();
    let stopping = tokio::spawn(async move { gateway.stop().await });
    let mut refused = fetch(bench.complete(&body(true))).await;
    while refused.status == 200 {
        refused = fetch(bench.complete(&body(true))).await;
    }
    assert_eq!(refused.code(), Some(2008), "{}", refused.text);
    assert!(refused.retry_after().is_some());
    assert!(streamed_text(&running.await.unwrap()).is_some());
    stopping.await.unwrap();
}

/// Waits until something holds; the test's own time limit is the runner's.
async fn until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
