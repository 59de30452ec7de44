//! Loads while runners are cold or rate-limited.

use std::collections::BTreeSet;
use std::time::Duration;

use flaxward_routing::cold::ColdStart;
use flaxward_routing::homes::Requirement;
use flaxward_routing::messages::{Usage, WaitingUnit};
use flaxward_routing::names::{AdapterName, Unit, Zone};
use flaxward_routing::notices::{Notices, RunnerNotice};
use flaxward_routing::placement::{Action, Operation, Placement, PlacementSettings, RunnerReport};
use flaxward_routing::rate_limit::RequestRate;
use flaxward_routing::runners::Runner;
use flaxward_types::time::Timestamp;

use crate::simulation::{adapter, configuration_with, idle_usage, model, runners};

const BEGIN: Timestamp = Timestamp(1_000);
/// Requests per second that a cold runner can serve.
const COLD_RATE: f64 = 10.0;

/// Runners of one zone, each cold for the given time.
fn cold_runners(cold_ms: &[u64]) -> Vec<Runner> {
    let runners = runners(cold_ms.len()).into_iter().zip(cold_ms);
    let cold = runners.map(|(runner, &cold_ms)| Runner {
        zone: Zone::new("z0"),
        cold_for: Duration::from_millis(cold_ms),
        ..runner
    });
    cold.collect()
}

struct Fleet {
    placement: Placement,
    runners: Vec<Runner>,
    notices: Notices,
}

impl Fleet {
    fn new(cold_ms: &[u64], reports: Vec<RunnerReport>) -> Self {
        let cold_start = ColdStart {
            duration: Duration::from_secs(3),
            requests_per_second: COLD_RATE,
        };
        Self::with_cold_start(Some(cold_start), cold_ms, reports)
    }

    fn with_cold_start(
        cold_start: Option<ColdStart>,
        cold_ms: &[u64],
        reports: Vec<RunnerReport>,
    ) -> Self {
        let mut placement = Placement::new(PlacementSettings::default(), BEGIN, BEGIN);
        placement.configure(&configuration_with(cold_start));
        let runners = cold_runners(cold_ms);
        placement.set_runners(runners.iter());
        for (runner, report) in runners.iter().zip(reports) {
            placement.apply_report(&runner.id, Some(report), BEGIN, BEGIN);
        }
        Self {
            placement,
            runners,
            notices: Notices::default(),
        }
    }

    /// The runner and unit of the load ordered while the given number of requests wait for a unit.
    fn load(&mut self, unit: &Unit, requests: u32, now: Timestamp) -> Option<(String, Unit)> {
        let usage = Usage {
            waiting: vec![WaitingUnit {
                requirement: Requirement::anywhere(unit.clone()),
                requests,
                late: 0,
                priority: 1,
            }],
            ..idle_usage()
        };
        self.placement.update_usage(usage, now);
        self.placement.set_runners(self.runners.iter());
        let mut actions = self.placement.plan(now).into_iter();
        actions.find_map(|action| match action {
            Action::Order { runner, order, .. } if order.operation == Operation::Load => {
                Some((runner.to_string(), order.unit))
            }
            Action::Order { .. } | Action::Report { .. } => None,
        })
    }
}

impl Fleet {
    /// Sets or clears the rate limit that a runner announces.
    fn set_rate_limit(&mut self, runner: usize, per_second: Option<f64>, now: Timestamp) {
        let notice = RunnerNotice {
            rate_limit: per_second.and_then(RequestRate::per_second),
            ..RunnerNotice::default()
        };
        let id = &self.runners[runner].id;
        self.notices.apply_answer(id, notice, now, now);
        self.placement.apply_notices(&self.notices, now);
    }
}

/// A runner with the given models and adapters, and the first model on its disk.
fn report(held: &[Unit]) -> RunnerReport {
    let mut report = RunnerReport::default();
    for unit in held {
        let adapters: &mut BTreeSet<AdapterName> =
            report.holdings.entry(unit.model.clone()).or_default();
        adapters.extend(unit.adapter.clone());
    }
    report.on_disk.insert(model(0).model);
    report
}

fn runner_of(load: Option<(String, Unit)>) -> Option<String> {
    load.map(|(runner, _)| runner)
}

/// A load from disk takes 1.7 s. A longer cold period adds the rest of it to the cost.
#[test]
fn a_warm_runner_comes_before_one_that_is_still_cold_when_the_load_ends() {
    let at = |cold_ms: [u64; 2]| {
        let mut fleet = Fleet::new(&cold_ms, vec![report(&[]), report(&[])]);
        runner_of(fleet.load(&model(0), 1, BEGIN)).unwrap()
    };
    assert_eq!(at([0, 0]), "r0");
    assert_eq!(at([3_000, 0]), "r1");
    assert_eq!(at([3_000, 2_500]), "r1");
    assert_eq!(
        at([1_600, 0]),
        "r0",
        "the runner is warm when the load ends"
    );
}

