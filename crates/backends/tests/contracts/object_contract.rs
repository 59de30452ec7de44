//! Contract of every [`ObjectApi`] implementation.

use std::time::Duration;

use flaxward_backends::{Collection, Object, ObjectApi, Selection, StoreError, WatchEvent};
use flaxward_types::{OperationId, Revision};
use futures::StreamExt;
use futures::future::join_all;
use futures::stream::BoxStream;
use serde_json::{Value, json};

const LEASES: Collection = Collection::Leases;

/// Timeout for an event that must arrive.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Checks the whole contract; the collections must be empty.
pub async fn object_api_contract(api: &dyn ObjectApi) {
    objects_have_versions_and_operations(api).await;
    a_write_with_a_stale_version_changes_nothing(api).await;
    a_race_has_one_winner(api).await;
    a_race_to_create_has_one_winner(api).await;
    a_watch_misses_nothing_after_a_list(api).await;
    names_are_escaped_in_urls(api).await;
    a_selection_returns_the_matching_objects(api).await;
}

async fn objects_have_versions_and_operations(api: &dyn ObjectApi) {
    let missing = api.get(LEASES, "first").await;
    assert_eq!(missing, Err(StoreError::NotFound));
    let created = create(api, "first", 1).await;
    assert_eq!(created.operation, Some(OperationId(1)));
    assert_eq!(created.replaced, None);
    let replaced = replace(api, &created, 2)
        .await
        .expect("the version is current");
    assert_eq!(replaced.replaced, Some(created.version));
    assert!(replaced.version > created.version);
    assert_eq!(api.get(LEASES, "first").await, Ok(replaced.clone()));
    let elsewhere = api
        .create(Collection::Quotas, "first", OperationId(3), json!({}))
        .await
        .expect("collections have separate names");
    assert!(
        elsewhere.version > replaced.version,
        "revisions are ordered across collections"
    );
    let list = api.list(LEASES).await.expect("the object API responds");
    assert!(list.revision >= elsewhere.version);
    assert_eq!(list.items, vec![replaced.clone()]);
    let removed = api.delete(LEASES, "first", replaced.version).await;
    assert_eq!(removed, Ok(()));
    assert_eq!(api.get(LEASES, "first").await, Err(StoreError::NotFound));
    let again = api.delete(LEASES, "first", replaced.version).await;
    assert_eq!(again, Err(StoreError::NotFound));
}

async fn a_selection_returns_the_matching_objects(api: &dyn ObjectApi) {
    let put = async |name: &str, group: &str| {
        let body = json!({"group": group});
        let created = api.create(Collection::Claims, name, OperationId(60), body);
        created.await.expect("the name is free")
    };
    let first = put("selected-1", "a=b-1").await;
    let second = put("selected-2", "a=b-1").await;
    put("selected-3", "a=b-11").await;
    let select = async |value: &str, limit: u32| {
        let selection = Selection {
            field: "group",
            value: value.to_owned(),
            limit,
        };
        let selected = api.select(Collection::Claims, &selection).await;
        selected.expect("the object API responds")
    };
    assert_eq!(select("a=b-1", 10).await, vec![first, second.clone()]);
    assert_eq!(select("a=b-1", 1).await.len(), 1);
    assert_eq!(select("a=b-2", 10).await, vec![]);
    let removed = api.delete(
        Collection::Claims,
        "selected-1",
        select("a=b-1", 1).await[0].version,
    );
    assert_eq!(removed.await, Ok(()));
    assert_eq!(select("a=b-1", 10).await, vec![second]);
}

async fn a_write_with_a_stale_version_changes_nothing(api: &dyn ObjectApi) {
    let old = create(api, "second", 10).await;
    let current = replace(api, &old, 11)
        .await
        .expect("the version is current");
    let conflict = StoreError::Conflict(Box::new(current.clone()));
    assert_eq!(replace(api, &old, 12).await, Err(conflict.clone()));
    let removal = api.delete(LEASES, "second", old.version).await;
    assert_eq!(removal, Err(conflict));
    let exists = api
        .create(LEASES, "second", OperationId(13), json!({}))
        .await;
    assert_eq!(exists, Err(StoreError::Exists(Box::new(current.clone()))));
    assert_eq!(api.get(LEASES, "second").await, Ok(current));
    let absent = api
        .replace(LEASES, "absent", old.version, OperationId(14), json!({}))
        .await;
    assert_eq!(absent, Err(StoreError::NotFound));
}

