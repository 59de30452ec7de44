//! Whatever is asked for and whatever happens to orders, runners are never overfilled, the ceiling of
//! loads holds, and what is waited for comes once the faults are over.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::world::{Fate, World, adapter, model};

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        5 => Just(Fate::Answered),
        1 => Just(Fate::Lost),
        1 => Just(Fate::AnswerLost),
        2 => (1_usize..240).prop_map(Fate::Late),
    ]
}

#[derive(Clone, Debug)]
enum Change {
    Wait(Vec<(usize, Option<usize>)>),
    TakeOver,
}

fn change() -> impl Strategy<Value = Change> {
    let unit = (0_usize..6, prop::option::of(0_usize..4));
    prop_oneof![
        4 => prop::collection::vec(unit, 0..5).prop_map(Change::Wait),
        1 => Just(Change::TakeOver),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 192,
        rng_seed: RngSeed::Fixed(0x10ad_0001),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn runners_are_never_overfilled(
        runners in 1_usize..5,
        changes in prop::collection::vec((change(), 1_usize..60), 1..20),
        fates in prop::collection::vec(fate(), 200),
    ) {
        let mut world = World::new(runners);
        let mut fates = fates.into_iter();
        for (change, steps) in changes {
            match change {
                Change::Wait(units) => {
                    let units = units.into_iter().map(|(index, name)| match name {
                        Some(name) => adapter(index, name),
                        None => model(index),
                    });
                    world.set_waiting(units.collect());
                }
                Change::TakeOver => world.take_over(),
            }
            for _ in 0..steps {
                world.step(&mut fates);
            }
        }
        let wanted = model(5);
        world.set_waiting(vec![wanted.clone()]);
        let mut calm = std::iter::empty();
        for _ in 0..600 {
            world.step(&mut calm);
        }
        prop_assert!(world.holds(&wanted), "what is waited for never came");
    }
}
