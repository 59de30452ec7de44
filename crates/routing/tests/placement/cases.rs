//! Regression tests of the placement for failures seen in simulations and reviews.

use std::time::Duration;

use flaxward_routing::names::{RunnerId, ServiceName, Unit};
use flaxward_routing::placement::{Action, Placement, PlacementSettings, RunnerReport};
use flaxward_types::time::Timestamp;

use crate::simulation::{Delivery, Simulation, adapter, configuration, model, runners};

fn run_without_faults(simulation: &mut Simulation, steps: usize) {
    for _ in 0..steps {
        simulation.step(&mut std::iter::empty());
    }
}

#[test]
fn the_model_of_an_awaited_adapter_is_loaded_first() {
    let mut simulation = Simulation::new(1);
    let wanted = adapter(0, 1);
    simulation.set_waiting(vec![wanted.clone()]);
    run_without_faults(&mut simulation, 200);
    assert!(simulation.holds(&wanted));
}

/// A coordinator that takes over while a runner loads does not see the model in the report. It must
/// not treat the runner as free; the simulation fails if the runner's memory is overcommitted.
#[test]
fn a_runner_busy_with_the_order_of_another_coordinator_gets_none() {
    let mut simulation = Simulation::new(1);
    simulation.set_waiting(vec![model(0)]);
    run_without_faults(&mut simulation, 100);
    simulation.set_waiting(vec![model(0), model(1)]);
    run_without_faults(&mut simulation, 20);
    simulation.take_over();
    simulation.set_waiting(vec![model(0), model(1), model(5)]);
    run_without_faults(&mut simulation, 300);
    assert!(simulation.holds(&model(0)) || simulation.holds(&model(1)));
}

#[test]
fn an_order_whose_answer_is_lost_is_settled_by_the_report() {
    let mut simulation = Simulation::new(1);
    simulation.set_waiting(vec![model(2)]);
    let mut deliveries = [Delivery::AnswerLost].into_iter();
    for _ in 0..140 {
        simulation.step(&mut deliveries);
    }
    assert!(simulation.holds(&model(2)));
}

#[test]
fn a_new_coordinator_orders_nothing_before_it_has_read_the_runner() {
    let simulation = Simulation::new(2);
    assert_eq!(simulation.placement.announced().count(), 0);
    assert_eq!(model(0).service, ServiceName::new("pool"));
}

/// With 300 daemons and 3,000 runners, a new coordinator that read the reports of all runners at
/// once held 5,400 connections and 310 MB.
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
        assert!(
            placement.plan(now).is_empty(),
            "outstanding reports are requested again"
        );
        for action in actions {
            let Action::Report { runner, .. } = action else {
                panic!("{action:?}");
            };
            read += 1;
            placement.apply_report(&runner, Some(RunnerReport::default()), now, now);
        }
    }
    assert_eq!(read, 1_000);
    assert_eq!(placement.announced().count(), 1_000);
}

/// After the loss of a zone its runners are still listed. A new coordinator that asked the first
/// ones in the list again and again never read the others.
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
        let (timed_out, waiting): (Vec<_>, Vec<_>) =
            unanswered.into_iter().partition(|it| it.0 <= now);
        unanswered = waiting;
        for (_, runner) in timed_out {
            placement.apply_report(&runner, None, now, now);
        }
        for action in placement.plan(now) {
            let Action::Report { runner, .. } = action else {
                panic!("{action:?}");
            };
            if is_silent(&runner) {
                unanswered.push((now + SILENCE, runner));
            } else {
                placement.apply_report(&runner, Some(RunnerReport::default()), now, now);
            }
        }
    }
    assert_eq!(
        placement.announced().count(),
        SILENT,
        "number of runners whose reports were read"
    );
}

/// Whether a unit is held within some steps.
fn until_held(simulation: &mut Simulation, unit: &Unit, steps: usize) -> bool {
    for _ in 0..steps {
        if simulation.holds(unit) {
            return true;
        }
        run_without_faults(simulation, 1);
    }
    simulation.holds(unit)
}

