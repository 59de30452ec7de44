//! Whether daemons keep to what runners say of themselves in their answers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use flaxward_platform_stand_in::{Notice, RunnerStandIn};

use crate::checks::CALM;
use crate::disturbances::Target;
use crate::fleet::{BrittlePeriod, Fleet, locked};

/// Time over which the requests of a runner that names a rate are counted.
const RATE_SPAN: Duration = Duration::from_secs(4);
/// Times its rate that it may get then, and how many more.
const RATE_FACTOR: f64 = 1.5;
const RATE_SLACK: f64 = 5.0;
/// Time after its first answer with a rate from which the bound holds.
const RATE_GRACE: Duration = Duration::from_secs(3);
/// Time after an answer from which the daemon that passed it on is bound by a rate or a rest.
const TOLD: Duration = Duration::from_millis(500);
/// Requests that may come from a daemon in a rest that it was asked for.
const IN_REST_ALLOWED: usize = 2;
/// Time after which a daemon that was told of a leave sends nothing more.
const LEAVE_BOUND: Duration = Duration::from_secs(2);

/// A request that came to a runner.
#[derive(Clone, Copy, Debug)]
struct Came {
    at: Instant,
    /// The daemon that sent it.
    daemon: usize,
    said: Option<Notice>,
}

/// Checks what all runners got.
pub(crate) fn check(fleet: &Fleet) {
    let outcomes = locked(&fleet.outcomes);
    let daemons: HashMap<String, usize> = outcomes
        .iter()
        .map(|outcome| (outcome.ask.request.clone(), outcome.daemon))
        .collect();
    drop(outcomes);
    for started in locked(&fleet.runners).iter() {
        let runner = &started.runner;
        let came: Vec<Came> = runner
            .arrivals()
            .into_iter()
            .filter_map(|arrival| {
                Some(Came {
                    at: arrival.at,
                    daemon: *daemons.get(&arrival.request)?,
                    said: arrival.notice,
                })
            })
            .collect();
        check_rate(fleet, runner, &came);
        for daemon in 0..fleet.daemons.len() {
            let own: Vec<Came> = came
                .iter()
                .copied()
                .filter(|it| it.daemon == daemon)
                .collect();
            check_rests(fleet, runner, &own);
            check_leave(fleet, runner, &own);
        }
    }
    for period in locked(&fleet.brittle_periods).iter() {
        check_brittle(fleet, period, &daemons);
    }
}

/// In one period brittle runners fail no more often than 2 and a tenth of their number, where most of what they rejected came
/// from daemons that nothing disturbed.
fn check_brittle(fleet: &Fleet, period: &BrittlePeriod, daemons: &HashMap<String, usize>) {
    let runners = locked(&fleet.runners);
    let failures = runners
        .iter()
        .filter(|started| period.runners.iter().any(|id| id == started.runner.id()))
        .filter_map(|started| Some((&started.runner, started.runner.rejection_failure()?)))
        .filter(|(_, failure)| (period.begun..=period.ended).contains(&failure.at));
    let counted = failures.filter(|(runner, failure)| {
        let is_undisturbed = |request: &&String| {
            let daemon = daemons.get(*request);
            daemon.is_some_and(|daemon| !is_out_of_touch(fleet, *daemon, failure.at))
        };
        let undisturbed = failure.requests.iter().filter(is_undisturbed).count();
        undisturbed * 2 > failure.requests.len() && !was_held_up(fleet, runner, failure.at)
    });
    let count = counted.count();
    let (accepted, service) = (2 + period.runners.len() / 10, &period.service);
    if count > accepted {
        fleet.violation(format!(
            "LIMIT {count} runners of {service} failed under rejections, {accepted} accepted"
        ));
    }
}

/// Whether a daemon or the store was disturbed shortly before a moment.
fn is_out_of_touch(fleet: &Fleet, daemon: usize, at: Instant) -> bool {
    let is_store = |target| target == Target::Store;
    is_excused(fleet, daemon, at, at) || fleet.disturbances.touched(is_store, at, at, CALM)
}

/// Whether a daemon was restarted, paused or cut off in a span of time, so that it may have forgotten what it was told or
/// have been kept from acting on it.
fn is_excused(fleet: &Fleet, daemon: usize, from: Instant, to: Instant) -> bool {
    let concerns = |target: Target| target == Target::Daemon(daemon);
    let is_disturbed = fleet.disturbances.touched(concerns, from, to, CALM);
    let was_stopped = locked(&fleet.stops)
        .iter()
        .any(|stop| stop.daemon == daemon && stop.begun <= to && stop.ended >= from);
    is_disturbed || was_stopped
}

