//! The parts of the simulated region: weight store, batches, caches and the runner's guards.

use std::time::Duration;

use flaxward_lab::fleet_plan;
use flaxward_lab::scenario::Scenario;
use flaxward_lab::simulation::{
    Batch, BatchRequest, Cache, Effect, Runner, Source, WeightStore, physical_load_time,
};
use flaxward_types::engine::{HeldState, Order, OrderAction, OrderAnswer};
use flaxward_types::{ArtifactId, BootId, OrderId, Term, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const GIB: u64 = 1 << 30;

fn config() -> ProptestConfig {
    let cases = std::env::var("FLAXWARD_PROPTEST_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(64);
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn scenario() -> Scenario {
    Scenario::parse(include_str!("small.toml")).expect("valid")
}

fn artifact(number: usize) -> ArtifactId {
    format!("model-{number}@v1").parse().expect("valid")
}

fn at(millis: u64) -> Timestamp {
    Timestamp(millis)
}

proptest! {
    #![proptest_config(config())]

    /// The weight store keeps its rate of starts, gives no load more than full speed, and all loads
    /// together no more than the parallel ones at full speed; and it does not idle.
    #[test]
    fn weight_store_shares_its_speed(sizes in prop::collection::vec(1_u64..8, 1..12)) {
        let spec = scenario().weight_store;
        let mut store = WeightStore::new(spec.clone());
        let mut starts: Vec<Timestamp> = sizes.iter().map(|_| store.reserve_start(at(0))).collect();
        prop_assert!(starts.windows(2).all(|pair| pair[1].since(pair[0]) >= Duration::from_millis(500)));
        let mut done = vec![None; sizes.len()];
        let mut pending = starts.clone();
        while done.contains(&None) {
            let next_done = store.next_done();
            let next_start = pending.first().copied();
            let now = next_done.into_iter().chain(next_start).min().expect("something goes on");
            if next_start == Some(now) {
                let position = sizes.len() - pending.len();
                store.begin(position as u64, sizes[position] * GIB, now);
                pending.remove(0);
            }
            for transfer in store.take_done(now) {
                done[transfer as usize] = Some(now);
            }
        }
        let done: Vec<Timestamp> = done.into_iter().flatten().collect();
        for (position, size) in sizes.iter().enumerate() {
            prop_assert!(done[position].since(starts[position]) >= Duration::from_secs(*size));
        }
        let total = Duration::from_secs(sizes.iter().sum());
        let last = done.iter().max().expect("one").since(at(0));
        prop_assert!(last >= total / spec.parallel, "{last:?} for {total:?}");
        starts.sort();
        let slack = starts[starts.len() - 1].since(at(0)) + Duration::from_secs(1);
        prop_assert!(last <= total + slack, "{last:?} for {total:?}");
    }

    /// Every request in a batch is done, none faster than alone, never more than the limit at once.
    #[test]
    fn batches_finish_and_keep_their_limit(
        requests in prop::collection::vec((1_u32..2_000, 2_u32..200), 1..60),
    ) {
        let spec = scenario().engine;
        let mut batch = Batch::new(spec.clone(), at(0));
        for (call, (prompt_tokens, output_tokens)) in requests.iter().enumerate() {
            batch.push(BatchRequest {
                call,
                artifact: artifact(call % 3),
                prompt_tokens: *prompt_tokens,
                prefix_tokens: 0,
                output_tokens: *output_tokens,
            });
        }
        let mut prefills: Vec<(Timestamp, usize)> = Vec::new();
        let mut first = vec![at(0); requests.len()];
        let mut finished = 0;
        let mut now = at(0);
        while finished < requests.len() {
            prefills.extend(batch.admit(now).into_iter().map(|(call, at)| (at, call)));
            prefills.sort();
            let next = prefills.first().map(|(at, _)| *at);
            now = next.into_iter().chain(batch.next_done()).min().expect("something goes on");
            if next == Some(now) {
                let (_, call) = prefills.remove(0);
                prop_assert!(batch.prefilled(call, now));
                first[call] = now;
            }
            for call in batch.take_done(now) {
                finished += 1;
                let gaps = requests[call].1 - 1;
                let alone = spec.decode_base * gaps;
                let took = now.since(first[call]) + Duration::from_millis(2);
                prop_assert!(took >= alone, "{took:?} for {alone:?}");
            }
            let running = batch.outstanding() - requests.len().saturating_sub(finished).min(batch.outstanding());
            prop_assert!(running <= spec.batch_limit);
        }
        prop_assert_eq!(batch.outstanding(), 0);
    }

    /// A cache never holds more than its capacity and keeps what was used last.
    #[test]
    fn caches_keep_their_capacity(uses in prop::collection::vec((0_u8..10, 1_u64..40), 1..80)) {
        let mut cache = Cache::new(100);
        let mut sizes = std::collections::BTreeMap::new();
        for (key, size) in uses {
            let size = *sizes.entry(key).or_insert(size);
            cache.touch(&key, size);
            let held: u64 = cache.keys().map(|key| sizes[key]).sum();
            prop_assert!(held <= 100);
            prop_assert!(cache.contains(&key));
        }
    }
}

/// A store slowed down by a fault takes that much longer, and counts as the limit.
#[test]
fn slow_stores_are_slow() {
    let mut store = WeightStore::new(scenario().weight_store);
    store.begin(0, 4 * GIB, at(0));
    store.set_slow_factor(4.0, at(1_000));
    assert_eq!(store.next_done(), Some(at(13_000)));
    store.set_slow_factor(1.0, at(5_000));
    assert_eq!(store.next_done(), Some(at(7_000)));
    assert_eq!(store.limited_millis(at(7_000)), 4_000);
    assert_eq!(store.take_done(at(7_000)), vec![0]);
}

/// What an engine refuses, by case.
#[test]
fn runners_guard_themselves() {
    let scenario = scenario();
    let machine = fleet_plan::machines(&scenario).remove(0);
    let mut runner = Runner::new(machine, BootId(5), &scenario, at(0));
    let mut send = |id: u128, term: u64, boot: u64, action: OrderAction| {
        let order = Order {
            id: OrderId(id),
            term: Term(term),
            boot: BootId(boot),
            action,
        };
        runner.order(&order)
    };
    let load = |number: usize, gib: u64| OrderAction::Load {
        artifact: artifact(number),
        checkpoint: String::new(),
        bytes: gib * GIB,
    };
    let accepted = |answer: &OrderAnswer| matches!(answer, OrderAnswer::Accepted(_));

    assert!(accepted(&send(1, 3, 5, OrderAction::Seal).0));
    let stale = send(2, 2, 5, load(0, 1));
    assert_eq!(
        stale,
        (OrderAnswer::StaleTerm { highest: Term(3) }, Effect::None)
    );
    let other = send(3, 3, 4, load(0, 1));
    assert_eq!(
        other,
        (OrderAnswer::OtherBoot { boot: BootId(5) }, Effect::None)
    );
    assert_eq!(send(4, 3, 5, load(0, 70)).1, Effect::Load(artifact(0)));
    assert_eq!(send(4, 3, 5, load(0, 70)).1, Effect::None);
    let full = send(5, 3, 5, load(1, 11));
    assert_eq!(
        full,
        (OrderAnswer::NoMemory { free: 10 * GIB }, Effect::NoMemory)
    );
    assert_eq!(send(6, 3, 5, load(1, 10)).1, Effect::Load(artifact(1)));

    assert!(runner.loaded(&artifact(0), 20 * GIB, at(100)));
    assert_eq!(runner.source(&artifact(0)), Source::Memory);
    let idle = runner.count_running(&artifact(0), true, at(700));
    assert_eq!(idle, vec![(70 * GIB, at(100))]);
    let unload = Order {
        id: OrderId(7),
        term: Term(3),
        boot: BootId(5),
        action: OrderAction::Unload {
            artifact: artifact(0),
        },
    };
    assert_eq!(runner.order(&unload).1, Effect::None);
    assert_eq!(runner.holdings[&artifact(0)].state, HeldState::Unloading);
    runner.count_running(&artifact(0), false, at(900));
    let gone = Effect::Unloaded(artifact(0), 70 * GIB, Some(at(900)));
    assert_eq!(runner.settle_unload(&artifact(0)), gone);
    assert_eq!(runner.taken(), 10 * GIB);
    assert_eq!(runner.most_taken, 80 * GIB);
}

/// A load takes its bytes at the speed of the tier, and the warm-up.
#[test]
fn load_times_follow_the_tiers() {
    let scenario = scenario();
    let table = [
        (Source::Memory, 2_000),
        (Source::Disk, 5_000),
        (Source::WeightStore, 17_000),
    ];
    for (source, millis) in table {
        let takes = physical_load_time(&scenario, source, 16 * GIB);
        assert_eq!(takes, Duration::from_millis(millis), "{source:?}");
    }
}
