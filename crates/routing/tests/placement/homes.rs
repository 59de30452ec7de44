//! Placement of units for requests that may only be served in some regions.

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

use crate::simulation::{Simulation, adapter, configuration, idle_usage, model, regions, runners};

fn homes(names: &[&str]) -> Homes {
    Homes::from_regions(names.iter().map(|name| Region::new(name)))
}

fn run_without_faults(simulation: &mut Simulation, steps: usize) {
    for _ in 0..steps {
        simulation.step(&mut std::iter::empty());
    }
}

/// Steps for a load from the weight store after the reports were read.
const LOADED: usize = 120;

#[test]
fn a_model_loaded_only_in_another_region_is_loaded_at_home() {
    let mut simulation = Simulation::new(3);
    let unit = model(0);
    simulation.set_waiting(vec![unit.clone()]);
    simulation.set_homes(homes(&["north"]));
    run_without_faults(&mut simulation, LOADED);
    assert!(simulation.holds_within(&unit, &homes(&["north"])));
    assert!(!simulation.holds_within(&unit, &homes(&["west", "east"])));

    simulation.set_homes(homes(&["west"]));
    run_without_faults(&mut simulation, LOADED);
    assert!(
        simulation.holds_within(&unit, &homes(&["west"])),
        "the model is only in another region"
    );
    assert!(!simulation.holds_within(&unit, &homes(&["east"])));
}

#[test]
fn an_adapter_is_loaded_within_the_homes_of_its_requests() {
    let mut simulation = Simulation::new(3);
    let unit = adapter(0, 1);
    for region in ["north", "west"] {
        let home = homes(&[region]);
        simulation.set_waiting(vec![unit.clone()]);
        simulation.set_homes(home.clone());
        run_without_faults(&mut simulation, LOADED);
        assert!(
            simulation.holds_within(&unit, &home),
            "the adapter is not in the {region}"
        );
    }
    assert!(!simulation.holds(&adapter(1, 1)));
    assert!(!simulation.holds_within(&unit, &homes(&["east"])));
}

/// A copy on the disk of a runner in another region is of no use to requests at home, whether that
/// runner is free or busy.
#[test]
fn weights_in_another_region_are_not_waited_for() {
    let mut simulation = Simulation::new(3);
    simulation.cache_at(1, &model(0));
    simulation.cache_at(1, &model(1));
    run_without_faults(&mut simulation, 10);
    simulation.set_homes(homes(&["west"]));
    simulation.set_waiting(vec![model(0), model(1)]);
    run_without_faults(&mut simulation, 2 * LOADED);
    for unit in [model(0), model(1)] {
        assert!(simulation.holds_within(&unit, &homes(&["west"])), "{unit}");
        assert!(!simulation.holds_within(&unit, &homes(&["east"])), "{unit}");
    }
}

pub fn runner_id(index: usize) -> RunnerId {
    RunnerId::new(&format!("r{index}"))
}

/// A coordinator with the given number of runners, one of which holds the first model.
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
        placement.apply_report(&runner_id(index), Some(report), now, now);
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

fn restricted(unit: Unit, names: &[&str]) -> Requirement {
    Requirement {
        unit,
        homes: homes(names),
        software_version: None,
    }
}

/// The loads that a plan orders: runner, unit and reason.
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
fn a_readiness_estimate_covers_only_loads_within_the_homes() {
    let now = Timestamp(1_000);
    let mut placement = placement(6, None, now);
    let west = restricted(model(0), &["west"]);
    placement.update_usage(usage(vec![(west.clone(), 1)], Vec::new(), 0), now);
    assert_eq!(loads(&mut placement, now).len(), 1);
    let estimates = placement.readiness_estimates(now);
    let ready_in = |requirement: &Requirement| Some(estimates.estimate(requirement)?.ready_in_ms);
    assert_eq!(
        ready_in(&west),
        Some(4_000),
        "it is being loaded in the west"
    );
    assert_eq!(ready_in(&Requirement::anywhere(model(0))), Some(4_000));
    let east = ready_in(&restricted(model(0), &["east"])).unwrap();
    assert!(east > 4_000, "nothing is being loaded in the east: {east}");
    assert_eq!(ready_in(&restricted(model(0), &["south"])), None);
    let nowhere = homes(&["west"]).intersection(&homes(&["east"]));
    let nowhere = Requirement {
        unit: model(0),
        homes: nowhere,
        software_version: None,
    };
    assert_eq!(ready_in(&nowhere), None);
}

/// Runners 0 and 3 are in the west. Additional copies of the busy model are placed where its
/// requests may be served.
#[test]
fn copies_of_a_busy_model_are_within_the_homes_of_its_requests() {
    let now = Timestamp(1_000);
    let busy = 40;
    let at = |requirement: Requirement| {
        let mut placement = placement(9, Some(0), now);
        placement.update_usage(usage(Vec::new(), vec![(requirement, busy)], 30), now);
        let loads = loads(&mut placement, now);
        let runners = loads.into_iter().map(|(runner, _, reason)| {
            assert_eq!(reason, Reason::Replica);
            runner.to_string()
        });
        runners.collect::<Vec<String>>()
    };
    assert_eq!(at(restricted(model(0), &["west"])), ["r3"]);
    // Without a home restriction, a zone without a copy is preferred.
    assert_eq!(at(Requirement::anywhere(model(0))), ["r1"]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(12), failure_persistence: None, cases: 200, ..ProptestConfig::default() })]

    /// For any waiting units and homes, each unit is loaded only on runners that some request for
    /// it may use.
    #[test]
    fn no_load_is_outside_the_homes_of_all_waiting_requests(
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
            let requirement = Requirement { unit: model(index), homes, software_version: None };
            if wanted.iter().all(|(known, _)| *known != requirement) {
                wanted.push((requirement, requests));
            }
        }
        placement.update_usage(usage(wanted.clone(), Vec::new(), 0), now);
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
