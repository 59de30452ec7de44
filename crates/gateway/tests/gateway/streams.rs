//! Completions: each caller gets its own complete response despite faults of a single engine.

use std::time::Duration;

use flaxward_emulator::engine::tokens::answer_text;
use flaxward_emulator::engine::{RequestOutcome, StreamFault};
use flaxward_emulator::fault::Strikes;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::support::{
    ARTIFACT, FetchedResponse, Harness, fetch, fetch_until_settled, raw_back_end, wait_until,
};

const TOKENS: u32 = 20;
const PROMPT: &str = "why does the gearbox of T14 run hot";

fn completion_body(stream: bool) -> Value {
    json!({"model": "turbine", "prompt": PROMPT, "stream": stream, "max_tokens": TOKENS})
}

/// The text of a stream, if its tokens are consecutive, without duplicates, and end with `[DONE]`.
fn streamed_text(response: &FetchedResponse) -> Option<String> {
    let events = response.text.strip_suffix("data: [DONE]\n\n")?;
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

fn unary_text(response: &FetchedResponse) -> Option<String> {
    let body: Value = serde_json::from_str(&response.text).ok()?;
    Some(body["choices"][0]["text"].as_str()?.to_owned())
}

/// A fault of the first engine, and the first tokens of the attempts on the second one: for a
/// streaming response, and for a non-streaming one if the fault is observable there.
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

async fn check_case(fault: StreamFault, stream: bool, resumed_at: &[u32]) {
    let case = format!("{fault:?}, stream {stream}");
    let harness = Harness::start(|settings| {
        settings.stream_idle = Duration::from_millis(300);
    })
    .await;
    harness.add_fault(0, fault, Strikes::next(1));
    let response = fetch(harness.completion_request(&completion_body(stream))).await;
    assert_eq!(response.status, 200, "{case}: {}", response.text);
    let text = if stream {
        streamed_text(&response)
    } else {
        unary_text(&response)
    };
    let expected = answer_text(ARTIFACT, PROMPT, TOKENS);
    assert_eq!(text, Some(expected), "{case}: {}", response.text);
    let requests = harness.engines[1].record().requests;
    let first_tokens: Vec<u32> = requests.iter().map(|request| request.first_token).collect();
    assert_eq!(first_tokens, resumed_at, "{case}");
}

#[tokio::test]
async fn responses_are_complete_despite_faults_of_one_engine() {
    for (fault, resumed_stream, resumed_unary) in CASES {
        check_case(fault, true, resumed_stream).await;
        if let Some(resumed_at) = resumed_unary {
            check_case(fault, false, resumed_at).await;
        }
    }
}

#[tokio::test]
async fn a_stream_that_cannot_be_resumed_ends_with_an_error_event() {
    let harness = Harness::start(|settings| {
        settings.stream_resume_wait = Duration::from_millis(100);
    })
    .await;
    for index in 0..2 {
        harness.add_fault(index, StreamFault::BreakAfter(3), Strikes::always());
    }
    let response = fetch(harness.completion_request(&completion_body(true))).await;
    // Three attempts, three tokens each.
    let tokens = response.text.matches("id: ").count();
    assert_eq!((response.status, tokens), (200, 9), "{}", response.text);
    assert!(!response.text.contains("[DONE]"), "{}", response.text);
    assert!(
        response.text.contains("event: error\n"),
        "{}",
        response.text
    );
    assert_eq!(response.code(), Some(3003), "{}", response.text);
    assert_eq!(response.error()["not_run"], false);
}

#[tokio::test]
async fn a_request_refused_before_running_is_retried_on_another_engine() {
    let harness = Harness::start(|_| {}).await;
    harness.engines[0].update_faults(|faults| faults.down = true);
    let response = fetch(harness.completion_request(&completion_body(true))).await;
    assert!(streamed_text(&response).is_some(), "{}", response.text);
    assert_eq!(harness.accepted_requests(), [0, 1]);
}

#[tokio::test]
async fn a_disconnected_caller_frees_its_slot_and_leaves_the_outcome_of_its_key_unknown() {
    let harness = Harness::start(|_| {}).await;
    harness.add_fault(0, StreamFault::DelayFirstToken(60_000), Strikes::always());
    let request = harness
        .completion_request(&completion_body(true))
        .header("idempotency-key", "k1");
    let request = request.header("x-flaxward-repeatable", "false");
    let caller = tokio::spawn(request.try_clone().unwrap().send());
    wait_until(|| harness.accepted_requests()[0] == 1).await;
    assert_eq!(harness.gateway.running(), 1);
    caller.abort();
    wait_until(|| harness.engines[0].record().requests[0].outcome != RequestOutcome::Running).await;
    wait_until(|| harness.gateway.running() == 0).await;
    assert_eq!(fetch_until_settled(&request).await.code(), Some(4002));
    assert_eq!(harness.accepted_requests(), [1, 0]);
    harness.gateway.stop().await;
}

#[tokio::test]
async fn a_disconnected_caller_cancels_the_attempt_on_the_engine() {
    let harness = Harness::start(|_| {}).await;
    let (address, mut requests) = raw_back_end().await;
    harness.set_replica(address);
    for stream in [true, false] {
        let caller = tokio::spawn(harness.completion_request(&completion_body(stream)).send());
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
async fn a_resumed_stream_that_ends_before_the_events_already_sent_is_an_error() {
    let harness = Harness::start(|_| {}).await;
    let (address, mut requests) = raw_back_end().await;
    harness.set_replica(address);
    let caller = tokio::spawn(fetch(harness.completion_request(&completion_body(true))));
    let first = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
    let shorter = "id: 0\ndata: a\n\ndata: [DONE]\n\n";
    for events in [first, shorter, shorter] {
        let (mut request, mut connection) = requests.recv().await.unwrap();
        while request.starts_with("DELETE") {
            (request, connection) = requests.recv().await.unwrap();
        }
        let raw_response =
            format!("HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\n\r\n{events}");
        connection.write_all(raw_response.as_bytes()).await.unwrap();
    }
    let response = caller.await.unwrap();
    assert!(
        response.text.starts_with(&format!("{first}event: error\n")),
        "{}",
        response.text
    );
    assert_eq!(response.code(), Some(3006), "{}", response.text);
}

#[tokio::test]
async fn a_stream_is_resumed_elsewhere_after_its_first_token_deadline() {
    let harness = Harness::start_with_decode_time(60_000, |_| {}).await;
    harness.add_fault(0, StreamFault::BreakAfter(18), Strikes::next(1));
    let request = harness.completion_request(&completion_body(true));
    let response = fetch(request.header("x-flaxward-deadline", "1s")).await;
    assert!(streamed_text(&response).is_some(), "{}", response.text);
    assert_eq!(harness.accepted_requests(), [1, 1]);
}

#[tokio::test]
async fn internal_headers_sent_by_callers_are_ignored() {
    let harness = Harness::start(|_| {}).await;
    let request = harness.completion_request(&completion_body(true));
    let request = request.header("x-flaxward-attempt", "mine");
    let response = fetch(request.header("x-flaxward-resume-from", "5")).await;
    assert!(streamed_text(&response).is_some(), "{}", response.text);
}

#[tokio::test]
async fn a_graceful_shutdown_completes_running_requests_and_refuses_new_ones() {
    let harness = Harness::start(|_| {}).await;
    harness.add_fault(0, StreamFault::DelayFirstToken(200), Strikes::always());
    let in_progress = tokio::spawn(fetch(harness.completion_request(&completion_body(true))));
    wait_until(|| harness.accepted_requests()[0] == 1).await;
    let gateway = harness.gateway.clone();
    let stopping = tokio::spawn(async move { gateway.stop().await });
    let mut refused = fetch(harness.completion_request(&completion_body(true))).await;
    while refused.status == 200 {
        refused = fetch(harness.completion_request(&completion_body(true))).await;
    }
    assert_eq!(refused.code(), Some(2008), "{}", refused.text);
    assert!(refused.retry_after().is_some());
    assert!(streamed_text(&in_progress.await.unwrap()).is_some());
    stopping.await.unwrap();
}

/// A chunked engine response with one token, without the terminating chunk.
fn unterminated_response(events: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n{:x}\r\n{events}\r\n",
        events.len()
    )
}

#[tokio::test]
async fn a_connection_is_reused_when_its_body_ends_after_the_done_event() {
    const EVENTS: &str = "id: 0\ndata: {}\n\ndata: [DONE]\n\n";
    const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
    let harness = Harness::start(|_| {}).await;
    let (address, mut requests) = raw_back_end().await;
    harness.set_replica(address);
    let caller = tokio::spawn(fetch(harness.completion_request(&completion_body(true))));
    let (_, mut first) = requests.recv().await.unwrap();
    let raw_response = unterminated_response(EVENTS);
    first.write_all(raw_response.as_bytes()).await.unwrap();
    assert_eq!(caller.await.unwrap().text, EVENTS);
    first.write_all(LAST_CHUNK).await.unwrap();
    let mut bytes = [0; 16_384];
    loop {
        let caller = tokio::spawn(fetch(harness.completion_request(&completion_body(true))));
        tokio::select! {
            length = first.read(&mut bytes) => {
                assert!(length.unwrap() > 0, "the connection was closed");
                return;
            }
            // The gateway opened a new connection before it read the last chunk: respond and retry.
            Some((_, mut other)) = requests.recv() => {
                other.write_all(raw_response.as_bytes()).await.unwrap();
                caller.await.unwrap();
            }
        }
    }
}
