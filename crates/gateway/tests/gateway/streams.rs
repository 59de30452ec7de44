//! Completions: each caller gets its own answer, whole, whatever one engine does.

use std::time::Duration;

use flaxward_emulator::engine::tokens::answer_text;
use flaxward_emulator::engine::{RequestOutcome, StreamFault};
use flaxward_emulator::fault::Strikes;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::support::{ARTIFACT, Bench, Got, fetch, raw_back_end, settled, until};

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
async fn a_caller_who_goes_frees_its_place_and_leaves_the_outcome_of_its_key_unknown() {
    let bench = Bench::start(|_| {}).await;
    bench.add_fault(0, StreamFault::DelayFirstToken(60_000), Strikes::always());
    let request = bench.complete(&body(true)).header("idempotency-key", "k1");
    let request = request.header("x-flaxward-repeatable", "false");
    let caller = tokio::spawn(request.try_clone().unwrap().send());
    until(|| bench.accepted()[0] == 1).await;
    assert_eq!(bench.gateway.running(), 1);
    caller.abort();
    until(|| bench.engines[0].record().requests[0].outcome != RequestOutcome::Running).await;
    until(|| bench.gateway.running() == 0).await;
    assert_eq!(settled(&request).await.code(), Some(4002));
    assert_eq!(bench.accepted(), [1, 0]);
    bench.gateway.stop().await;
}

#[tokio::test]
async fn an_engine_is_told_when_a_caller_goes() {
    let bench = Bench::start(|_| {}).await;
    let (address, mut requests) = raw_back_end().await;
    bench.set_replica(address);
    for stream in [true, false] {
        let caller = tokio::spawn(bench.complete(&body(stream)).send());
        let (request, _connection) = requests.recv().await.unwrap();
        let attempt = request.split("x-flaxward-attempt: ").nth(1).unwrap();
        let attempt = &attempt[..32];
        caller.abort();
        let (cancel, _connection) = requests.recv().await.unwrap();
        let expected = format!("DELETE /engine/streams/{attempt} ");
        assert!(cancel.starts_with(&expected), "{cancel}");
    }
}

#[tokio::test]
async fn an_answer_that_ends_before_what_the_caller_holds_is_not_whole() {
    let bench = Bench::start(|_| {}).await;
    let (address, mut requests) = raw_back_end().await;
    bench.set_replica(address);
    let caller = tokio::spawn(fetch(bench.complete(&body(true))));
    let first = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
    let short = "id: 0\ndata: a\n\ndata: [DONE]\n\n";
    for events in [first, short, short] {
        let (mut request, mut connection) = requests.recv().await.unwrap();
        while request.starts_with("DELETE") {
            (request, connection) = requests.recv().await.unwrap();
        }
        let answer = format!("HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\n\r\n{events}");
        connection.write_all(answer.as_bytes()).await.unwrap();
    }
    let got = caller.await.unwrap();
    assert!(
        got.text.starts_with(&format!("{first}event: error\n")),
        "{}",
        got.text
    );
    assert_eq!(got.code(), Some(3006), "{}", got.text);
}

#[tokio::test]
async fn a_stream_goes_on_elsewhere_after_its_deadline_for_the_first_token() {
    let bench = Bench::start_paced(60_000, |_| {}).await;
    bench.add_fault(0, StreamFault::BreakAfter(18), Strikes::next(1));
    let request = bench.complete(&body(true));
    let got = fetch(request.header("x-flaxward-deadline", "1s")).await;
    assert!(streamed_text(&got).is_some(), "{}", got.text);
    assert_eq!(bench.accepted(), [1, 1]);
}

#[tokio::test]
async fn headers_between_gateway_and_engine_are_not_for_callers() {
    let bench = Bench::start(|_| {}).await;
    let request = bench.complete(&body(true));
    let request = request.header("x-flaxward-attempt", "mine");
    let got = fetch(request.header("x-flaxward-resume-from", "5")).await;
    assert!(streamed_text(&got).is_some(), "{}", got.text);
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

/// An answer of an engine with one token, without the end of its body.
fn answer_without_end(events: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n{:x}\r\n{events}\r\n",
        events.len()
    )
}

#[tokio::test]
async fn a_connection_is_used_again_although_its_body_ends_after_the_end_mark() {
    const EVENTS: &str = "id: 0\ndata: {}\n\ndata: [DONE]\n\n";
    const BODY_END: &[u8] = b"0\r\n\r\n";
    let bench = Bench::start(|_| {}).await;
    let (address, mut requests) = raw_back_end().await;
    bench.set_replica(address);
    let caller = tokio::spawn(fetch(bench.complete(&body(true))));
    let (_, mut first) = requests.recv().await.unwrap();
    let answer = answer_without_end(EVENTS);
    first.write_all(answer.as_bytes()).await.unwrap();
    assert_eq!(caller.await.unwrap().text, EVENTS);
    first.write_all(BODY_END).await.unwrap();
    let mut bytes = [0; 16_384];
    loop {
        let caller = tokio::spawn(fetch(bench.complete(&body(true))));
        tokio::select! {
            length = first.read(&mut bytes) => {
                assert!(length.unwrap() > 0, "the connection was closed");
                return;
            }
            // Sent before the end of the body was seen: answered, and the next one counts.
            Some((_, mut other)) = requests.recv() => {
                other.write_all(answer.as_bytes()).await.unwrap();
                caller.await.unwrap();
            }
        }
    }
}