async fn a_race_has_one_winner(api: &dyn ObjectApi) {
    let mut current = create(api, "raced", 20).await;
    for round in 0..10 {
        let racers = (0..8).map(|racer| replace(api, &current, 100 + round * 8 + racer));
        let results = join_all(racers).await;
        let winners: Vec<&Object> = results.iter().flatten().collect();
        assert_eq!(winners.len(), 1, "round {round}: {results:?}");
        let winner = winners[0].clone();
        for loser in results.iter().filter_map(|result| result.as_ref().err()) {
            assert_eq!(*loser, StoreError::Conflict(Box::new(winner.clone())));
        }
        current = winner;
    }
}

async fn a_race_to_create_has_one_winner(api: &dyn ObjectApi) {
    let racers = (0..8).map(|racer| {
        let operation = OperationId(200 + racer);
        api.create(LEASES, "new", operation, json!({"racer": racer}))
    });
    let results = join_all(racers).await;
    assert_eq!(results.iter().flatten().count(), 1, "{results:?}");
}

async fn a_watch_misses_nothing_after_a_list(api: &dyn ObjectApi) {
    let gone = create(api, "gone", 30).await;
    let revision = api
        .list(LEASES)
        .await
        .expect("the object API responds")
        .revision;
    let before = create(api, "before", 31).await;
    let mut watch = api
        .watch(LEASES, revision)
        .await
        .expect("the revision is recent");
    let after = replace(api, &before, 32)
        .await
        .expect("the version is current");
    api.delete(LEASES, "gone", gone.version)
        .await
        .expect("the version is current");
    assert_eq!(next_change(&mut watch).await, WatchEvent::Put(before));
    assert_eq!(
        next_change(&mut watch).await,
        WatchEvent::Put(after.clone())
    );
    let WatchEvent::Deleted { name, revision } = next_change(&mut watch).await else {
        panic!("the deletion must be the last event");
    };
    assert_eq!(name, "gone");
    assert!(revision > after.version);
}

async fn names_are_escaped_in_urls(api: &dyn ObjectApi) {
    for name in [
        "model.m",
        "version.m@v2",
        "adapter.m:a",
        "a b/c%41?d#e",
        "policy",
    ] {
        let created = create(api, name, 40).await;
        assert_eq!(created.name, name);
        assert_eq!(api.get(LEASES, name).await, Ok(created));
    }
}

/// The next change of a watch, skipping bookmarks.
pub async fn next_change(
    watch: &mut BoxStream<'static, Result<WatchEvent, StoreError>>,
) -> WatchEvent {
    loop {
        let event = next_event(watch).await.expect("the watch stays open");
        if !matches!(event, Ok(WatchEvent::Bookmark(_))) {
            return event.expect("the watch reports no error");
        }
    }
}

/// The next event of a watch, or its end.
pub async fn next_event(
    watch: &mut BoxStream<'static, Result<WatchEvent, StoreError>>,
) -> Option<Result<WatchEvent, StoreError>> {
    tokio::time::timeout(EVENT_TIMEOUT, watch.next())
        .await
        .expect("an event arrives within the timeout")
}

/// Creates a lease object under an operation.
pub async fn create(api: &dyn ObjectApi, name: &str, operation: u128) -> Object {
    api.create(LEASES, name, OperationId(operation), body(operation))
        .await
        .expect("the name is free")
}

/// Replaces a lease object under an operation.
pub async fn replace(
    api: &dyn ObjectApi,
    object: &Object,
    operation: u128,
) -> Result<Object, StoreError> {
    replace_version(api, &object.name, object.version, operation).await
}

/// Replaces a version of a lease object under an operation.
pub async fn replace_version(
    api: &dyn ObjectApi,
    name: &str,
    expected: Revision,
    operation: u128,
) -> Result<Object, StoreError> {
    let body = body(operation);
    api.replace(LEASES, name, expected, OperationId(operation), body)
        .await
}

fn body(operation: u128) -> Value {
    json!({"written_by": operation.to_string()})
}
