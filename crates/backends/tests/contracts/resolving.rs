//! Resolving lost responses: named cases, and a property test over random faults.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use flaxward_backends::resolving::RetryLimits;
use flaxward_backends::{
    Collection, Object, ObjectApi, ObjectList, ObjectsHttp, ResolvingStore, Selection, StoreError,
    WatchEvent,
};
use flaxward_emulator::fault::Strikes;
use flaxward_emulator::objects::ObjectWrite;
use flaxward_emulator::{ObjectApiConfig, ObjectApiFaults, ObjectApiServer};
use flaxward_types::{OperationId, Revision};
use futures::future::join_all;
use futures::stream::BoxStream;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use serde_json::{Value, json};

use crate::limits::long_timeouts;
use crate::object_contract::{create, object_api_contract, replace, replace_version};

const LEASES: Collection = Collection::Leases;

async fn server() -> ObjectApiServer {
    let config = ObjectApiConfig::default();
    ObjectApiServer::start(config)
        .await
        .expect("a port is free")
}

fn raw(server: &ObjectApiServer) -> ObjectsHttp {
    ObjectsHttp::new(&server.url(), "north/first", long_timeouts()).expect("the URL is valid")
}

fn resolving<A: ObjectApi>(inner: A) -> ResolvingStore<A> {
    let limits = RetryLimits {
        max_retries: 5,
        retry_delay: Duration::from_millis(5),
        total_timeout: Duration::from_secs(10),
    };
    ResolvingStore::new(inner, limits)
}

fn times_applied(record: &[ObjectWrite], operation: u128) -> usize {
    let text = OperationId(operation).to_string();
    let of_operation = |write: &&ObjectWrite| write.operation.as_deref() == Some(&text);
    record.iter().filter(of_operation).count()
}

#[tokio::test]
async fn the_resolving_store_satisfies_the_contract() {
    let server = server().await;
    object_api_contract(&resolving(raw(&server))).await;
}

/// A named fault.
type NamedFault = (&'static str, fn(&mut ObjectApiFaults));

/// Faults under which a write must still succeed and be applied exactly once.
const TOLERATED_FAULTS: &[NamedFault] = &[
    ("one response lost", |faults| {
        faults.lose_answers = Strikes::next(1);
    }),
    ("two responses lost", |faults| {
        faults.lose_answers = Strikes::next(2);
    }),
    ("a write applied after its retry", |faults| {
        faults.late_writes = Strikes::next(1);
        faults.late_ms = 50;
    }),
    ("a late write and a lost response", |faults| {
        faults.late_writes = Strikes::next(1);
        faults.lose_answers = Strikes::next(1);
        faults.late_ms = 50;
    }),
];

#[tokio::test]
async fn a_write_whose_response_is_lost_is_resolved() {
    for (name, set) in TOLERATED_FAULTS {
        let server = server().await;
        let store = resolving(raw(&server));
        server.update_faults(set);
        let created = create(&store, "object", 1).await;
        server.update_faults(set);
        let replaced = replace(&store, &created, 2).await.expect(name);
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(
            store.get(LEASES, "object").await,
            Ok(replaced.clone()),
            "{name}"
        );
        assert_eq!(times_applied(&server.record(), 1), 1, "{name}");
        assert_eq!(times_applied(&server.record(), 2), 1, "{name}");
        server.update_faults(set);
        let removed = store.delete(LEASES, "object", replaced.version).await;
        assert_eq!(removed, Ok(()), "{name}");
    }
}

/// Concurrent changes around the first write, whose response is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interference {
    /// The write is applied, and then another operation replaces the object.
    AppliedThenReplaced,
    /// The write is not applied, and another operation replaces the expected version.
    NotAppliedReplacedOnce,
    /// The write is not applied, and two other operations replace the object one after the other.
    NotAppliedReplacedTwice,
}

/// Object API that makes concurrent changes during the first replacement.
struct InterferingStore {
    inner: ObjectsHttp,
    interference: Interference,
    calls: AtomicU32,
}

impl InterferingStore {
    async fn interfere(&self, name: &str, expected: Revision) {
        let others = match self.interference {
            Interference::NotAppliedReplacedTwice => 2,
            _ => 1,
        };
        let mut version = match self.interference {
            Interference::AppliedThenReplaced => {
                let ours = self.inner.get(LEASES, name).await;
                ours.expect("the object exists").version
            }
            _ => expected,
        };
        for other in 0..others {
            let object = replace_version(&self.inner, name, version, 900 + other).await;
            version = object.expect("the version is current").version;
        }
    }
}

#[async_trait]
impl ObjectApi for InterferingStore {
    async fn get(&self, collection: Collection, name: &str) -> Result<Object, StoreError> {
        self.inner.get(collection, name).await
    }

    async fn list(&self, collection: Collection) -> Result<ObjectList, StoreError> {
        self.inner.list(collection).await
    }

    async fn select(
        &self,
        collection: Collection,
        selection: &Selection,
    ) -> Result<Vec<Object>, StoreError> {
        self.inner.select(collection, selection).await
    }

    async fn create(
        &self,
        collection: Collection,
        name: &str,
        operation: OperationId,
        body: Value,
    ) -> Result<Object, StoreError> {
        self.inner.create(collection, name, operation, body).await
    }

