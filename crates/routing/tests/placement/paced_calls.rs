//! Calls of the coordinator to runners with a rate limit or a pause.

use std::time::Duration;

use flaxward_routing::names::RunnerId;
use flaxward_routing::notices::{Notices, RunnerNotice};
use flaxward_routing::placement::{Action, Placement, PlacementSettings, RunnerReport};
use flaxward_routing::rate_limit::RequestRate;
use flaxward_types::time::Timestamp;

use crate::simulation::{configuration, runners};

const BEGIN: Timestamp = Timestamp(1_000);
const STEP: Duration = Duration::from_millis(50);
const TIME: Duration = Duration::from_secs(12);

/// When the reports of one runner are requested. Each report shows an unknown order, so that they
/// are read repeatedly.
fn reports(notice: RunnerNotice) -> Vec<Timestamp> {
    let runner = runners(1).remove(0);
    let mut notices = Notices::default();
    notices.apply_answer(&runner.id, notice, BEGIN, BEGIN);
    let mut placement = Placement::new(PlacementSettings::default(), BEGIN, BEGIN);
    placement.configure(&configuration());
    placement.set_runners([&runner].into_iter());
    let mut asked = Vec::new();
    let mut now = BEGIN;
    while now.since(BEGIN) < TIME {
        placement.apply_notices(&notices, now);
        let asks = |action: &Action| match action {
            Action::Report { runner: asked, .. } => *asked == runner.id,
            Action::Order { .. } => false,
        };
        if placement.plan(now).iter().any(asks) {
            asked.push(now);
            answer(&mut placement, &runner.id, now);
        }
        now = now + STEP;
    }
    asked
}

fn answer(placement: &mut Placement, runner: &RunnerId, now: Timestamp) {
    let report = RunnerReport {
        is_busy: true,
        ..RunnerReport::default()
    };
    placement.apply_report(runner, Some(report), now, now);
}

#[test]
fn a_runner_without_a_notice_is_called_at_any_time() {
    let asked = reports(RunnerNotice::default());
    assert!(asked.len() > 50, "{asked:?}");
}

#[test]
fn a_rate_limited_runner_is_called_at_most_twice_in_four_seconds() {
    let asked = reports(RunnerNotice {
        rate_limit: RequestRate::per_second(1.0),
        ..RunnerNotice::default()
    });
    assert!(asked.len() >= 4, "{asked:?}");
    let close = |three: &[Timestamp]| three[2].since(three[0]) < Duration::from_secs(4);
    assert!(!asked.windows(3).any(close), "{asked:?}");
}

#[test]
fn a_paused_runner_is_not_called() {
    let rest = Duration::from_secs(3);
    let asked = reports(RunnerNotice {
        rest: Some(rest),
        ..RunnerNotice::default()
    });
    assert!(asked[0] >= BEGIN + rest, "{asked:?}");
    assert!(asked.len() > 30, "{asked:?}");
}
