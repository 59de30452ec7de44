//! Units for requests that may be served in some regions only.

use std::collections::BTreeSet;

use flaxward_routing::homes::{Homes, Requirement};
use flaxward_routing::messages::{RunningUnit, Usage, UsedUnit, WaitingUnit};
use flaxward_routing::names::{Region, RunnerId, Unit};
use flaxward_routing::placement::{
    Action, Operation, Placement, PlacementSettings, Reason, RunnerReport,
};
use flaxward_types::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::world::{World, adapter, configuration, idle_usage, model, regions, runners};

fn homes(names: &[&str]) -> Homes {
    Homes::from_regions(names.iter().map(|name| Region::new(name)))
}

fn calm(world: &mut World, steps: usize) {
    for _ in 0..steps {
        world.step(&mut std::iter::empty());
    }
}

/// Time for a load from the weight store after reports were read, in steps.
const LOADED: usize = 120;

#[test]
fn a_model_that_is_loaded_abroad_only_is_loaded_at_home() {
    let mut world = World::new(3);
    let unit = model(0);
    world.set_waiting(vec![unit.clone()]);
    world.set_homes(homes(&["north"]));
    calm(&mut world, LOADED);
    assert!(world.holds_within(&unit, &homes(&["north"])));
    assert!(!world.holds_within(&unit, &homes(&["west", "east"])));

    world.set_homes(homes(&["west"]));
    calm(&mut world, LOADED);
    assert!(
        world.holds_within(&unit, &homes(&["west"])),
        "it is abroad only"
    );
    assert!(!world.holds_within(&unit, &homes(&["east"])));
}

#[test]
fn an_adapter_comes_where_its_requests_are_at_home() {
    let mut world = World::new(3);
    let unit = adapter(0, 1);
    for region in ["north", "west"] {
        let home = homes(&[region]);
        world.set_waiting(vec![unit.clone()]);
        world.set_homes(home.clone());
        calm(&mut world, LOADED);
        assert!(world.holds_within(&unit, &home), "none in the {region}");
    }
    assert!(!world.holds(&adapter(1, 1)));
    assert!(!world.holds_within(&unit, &homes(&["east"])));
}

/// A copy on the disk of a runner abroad helps nobody at home, whether that runner is free or busy.
#[test]
fn weights_that_lie_abroad_are_not_waited_for() {
    let mut world = World::new(3);
    world.store_at(1, &model(0));
    world.store_at(1, &model(1));
    calm(&mut world, 10);
    world.set_homes(homes(&["west"]));
    world.set_waiting(vec![model(0), model(1)]);
    calm(&mut world, 2 * LOADED);
    for unit in [model(0), model(1)] {
        assert!(world.holds_within(&unit, &homes(&["west"])), "{unit}");
        assert!(!world.holds_within(&unit, &homes(&["east"])), "{unit}");
    }
}

pub fn runner_id(index: usize) -> RunnerId {
    RunnerId::new(&format!("r{index}"))
}

/// A coordinator before as many runners, one of which holds the first model.
pub fn placement(count: usize, holder: Option<usize>, now: Timestamp) -> Placement {
    let placement = Placement::new(PlacementSettings::default(), now, now);
    let mut placement = placement.in_regions(regions());
    placement.configure(&configuration());
    placement.set_runners(runners(count).iter());
    for index in 0..count {
        let mut report = RunnerReport::default();
        if holder == Some(index) {
            report.holdings.insert(model(0).model, BTreeSet::new());
        }
        placement.reported(&runner_id(index), Some(report), now, now);
    }
    placement
}

pub fn usage(
    waiting: Vec<(Requirement, u32)>,
    used: Vec<(Requirement, u32)>,
    running: u32,
) -> Usage {
    Usage {
        waiting: waiting
            .into_iter()
            .map(|(requirement, requests)| WaitingUnit {
                requirement,
                requests,
                late: 0,
                priority: 1,
            })
            .collect(),
        used: used
            .into_iter()
            .map(|(requirement, requests)| UsedUnit {
                requirement,
                requests,
            })
            .collect(),
        running: vec![RunningUnit {
            runner: runner_id(0),
            unit: model(0),
            requests: running,
        }],
        ..idle_usage()
    }
}

