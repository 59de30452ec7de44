//! For any demand and any faults of orders, runner memory is never overcommitted, the store load
//! rate is kept, and requested units are loaded once the faults are over.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::simulation::{Delivery, Simulation, adapter, model};

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        5 => Just(Delivery::Answered),
        1 => Just(Delivery::Lost),
        1 => Just(Delivery::AnswerLost),
        2 => (1_usize..240).prop_map(Delivery::Late),
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
    fn runner_memory_is_never_overcommitted(
        runners in 1_usize..5,
        changes in prop::collection::vec((change(), 1_usize..60), 1..20),
        deliveries in prop::collection::vec(delivery(), 200),
    ) {
        let mut simulation = Simulation::new(runners);
        let mut deliveries = deliveries.into_iter();
        for (change, steps) in changes {
            match change {
                Change::Wait(units) => {
                    let units = units.into_iter().map(|(index, name)| match name {
                        Some(name) => adapter(index, name),
                        None => model(index),
                    });
                    simulation.set_waiting(units.collect());
                }
                Change::TakeOver => simulation.take_over(),
            }
            for _ in 0..steps {
                simulation.step(&mut deliveries);
            }
        }
        let wanted = model(5);
        simulation.set_waiting(vec![wanted.clone()]);
        let mut no_faults = std::iter::empty();
        for _ in 0..600 {
            simulation.step(&mut no_faults);
        }
        prop_assert!(simulation.holds(&wanted), "the requested model was never loaded");
    }
}
