//! Every refusal: its code, its status, what it says about running, and when to come back.

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

use crate::support::{Bench, Got, fetch};

const COMPLETIONS: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";
const GOOD: &str = r#"{"model":"turbine","prompt":"why"}"#;

/// Checks what every refusal must say.
fn check(case: &str, got: &Got, code: ResultCode) {
    let error = got.error();
    assert_eq!(error["code"], code.number(), "{case}: {}", got.text);
    assert_eq!(error["name"], format!("{code:?}"), "{case}");
    assert_eq!(got.status, code.http_status(), "{case}");
    assert_eq!(error["not_run"], code.not_run(), "{case}");
    assert_eq!(
        error["request_id"],
        got.headers["x-request-id"].to_str().unwrap(),
        "{case}"
    );
    let may_pass = matches!(got.status, 503 | 504);
    assert_eq!(
        got.retry_after().is_some(),
        may_pass,
        "{case}: when to come back"
    );
}

#[tokio::test]
async fn what_cannot_be_read_is_refused_with_its_code() {
    use ResultCode as Code;
    let long = "x".repeat(2_000);
    let headers = "x".repeat(20_000);
    let post = Method::POST;
    let get = Method::GET;
    let none: (&str, &str) = ("accept", "*/*");
    #[rustfmt::skip]
    let cases = [
        (&post, COMPLETIONS, none, "{", Code::BadBody),
        (&post, COMPLETIONS, none, "", Code::BadBody),
        (&post, COMPLETIONS, none, "[1]", Code::BadBody),
        (&post, COMPLETIONS, none, "\u{0}\u{1}", Code::BadBody),
        (&post, COMPLETIONS, none, r#"{"prompt":"why"}"#, Code::BadBody),
        (&post, COMPLETIONS, none, r#"{"model":7,"prompt":"why"}"#, Code::BadBody),
        (&post, COMPLETIONS, none, r#"{"model":"turbine"}"#, Code::BadBody),
        (&post, COMPLETIONS, none, r#"{"model":"turbine","prompt":"why","stream":"yes"}"#, Code::BadBody),
        (&post, CHAT, none, GOOD, Code::BadBody),
        (&post, COMPLETIONS, ("x-flaxward-deadline", "soon"), GOOD, Code::BadHeader),
        (&post, COMPLETIONS, ("x-flaxward-deadline", "-1s"), GOOD, Code::BadHeader),
        (&post, COMPLETIONS, ("x-flaxward-priority", "10"), GOOD, Code::BadHeader),
        (&post, COMPLETIONS, ("x-flaxward-priority", "high"), GOOD, Code::BadHeader),
        (&post, COMPLETIONS, ("x-flaxward-repeatable", "maybe"), GOOD, Code::BadHeader),
        (&post, COMPLETIONS, ("idempotency-key", ""), GOOD, Code::BadHeader),
        (&post, COMPLETIONS, ("idempotency-key", "orden ñ"), GOOD, Code::BadHeader),
        (&post, COMPLETIONS, ("x-request-id", &headers[..300]), GOOD, Code::BadHeader),
        (&post, COMPLETIONS, ("x-anything", &headers), GOOD, Code::HeadersTooLong),
        (&post, COMPLETIONS, none, r#"{"model":"nothing","prompt":"why"}"#, Code::UnknownModel),
        (&post, COMPLETIONS, none, r#"{"model":"TURBINE!","prompt":"why"}"#, Code::UnknownModel),
        (&post, COMPLETIONS, none, r#"{"model":"turbine@v9","prompt":"why"}"#, Code::UnknownModel),
        (&post, COMPLETIONS, none, r#"{"model":"turbine:a@v1","prompt":"why"}"#, Code::UnknownModel),
        (&post, COMPLETIONS, none, r#"{"model":"full","prompt":"why"}"#, Code::QueueFull),
        (&post, COMPLETIONS, ("x-flaxward-deadline", "0s"), GOOD, Code::DeadlinePassed),
        (&post, COMPLETIONS, none, &long, Code::BodyTooLong),
        (&post, "/services/nothing/a", none, "", Code::UnknownService),
        (&get, "/services/NOTHING!/a", none, "", Code::UnknownService),
        (&get, COMPLETIONS, none, "", Code::UnknownPath),
        (&post, "/v1/models", none, "", Code::UnknownPath),
        (&get, "/", none, "", Code::UnknownPath),
        (&get, "/services", none, "", Code::UnknownPath),
        (&get, "/v1/../etc/passwd%00%ff", none, "", Code::UnknownPath),
    ];
    let bench = Bench::start(|settings| settings.body_limit = 1_000).await;
    bench.answer(&[], Outlook::Loading { estimate_ms: 1_000 });
    for (method, path, (name, value), body, code) in cases {
        let case = format!("{method} {path} {name}: {value:.20} {body:.60}");
        let request = bench.request(method.clone(), path).header(name, value);
        check(&case, &fetch(request.body(body.to_owned())).await, code);
    }
    let twice = bench.request(post, COMPLETIONS).body(GOOD);
    let twice = twice.header("x-flaxward-priority", "1");
    let got = fetch(twice.header("x-flaxward-priority", "2")).await;
    check("a header given twice", &got, Code::BadHeader);
    assert_eq!(bench.accepted(), [0, 0], "nothing of it has run");
    assert_eq!(bench.gateway.waiting(), 0);
}

#[tokio::test]
async fn a_body_that_is_long_or_late_harms_nobody() {
    let bench = Bench::start(|settings| {
        settings.body_limit = 1_000;
        settings.body_timeout = Duration::from_millis(100);
    })
    .await;
    let chunked = reqwest::Body::wrap_stream(futures::stream::iter(
        (0..4).map(|_| Ok::<_, std::io::Error>("x".repeat(400))),
    ));
    let got = fetch(bench.request(Method::POST, COMPLETIONS).body(chunked)).await;
    check("chunked", &got, ResultCode::BodyTooLong);
    let mut slow = TcpStream::connect(bench.address).await.unwrap();
    let head = "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\n\r\n{";
    slow.write_all(head.as_bytes()).await.unwrap();
    let neighbour = fetch(bench.request(Method::POST, COMPLETIONS).body(GOOD)).await;
    assert_eq!(neighbour.status, 200, "{}", neighbour.text);
    let mut long = TcpStream::connect(bench.address).await.unwrap();
    let head = head.replace("50", "5000");
    long.write_all(head.as_bytes()).await.unwrap();
    for (mut caller, status, code) in [(slow, "408", "1006"), (long, "413", "1005")] {
        let mut answer = vec![0; 4_096];
        let length = caller.read(&mut answer).await.unwrap();
        let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
        let start = format!("HTTP/1.1 {status}");
        let is_right = answer.starts_with(&start) && answer.contains(code);
        assert!(is_right, "{answer}");
    }
}

/// A state of the gateway and what a good request gets.
type State = (
    &'static str,
    fn(&mut GatewaySettings),
    fn(&Bench),
    ResultCode,
    Option<u64>,
);

const STATES: &[State] = &[
    (
        "a load that takes too long",
        |_| {},
        |bench| {
            bench.answer(
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
        "a load that never ends",
        |_| {},
        |bench| bench.answer(&[], Outlook::Loading { estimate_ms: 0 }),
        ResultCode::DeadlinePassed,
        Some(5),
    ),
    (
        "a longer deadline than allowed",
        |settings| settings.max_deadline = Duration::ZERO,
        |_| {},
        ResultCode::DeadlinePassed,
        Some(5),
    ),
    (
        "an answer that is lost, and nobody else to ask",
        |settings| settings.admission.avoid_period = Duration::from_secs(10),
        |bench| {
            bench.answer(&[0], Outlook::Ready);
            bench.add_fault(0, StreamFault::LoseAnswer, Strikes::always());
        },
        ResultCode::OutcomeUnknown,
        None,
    ),
    (
        "a refusal of the coordinator",
        |_| {},
        |bench| {
            let code = ResultCode::NoMemory;
            bench.answer(
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
        "no quota anywhere",
        |settings| settings.admission.coordinator_grace = Duration::from_millis(100),
        |bench| bench.answer(&[], Outlook::Elsewhere { zones: Vec::new() }),
        ResultCode::NoQuota,
        Some(5),
    ),
    (
        "no coordinator",
        |settings| settings.admission.coordinator_grace = Duration::from_millis(100),
        |bench| bench.gateway.on_known_coordinators(BTreeSet::new()),
        ResultCode::NoCoordinator,
        Some(5),
    ),
    (
        "too many requests",
        |settings| settings.max_in_progress = 0,
        |_| {},
        ResultCode::Overloaded,
        Some(5),
    ),
    (
        "too many bytes",
        |settings| settings.held_bytes = 10,
        |_| {},
        ResultCode::Overloaded,
        Some(5),
    ),
    (
        "no configuration",
        |_| {},
        |bench| drop(bench.configuration.send(Arc::new(Configuration::default()))),
        ResultCode::NoConfiguration,
        Some(5),
    ),
    (
        "engines that refuse",
        |_| {},
        |bench| {
            for engine in &bench.engines {
                engine.update_faults(|faults| faults.down = true);
            }
        },
        ResultCode::DeadlinePassed,
        Some(5),
    ),
    (
        "engines that answer too late",
        |_| {},
        |bench| {
            for index in 0..2 {
                bench.add_fault(
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
async fn a_good_request_that_cannot_be_served_is_told_why_and_when_to_come_back() {
    for (case, change, prepare, code, retry_after) in STATES {
        for stream in [false, true] {
            let bench = Bench::start(change).await;
            prepare(&bench);
            let body = json!({"model": "turbine", "prompt": "why", "stream": stream});
            let request = bench.complete(&body).header("x-flaxward-deadline", "300ms");
            let got = fetch(request.header("x-request-id", "r-1")).await;
            check(case, &got, *code);
            assert_eq!(got.retry_after(), *retry_after, "{case}");
            assert_eq!(got.headers["x-request-id"], "r-1", "{case}");
            if code.not_run() {
                assert_eq!(bench.accepted(), [0, 0], "{case}: not run");
            }
        }
    }
}
