//! HTTP engine client against the emulator: the contract, and faults of orders.

use crate::engine_contract::{
    AnswerKind, EngineUnderTest, MEMORY, artifact, engine_contract, load, unload,
};
use crate::limits::long_timeouts;
use flaxward_backends::{EngineApi, EngineError, EngineHttp};
use flaxward_emulator::fault::Strikes;
use flaxward_emulator::{Engine, EngineConfig};
use flaxward_types::engine::{HeldState, OrderAction, OrderAnswer};

async fn engine() -> (Engine, EngineHttp, String) {
    let config = EngineConfig {
        memory: MEMORY,
        ..EngineConfig::default()
    };
    let engine = Engine::start(config).await.expect("a port is free");
    let client = EngineHttp::new(long_timeouts()).expect("the HTTP library is set up");
    let address = engine.address().to_string();
    (engine, client, address)
}

#[tokio::test]
async fn the_client_and_the_emulator_satisfy_the_contract() {
    let (engine, client, address) = engine().await;
    engine_contract(&client, &address).await;
    let record = engine.record();
    assert_eq!(record.max_used, 90);
    engine.shutdown().await;
}

#[tokio::test]
async fn an_order_whose_response_is_lost_can_be_retried() {
    let (engine, client, address) = engine().await;
    let under_test = EngineUnderTest {
        api: &client,
        address: &address,
    };
    let order = under_test.order(1, 1, load("model@v1", 60)).await;
    engine.update_faults(|faults| faults.lose_order_answers = Strikes::next(1));
    let lost = client.order(&address, &order).await;
    assert!(
        matches!(lost, Err(EngineError::OutcomeUnknown(_))),
        "{lost:?}"
    );
    let again = client.order(&address, &order).await;
    assert!(matches!(again, Ok(OrderAnswer::Accepted(_))), "{again:?}");
    assert_eq!(under_test.inventory().await.used(), 60);
    assert_eq!(engine.record().loads.len(), 1);
}

#[tokio::test]
async fn a_failed_load_takes_no_memory_and_can_be_ordered_again() {
    let (engine, client, address) = engine().await;
    let under_test = EngineUnderTest {
        api: &client,
        address: &address,
    };
    engine.update_faults(|faults| faults.fail_loads = Strikes::next(1));
    under_test
        .expect(1, 1, load("model@v1", 60), AnswerKind::Accepted)
        .await;
    under_test.reach("model@v1", Some(HeldState::Failed)).await;
    assert_eq!(under_test.inventory().await.used(), 0);
    under_test
        .expect(2, 1, load("model@v1", 60), AnswerKind::Accepted)
        .await;
    under_test.ready("model@v1").await;
}

#[tokio::test]
async fn a_stuck_load_holds_its_memory_until_it_is_unloaded() {
    let (engine, client, address) = engine().await;
    let under_test = EngineUnderTest {
        api: &client,
        address: &address,
    };
    engine.update_faults(|faults| faults.stick_loads = Strikes::next(1));
    under_test
        .expect(1, 1, load("stuck@v1", 60), AnswerKind::Accepted)
        .await;
    under_test
        .expect(2, 1, load("model@v1", 60), AnswerKind::NoMemory)
        .await;
    under_test
        .expect(3, 1, unload("stuck@v1"), AnswerKind::Accepted)
        .await;
    under_test.gone("stuck@v1").await;
    under_test
        .expect(4, 1, load("model@v1", 60), AnswerKind::Accepted)
        .await;
    under_test.ready("model@v1").await;
}

#[tokio::test]
async fn a_crashed_engine_restarts_empty_with_a_new_boot_id() {
    let (engine, client, address) = engine().await;
    let under_test = EngineUnderTest {
        api: &client,
        address: &address,
    };
    under_test
        .expect(1, 5, load("model@v1", 60), AnswerKind::Accepted)
        .await;
    under_test.ready("model@v1").await;
    let late = under_test.order(2, 5, OrderAction::Seal).await;
    engine.crash();
    let answer = client.order(&address, &late).await;
    let inventory = under_test.inventory().await;
    let boot = inventory.boot;
    assert_eq!(answer, Ok(OrderAnswer::OtherBoot { boot }));
    assert!(inventory.held(&artifact("model@v1")).is_none());
    assert_eq!(inventory.on_disk, vec![artifact("model@v1")]);
}

#[tokio::test]
async fn an_engine_that_is_down_or_removed_did_not_act() {
    let (engine, client, address) = engine().await;
    let under_test = EngineUnderTest {
        api: &client,
        address: &address,
    };
    let order = under_test.order(1, 1, load("model@v1", 60)).await;
    engine.update_faults(|faults| faults.down = true);
    let down = client.order(&address, &order).await;
    assert!(matches!(down, Err(EngineError::Unreachable(_))), "{down:?}");
    assert_eq!(engine.record().orders.len(), 0);
    engine.shutdown().await;
    let gone = client.order(&address, &order).await;
    assert!(matches!(gone, Err(EngineError::Unreachable(_))), "{gone:?}");
}
