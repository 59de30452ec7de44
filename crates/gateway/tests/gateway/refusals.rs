//! Refusals: result code, HTTP status, `not_run` flag and `retry-after` header.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use flaxward_control::configuration::Configuration;
use flaxward_emulator::engine::StreamFault;
use flaxward_emulator::fault::Strikes;
use flaxward_gateway::GatewaySettings;
use flaxward_types::ResultCode;
use flaxward_types::routing::Outlook;
use reqwest::Method;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{FetchedResponse, Harness, fetch};

const COMPLETIONS: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";
const VALID_BODY: &str = r#"{"model":"turbine","prompt":"why"}"#;

/// Checks the error body, the status and the headers that every refusal must have.
fn assert_refusal(case: &str, response: &FetchedResponse, code: ResultCode) {
    let error = response.error();
    assert_eq!(error["code"], code.number(), "{case}: {}", response.text);
    assert_eq!(error["name"], format!("{code:?}"), "{case}");
    assert_eq!(response.status, code.http_status(), "{case}");
    assert_eq!(error["not_run"], code.not_run(), "{case}");
    assert_eq!(
        error["request_id"],
        response.headers["x-request-id"].to_str().unwrap(),
        "{case}"
    );
    let is_transient = matches!(response.status, 503 | 504);
    assert_eq!(
        response.retry_after().is_some(),
        is_transient,
        "{case}: presence of retry-after"
    );
}