/// A load from the weight store takes 4 s, in which a cold period of 3 s ends.
#[test]
fn a_runner_that_is_warm_when_the_load_ends_gets_the_load() {
    let mut fleet = Fleet::new(&[3_000], vec![report(&[])]);
    assert_eq!(
        runner_of(fleet.load(&model(1), 1, BEGIN)).as_deref(),
        Some("r0")
    );
}

/// An entry is written when the cold period begins, but not when it ends.
#[test]
fn a_cold_period_ends_with_time_and_not_with_the_next_read_of_the_list() {
    let mut fleet = Fleet::new(&[3_000, 0], vec![report(&[]), report(&[model(5)])]);
    let nothing = fleet.load(&model(5), 1, BEGIN);
    assert_eq!(nothing, None);
    let later = BEGIN + Duration::from_millis(2_000);
    assert_eq!(
        runner_of(fleet.load(&model(0), 1, later)).as_deref(),
        Some("r0")
    );
}

#[test]
fn another_copy_is_loaded_if_all_are_cold_and_demand_exceeds_their_capacity() {
    let held = || vec![report(&[model(0)]), report(&[])];
    let at = |cold_ms: [u64; 2], requests: u32| {
        let mut fleet = Fleet::new(&cold_ms, held());
        runner_of(fleet.load(&model(0), requests, BEGIN))
    };
    // The cold copy serves 17 requests in the 1.7 s of a load.
    assert_eq!(at([3_000, 0], 40).as_deref(), Some("r1"));
    assert_eq!(at([3_000, 0], 3), None, "the cold copy has enough capacity");
    assert_eq!(
        at([1_500, 0], 40),
        None,
        "the copy is warm before the other one is ready"
    );
    assert_eq!(
        at([3_000, 3_000], 40),
        None,
        "the other runner is cold as well"
    );
    assert_eq!(at([0, 0], 40), None, "the copy is warm");
}

#[test]
fn one_other_copy_is_enough_and_none_is_loaded_without_a_configured_cold_rate() {
    let held = || vec![report(&[model(0)]), report(&[]), report(&[])];
    let mut fleet = Fleet::new(&[3_000, 0, 0], held());
    assert!(fleet.load(&model(0), 40, BEGIN).is_some());
    assert_eq!(
        fleet.load(&model(0), 40, BEGIN + Duration::from_millis(50)),
        None
    );

    let mut fleet = Fleet::with_cold_start(None, &[3_000, 0], held());
    assert_eq!(fleet.load(&model(0), 40, BEGIN), None);
}

#[test]
fn an_adapter_on_a_cold_runner_is_also_loaded_on_a_warm_one_with_its_model() {
    let unit = adapter(0, 1);
    let held = || vec![report(std::slice::from_ref(&unit)), report(&[model(0)])];
    let mut fleet = Fleet::new(&[3_000, 0], held());
    let load = fleet.load(&unit, 40, BEGIN);
    assert_eq!(load, Some(("r1".to_owned(), unit.clone())));
    let mut fleet = Fleet::new(&[0, 0], held());
    assert_eq!(fleet.load(&unit, 40, BEGIN), None);
}

/// A rate-limited runner serves no more than its rate and does not say for how long. A load from
/// disk takes 1.7 s.
#[test]
fn another_copy_is_loaded_if_the_only_one_is_rate_limited_and_demand_exceeds_its_rate() {
    let held = || vec![report(&[model(0)]), report(&[])];
    let at = |rate: Option<f64>, requests: u32| {
        let mut fleet = Fleet::with_cold_start(None, &[0, 0], held());
        fleet.set_rate_limit(0, rate, BEGIN);
        runner_of(fleet.load(&model(0), requests, BEGIN))
    };
    assert_eq!(at(Some(1.0), 5).as_deref(), Some("r1"));
    assert_eq!(at(Some(20.0), 5), None, "the rate limit is high enough");
    assert_eq!(at(None, 5), None, "there is no rate limit");
}

#[test]
fn a_model_is_loaded_on_the_runner_without_a_rate_limit_until_the_limit_of_the_other_ends() {
    let mut fleet = Fleet::with_cold_start(None, &[0, 0], vec![report(&[]), report(&[])]);
    fleet.set_rate_limit(0, Some(1.0), BEGIN);
    let load = fleet.load(&model(0), 1, BEGIN);
    assert_eq!(runner_of(load).as_deref(), Some("r1"));

    let mut fleet = Fleet::with_cold_start(None, &[0, 0], vec![report(&[]), report(&[])]);
    fleet.set_rate_limit(0, Some(1.0), BEGIN);
    fleet.set_rate_limit(0, None, BEGIN + Duration::from_millis(10));
    let load = fleet.load(&model(0), 1, BEGIN + Duration::from_millis(20));
    assert_eq!(runner_of(load).as_deref(), Some("r0"));
}