/// The only runner with a model was given an order for another model, which took ten seconds, while
/// requests waited for twelve adapters that take some ms each; seven were never served.
#[test]
fn adapters_that_are_waited_for_come_before_another_model() {
    let mut simulation = Simulation::new(1);
    let mut waiting = Vec::new();
    for index in [0, 3] {
        waiting.push(model(index));
        simulation.set_waiting(waiting.clone());
        run_without_faults(&mut simulation, 100);
        assert!(simulation.holds(&model(index)));
    }
    // Requests wait for the fifth model first and for the adapter later, both until the fourth is
    // loaded.
    let awaited = adapter(0, 1);
    for unit in [model(4), model(5), awaited.clone()] {
        waiting.push(unit);
        simulation.set_waiting(waiting.clone());
        run_without_faults(&mut simulation, 15);
    }
    assert!(until_held(&mut simulation, &model(4), 100));
    let is_adapter_loaded = until_held(&mut simulation, &awaited, 12);
    assert!(
        is_adapter_loaded,
        "the adapter was not loaded before the other model"
    );
    let is_model_loaded = until_held(&mut simulation, &model(5), 400);
    assert!(is_model_loaded, "the model was never loaded");
}

/// Number of steps until a unit is held.
fn steps_until(simulation: &mut Simulation, unit: &Unit, max_steps: usize) -> usize {
    (0..max_steps)
        .find(|_| {
            run_without_faults(simulation, 1);
            simulation.holds(unit)
        })
        .unwrap_or(max_steps)
}

/// Two runners, of which the first has two models on its disk and has begun to load one. Returns
/// that model and the other one, which is requested next.
fn simulation_with_a_busy_runner() -> (Simulation, Unit, Unit) {
    let mut simulation = Simulation::new(2);
    let (busy_with, wanted) = (model(0), model(1));
    simulation.cache_at(0, &busy_with);
    simulation.cache_at(0, &wanted);
    run_without_faults(&mut simulation, 10);
    simulation.set_waiting(vec![busy_with.clone()]);
    run_without_faults(&mut simulation, 4);
    (simulation, busy_with, wanted)
}

/// A model whose only copy was on the disk of a runner with a pending order was loaded from the
/// weight store by another runner, which took longer and used up a store load.
#[test]
fn a_busy_runner_with_a_copy_is_waited_for_if_that_is_sooner_than_the_store() {
    let (mut simulation, busy_with, wanted) = simulation_with_a_busy_runner();
    simulation.set_waiting(vec![busy_with.clone(), wanted.clone()]);
    let steps = steps_until(&mut simulation, &wanted, 200);
    assert_eq!(
        simulation.store_loads(),
        0,
        "the model was loaded from the weight store"
    );
    assert!(steps < 90, "{steps} steps");
}

/// A runner that is listed but answers nothing must not keep its models from all other runners
/// forever.
#[test]
fn a_runner_with_a_copy_that_hangs_is_not_waited_for() {
    let (mut simulation, busy_with, wanted) = simulation_with_a_busy_runner();
    simulation.make_unresponsive(0);
    simulation.set_waiting(vec![busy_with.clone(), wanted.clone()]);
    let steps = steps_until(&mut simulation, &wanted, 400);
    // 1.7 s until its order should be done, 2 s until that is overdue, 4 s for the load from the
    // store; 50 ms per step.
    assert!(steps < 200, "{steps} steps");
}

/// With loads ordered by priority rank alone, a model of a lower rank got no load while models of a
/// higher rank had waiting requests, however many requests asked for it.
#[test]
fn many_requests_of_a_lower_rank_come_before_one_of_a_higher() {
    let mut simulation = Simulation::new(1);
    let (busy, rare) = (model(0), model(1));
    for unit in [&busy, &rare] {
        simulation.cache_at(0, unit);
    }
    run_without_faults(&mut simulation, 10);
    simulation.set_demand(vec![(rare.clone(), 1, 0), (busy.clone(), 20, 1)]);
    let steps = steps_until(&mut simulation, &busy, 200);
    assert!(
        !simulation.holds(&rare),
        "the model with one request was loaded first"
    );
    assert!(steps < 60, "{steps} steps");
}

/// An unload that no request blocks ends quickly; the load that it makes room for must not wait for
/// a report that shows it.
#[test]
fn a_swap_takes_little_longer_than_its_load() {
    let mut simulation = Simulation::new(1);
    simulation.set_unload_time(Duration::from_millis(20));
    let units: Vec<Unit> = (0..3).map(model).collect();
    for unit in &units {
        simulation.cache_at(0, unit);
        simulation.set_waiting(vec![unit.clone()]);
        run_without_faults(&mut simulation, 60);
    }
    simulation.set_waiting(Vec::new());
    run_without_faults(&mut simulation, 60);
    let evicted = units
        .iter()
        .find(|unit| !simulation.holds(unit))
        .unwrap()
        .clone();
    simulation.set_waiting(vec![evicted.clone()]);
    let steps = steps_until(&mut simulation, &evicted, 200);
    // The load takes 34 steps.
    assert!(steps <= 36, "{steps} steps");
}
