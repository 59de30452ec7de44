//! Answers of the engine stand-in: whole, resumed, refused, cancelled, and under each fault.

use std::time::Duration;

use eventsource_stream::Eventsource;
use flaxward_emulator::engine::tokens::{answer_seed, answer_text, token_text};
use flaxward_emulator::engine::{
    EngineTiming, Leaving, LoadedAtStart, RequestOutcome, StreamFault, StreamFaultRule,
};
use flaxward_emulator::fault::Strikes;
use flaxward_emulator::http::NOT_RUN_HEADER;
use flaxward_emulator::{Engine, EngineConfig};
use flaxward_types::AttemptId;
use flaxward_types::engine::{HeldState, Order, OrderAction, OrderAnswer};
use flaxward_types::{ArtifactId, OrderId, Term};
use futures::StreamExt;
use reqwest::{RequestBuilder, Response};
use serde_json::{Value, json};

const MODEL: &str = "model@v1";
const PROMPT: &str = "summarise the fault log of turbine 7";

fn artifact() -> ArtifactId {
    MODEL.parse().expect("a literal artifact is valid")
}

async fn engine(config: EngineConfig) -> Engine {
    let config = EngineConfig {
        loaded: vec![LoadedAtStart {
            artifact: artifact(),
            bytes: 10,
        }],
        ..config
    };
    Engine::start(config).await.expect("a port is free")
}

fn slow() -> EngineConfig {
    EngineConfig {
        timing: EngineTiming {
            decode_us: 2000,
            ..EngineTiming::default()
        },
        ..EngineConfig::default()
    }
}

fn request(engine: &Engine, attempt: u128, body: &Value) -> RequestBuilder {
    let url = format!("http://{}/v1/completions", engine.address());
    let client = reqwest::Client::builder().no_proxy().build();
    client
        .expect("the HTTP library is set up")
        .post(url)
        .header("x-flaxward-attempt", AttemptId(attempt).to_string())
        .json(body)
}

fn body(max_tokens: u32) -> Value {
    json!({"model": MODEL, "prompt": PROMPT, "stream": true, "max_tokens": max_tokens})
}

/// What came of a stream.
#[derive(Debug, Default, PartialEq, Eq)]
struct Heard {
    tokens: Vec<(u32, String)>,
    finish: Option<String>,
    done: bool,
    broken: bool,
}

