//! HTTP client of the object API against the emulator: the contract, and faults.

use crate::limits::{long_timeouts, short_timeouts};
use crate::object_contract::{create, next_change, next_event, object_api_contract, replace};
use flaxward_backends::{Collection, ObjectApi, ObjectsHttp, StoreError, WatchEvent};
use flaxward_emulator::fault::Strikes;
use flaxward_emulator::{ObjectApiConfig, ObjectApiFaults, ObjectApiServer};

async fn server() -> ObjectApiServer {
    let config = ObjectApiConfig {
        bookmark_ms: 20,
        ..ObjectApiConfig::default()
    };
    ObjectApiServer::start(config)
        .await
        .expect("a port is free")
}

fn client(server: &ObjectApiServer) -> ObjectsHttp {
    ObjectsHttp::new(&server.url(), "north/first", long_timeouts()).expect("the URL is valid")
}

#[tokio::test]
async fn the_client_and_the_emulator_satisfy_the_contract() {
    let server = server().await;
    object_api_contract(&client(&server)).await;
    server.shutdown().await;
}

/// Expected result of a call under a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallResult {
    Done,
    Unavailable,
    OutcomeUnknown,
}

fn call_result<T>(result: &Result<T, StoreError>) -> CallResult {
    match result {
        Ok(_) => CallResult::Done,
        Err(StoreError::Unavailable(_)) => CallResult::Unavailable,
        Err(StoreError::OutcomeUnknown(_)) => CallResult::OutcomeUnknown,
        Err(other) => panic!("unexpected error {other:?}"),
    }
}

/// A fault with the expected results of reads and writes.
struct FaultCase {
    name: &'static str,
    set: fn(&mut ObjectApiFaults),
    read: CallResult,
    write: CallResult,
    /// Whether the write is applied regardless of its result.
    applied: bool,
}

const FAULTS: &[FaultCase] = &[
    FaultCase {
        name: "none",
        set: |_| {},
        read: CallResult::Done,
        write: CallResult::Done,
        applied: true,
    },
    FaultCase {
        name: "down",
        set: |faults| faults.down = true,
        read: CallResult::Unavailable,
        write: CallResult::Unavailable,
        applied: false,
    },
    FaultCase {
        name: "delay beyond the timeout",
        set: |faults| faults.delay_ms = 60_000,
        read: CallResult::Unavailable,
        write: CallResult::OutcomeUnknown,
        applied: false,
    },
    FaultCase {
        name: "the client's zone is cut off",
        set: |faults| {
            faults.cut_zones.insert("north".to_owned());
        },
        read: CallResult::Unavailable,
        write: CallResult::OutcomeUnknown,
        applied: false,
    },
    FaultCase {
        name: "another zone is cut off",
        set: |faults| {
            faults.cut_zones.insert("south".to_owned());
        },
        read: CallResult::Done,
        write: CallResult::Done,
        applied: true,
    },
    FaultCase {
        name: "responses are lost",
        set: |faults| faults.lose_answers = Strikes::always(),
        read: CallResult::Done,
        write: CallResult::OutcomeUnknown,
        applied: true,
    },
    FaultCase {
        name: "responses of another collection are lost",
        set: |faults| {
            faults.lose_answers = Strikes::always();
            faults.collections.insert("quotas".to_owned());
        },
        read: CallResult::Done,
        write: CallResult::Done,
        applied: true,
    },
    FaultCase {
        name: "the write is applied much later",
        set: |faults| {
            faults.late_writes = Strikes::always();
            faults.late_ms = 60_000;
        },
        read: CallResult::Done,
        write: CallResult::OutcomeUnknown,
        applied: false,
    },
];

#[tokio::test]
async fn a_fault_is_classified_by_whether_the_write_may_be_applied() {
    for case in FAULTS {
        let server = server().await;
        let setup_client = client(&server);
        let object = create(&setup_client, "object", 1).await;
        let test_client =
            ObjectsHttp::new(&server.url(), "north/first", short_timeouts()).expect("a valid URL");
        server.update_faults(case.set);
        let read = test_client.get(Collection::Leases, "object").await;
        assert_eq!(call_result(&read), case.read, "read: {}", case.name);
        let list = test_client.list(Collection::Leases).await;
        assert_eq!(call_result(&list), case.read, "list: {}", case.name);
        let write = replace(&test_client, &object, 2).await;
        assert_eq!(call_result(&write), case.write, "write: {}", case.name);
        let applied = server.record().len() == 2;
        assert_eq!(applied, case.applied, "applied: {}", case.name);
        server.shutdown().await;
    }
}

#[tokio::test]
async fn a_refused_connection_is_reported_as_unavailable() {
    let server = server().await;
    let client = client(&server);
    let object = create(&client, "object", 1).await;
    server.shutdown().await;
    let write = replace(&client, &object, 2).await;
    assert_eq!(call_result(&write), CallResult::Unavailable);
    let watch = client.watch(Collection::Leases, object.version).await;
    assert_eq!(call_result(&watch), CallResult::Unavailable);
}

#[tokio::test]
async fn a_watch_from_a_compacted_revision_is_refused() {
    let server = server().await;
    let client = client(&server);
    let object = create(&client, "object", 1).await;
    replace(&client, &object, 2)
        .await
        .expect("the version is current");
    server.compact();
    let watch = client.watch(Collection::Leases, object.version).await;
    assert!(matches!(watch, Err(StoreError::Compacted)));
    let revision = client
        .list(Collection::Leases)
        .await
        .expect("the object API responds")
        .revision;
    let watch = client.watch(Collection::Leases, revision).await;
    assert!(watch.is_ok(), "a watch from a fresh list is accepted");
}

#[tokio::test]
async fn a_watch_of_an_unchanged_collection_advances_by_bookmarks() {
    let server = server().await;
    let client = client(&server);
    let first = create(&client, "object", 1).await;
    let mut watch = client
        .watch(Collection::Quotas, first.version)
        .await
        .expect("the revision is recent");
    let second = replace(&client, &first, 2)
        .await
        .expect("the version is current");
    loop {
        let event = next_event(&mut watch).await.expect("the watch stays open");
        let Ok(WatchEvent::Bookmark(revision)) = event else {
            panic!("unexpected event in an unchanged collection: {event:?}");
        };
        if revision >= second.version {
            break;
        }
    }
}

#[tokio::test]
async fn an_outage_ends_a_watch_with_an_error() {
    let server = server().await;
    let client = client(&server);
    let first = create(&client, "object", 1).await;
    let mut watch = client
        .watch(Collection::Leases, first.version)
        .await
        .expect("the revision is recent");
    let second = replace(&client, &first, 2)
        .await
        .expect("the version is current");
    assert_eq!(next_change(&mut watch).await, WatchEvent::Put(second));
    server.update_faults(|faults| faults.down = true);
    loop {
        match next_event(&mut watch).await {
            Some(Ok(WatchEvent::Bookmark(_))) => {}
            Some(Err(StoreError::Unavailable(_))) => break,
            other => panic!("expected an error, got {other:?}"),
        }
    }
}