#[tokio::test]
async fn invalid_requests_are_refused_with_the_matching_code() {
    use ResultCode as Code;
    let long = "x".repeat(2_000);
    let headers = "x".repeat(20_000);
    let post = Method::POST;
    let get = Method::GET;
    let no_header: (&str, &str) = ("accept", "*/*");
    #[rustfmt::skip]
    let cases = [
        (&post, COMPLETIONS, no_header, "{", Code::BadBody),
        (&post, COMPLETIONS, no_header, "", Code::BadBody),
        (&post, COMPLETIONS, no_header, "[1]", Code::BadBody),
        (&post, COMPLETIONS, no_header, "\u{0}\u{1}", Code::BadBody),
        (&post, COMPLETIONS, no_header, r#"{"prompt":"why"}"#, Code::BadBody),
        (&post, COMPLETIONS, no_header, r#"{"model":7,"prompt":"why"}"#, Code::BadBody),
        (&post, COMPLETIONS, no_header, r#"{"model":"turbine"}"#, Code::BadBody),
        (&post, COMPLETIONS, no_header, r#"{"model":"turbine","prompt":"why","stream":"yes"}"#, Code::BadBody),
        (&post, CHAT, no_header, VALID_BODY, Code::BadBody),
        (&post, COMPLETIONS, ("x-flaxward-deadline", "soon"), VALID_BODY, Code::BadHeader),
        (&post, COMPLETIONS, ("x-flaxward-deadline", "-1s"), VALID_BODY, Code::BadHeader),
        (&post, COMPLETIONS, ("x-flaxward-priority", "10"), VALID_BODY, Code::BadHeader),
        (&post, COMPLETIONS, ("x-flaxward-priority", "high"), VALID_BODY, Code::BadHeader),
        (&post, COMPLETIONS, ("x-flaxward-repeatable", "maybe"), VALID_BODY, Code::BadHeader),
        (&post, COMPLETIONS, ("idempotency-key", ""), VALID_BODY, Code::BadHeader),
        (&post, COMPLETIONS, ("idempotency-key", "orden ñ"), VALID_BODY, Code::BadHeader),
        (&post, COMPLETIONS, ("x-request-id", &headers[..300]), VALID_BODY, Code::BadHeader),
        (&post, COMPLETIONS, ("x-anything", &headers), VALID_BODY, Code::HeadersTooLong),
        (&post, COMPLETIONS, no_header, r#"{"model":"nothing","prompt":"why"}"#, Code::UnknownModel),
        (&post, COMPLETIONS, no_header, r#"{"model":"TURBINE!","prompt":"why"}"#, Code::UnknownModel),
        (&post, COMPLETIONS, no_header, r#"{"model":"turbine@v9","prompt":"why"}"#, Code::UnknownModel),
        (&post, COMPLETIONS, no_header, r#"{"model":"turbine:a@v1","prompt":"why"}"#, Code::UnknownModel),
        (&post, COMPLETIONS, no_header, r#"{"model":"full","prompt":"why"}"#, Code::QueueFull),
        (&post, COMPLETIONS, ("x-flaxward-deadline", "0s"), VALID_BODY, Code::DeadlinePassed),
        (&post, COMPLETIONS, no_header, &long, Code::BodyTooLong),
        (&post, "/services/nothing/a", no_header, "", Code::UnknownService),
        (&get, "/services/NOTHING!/a", no_header, "", Code::UnknownService),
        (&get, COMPLETIONS, no_header, "", Code::UnknownPath),
        (&post, "/v1/models", no_header, "", Code::UnknownPath),
        (&get, "/", no_header, "", Code::UnknownPath),
        (&get, "/services", no_header, "", Code::UnknownPath),
        (&get, "/v1/../etc/passwd%00%ff", no_header, "", Code::UnknownPath),
    ];
    let harness = Harness::start(|settings| settings.body_limit = 1_000).await;
    harness.set_routing(&[], Outlook::Loading { estimate_ms: 1_000 });
    for (method, path, (name, value), body, code) in cases {
        let case = format!("{method} {path} {name}: {value:.20} {body:.60}");
        let request = harness.request(method.clone(), path).header(name, value);
        assert_refusal(&case, &fetch(request.body(body.to_owned())).await, code);
    }
    let duplicated = harness.request(post, COMPLETIONS).body(VALID_BODY);
    let duplicated = duplicated.header("x-flaxward-priority", "1");
    let response = fetch(duplicated.header("x-flaxward-priority", "2")).await;
    assert_refusal("duplicate header", &response, Code::BadHeader);
    assert_eq!(
        harness.accepted_requests(),
        [0, 0],
        "no refused request has run"
    );
    assert_eq!(harness.gateway.waiting(), 0);
}

#[tokio::test]
async fn oversized_and_slow_bodies_do_not_affect_other_requests() {
    let harness = Harness::start(|settings| {
        settings.body_limit = 1_000;
        settings.body_timeout = Duration::from_millis(100);
    })
    .await;
    let chunked = reqwest::Body::wrap_stream(futures::stream::iter(
        (0..4).map(|_| Ok::<_, std::io::Error>("x".repeat(400))),
    ));
    let response = fetch(harness.request(Method::POST, COMPLETIONS).body(chunked)).await;
    assert_refusal("chunked", &response, ResultCode::BodyTooLong);
    let mut slow = TcpStream::connect(harness.address).await.unwrap();
    let head = "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\n\r\n{";
    slow.write_all(head.as_bytes()).await.unwrap();
    let concurrent = fetch(harness.request(Method::POST, COMPLETIONS).body(VALID_BODY)).await;
    assert_eq!(concurrent.status, 200, "{}", concurrent.text);
    let mut long = TcpStream::connect(harness.address).await.unwrap();
    let head = head.replace("50", "5000");
    long.write_all(head.as_bytes()).await.unwrap();
    for (mut caller, status, code) in [(slow, "408", "1006"), (long, "413", "1005")] {
        let mut raw_response = vec![0; 4_096];
        let length = caller.read(&mut raw_response).await.unwrap();
        let raw_response = String::from_utf8_lossy(&raw_response[..length]).into_owned();
        let start = format!("HTTP/1.1 {status}");
        let is_expected = raw_response.starts_with(&start) && raw_response.contains(code);
        assert!(is_expected, "{raw_response}");
    }
}

/// A condition of the gateway, with the code and `retry-after` that a valid request is refused with.
type RefusalCase = (
    &'static str,
    fn(&mut GatewaySettings),
    fn(&Harness),
    ResultCode,
    Option<u64>,
);

const REFUSAL_CASES: &[RefusalCase] = &[
    (
        "model load estimate exceeds the deadline",
        |_| {},
        |harness| {
            harness.set_routing(
                &[],
                Outlook::Loading {
                    estimate_ms: 40_000,
                },
            )
        },
        ResultCode::DeadlineTooShort,
        Some(40),
    ),
    (
        "model load does not finish before the deadline",
        |_| {},
        |harness| harness.set_routing(&[], Outlook::Loading { estimate_ms: 0 }),
        ResultCode::DeadlinePassed,
        Some(5),
    ),
    (
        "deadline capped at the maximum",
        |settings| settings.max_deadline = Duration::ZERO,
        |_| {},
        ResultCode::DeadlinePassed,
        Some(5),
    ),
    (
        "response lost, no other replica",
        |settings| settings.admission.avoid_period = Duration::from_secs(10),
        |harness| {
            harness.set_routing(&[0], Outlook::Ready);
            harness.add_fault(0, StreamFault::LoseAnswer, Strikes::always());
        },
        ResultCode::OutcomeUnknown,
        None,
    ),
    (
        "refused by the coordinator",
        |_| {},
        |harness| {
            let code = ResultCode::NoMemory;
            harness.set_routing(
                &[],
                Outlook::Refused {
                    code,
                    retry_after_ms: 7_500,
                },
            );
        },
        ResultCode::NoMemory,
        Some(8),
    ),
    (
        "no quota in any zone",
        |settings| settings.admission.coordinator_grace = Duration::from_millis(100),
        |harness| harness.set_routing(&[], Outlook::Elsewhere { zones: Vec::new() }),
        ResultCode::NoQuota,
        Some(5),
    ),
    (
        "no coordinator",
        |settings| settings.admission.coordinator_grace = Duration::from_millis(100),
        |harness| harness.gateway.on_known_coordinators(BTreeSet::new()),
        ResultCode::NoCoordinator,
        Some(5),
    ),
    (
        "too many requests in progress",
        |settings| settings.max_in_progress = 0,
        |_| {},
        ResultCode::Overloaded,
        Some(5),
    ),
    (
        "request bytes held exceed the limit",
        |settings| settings.held_bytes = 10,
        |_| {},
        ResultCode::Overloaded,
        Some(5),
    ),
    (
        "no configuration",
        |_| {},
        |harness| {
            drop(
                harness
                    .configuration
                    .send(Arc::new(Configuration::default())),
            )
        },
        ResultCode::NoConfiguration,
        Some(5),
    ),
    (
        "all engines refuse with 503",
        |_| {},
        |harness| {
            for engine in &harness.engines {
                engine.update_faults(|faults| faults.down = true);
            }
        },
        ResultCode::DeadlinePassed,
        Some(5),
    ),
    (
        "engines send no token before the deadline",
        |_| {},
        |harness| {
            for index in 0..2 {
                harness.add_fault(
                    index,
                    StreamFault::DelayFirstToken(30_000),
                    Strikes::always(),
                );
            }
        },
        ResultCode::DeadlineWhileRunning,
        Some(5),
    ),
];

#[tokio::test]
async fn valid_requests_that_cannot_be_served_are_refused_with_a_code_and_retry_after() {
    for (case, configure, prepare, code, retry_after) in REFUSAL_CASES {
        for stream in [false, true] {
            let harness = Harness::start(configure).await;
            prepare(&harness);
            let body = json!({"model": "turbine", "prompt": "why", "stream": stream});
            let request = harness
                .completion_request(&body)
                .header("x-flaxward-deadline", "300ms");
            let response = fetch(request.header("x-request-id", "r-1")).await;
            assert_refusal(case, &response, *code);
            assert_eq!(response.retry_after(), *retry_after, "{case}");
            assert_eq!(response.headers["x-request-id"], "r-1", "{case}");
            if code.not_run() {
                assert_eq!(
                    harness.accepted_requests(),
                    [0, 0],
                    "{case}: accepted by an engine"
                );
            }
        }
    }
}
