//! The weight store and the plain service: their limits, faults and records.

use std::time::Duration;

use flaxward_emulator::engine::{LoadOutcome, LoadSource};
use flaxward_emulator::fault::Strikes;
use flaxward_emulator::http::NOT_RUN_HEADER;
use flaxward_emulator::platform::ANY_PORT;
use flaxward_emulator::service::{ExecutionOutcome, ServiceRecord};
use flaxward_emulator::weights::WeightLoadOutcome;
use flaxward_emulator::{
    Engine, EngineConfig, Service, ServiceConfig, ServiceFaults, WeightStore, WeightStoreConfig,
};
use flaxward_types::engine::{HeldState, Order, OrderAction, OrderAnswer};
use flaxward_types::{ArtifactId, OrderId, RunnerName, ServiceName, Term, ZoneName};
use futures::future::join_all;
use reqwest::Client;

fn client() -> Client {
    let client = Client::builder().no_proxy().build();
    client.expect("the HTTP library is set up")
}

async fn store(config: WeightStoreConfig) -> WeightStore {
    WeightStore::start(config).await.expect("a port is free")
}

async fn load(store: &WeightStore, bytes: u64) -> bool {
    let url = format!("{}/weights/checkpoint?bytes={bytes}", store.url());
    let response = client().get(url).send().await;
    response.is_ok_and(|response| response.status().is_success())
}

#[tokio::test]
async fn parallel_loads_slow_each_other_down_in_proportion() {
    let store = store(WeightStoreConfig {
        parallel: 2,
        bytes_per_second: 1_000_000,
        ..WeightStoreConfig::default()
    })
    .await;
    let begun = tokio::time::Instant::now();
    let loads = join_all((0..4).map(|_| load(&store, 50_000))).await;
    // Four loads at half the speed; no upper limit, since the machine may be busy.
    assert!(begun.elapsed() >= Duration::from_millis(95));
    assert_eq!(loads, [true; 4]);
    let record = store.record();
    assert_eq!(record.max_parallel, 4);
    assert_eq!(record.loads.len(), 4);
}

#[tokio::test]
async fn starts_are_limited_by_the_second() {
    let store = store(WeightStoreConfig {
        starts_per_second: 50.0,
        ..WeightStoreConfig::default()
    })
    .await;
    let begun = tokio::time::Instant::now();
    join_all((0..6).map(|_| load(&store, 1))).await;
    assert!(begun.elapsed() >= Duration::from_millis(95));
}

#[tokio::test]
async fn a_store_that_is_down_or_breaks_fails_loads() {
    let store = store(WeightStoreConfig::default()).await;
    store.update_faults(|faults| faults.down = true);
    assert!(!load(&store, 1).await);
    assert!(store.record().loads.is_empty());
    store.update_faults(|faults| {
        faults.down = false;
        faults.break_loads = Strikes::next(1);
    });
    assert!(!load(&store, 1).await);
    assert!(load(&store, 1).await);
    let outcomes: Vec<_> = store
        .record()
        .loads
        .iter()
        .map(|load| load.outcome)
        .collect();
    assert_eq!(
        outcomes,
        [WeightLoadOutcome::Broken, WeightLoadOutcome::Delivered]
    );
}

#[tokio::test]
async fn an_engine_loads_from_the_store_once_and_then_from_its_own_tiers() {
    let store = store(WeightStoreConfig::default()).await;
    let engine = Engine::start(EngineConfig {
        weight_store: Some(store.url()),
        ..EngineConfig::default()
    });
    let engine = engine.await.expect("a port is free");
    for round in 0..3 {
        if round == 2 {
            engine.crash();
        }
        order(&engine, 2 * round, true).await;
        order(&engine, 2 * round + 1, false).await;
    }
    let sources: Vec<_> = engine
        .record()
        .loads
        .iter()
        .map(|load| load.source)
        .collect();
    let expected = [
        LoadSource::WeightStore,
        LoadSource::Memory,
        LoadSource::Disk,
    ];
    assert_eq!(sources, expected);
    assert_eq!(store.record().loads.len(), 1);
    let loads = engine.record().loads;
    assert!(loads.iter().all(|load| load.outcome == LoadOutcome::Ready));
    assert!(loads.iter().all(|load| load.freed_unix_ms.is_some()));
}

