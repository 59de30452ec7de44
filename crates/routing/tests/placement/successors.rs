//! The rate of loads from the weight store while coordinators follow each other.

use std::ops::Range;
use std::time::Duration;

use flaxward_routing::configuration::{ClientLimits, Configuration};
use flaxward_routing::homes::Requirement;
use flaxward_routing::messages::{StoreLimit, Usage, WaitingUnit};
use flaxward_routing::names::{ModelName, ServiceName, Unit};
use flaxward_routing::placement::{
    Action, Operation, OrderAnswer, Placement, PlacementSettings, RunnerReport,
};
use flaxward_types::time::Timestamp;

use crate::simulation::{self, SERVICE};

const ROUND: Duration = Duration::from_millis(20);
const RUNNERS: usize = 40;
const MODELS: usize = 40;
const LOADS_PER_SECOND: f64 = 2.0;
/// Loads that may be in flight; coordinators hand this limit on.
const STORE_LIMIT: u32 = 40;
/// Time from the last order of a coordinator that is killed until its successor may order: its lease and a margin.
const TAKEOVER: Duration = Duration::from_millis(3_300);

fn unit(index: usize) -> Unit {
    Unit {
        service: ServiceName::new(SERVICE),
        model: ModelName::new(&format!("model{index}")),
        adapter: None,
    }
}

fn configuration() -> Configuration {
    let base = simulation::configuration();
    let mut service = base.services().next().unwrap().as_ref().clone();
    let engine = service.engine.as_mut().unwrap();
    let specification = engine.models.values().next().unwrap().clone();
    engine.loads_per_second = LOADS_PER_SECOND;
    engine.models = (0..MODELS)
        .map(|index| (unit(index).model, specification.clone()))
        .collect();
    Configuration::new(1, ClientLimits::default(), Vec::new(), vec![service])
}

/// A coordinator that starts now, with empty runners.
fn coordinator(now: Timestamp) -> Placement {
    let mut placement = Placement::new(PlacementSettings::default(), now, now);
    placement.configure(&configuration());
    placement.set_runners(simulation::runners(RUNNERS).iter());
    let limit = StoreLimit {
        service: ServiceName::new(SERVICE),
        loads: STORE_LIMIT,
        is_measured: true,
    };
    placement.inherit_store_limits(&[limit], now);
    placement
}

/// The usage message of a daemon whose requests wait for some models.
fn usage(waiting: Range<usize>) -> Usage {
    let waiting = waiting.map(|index| WaitingUnit {
        requirement: Requirement::anywhere(unit(index)),
        requests: 5,
        late: 0,
        priority: 0,
    });
    Usage {
        waiting: waiting.collect(),
        ..simulation::idle_usage()
    }
}

/// Plans once, with runners that report at once, and returns how many loads are ordered.
fn plan(placement: &mut Placement, now: Timestamp) -> usize {
    let mut loads = 0;
    for action in placement.plan(now) {
        match action {
            Action::Report { runner, .. } => {
                placement.apply_report(&runner, Some(RunnerReport::default()), now, now);
            }
            Action::Order { runner, order, .. } => {
                loads += usize::from(order.operation == Operation::Load);
                placement.apply_answer(&runner, OrderAnswer::Accepted, now);
            }
        }
    }
    loads
}

/// Plans for some time while requests begin to wait for one model after the other. Returns how many loads it orders.
fn loads_within(
    placement: &mut Placement,
    waiting: Range<usize>,
    from: Timestamp,
    time: Duration,
) -> usize {
    let mut loads = 0;
    let mut now = from;
    let mut end = waiting.start;
    while now < from + time {
        end = (end + 1).min(waiting.end);
        placement.update_usage(usage(waiting.start..end), now);
        loads += plan(placement, now);
        now = now + ROUND;
    }
    loads
}

fn assert_within_rate(loads: usize) {
    let window = PlacementSettings::default().load_window;
    let allowed = LOADS_PER_SECOND * window.as_secs_f64() * 1.1 + 3.0;
    assert!(
        loads as f64 <= allowed,
        "{loads} loads in one window, {allowed} allowed"
    );
}

/// Guards against loads of one plan that are not counted before the next: requests begin to wait for many models at once.
#[test]
fn one_plan_orders_no_more_loads_than_the_rate_allows() {
    let start = Timestamp(100_000);
    let mut placement = coordinator(start - Duration::from_secs(20));
    placement.update_usage(usage(0..0), start);
    for _ in 0..4 {
        plan(&mut placement, start);
    }
    placement.update_usage(usage(0..MODELS), start + ROUND);
    assert_within_rate(plan(&mut placement, start + ROUND));
}

/// Guards against a coordinator that is killed right after it has ordered many loads, and a successor that has part of the
/// rate for itself while those loads still count.
#[test]
fn a_successor_keeps_the_rate_of_loads_that_its_predecessor_has_used() {
    let start = Timestamp(100_000);
    let window = PlacementSettings::default().load_window;
    let until_killed = Duration::from_millis(500);
    let mut first = coordinator(start - Duration::from_secs(20));
    let ordered = loads_within(&mut first, 0..20, start, until_killed);
    let taken_over_at = start + until_killed + TAKEOVER;
    let mut second = coordinator(taken_over_at);
    let time = (start + window).since(taken_over_at);
    let ordered = ordered + loads_within(&mut second, 20..40, taken_over_at, time);
    assert_within_rate(ordered);
}