async fn hear(response: Response) -> Heard {
    let mut heard = Heard::default();
    let mut events = response.bytes_stream().eventsource();
    while let Some(event) = events.next().await {
        let Ok(event) = event else {
            heard.broken = true;
            break;
        };
        if event.data == "[DONE]" {
            heard.done = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(&event.data).expect("a chunk is JSON");
        let choice = &chunk["choices"][0];
        let text = choice["text"].as_str().expect("a chunk has text");
        let index = event.id.parse().expect("the id is the index");
        heard.tokens.push((index, text.to_owned()));
        heard.finish = choice["finish_reason"].as_str().map(str::to_owned);
    }
    heard
}

fn tokens(indexes: impl IntoIterator<Item = u32>) -> Vec<(u32, String)> {
    let seed = answer_seed(MODEL, PROMPT);
    let text = |index| String::from_utf8(token_text(seed, index).to_vec());
    let pair = |index| (index, text(index).expect("tokens are text"));
    indexes.into_iter().map(pair).collect()
}

#[tokio::test]
async fn an_answer_is_whole_in_every_form() {
    for config in [EngineConfig::default(), slow()] {
        let engine = engine(config).await;
        let response = request(&engine, 1, &body(20)).send().await;
        let heard = hear(response.expect("it answers")).await;
        assert_eq!(heard.tokens, tokens(0..20));
        assert_eq!(heard.finish.as_deref(), Some("length"));
        assert!(heard.done);
        let whole = json!({"model": MODEL, "prompt": PROMPT, "max_tokens": 20});
        let response = request(&engine, 2, &whole).send().await;
        let document: Value = response
            .expect("it answers")
            .json()
            .await
            .expect("it is JSON");
        let text = document["choices"][0]["text"].as_str();
        assert_eq!(text, Some(answer_text(MODEL, PROMPT, 20).as_str()));
        assert_eq!(document["usage"]["completion_tokens"], 20);
        let record = engine.record();
        assert_eq!(record.requests.len(), 2);
        for request in &record.requests {
            assert_eq!(request.outcome, RequestOutcome::Finished);
            assert_eq!(request.tokens, 20);
        }
    }
}

#[tokio::test]
async fn a_long_answer_is_whole_when_chunks_are_sent_together() {
    let engine = engine(EngineConfig::default()).await;
    let response = request(&engine, 1, &body(5000)).send().await;
    let heard = hear(response.expect("it answers")).await;
    assert_eq!(heard.tokens, tokens(0..5000));
    assert!(heard.done);
}

#[tokio::test]
async fn a_resumed_answer_goes_on_at_its_token() {
    let engine = engine(EngineConfig::default()).await;
    let resumed = request(&engine, 1, &body(20)).header("x-flaxward-resume-from", "7");
    let heard = hear(resumed.send().await.expect("it answers")).await;
    assert_eq!(heard.tokens, tokens(7..20));
}

/// A fault of an answer of ten tokens, and what a client must hear and the record must say.
struct FaultCase {
    fault: StreamFault,
    heard: fn() -> Vec<u32>,
    done: bool,
    broken: bool,
    outcome: RequestOutcome,
}

fn fault_cases() -> Vec<FaultCase> {
    let case = |fault, heard, done, broken, outcome| FaultCase {
        fault,
        heard,
        done,
        broken,
        outcome,
    };
    let (finished, cut) = (RequestOutcome::Finished, RequestOutcome::Broken);
    vec![
        case(StreamFault::BreakAfter(0), Vec::new, false, true, cut),
        case(
            StreamFault::BreakAfter(4),
            || (0..4).collect(),
            false,
            true,
            cut,
        ),
        case(
            StreamFault::TruncateAfter(4),
            || (0..4).collect(),
            false,
            false,
            cut,
        ),
        case(
            StreamFault::DoubleToken(3),
            || vec![0, 1, 2, 3, 3, 4, 5, 6, 7, 8, 9],
            true,
            false,
            finished,
        ),
        case(
            StreamFault::SwapTokens(3),
            || vec![0, 1, 2, 4, 3, 5, 6, 7, 8, 9],
            true,
            false,
            finished,
        ),
        case(
            StreamFault::DelayFirstToken(50),
            || (0..10).collect(),
            true,
            false,
            finished,
        ),
    ]
}

#[tokio::test]
async fn each_fault_of_an_answer_is_heard_and_recorded() {
    for config in [EngineConfig::default(), slow()] {
        for case in fault_cases() {
            let engine = engine(config.clone()).await;
            engine.update_faults(|faults| {
                faults.streams.push(StreamFaultRule {
                    fault: case.fault,
                    strikes: Strikes::next(1),
                    artifact: None,
                });
            });
            let response = request(&engine, 1, &body(10)).send().await;
            let heard = hear(response.expect("the head comes")).await;
            let name = case.fault;
            assert_eq!(heard.tokens, tokens((case.heard)()), "{name:?}");
            assert_eq!(
                (heard.done, heard.broken),
                (case.done, case.broken),
                "{name:?}"
            );
            assert_eq!(outcome(&engine).await, case.outcome, "{name:?}");
            let response = request(&engine, 2, &body(10)).send().await;
            let heard = hear(response.expect("it answers")).await;
            assert_eq!(heard.tokens, tokens(0..10), "after {name:?}");
        }
    }
}

#[tokio::test]
async fn a_lost_answer_ran() {
    let engine = engine(EngineConfig::default()).await;
    engine.update_faults(|faults| {
        faults.streams.push(StreamFaultRule {
            fault: StreamFault::LoseAnswer,
            strikes: Strikes::next(1),
            artifact: Some(artifact()),
        });
    });
    let response = request(&engine, 1, &body(10)).send().await;
    assert!(response.is_err_and(|error| !error.is_connect()));
    assert_eq!(engine.record().requests[0].tokens, 10);
}

#[tokio::test]
async fn what_is_not_ready_or_leaving_is_refused_before_it_runs() {
    let engine = engine(EngineConfig::default()).await;
    let other = json!({"model": "other@v1", "prompt": PROMPT});
    let response = request(&engine, 1, &other).send().await;
    assert_not_run(&response.expect("it answers"));
    engine.update_faults(|faults| faults.leaving = Leaving::Refusing);
    let response = request(&engine, 2, &body(10)).send().await;
    assert_not_run(&response.expect("it answers"));
    engine.update_faults(|faults| faults.leaving = Leaving::Announced);
    let response = request(&engine, 3, &body(10)).send().await;
    assert!(response.expect("it answers").status().is_success());
    let record = engine.record();
    assert!(engine.inventory().leaving);
    assert_eq!(record.requests_accepted, 1);
    assert!(record.requests[0].after_leaving_ms.is_some());
    assert_eq!(record.refusals.len(), 2);
}

fn assert_not_run(response: &Response) {
    assert_eq!(response.status(), 409);
    assert_eq!(response.headers()[NOT_RUN_HEADER], "true");
}

#[tokio::test]
async fn a_cancelled_stream_ends_and_an_abandoned_one_is_noticed() {
    let engine = engine(slow()).await;
    let response = request(&engine, 1, &body(100_000)).send().await;
    let response = response.expect("it answers");
    let url = format!(
        "http://{}/engine/streams/{}",
        engine.address(),
        AttemptId(1)
    );
    let client = reqwest::Client::builder().no_proxy().build();
    let client = client.expect("the HTTP library is set up");
    let exported = client.get(format!("{url}/kv")).send().await;
    assert!(exported.expect("it answers").status().is_success());
    let cancelled = client.delete(&url).send().await;
    assert!(cancelled.expect("it answers").status().is_success());
    let heard = hear(response).await;
    assert!(!heard.done && !heard.broken);
    assert_eq!(outcome(&engine).await, RequestOutcome::Cancelled);

    let abandoned = request(&engine, 2, &body(100_000)).send().await;
    drop(abandoned.expect("it answers"));
    assert_eq!(outcome(&engine).await, RequestOutcome::Abandoned);
}

#[tokio::test]
async fn a_crash_breaks_streams() {
    let engine = engine(slow()).await;
    let response = request(&engine, 1, &body(100_000)).send().await;
    let response = response.expect("it answers");
    engine.crash();
    assert!(hear(response).await.broken);
    assert_eq!(outcome(&engine).await, RequestOutcome::Crashed);
}

#[tokio::test]
async fn an_unload_waits_for_running_requests_and_takes_no_new_ones() {
    let engine = engine(slow()).await;
    let response = request(&engine, 1, &body(100)).send().await;
    let response = response.expect("it answers");
    let inventory = engine.inventory();
    let answer = engine.order(&Order {
        id: OrderId(1),
        term: Term(1),
        boot: inventory.boot,
        action: OrderAction::Unload {
            artifact: artifact(),
        },
    });
    let OrderAnswer::Accepted(inventory) = answer else {
        panic!("an unload is accepted: {answer:?}");
    };
    let state = inventory.held(&artifact()).map(|held| held.state);
    assert_eq!(state, Some(HeldState::Unloading));
    let refused = request(&engine, 2, &body(10)).send().await;
    assert_not_run(&refused.expect("it answers"));
    let heard = hear(response).await;
    assert_eq!(heard.tokens, tokens(0..100));
    outcome(&engine).await;
    assert!(engine.inventory().held(&artifact()).is_none());
    assert!(engine.record().loads[0].freed_unix_ms.is_some());
}

#[tokio::test]
async fn the_highest_priority_runs_first_and_the_batch_is_bounded() {
    let engine = engine(EngineConfig { batch: 1, ..slow() }).await;
    let first = request(&engine, 1, &body(50)).send().await;
    let first = first.expect("it answers");
    let send = |attempt, priority: u8| {
        request(&engine, attempt, &body(5))
            .header("x-flaxward-priority", priority.to_string())
            .send()
    };
    let low = send(2, 1).await.expect("it answers");
    let high = send(3, 9).await.expect("it answers");
    let (_, low, high) = tokio::join!(hear(first), hear(low), hear(high));
    assert_eq!(low.tokens, tokens(0..5));
    assert_eq!(high.tokens, tokens(0..5));
    outcome(&engine).await;
    let record = engine.record();
    assert_eq!(record.max_batch, 1);
    let ended = |position: usize| record.requests[position].ended_unix_ms;
    assert!(ended(2) <= ended(1), "the high priority ends first");
}

/// The outcome of the newest request, once it has ended.
async fn outcome(engine: &Engine) -> RequestOutcome {
    for _ in 0..500 {
        let record = engine.record();
        let ended = record
            .requests
            .iter()
            .all(|request| request.ended_unix_ms.is_some());
        if let (true, Some(request)) = (ended, record.requests.last()) {
            return request.outcome;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("a request does not end");
}
