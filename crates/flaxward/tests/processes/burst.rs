//! A burst on a cold model through all daemons: every answer whole, and no replica too many.

use flaxward_emulator::engine::LoadOutcome;
use flaxward_emulator::fault::Strikes;

use crate::support::callers::{Ask, assert_all_whole};
use crate::support::records::{assert_memory_kept, loads, most_at_once};
use crate::support::{Region, Shape};

/// Requests of a burst.
const REQUESTS: usize = 200;
/// Tokens of each answer.
const TOKENS: u32 = 12;

/// A model of which there is one copy at most, and an adapter of it.
const MODEL: &[&str] = &[
    "create version turbine@v1 checkpoint 'turbine/v1' weights 1GiB kv 1GiB",
    "create model turbine serving v1 copies at most 1",
    "create adapter turbine:chiloe checkpoint 'turbine/chiloe' weights 100MiB at most 1",
];

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_at_three_daemons_is_answered_whole_after_one_load() {
    let region = Region::start(Shape::default(), MODEL).await;
    let endings = region
        .ask_all(&Ask::many("turbine", REQUESTS, TOKENS))
        .await;
    assert_all_whole(&endings);
    assert_eq!(loads(&region.platform, "turbine@v1").len(), 1);
    assert_memory_kept(&region.platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_on_an_adapter_loads_it_once_onto_one_base() {
    let region = Region::start(Shape::default(), MODEL).await;
    let mut requests = Ask::many("turbine:chiloe", REQUESTS, TOKENS);
    for request in &mut requests {
        request.artifact = "turbine:chiloe@v1".to_owned();
    }
    assert_all_whole(&region.ask_all(&requests).await);
    let base = loads(&region.platform, "turbine@v1");
    let adapter = loads(&region.platform, "turbine:chiloe@v1");
    assert_eq!((base.len(), adapter.len()), (1, 1));
    assert_eq!(base[0].0, adapter[0].0, "both are on one runner");
    assert_memory_kept(&region.platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_whose_first_load_fails_is_answered_from_another_runner() {
    let region = Region::start(Shape::default(), MODEL).await;
    let weights = &region.platform.weights;
    weights.update_faults(|faults| faults.break_loads = Strikes::next(1));
    let requests = Ask::many("turbine", REQUESTS, TOKENS);
    assert_all_whole(&region.ask_all(&requests).await);
    assert_loaded_elsewhere(&region, LoadOutcome::Failed);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_whose_first_load_is_stuck_is_answered_from_another_runner() {
    let shape = Shape {
        settings: &[("coordinator.load_timeout", "3s")],
        ..Shape::default()
    };
    let region = Region::start(shape, MODEL).await;
    let weights = &region.platform.weights;
    weights.update_faults(|faults| faults.stick_loads = Strikes::next(1));
    let requests = Ask::many("turbine", REQUESTS, TOKENS);
    assert_all_whole(&region.ask_all(&requests).await);
    assert_loaded_elsewhere(&region, LoadOutcome::GivenUp);
}

/// Asserts that a first load ended badly and a second one, on another runner, was not begun before.
fn assert_loaded_elsewhere(region: &Region, first: LoadOutcome) {
    let loads = loads(&region.platform, "turbine@v1");
    let outcomes: Vec<LoadOutcome> = loads.iter().map(|(_, load)| load.outcome).collect();
    assert_eq!(outcomes, [first, LoadOutcome::Ready]);
    assert_ne!(loads[0].0, loads[1].0, "another runner");
    assert_eq!(most_at_once(&region.platform, "turbine@v1"), 1);
    assert_memory_kept(&region.platform);
}