    async fn replace(
        &self,
        collection: Collection,
        name: &str,
        expected: Revision,
        operation: OperationId,
        body: Value,
    ) -> Result<Object, StoreError> {
        let first = self.calls.fetch_add(1, Ordering::SeqCst) == 0;
        let mut result = Err(StoreError::OutcomeUnknown("not sent".to_owned()));
        if !first || self.interference == Interference::AppliedThenReplaced {
            let write = self
                .inner
                .replace(collection, name, expected, operation, body);
            result = write.await;
        }
        if !first {
            return result;
        }
        self.interfere(name, expected).await;
        Err(StoreError::OutcomeUnknown(
            "response dropped by the test".to_owned(),
        ))
    }

    async fn delete(
        &self,
        collection: Collection,
        name: &str,
        expected: Revision,
    ) -> Result<(), StoreError> {
        self.inner.delete(collection, name, expected).await
    }

    async fn watch(
        &self,
        collection: Collection,
        from: Revision,
    ) -> Result<BoxStream<'static, Result<WatchEvent, StoreError>>, StoreError> {
        self.inner.watch(collection, from).await
    }
}

#[tokio::test]
async fn a_conflict_is_reported_only_when_it_is_proven() {
    let cases = [
        (Interference::AppliedThenReplaced, false),
        (Interference::NotAppliedReplacedOnce, true),
        (Interference::NotAppliedReplacedTwice, false),
    ];
    for (interference, proven) in cases {
        let server = server().await;
        let object = create(&raw(&server), "object", 1).await;
        let store = resolving(InterferingStore {
            inner: raw(&server),
            interference,
            calls: AtomicU32::new(0),
        });
        let result = replace(&store, &object, 2).await;
        let conflict = matches!(result, Err(StoreError::Conflict(_)));
        let unknown = matches!(result, Err(StoreError::OutcomeUnknown(_)));
        assert_eq!(
            (conflict, unknown),
            (proven, !proven),
            "{interference:?}: {result:?}"
        );
    }
}

/// A run of concurrent writers under faults.
#[derive(Clone, Debug)]
struct Run {
    writers: u32,
    writes: u32,
    lost: f64,
    late: f64,
    late_ms: u64,
}

fn run() -> impl Strategy<Value = Run> {
    let chance = || prop_oneof![Just(0.0), Just(0.3), Just(0.7)];
    (1..4_u32, 1..6_u32, chance(), chance(), 0..20_u64).prop_map(
        |(writers, writes, lost, late, late_ms)| Run {
            writers,
            writes,
            lost,
            late,
            late_ms,
        },
    )
}

/// Runs the writers concurrently and checks every result against the writes applied.
async fn check(run: &Run) -> Result<(), TestCaseError> {
    let server = server().await;
    create(&raw(&server), "object", 1).await;
    server.update_faults(|faults| {
        faults.lose_answers = Strikes::with_probability(run.lost);
        faults.late_writes = Strikes::with_probability(run.late);
        faults.late_ms = run.late_ms;
    });
    let results = Mutex::new(Vec::new());
    let store = resolving(raw(&server));
    let (store, collected) = (&store, &results);
    let writers = (0..run.writers).map(|writer| async move {
        let writer = u128::from(writer);
        for write in 0..u128::from(run.writes) {
            let operation = 1000 * (writer + 1) + write;
            let current = store.get(LEASES, "object").await.expect("reads work");
            let result = replace(store, &current, operation).await;
            collected
                .lock()
                .expect("no panic")
                .push((operation, result));
        }
    });
    join_all(writers).await;
    tokio::time::sleep(Duration::from_millis(run.late_ms + 30)).await;
    let record = server.record();
    for (operation, result) in results.lock().expect("no panic").iter() {
        let times = times_applied(&record, *operation);
        prop_assert!(
            times <= 1,
            "operation {operation} was applied {times} times"
        );
        match result {
            Ok(object) => {
                prop_assert_eq!(times, 1);
                prop_assert_eq!(object.operation, Some(OperationId(*operation)));
            }
            Err(StoreError::OutcomeUnknown(_)) => {}
            Err(error) => prop_assert_eq!(times, 0, "operation {} returned {:?}", operation, error),
        }
    }
    server.shutdown().await;
    Ok(())
}

#[test]
fn the_reported_outcome_of_a_write_is_correct() {
    let cases = std::env::var("FLAXWARD_PROPTEST_CASES").ok();
    let config = ProptestConfig {
        cases: cases.and_then(|text| text.parse().ok()).unwrap_or(24),
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    let mut runner = TestRunner::new(config);
    runner
        .run(&run(), |run| runtime.block_on(check(&run)))
        .expect("the property holds");
}

#[test]
fn the_body_survives_a_write() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let server = server().await;
        let store = resolving(raw(&server));
        let body = json!({"text": "\u{f1}\u{2192}\n\"", "list": [1, null, {"deep": true}]});
        let created = store
            .create(Collection::Claims, "claim", OperationId(1), body.clone())
            .await
            .expect("the name is free");
        assert_eq!(created.body, body);
    });
}
