//! Copies of models whose runners are full.

use std::collections::BTreeSet;

use flaxward_routing::configuration::{ClientLimits, Configuration};
use flaxward_routing::homes::Requirement;
use flaxward_routing::messages::{RunningUnit, Usage, UsedUnit};
use flaxward_routing::names::{RunnerId, Unit};
use flaxward_routing::placement::{
    Action, Operation, Placement, PlacementSettings, Reason, RunnerReport,
};
use flaxward_types::time::Timestamp;

use crate::world::{self, MODELS};

/// Runners, each of which has room for two models and holds a pair of neighbours.
const RUNNERS: usize = 6;
/// Size of each model, nearly half of a runner.
const WEIGHTS_MB: f64 = 98.0;
/// Uses of each model in the window of the messages, so that none is idle and none is busy.
const NOW_AND_THEN: u32 = 3;

fn configuration() -> Configuration {
    let base = world::configuration();
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

/// What a runner holds: each model stands on two runners, but for the first, which stands on one.
fn report(index: usize) -> RunnerReport {
    let first = world::model(index).model;
    let second = world::model(if index + 1 == RUNNERS { 1 } else { index + 1 }).model;
    let all = (0..MODELS.len()).map(|model| world::model(model).model);
    RunnerReport {
        holdings: [first, second].map(|model| (model, BTreeSet::new())).into(),
        on_disk: all.collect(),
        ..RunnerReport::default()
    }
}

fn usage(hot_uses: u32, hot_running: u32) -> Usage {
    let used = (0..MODELS.len()).map(|index| UsedUnit {
        requirement: Requirement::anywhere(world::model(index)),
        requests: if index == 0 { hot_uses } else { NOW_AND_THEN },
    });
    Usage {
        used: used.collect(),
        running: vec![RunningUnit {
            runner: runner_id(0),
            unit: world::model(0),
            requests: hot_running,
        }],
        ..world::idle_usage()
    }
}

/// The first order of a coordinator under which the first model is used and runs so much.
fn first_order(hot_uses: u32, hot_running: u32) -> Option<(RunnerId, Unit, Operation, Reason)> {
    let now = Timestamp(1_000);
    let mut placement = Placement::new(PlacementSettings::default(), now, now);
    placement.configure(&configuration());
    placement.set_runners(world::runners(RUNNERS).iter());
    for index in 0..RUNNERS {
        placement.reported(&runner_id(index), Some(report(index)), now, now);
    }
    placement.usage(usage(hot_uses, hot_running), now);
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

/// Seen on a day of 295 machines: for 25 s one runner alone held a model that ten requests a second asked for, and
/// rejected 2,000 of them, since every other model was in use now and then and dropping one had its price.
#[test]
fn a_model_whose_only_copy_is_full_gets_another_one_though_others_are_used() {
    let (runner, dropped, operation, reason) = first_order(40, 24).expect("nothing is done");
    assert_eq!((operation, reason), (Operation::Unload, Reason::Room));
    assert_ne!(runner, runner_id(0));
    assert_ne!(dropped, world::model(0));
}

#[test]
fn a_model_whose_copy_has_room_pushes_out_nothing() {
    assert_eq!(first_order(10, 3), None);
}
