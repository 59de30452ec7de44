//! Cases that played days have shown.

use std::time::Duration;

use flaxward_routing::names::{RunnerId, ServiceName, Unit};
use flaxward_routing::placement::{Action, Placement, PlacementSettings, RunnerReport};
use flaxward_types::time::Timestamp;

use crate::world::{Fate, World, adapter, configuration, model, runners};

fn calm(world: &mut World, steps: usize) {
    for _ in 0..steps {
        world.step(&mut std::iter::empty());
    }
}

#[test]
fn a_waited_for_adapter_brings_its_model_first() {
    let mut world = World::new(1);
    let wanted = adapter(0, 1);
    world.set_waiting(vec![wanted.clone()]);
    calm(&mut world, 200);
    assert!(world.holds(&wanted));
}

/// A coordinator that takes over while a runner loads does not see the model in the report. It must
/// not take the runner for free; the world fails if the runner is overfilled.
#[test]
fn a_runner_busy_with_the_order_of_another_coordinator_gets_none() {
    let mut world = World::new(1);
    world.set_waiting(vec![model(0)]);
    calm(&mut world, 100);
    world.set_waiting(vec![model(0), model(1)]);
    calm(&mut world, 20);
    world.take_over();
    world.set_waiting(vec![model(0), model(1), model(5)]);
    calm(&mut world, 300);
    assert!(world.holds(&model(0)) || world.holds(&model(1)));
}

#[test]
fn an_order_whose_answer_is_lost_is_settled_by_the_report() {
    let mut world = World::new(1);
    world.set_waiting(vec![model(2)]);
    let mut fates = [Fate::AnswerLost].into_iter();
    for _ in 0..140 {
        world.step(&mut fates);
    }
    assert!(world.holds(&model(2)));
}

#[test]
fn a_new_coordinator_orders_nothing_before_it_has_read_the_runner() {
    let world = World::new(2);
    assert_eq!(world.placement.announced().count(), 0);
    assert_eq!(model(0).service, ServiceName::new("pool"));
}

/// Seen on a day of 300 daemons and 3,000 runners: a new coordinator had 5,400 connections and 310 MB, since it
/// read the reports of all runners at once.
#[test]
fn a_new_coordinator_reads_the_reports_of_many_runners_a_few_at_a_time() {
    let now = Timestamp(1_000);
    let mut placement = Placement::new(PlacementSettings::default(), now, now);
    placement.configure(&configuration());
    let runners = runners(1_000);
    placement.set_runners(runners.iter());
    let mut read = 0;
    for round in 0..40 {
        let now = Timestamp(1_000 + round * 20);
        let actions = placement.plan(now);
        assert!(actions.len() <= 64, "{} reports at once", actions.len());
        assert!(placement.plan(now).is_empty(), "they are not answered yet");
        for action in actions {
            let Action::Report { runner, .. } = action else {
                panic!("{action:?}");
            };
            read += 1;
            placement.reported(&runner, Some(RunnerReport::default()), now, now);
        }
    }
    assert_eq!(read, 1_000);
    assert_eq!(placement.announced().count(), 1_000);
}

/// Found while reading: after a zone was lost, its runners stood in the list still, and a new coordinator asked those
/// that come first in it again and again and never read the others.
#[test]
fn silent_runners_do_not_keep_the_others_from_being_read() {
    const SILENT: usize = 300;
    const SILENCE: Duration = Duration::from_millis(500);
    let start = Timestamp(1_000);
    let mut placement = Placement::new(PlacementSettings::default(), start, start);
    placement.configure(&configuration());
    let runners = runners(2 * SILENT);
    placement.set_runners(runners.iter());
    let is_silent = |id: &RunnerId| runners[..SILENT].iter().any(|runner| runner.id == *id);
    let mut unanswered: Vec<(Timestamp, RunnerId)> = Vec::new();
    for round in 0..80 {
        let now = start + Duration::from_millis(50) * round;
        let (ended, waiting): (Vec<_>, Vec<_>) = unanswered.into_iter().partition(|it| it.0 <= now);
        unanswered = waiting;
        for (_, runner) in ended {
            placement.reported(&runner, None, now, now);
        }
        for action in placement.plan(now) {
            let Action::Report { runner, .. } = action else {
                panic!("{action:?}");
            };
            if is_silent(&runner) {
                unanswered.push((now + SILENCE, runner));
            } else {
                placement.reported(&runner, Some(RunnerReport::default()), now, now);
            }
        }
    }
    assert_eq!(
        placement.announced().count(),
        SILENT,
        "runners whose reports were read"
    );
}

/// Whether a unit comes within some steps.
fn until_held(world: &mut World, unit: &Unit, steps: usize) -> bool {
    for _ in 0..steps {
        if world.holds(unit) {
            return true;
        }
        calm(world, 1);
    }
    world.holds(unit)
}

