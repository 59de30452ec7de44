//! Load generation and the relay bench, against an engine stand-in on this machine.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use flaxward_emulator::engine::{LoadedAtStart, StreamFault, StreamFaultRule};
use flaxward_emulator::fault::Strikes;
use flaxward_emulator::{Engine, EngineConfig};
use flaxward_lab::client::{Ending, Question, ask};
use flaxward_lab::load::{self, LoadPlan};
use flaxward_lab::relay_bench::{self, BenchPlan};

const MODEL: &str = "bench@v1";

async fn engine() -> Engine {
    let config = EngineConfig {
        loaded: vec![LoadedAtStart {
            artifact: MODEL.parse().expect("valid"),
            bytes: 1,
        }],
        ..EngineConfig::default()
    };
    Engine::start(config).await.expect("a free port")
}

fn plan(targets: Vec<String>) -> LoadPlan {
    LoadPlan {
        targets,
        models: vec![MODEL.to_owned(), "unknown@v1".to_owned()],
        rate: 200.0,
        duration: Duration::from_millis(500),
        burst_every: Some(Duration::from_millis(200)),
        burst_size: 10,
        max_tokens: 5,
        streamed: true,
        deadline: Duration::from_secs(5),
        outstanding_limit: 1_000,
        seed: 4,
    }
}

fn question(engine: &Engine, model: &str) -> Question {
    Question {
        target: format!("http://{}", engine.address()),
        model: model.to_owned(),
        prompt: "How are you?".to_owned(),
        max_tokens: 7,
        streamed: true,
        deadline: Duration::from_secs(5),
    }
}

/// The same plan gives the same requests at the same times, at about the rate, bursts included.
#[test]
fn schedules_repeat_and_keep_the_rate() {
    let mut plan = plan(vec!["a".to_owned(), "b".to_owned()]);
    plan.duration = Duration::from_secs(50);
    let schedule = plan.schedule().expect("valid");
    assert_eq!(schedule, plan.schedule().expect("valid"));
    assert!(schedule.is_sorted_by_key(|due| due.after));
    let bursts = 249 * 10;
    let steady = schedule.len() - bursts;
    assert!((9_500..10_500).contains(&steady), "{steady}");
    let first: Vec<_> = schedule
        .iter()
        .filter(|due| due.after == Duration::from_millis(200))
        .collect();
    assert_eq!(first.len(), 10);
    let models: BTreeSet<usize> = first.iter().map(|due| due.model).collect();
    let targets: BTreeSet<usize> = first.iter().map(|due| due.target).collect();
    assert_eq!((models.len(), targets.len()), (1, 2));
    for broken in [0.0, -1.0, f64::NAN] {
        plan.rate = broken;
        assert!(plan.schedule().is_err());
    }
}

/// Every request that is due is accounted for: answered, refused or not sent.
#[tokio::test]
async fn every_request_is_accounted_for() {
    let engine = engine().await;
    let mut plan = plan(vec![format!("http://{}", engine.address())]);
    let due = plan.schedule().expect("valid").len() as u64;
    let results = load::run(plan.clone()).await.expect("run");
    let [all, known, unknown] = results.as_slice() else {
        panic!("{results:?}");
    };
    assert_eq!(all.due, due);
    assert_eq!((known.answered, known.broken), (known.due, 0));
    assert_eq!(unknown.refused.values().sum::<u64>(), unknown.due);
    assert_eq!(known.due + unknown.due, due);
    plan.outstanding_limit = 0;
    let results = load::run(plan).await.expect("run");
    assert_eq!(results[0].not_sent, due);
    engine.shutdown().await;
}

/// An address without a scheme is told before anything is sent.
#[tokio::test]
async fn targets_are_urls() {
    for target in ["127.0.0.1:1", "localhost", "https://127.0.0.1:1"] {
        assert!(load::run(plan(vec![target.to_owned()])).await.is_err());
    }
}

/// Times that no answer gave are no times.
#[tokio::test]
async fn a_table_shows_no_times_without_answers() {
    let plan = plan(vec!["http://127.0.0.1:1".to_owned()]);
    let results = load::run(plan).await.expect("run");
    let table = load::table(&results).to_string();
    let row = table
        .lines()
        .find(|line| line.contains("whole answer p99, ms"));
    let cells: Vec<&str> = row.expect("a row").split_whitespace().collect();
    assert_eq!(cells[4..], ["-", "-", "-"], "{table}");
}

/// Latency counts from when a request was due, not from when it was sent.
#[tokio::test]
async fn latency_counts_from_when_it_was_due() {
    let engine = engine().await;
    let late = Duration::from_secs(3);
    let due = Instant::now() - late;
    let answer = ask(&reqwest::Client::new(), &question(&engine, MODEL), due).await;
    assert_eq!((&answer.ending, answer.tokens), (&Ending::Answered, 7));
    assert!(answer.first_token.expect("one") >= late && answer.took >= late);
    engine.shutdown().await;
}

/// An answer without its end mark is not an answer, nor is one that breaks off.
#[tokio::test]
async fn answers_that_end_early_are_broken() {
    let engine = engine().await;
    let faults = [
        StreamFault::BreakAfter(3),
        StreamFault::TruncateAfter(3),
        StreamFault::TruncateAfter(7),
        StreamFault::LoseAnswer,
    ];
    for fault in faults {
        engine.update_faults(|faults| {
            faults.streams = vec![StreamFaultRule {
                fault,
                strikes: Strikes::always(),
                artifact: None,
            }];
        });
        let client = reqwest::Client::new();
        let answer = ask(&client, &question(&engine, MODEL), Instant::now()).await;
        assert!(matches!(answer.ending, Ending::Broken(_)), "{answer:?}");
    }
    engine.shutdown().await;
}

/// Every way answers every request whole, and each core's work is compared with the pass-through's.
#[tokio::test(flavor = "multi_thread")]
async fn relay_bench_measures_every_way() {
    let plan = BenchPlan {
        rounds: 1,
        span: Duration::from_millis(50),
        connections: 2,
        paced_streams: 4,
        pace: Duration::from_micros(100),
    };
    let results = relay_bench::run(&plan).await.expect("run");
    let ways: Vec<&str> = results.iter().map(|result| result.way.as_str()).collect();
    assert_eq!(ways, ["direct", "pass-through", "daemon"].repeat(5));
    for result in &results {
        assert_eq!(result.failed, 0, "{result:?}");
        assert!(
            result.requests_per_second > 0.0 && result.latency_p50 > 0,
            "{result:?}"
        );
        let is_relay = result.way != "direct";
        assert_eq!(result.of_pass_through.is_some(), is_relay, "{result:?}");
        if result.workload.starts_with("whole") {
            let tokens = result.tokens_per_second / result.requests_per_second;
            assert!((tokens - 64.0).abs() < 0.01, "{result:?}");
        }
    }
}
