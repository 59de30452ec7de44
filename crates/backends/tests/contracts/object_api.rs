//! The object API over HTTP against its stand-in: the contract, and faults.

use crate::limits::{hasty, patient};
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
    ObjectsHttp::new(&server.url(), "north/first", patient()).expect("the URL is valid")
}

#[tokio::test]
async fn the_client_and_the_stand_in_hold_the_contract() {
    let server = server().await;
    object_api_contract(&client(&server)).await;
    server.shutdown().await;
}

/// What a call must say under a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Says {
    Done,
    Unavailable,
    OutcomeUnknown,
}

fn says<T>(result: &Result<T, StoreError>) -> Says {
    match result {
        Ok(_) => Says::Done,
        Err(StoreError::Unavailable(_)) => Says::Unavailable,
        Err(StoreError::OutcomeUnknown(_)) => Says::OutcomeUnknown,
        Err(other) => panic!("no fault explains {other:?}"),
    }
}

/// A fault, and what reads and writes must say of it.
struct FaultCase {
    name: &'static str,
    set: fn(&mut ObjectApiFaults),
    read: Says,
    write: Says,
    /// Whether the write is carried out all the same.
    applied: bool,
}

const FAULTS: &[FaultCase] = &[
    FaultCase {
        name: "none",
        set: |_| {},
        read: Says::Done,
        write: Says::Done,
        applied: true,
    },
    FaultCase {
        name: "down",
        set: |faults| faults.down = true,
        read: Says::Unavailable,
        write: Says::Unavailable,
        applied: false,
    },
    FaultCase {
        name: "slower than the limit",
        set: |faults| faults.delay_ms = 60_000,
        read: Says::Unavailable,
        write: Says::OutcomeUnknown,
        applied: false,
    },
    FaultCase {
        name: "the client's zone is cut off",
        set: |faults| {
            faults.cut_zones.insert("north".to_owned());
        },
        read: Says::Unavailable,
        write: Says::OutcomeUnknown,
        applied: false,
    },
    FaultCase {
        name: "another zone is cut off",
        set: |faults| {
            faults.cut_zones.insert("south".to_owned());
        },
        read: Says::Done,
        write: Says::Done,
        applied: true,
    },
    FaultCase {
        name: "answers are lost",
        set: |faults| faults.lose_answers = Strikes::always(),
        read: Says::Done,
        write: Says::OutcomeUnknown,
        applied: true,
    },
    FaultCase {
        name: "answers of another collection are lost",
        set: |faults| {
            faults.lose_answers = Strikes::always();
            faults.collections.insert("quotas".to_owned());
        },
        read: Says::Done,
        write: Says::Done,
        applied: true,
    },
    FaultCase {
        name: "the write comes much later",
        set: |faults| {
            faults.late_writes = Strikes::always();
            faults.late_ms = 60_000;
        },
        read: Says::Done,
        write: Says::OutcomeUnknown,
        applied: false,
    },
];

#[tokio::test]
async fn a_fault_is_told_for_what_it_proves() {
    for case in FAULTS {
        let server = server().await;
        let patient = client(&server);
        let object = create(&patient, "object", 1).await;
        let hasty = ObjectsHttp::new(&server.url(), "north/first", hasty()).expect("a valid URL");
        server.update_faults(case.set);
        let read = hasty.get(Collection::Leases, "object").await;
        assert_eq!(says(&read), case.read, "read: {}", case.name);
        let list = hasty.list(Collection::Leases).await;
        assert_eq!(says(&list), case.read, "list: {}", case.name);
        let write = replace(&hasty, &object, 2).await;
        assert_eq!(says(&write), case.write, "write: {}", case.name);
        let applied = server.record().len() == 2;
        assert_eq!(applied, case.applied, "applied: {}", case.name);
        server.shutdown().await;
    }
}

#[tokio::test]
async fn nobody_listening_is_certain() {
    let server = server().await;
    let client = client(&server);
    let object = create(&client, "object", 1).await;
    server.shutdown().await;
    let write = replace(&client, &object, 2).await;
    assert_eq!(says(&write), Says::Unavailable);
    let watch = client.watch(Collection::Leases, object.version).await;
    assert_eq!(says(&watch), Says::Unavailable);
}

#[tokio::test]
async fn a_watch_from_a_compacted_revision_is_refused() {
    let server = server().await;
    let client = client(&server);
    let object = create(&client, "object", 1).await;
    replace(&client, &object, 2).await.expect("it is current");
    server.compact();
    let watch = client.watch(Collection::Leases, object.version).await;
    assert!(matches!(watch, Err(StoreError::Compacted)));
    let revision = client
        .list(Collection::Leases)
        .await
        .expect("it answers")
        .revision;
    let watch = client.watch(Collection::Leases, revision).await;
    assert!(watch.is_ok(), "a fresh list can be watched from");
}

#[tokio::test]
async fn a_watch_of_a_quiet_collection_is_carried_on_by_bookmarks() {
    let server = server().await;
    let client = client(&server);
    let first = create(&client, "object", 1).await;
    let mut watch = client
        .watch(Collection::Quotas, first.version)
        .await
        .expect("it is recent");
    let second = replace(&client, &first, 2).await.expect("it is current");
    loop {
        let event = next_event(&mut watch).await.expect("it goes on");
        let Ok(WatchEvent::Bookmark(revision)) = event else {
            panic!("nothing happens in this collection: {event:?}");
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
        .expect("it is recent");
    let second = replace(&client, &first, 2).await.expect("it is current");
    assert_eq!(next_change(&mut watch).await, WatchEvent::Put(second));
    server.update_faults(|faults| faults.down = true);
    loop {
        match next_event(&mut watch).await {
            Some(Ok(WatchEvent::Bookmark(_))) => {}
            Some(Err(StoreError::Unavailable(_))) => break,
            other => panic!("an error is due, not {other:?}"),
        }
    }
}