fn bound(unit: Unit, names: &[&str]) -> Requirement {
    Requirement {
        unit,
        homes: homes(names),
    }
}

/// The loads that a plan orders: runner and reason.
pub fn loads(placement: &mut Placement, now: Timestamp) -> Vec<(RunnerId, Unit, Reason)> {
    let actions = placement.plan(now).into_iter();
    let loads = actions.filter_map(|action| match action {
        Action::Order {
            runner,
            order,
            reason,
            ..
        } if order.operation == Operation::Load => Some((runner, order.unit, reason)),
        Action::Order { .. } | Action::Report { .. } => None,
    });
    loads.collect()
}

#[test]
fn an_outlook_promises_only_what_comes_within_the_homes() {
    let now = Timestamp(1_000);
    let mut placement = placement(6, None, now);
    let west = bound(model(0), &["west"]);
    placement.usage(usage(vec![(west.clone(), 1)], Vec::new(), 0), now);
    assert_eq!(loads(&mut placement, now).len(), 1);
    let outlooks = placement.outlooks(now);
    let ready_in = |requirement: &Requirement| Some(outlooks.of(requirement)?.ready_in_ms);
    assert_eq!(ready_in(&west), Some(4_000), "it is being loaded there");
    assert_eq!(ready_in(&Requirement::anywhere(model(0))), Some(4_000));
    let east = ready_in(&bound(model(0), &["east"])).unwrap();
    assert!(east > 4_000, "nothing is on its way in the east: {east}");
    assert_eq!(ready_in(&bound(model(0), &["south"])), None);
    let nowhere = homes(&["west"]).intersection(&homes(&["east"]));
    let nowhere = Requirement {
        unit: model(0),
        homes: nowhere,
    };
    assert_eq!(ready_in(&nowhere), None);
}

/// Runners 0 and 3 are in the west. The busy model's further copies go where its requests may be served.
#[test]
fn copies_of_a_busy_model_are_within_the_homes_of_its_requests() {
    let now = Timestamp(1_000);
    let busy = 40;
    let at = |requirement: Requirement| {
        let mut placement = placement(9, Some(0), now);
        placement.usage(usage(Vec::new(), vec![(requirement, busy)], 30), now);
        let loads = loads(&mut placement, now);
        let runners = loads.into_iter().map(|(runner, _, reason)| {
            assert_eq!(reason, Reason::Replica);
            runner.to_string()
        });
        runners.collect::<Vec<String>>()
    };
    assert_eq!(at(bound(model(0), &["west"])), ["r3"]);
    // Where it may be served anywhere, a zone without a copy comes first.
    assert_eq!(at(Requirement::anywhere(model(0))), ["r1"]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(12), failure_persistence: None, cases: 200, ..ProptestConfig::default() })]

    /// Whatever waits under whatever homes: each unit is loaded only at runners that some request for it may use.
    #[test]
    fn no_load_is_outside_the_homes_of_all_who_wait(
        count in 1_usize..10,
        holder in prop::option::of(0_usize..10),
        waiting in prop::collection::vec(
            (0_usize..6, prop::collection::btree_set(prop::sample::select(vec!["west", "east", "north", "south"]), 0..3), 1_u32..20),
            0..8,
        ),
    ) {
        let now = Timestamp(1_000);
        let mut placement = placement(count, holder.filter(|&it| it < count), now);
        let mut wanted: Vec<(Requirement, u32)> = Vec::new();
        for (index, names, requests) in waiting {
            let homes = Homes::from_regions(names.iter().map(|name| Region::new(name)));
            let requirement = Requirement { unit: model(index), homes };
            if wanted.iter().all(|(known, _)| *known != requirement) {
                wanted.push((requirement, requests));
            }
        }
        placement.usage(usage(wanted.clone(), Vec::new(), 0), now);
        for (runner, unit, _) in loads(&mut placement, now) {
            let index: usize = runner.as_str()[1..].parse().unwrap();
            let region = Region::new(["west", "east", "north"][index % 3]);
            let is_home = |(requirement, _): &(Requirement, u32)| {
                requirement.unit == unit && requirement.homes.allows(Some(&region))
            };
            prop_assert!(wanted.iter().any(is_home), "{unit} at {runner}");
        }
    }
}
