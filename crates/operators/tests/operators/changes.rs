//! Changes under store faults and concurrent operators.

use std::sync::Arc;

use crate::support::{Fault, MemoryStore, executor};
use flaxward_operators::ErrorBody;
use flaxward_types::{ConfigurationItem, ItemKey, ResultCode, Revision};
use tokio::sync::Barrier;

fn at_most(store: &MemoryStore) -> (Revision, u32) {
    let object = store.object("model.m").expect("the model");
    match serde_json::from_value(object.body).expect("an item") {
        ConfigurationItem::Model(spec) => (object.version, spec.copies.at_most),
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn an_accepted_change_returns_its_new_version() {
    let (store, executor) = executor().await;
    let answer = executor
        .execute("change model m set at most 5 if version 3")
        .await;
    assert_eq!(
        answer.expect("accepted").message,
        "changed model m, now at version 4"
    );
    assert_eq!(at_most(&store), (Revision(4), 5));
    assert!(store.operations_are_unique());
}

#[tokio::test]
async fn concurrent_changes_have_one_winner_and_one_conflict_with_the_current_state() {
    for (left, right, code) in [
        (
            "change model m set at most 5",
            "change model m set at most 6",
            ResultCode::VersionConflict,
        ),
        (
            "change model m set at most 5 if version 3",
            "remove model m",
            ResultCode::VersionConflict,
        ),
        (
            "create service s concurrency 1",
            "create service s concurrency 2",
            ResultCode::ObjectExists,
        ),
        (
            "change policy set keep_alive_min 1s",
            "change policy set keep_alive_min 2s",
            ResultCode::VersionConflict,
        ),
        (
            "drain machine r reason 'fan'",
            "drain machine r reason 'disk'",
            ResultCode::ObjectExists,
        ),
        (
            "remove model m",
            "remove model m with all",
            ResultCode::VersionConflict,
        ),
    ] {
        let (store, executor) = executor().await;
        store.set_barrier(Some(Arc::new(Barrier::new(2))));
        let (left_result, right_result) =
            tokio::join!(executor.execute(left), executor.execute(right));
        let (answer, error) = match (left_result, right_result) {
            (Ok(answer), Err(error)) | (Err(error), Ok(answer)) => (answer, error),
            both => panic!("{left} / {right}: {both:?}"),
        };
        assert_eq!(error.refusal.code, code, "{left} / {right}");
        assert!(error.not_run(), "{left} / {right}");
        let current = error
            .current
            .clone()
            .expect("the current state is returned");
        let key = ["model.m", "service.s", "policy", "drain.r"]
            .into_iter()
            .find(|name| {
                let key: ItemKey = name.parse().expect("a key");
                error
                    .refusal
                    .text()
                    .starts_with(&flaxward_query::print_key(&key))
            })
            .expect("the key is named");
        match store.object(key) {
            Some(object) => {
                assert_eq!(current.version, object.version, "{answer:?}");
                let item = serde_json::from_value(object.body).expect("an item");
                assert_eq!(current.item, Some(item));
            }
            None => assert_eq!((current.version, current.item), (Revision(0), None)),
        }
    }
}

#[tokio::test]
async fn a_stale_version_changes_nothing() {
    let (store, executor) = executor().await;
    let error = executor
        .execute("change model m set at most 9 if version 2")
        .await;
    let error = error.expect_err("a conflict");
    assert_eq!(error.refusal.code, ResultCode::VersionConflict);
    assert_eq!(
        error.current.as_ref().map(|current| current.version),
        Some(Revision(3))
    );
    assert_eq!(at_most(&store), (Revision(3), 4));
}

#[tokio::test]
async fn store_faults_map_to_result_codes() {
    for (fault, code, not_run, kept) in [
        (Fault::Down, ResultCode::StoreUnavailable, true, 4),
        (
            Fault::LostResponse,
            ResultCode::ChangeOutcomeUnknown,
            false,
            7,
        ),
    ] {
        let (store, executor) = executor().await;
        store.set_fault(fault);
        let error = executor.execute("change model m set at most 7").await;
        let error = error.expect_err("a fault");
        assert_eq!(error.refusal.code, code);
        assert_eq!(error.not_run(), not_run, "{fault:?}");
        store.set_fault(Fault::None);
        assert_eq!(at_most(&store).1, kept);
    }
}

#[tokio::test]
async fn a_partial_removal_reports_completed_steps_and_can_be_retried() {
    let all = ["adapter m:a", "model m", "version m@v1", "version m@v2"];
    for writes in 1..4 {
        let (store, executor) = executor().await;
        let adapter = "create adapter m:a checkpoint 'm/a' weights 200MiB";
        executor.execute(adapter).await.expect(adapter);
        store.set_fault(Fault::DownAfter(writes));
        let error = executor.execute("remove model m with all").await;
        let error = error.expect_err("a partial removal");
        assert_eq!(error.refusal.code, ResultCode::StoreUnavailable);
        let done = all.iter().take(writes as usize);
        let done: Vec<String> = done.map(|key| format!("removed {key}")).collect();
        assert_eq!(error.done, done);
        assert!(!error.not_run() && !ErrorBody::from(&error).error.not_run);
        store.set_fault(Fault::None);
        let retried = executor.execute("remove model m with all").await;
        retried.expect("retried");
        assert!(store.names().is_empty());
    }
}

#[tokio::test]
async fn undecodable_objects_block_only_their_own_changes() {
    let (store, executor) = executor().await;
    store.put_raw("service.s", serde_json::json!({"from": "the future"}));
    store.put_raw("unheard.of", serde_json::json!(1));
    executor
        .execute("change model m set at most 5")
        .await
        .expect("another object");
    for command in [
        "change service s set concurrency 2",
        "create service s concurrency 2",
    ] {
        let error = executor.execute(command).await.expect_err(command);
        assert_eq!(error.refusal.code, ResultCode::Internal, "{command}");
    }
}

#[tokio::test]
async fn sizes_are_stored_to_the_byte() {
    let (store, executor) = executor().await;
    let command = "create version m@v3 checkpoint 'm/3' weights 17179869185B kv 1234567KiB";
    executor.execute(command).await.expect(command);
    let body = store.object("version.m@v3").expect("stored").body;
    match serde_json::from_value(body).expect("an item") {
        ConfigurationItem::Version(spec) => {
            assert_eq!(spec.weights.as_u64(), 17_179_869_185);
            assert_eq!(spec.kv_cache.as_u64(), 1_234_567 * 1024);
        }
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn an_unknown_zone_gives_a_warning() {
    let (_, executor) = executor().await;
    let answer = executor
        .execute("change model m set in zones scl-a, scl-x")
        .await;
    let message = answer.expect("accepted").message;
    assert!(
        message.ends_with("; warning: zones not currently known to this daemon: scl-x"),
        "{message}"
    );
}