/// Seen on a played day: the one runner with a model was given an order for another model, which took ten
/// seconds, while requests waited for twelve adapters that take some ms each; seven were never served.
#[test]
fn adapters_that_are_waited_for_come_before_another_model() {
    let mut world = World::new(1);
    let mut waiting = Vec::new();
    for index in [0, 3] {
        waiting.push(model(index));
        world.set_waiting(waiting.clone());
        calm(&mut world, 100);
        assert!(world.holds(&model(index)));
    }
    // Requests wait for the fifth model first, and for the adapter later; both until the fourth is loaded.
    let awaited = adapter(0, 1);
    for unit in [model(4), model(5), awaited.clone()] {
        waiting.push(unit);
        world.set_waiting(waiting.clone());
        calm(&mut world, 15);
    }
    assert!(until_held(&mut world, &model(4), 100));
    let adapter_came = until_held(&mut world, &awaited, 12);
    assert!(adapter_came, "the adapter waits for another model");
    let model_came = until_held(&mut world, &model(5), 400);
    assert!(model_came, "the model never comes");
}

/// Steps until a unit is held.
fn steps_until(world: &mut World, unit: &Unit, most: usize) -> usize {
    (0..most)
        .find(|_| {
            calm(world, 1);
            world.holds(unit)
        })
        .unwrap_or(most)
}

/// Two runners, of which the first has two models on its disk and has begun to load one; then that one and the
/// other, which is wanted next.
fn world_with_a_busy_runner() -> (World, Unit, Unit) {
    let mut world = World::new(2);
    let (busy_with, wanted) = (model(0), model(1));
    world.store_at(0, &busy_with);
    world.store_at(0, &wanted);
    calm(&mut world, 10);
    world.set_waiting(vec![busy_with.clone()]);
    calm(&mut world, 4);
    (world, busy_with, wanted)
}

/// Seen on Kitahara's quiet day: a model whose only copy lay on the disk of a runner with an order under way was
/// fetched again from the weight store by another one, which took longer and cost a load.
#[test]
fn a_busy_runner_with_a_copy_is_waited_for_if_that_is_sooner_than_the_store() {
    let (mut world, busy_with, wanted) = world_with_a_busy_runner();
    world.set_waiting(vec![busy_with.clone(), wanted.clone()]);
    let steps = steps_until(&mut world, &wanted, 200);
    assert_eq!(world.store_loads(), 0, "it came from the weight store");
    assert!(steps < 90, "{steps} steps");
}

/// A runner that is listed and answers nothing would otherwise keep its models from all others for ever.
#[test]
fn a_runner_with_a_copy_that_hangs_is_not_waited_for() {
    let (mut world, busy_with, wanted) = world_with_a_busy_runner();
    world.hang(0);
    world.set_waiting(vec![busy_with.clone(), wanted.clone()]);
    let steps = steps_until(&mut world, &wanted, 400);
    // 1.7 s until its order is over, 2 s until that is overdue, 4 s for the load from the store; 50 ms a step.
    assert!(steps < 200, "{steps} steps");
}

/// Loads used to be given by rank alone: while models of a higher rank were waited for, one of a lower rank got
/// none, however many requests asked for it.
#[test]
fn many_requests_of_a_lower_rank_come_before_one_of_a_higher() {
    let mut world = World::new(1);
    let (busy, rare) = (model(0), model(1));
    for unit in [&busy, &rare] {
        world.store_at(0, unit);
    }
    calm(&mut world, 10);
    world.set_demand(vec![(rare.clone(), 1, 0), (busy.clone(), 20, 1)]);
    let steps = steps_until(&mut world, &busy, 200);
    assert!(!world.holds(&rare), "the one request came first");
    assert!(steps < 60, "{steps} steps");
}

/// An unload that nothing holds up is over in a moment; the load that it makes room for does not wait for a
/// report that shows it.
#[test]
fn a_swap_takes_little_longer_than_its_load() {
    let mut world = World::new(1);
    world.set_unload_time(Duration::from_millis(20));
    let units: Vec<Unit> = (0..3).map(model).collect();
    for unit in &units {
        world.store_at(0, unit);
        world.set_waiting(vec![unit.clone()]);
        calm(&mut world, 60);
    }
    world.set_waiting(Vec::new());
    calm(&mut world, 60);
    let gone = units
        .iter()
        .find(|unit| !world.holds(unit))
        .unwrap()
        .clone();
    world.set_waiting(vec![gone.clone()]);
    let steps = steps_until(&mut world, &gone, 200);
    // The load takes 34 steps.
    assert!(steps <= 36, "{steps} steps");
}
