//! Copies of models whose runners are saturated.

use std::collections::BTreeSet;

use flaxward_routing::configuration::{ClientLimits, Configuration};
use flaxward_routing::homes::Requirement;
use flaxward_routing::messages::{RunningUnit, Usage, UsedUnit};
use flaxward_routing::names::{RunnerId, Unit};
use flaxward_routing::placement::{
    Action, Operation, Placement, PlacementSettings, Reason, RunnerReport,
};
use flaxward_types::time::Timestamp;

use crate::simulation::{self, MODELS};

/// Number of runners. Each has room for two models and holds two neighboring ones.
const RUNNERS: usize = 6;
/// Size of each model, nearly half of a runner's memory.
const WEIGHTS_MB: f64 = 98.0;
/// Uses of each model in the usage window, so that none is idle and none is busy.
const OCCASIONAL_USES: u32 = 3;

fn configuration() -> Configuration {
    let base = simulation::configuration();
    let mut service = base.services().next().unwrap().as_ref().clone();
    let engine = service.engine.as_mut().unwrap();
    for model in engine.models.values_mut() {
        model.weights_mb = WEIGHTS_MB;
    }
    Configuration::new(1, ClientLimits::default(), Vec::new(), vec![service])
}

fn runner_id(index: usize) -> RunnerId {
    RunnerId::new(&format!("r{index}"))
}

/// The report of a runner. Each model is on two runners, except for the first, which is on one.
fn report(index: usize) -> RunnerReport {
    let first = simulation::model(index).model;
    let second = simulation::model(if index + 1 == RUNNERS { 1 } else { index + 1 }).model;
    let all = (0..MODELS.len()).map(|model| simulation::model(model).model);
    RunnerReport {
        holdings: [first, second].map(|model| (model, BTreeSet::new())).into(),
        on_disk: all.collect(),
        ..RunnerReport::default()
    }
}

fn usage(hot_uses: u32, hot_running: u32) -> Usage {
    let used = (0..MODELS.len()).map(|index| UsedUnit {
        requirement: Requirement::anywhere(simulation::model(index)),
        requests: if index == 0 {
            hot_uses
        } else {
            OCCASIONAL_USES
        },
    });
    Usage {
        used: used.collect(),
        running: vec![RunningUnit {
            runner: runner_id(0),
            unit: simulation::model(0),
            requests: hot_running,
        }],
        ..simulation::idle_usage()
    }
}

/// The first order of a coordinator when the first model has the given uses and running requests.
fn first_order(hot_uses: u32, hot_running: u32) -> Option<(RunnerId, Unit, Operation, Reason)> {
    let now = Timestamp(1_000);
    let mut placement = Placement::new(PlacementSettings::default(), now, now);
    placement.configure(&configuration());
    placement.set_runners(simulation::runners(RUNNERS).iter());
    for index in 0..RUNNERS {
        placement.apply_report(&runner_id(index), Some(report(index)), now, now);
    }
    placement.update_usage(usage(hot_uses, hot_running), now);
    let actions = placement.plan(now);
    actions.into_iter().find_map(|action| match action {
        Action::Order {
            runner,
            order,
            reason,
            ..
        } => Some((runner, order.unit, order.operation, reason)),
        Action::Report { .. } => None,
    })
}

/// With 295 machines, a single runner held a model with ten requests per second for 25 s and
/// rejected 2,000 of them, since every other model was in occasional use and had an eviction cost.
#[test]
fn a_model_whose_only_copy_is_saturated_gets_another_one_though_others_are_used() {
    let (runner, evicted, operation, reason) = first_order(40, 24).expect("no order was issued");
    assert_eq!((operation, reason), (Operation::Unload, Reason::Room));
    assert_ne!(runner, runner_id(0));
    assert_ne!(evicted, simulation::model(0));
}

#[test]
fn a_model_with_free_slots_evicts_nothing() {
    assert_eq!(first_order(10, 3), None);
}