/// Loads or unloads a model and waits until that is done.
async fn order(engine: &Engine, id: u128, loads: bool) {
    let artifact: ArtifactId = "model@v1".parse().expect("a literal artifact is valid");
    let action = if loads {
        OrderAction::Load {
            artifact: artifact.clone(),
            checkpoint: "checkpoints/model v1".to_owned(),
            bytes: 10,
        }
    } else {
        OrderAction::Unload {
            artifact: artifact.clone(),
        }
    };
    let answer = engine.order(&Order {
        id: OrderId(id),
        term: Term(1),
        boot: engine.inventory().boot,
        action,
    });
    assert!(matches!(answer, OrderAnswer::Accepted(_)), "{answer:?}");
    let wanted = loads.then_some(HeldState::Ready);
    for _ in 0..500 {
        let inventory = engine.inventory();
        if inventory.held(&artifact).map(|held| held.state) == wanted {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the model does not become {wanted:?}");
}

/// A fault of a service, and what a client hears and the record says.
struct ServiceCase {
    name: &'static str,
    set: fn(&mut ServiceFaults),
    /// HTTP status, or `None` if no answer comes.
    status: Option<u16>,
    not_run: bool,
    outcome: Option<ExecutionOutcome>,
}

const SERVICE_CASES: &[ServiceCase] = &[
    ServiceCase {
        name: "none",
        set: |_| {},
        status: Some(200),
        not_run: false,
        outcome: Some(ExecutionOutcome::Answered),
    },
    ServiceCase {
        name: "refuses before running",
        set: |faults| faults.refuse = Strikes::next(1),
        status: Some(503),
        not_run: true,
        outcome: Some(ExecutionOutcome::Refused),
    },
    ServiceCase {
        name: "down",
        set: |faults| faults.down = true,
        status: Some(503),
        not_run: true,
        outcome: Some(ExecutionOutcome::Refused),
    },
    ServiceCase {
        name: "runs and loses the answer",
        set: |faults| faults.lose_answers = Strikes::next(1),
        status: None,
        not_run: false,
        outcome: Some(ExecutionOutcome::AnswerLost),
    },
    ServiceCase {
        name: "closes connections",
        set: |faults| faults.refuse_connections = true,
        status: None,
        not_run: false,
        outcome: None,
    },
    ServiceCase {
        name: "slower than its client waits",
        set: |faults| faults.slow_ms = 300,
        status: None,
        not_run: false,
        outcome: Some(ExecutionOutcome::Answered),
    },
];

/// The record once the request has ended, if one is to be recorded.
async fn settled_record(service: &Service, expected: bool) -> ServiceRecord {
    for _ in 0..500 {
        let record = service.record();
        if !expected || !record.executions.is_empty() {
            return record;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("nothing is recorded");
}

#[tokio::test]
async fn a_service_counts_what_really_ran() {
    for case in SERVICE_CASES {
        let service = Service::start(ServiceConfig {
            name: RunnerName::literal("machine"),
            zone: ZoneName::literal("north"),
            service: ServiceName::literal("field-api"),
            listen: ANY_PORT,
            time_ms: 0,
            seed: 1,
        });
        let service = service.await.expect("a port is free");
        service.update_faults(case.set);
        let response = client()
            .post(format!("http://{}/work-orders", service.address()))
            .header("idempotency-key", "key")
            .timeout(Duration::from_millis(150))
            .body("two crews")
            .send()
            .await
            .ok();
        let status = response.as_ref().map(|answer| answer.status().as_u16());
        assert_eq!(status, case.status, "{}", case.name);
        let not_run = response.is_some_and(|answer| answer.headers().contains_key(NOT_RUN_HEADER));
        assert_eq!(not_run, case.not_run, "{}", case.name);
        let record = settled_record(&service, case.outcome.is_some()).await;
        let outcome = record.executions.first().map(|execution| execution.outcome);
        assert_eq!(outcome, case.outcome, "{}", case.name);
        let ran = case
            .outcome
            .is_some_and(|outcome| outcome != ExecutionOutcome::Refused);
        assert_eq!(record.times_run("key"), usize::from(ran), "{}", case.name);
    }
}