/// Whether the way to a runner was disturbed, so that what was sent before may come at once.
fn was_held_up(fleet: &Fleet, runner: &RunnerStandIn, at: Instant) -> bool {
    locked(&fleet.cuts)
        .iter()
        .any(|cut| cut.runner == runner.id() && (cut.begun..=cut.ended + RATE_SPAN).contains(&at))
}

/// The times in which the runner named one rate, from its first answer with it to the last.
struct RateSpell {
    rate: f64,
    first: Instant,
    last: Instant,
}

fn rate_spells(came: &[Came]) -> Vec<RateSpell> {
    let mut spells: Vec<RateSpell> = Vec::new();
    for it in came {
        let Some(Notice::Rate(rate)) = it.said else {
            continue;
        };
        match spells.last_mut().filter(|spell| names(it, spell.rate)) {
            Some(spell) => spell.last = it.at,
            None => spells.push(RateSpell {
                rate,
                first: it.at,
                last: it.at,
            }),
        }
    }
    spells
}

fn names(came: &Came, rate: f64) -> bool {
    came.said == Some(Notice::Rate(rate))
}

/// Daemons that were told of a rate, and the coordinators, send no more together than it allows.
fn check_rate(fleet: &Fleet, runner: &RunnerStandIn, came: &[Came]) {
    for RateSpell { rate, first, last } in rate_spells(came) {
        let told_at = |daemon: usize| {
            let told = came
                .iter()
                .find(|it| it.daemon == daemon && names(it, rate));
            told.map(|it| it.at + TOLD)
        };
        let counts = |it: &&Came| {
            let is_told = told_at(it.daemon).is_some_and(|told| it.at >= told);
            is_told && !is_excused(fleet, it.daemon, first, it.at)
        };
        let requests = came.iter().filter(counts).map(|it| it.at);
        let mut counted: Vec<Instant> = requests.chain(runner.control_calls()).collect();
        let is_bound = |at: &Instant| *at >= first + RATE_GRACE && *at <= last;
        counted.retain(|at| is_bound(at) && !was_held_up(fleet, runner, *at));
        counted.sort_unstable();
        let most = most_in_a_span(&counted);
        let bound = rate * RATE_SPAN.as_secs_f64() * RATE_FACTOR + RATE_SLACK;
        #[expect(clippy::cast_precision_loss, reason = "a few")]
        let is_over = most as f64 > bound;
        if is_over {
            let id = runner.id();
            let text = format!("RATE {id} takes {rate} a second and got {most} in 4 s");
            fleet.violation(text);
        }
    }
}

/// The most of some moments, in their order, in any [`RATE_SPAN`].
fn most_in_a_span(moments: &[Instant]) -> usize {
    let in_span = |(index, at): (usize, &Instant)| {
        let later = moments[index..].iter();
        later
            .take_while(|it| it.duration_since(*at) < RATE_SPAN)
            .count()
    };
    let spans = moments.iter().enumerate().map(in_span);
    spans.max().unwrap_or(0)
}

/// One daemon's requests to a runner that has asked it for rest.
fn check_rests(fleet: &Fleet, runner: &RunnerStandIn, own: &[Came]) {
    for asked in own {
        let Some(Notice::Rest(rest)) = asked.said else {
            continue;
        };
        let in_rest = own
            .iter()
            .filter(|it| it.at > asked.at + TOLD && it.at < asked.at + rest)
            .filter(|it| !is_excused(fleet, it.daemon, asked.at, it.at))
            .filter(|it| !was_held_up(fleet, runner, it.at));
        let count = in_rest.count();
        if count > IN_REST_ALLOWED {
            let (id, daemon) = (runner.id(), asked.daemon);
            fleet.violation(format!(
                "REST {id} got {count} requests from daemon-{daemon} in its rest"
            ));
            return;
        }
    }
}

/// One daemon's requests to a runner that has told it that it leaves.
fn check_leave(fleet: &Fleet, runner: &RunnerStandIn, own: &[Came]) {
    let Some(told) = own.iter().find(|it| it.said == Some(Notice::Leaving)) else {
        return;
    };
    let late = own
        .iter()
        .filter(|it| it.at > told.at + LEAVE_BOUND)
        .filter(|it| !is_excused(fleet, it.daemon, told.at, it.at))
        .filter(|it| !was_held_up(fleet, runner, it.at));
    let count = late.count();
    if count > 0 {
        let (id, daemon) = (runner.id(), told.daemon);
        fleet.violation(format!(
            "LEAVE {id} got {count} requests from daemon-{daemon} 2 s after it had said that it leaves"
        ));
    }
}
