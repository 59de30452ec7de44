//! The promises, checked by what callers and runners saw.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use flaxward_platform_stand_in::{CRASHING_BODY, RunnerStandIn, WorkKind};

use crate::caller_faults::{KEYED_ROUTE, QUOTA_BURST, QUOTA_RATE};
use crate::callers::{Ending, Outcome};
use crate::disturbances::Target;
use crate::fleet::{Fleet, Started, locked};
use crate::notice_checks;
use crate::regions::Region;
use crate::store_checks;

/// Time after a disturbance in which promises with a time bound do not hold.
pub(crate) const CALM: Duration = Duration::from_secs(4);
/// Time after its deadline at which a request must have its final answer; this machine may be busy.
const ANSWER_SLACK: Duration = Duration::from_secs(1);
/// Time after which a runner that leaves gets no more work.
const DRAIN_BOUND: Duration = Duration::from_millis(2_500);
/// Runners that one request may crash until it must not be sent any more.
const CRASHES_ALLOWED: usize = 3;
/// Runners that requests with one part may crash until they must not be sent any more.
const PART_CRASHES_ALLOWED: usize = 5;
/// Time after that in which all daemons that nothing disturbs must know.
const CONTACT: Duration = Duration::from_secs(3);
/// How often it may be sent after that.
const LATE_SENDS_ALLOWED: usize = 3;
/// Window in which the requests of a cold runner are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Window in which the requests of a tenant are counted.
const QUOTA_WINDOW: Duration = Duration::from_secs(8);
/// By how much they may pass its rate.
const QUOTA_FACTOR: f64 = 1.1;
/// How many more they may be, for what is under way when its excess begins.
const QUOTA_SLACK: f64 = 10.0;
/// Statuses that promise that a request did not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Runs of each request: the runner and when.
type Runs = HashMap<String, Vec<(String, Instant)>>;

/// Checks all promises and notes those that were broken.
pub(crate) fn check(fleet: &Fleet) {
    let outcomes = locked(&fleet.outcomes);
    let path_of = |outcome: &Outcome| (outcome.ask.request.clone(), outcome.ask.path.clone());
    let paths: HashMap<String, String> = outcomes.iter().map(path_of).collect();
    let mut runs = Runs::new();
    for Started { runner, zone } in locked(&fleet.runners).iter() {
        for run in runner.runs() {
            check_home(fleet, &run.request, &paths, zone);
            let entry = runs.entry(run.request).or_default();
            entry.push((runner.id().to_owned(), run.at));
        }
        check_cold(fleet, runner);
        for violation in runner.violations() {
            fleet.violation(format!("ORDERS {violation}"));
        }
    }
    for outcome in outcomes.iter() {
        let count = runs.get(&outcome.ask.request).map_or(0, Vec::len);
        if let Some(violation) = outcome_violation(fleet, outcome, count) {
            fleet.violation(violation);
        }
    }
    drop(outcomes);
    check_drains(fleet, &runs);
    check_quota(fleet, &runs, &paths);
    check_crashing_requests(fleet, &runs);
    notice_checks::check(fleet);
    store_checks::check(fleet);
}

/// No cold runner gets more than it may in any second. What was held up on its way to the runner arrives at once; only
/// what was sent and arrived within a second counts.
fn check_cold(fleet: &Fleet, runner: &RunnerStandIn) {
    let cuts = locked(&fleet.cuts);
    let was_held_up = |at: Instant| {
        let mut own = cuts.iter().filter(|cut| cut.runner == runner.id());
        own.any(|cut| (cut.begun..=cut.ended + COLD_WINDOW).contains(&at))
    };
    let excesses = runner.cold_excesses().into_iter();
    let counted = excesses.filter(|excess| !was_held_up(excess.at));
    if let Some(most) = counted.map(|excess| excess.requests).max() {
        let id = runner.id();
        fleet.violation(format!("COLD {id} got {most} requests in a second"));
    }
}

/// A request of a route with a home runs there only.
fn check_home(fleet: &Fleet, request: &str, paths: &HashMap<String, String>, zone: &str) {
    let home = paths.get(request).and_then(|path| Region::home_of(path));
    if home.is_some_and(|home| home.zone != zone) {
        fleet.violation(format!("HOME {request} ran in {zone}"));
    }
}

/// In no window do more requests of the tenant run than its quota allows, those of all daemons together.
fn check_quota(fleet: &Fleet, runs: &Runs, paths: &HashMap<String, String>) {
    let prefix = format!("/{KEYED_ROUTE}/");
    let is_keyed = |request: &String| paths.get(request).is_some_and(|it| it.starts_with(&prefix));
    let first = |runs: &Vec<(String, Instant)>| runs.iter().map(|(_, at)| *at).min();
    let keyed = runs.iter().filter(|(request, _)| is_keyed(request));
    let mut began: Vec<Instant> = keyed.filter_map(|(_, runs)| first(runs)).collect();
    began.sort_unstable();
    let in_window = |(index, at): (usize, &Instant)| {
        let later = began[index..].iter();
        later
            .take_while(|it| it.duration_since(*at) < QUOTA_WINDOW)
            .count()
    };
    let most = began.iter().enumerate().map(in_window).max().unwrap_or(0);
    #[expect(clippy::cast_precision_loss, reason = "a few thousand")]
    let is_over = most as f64 > quota_bound();
    if is_over {
        fleet.violation(format!(
            "QUOTA {most} requests of the tenant ran in {} s",
            QUOTA_WINDOW.as_secs()
        ));
    }
}

fn quota_bound() -> f64 {
    QUOTA_BURST + QUOTA_RATE * QUOTA_WINDOW.as_secs_f64() * QUOTA_FACTOR + QUOTA_SLACK
}

/// A request under which three runners have crashed, or a part of prompts under which five have, is sent at most three times
/// more, later than all daemons must know, by daemons that nothing disturbed.
fn check_crashing_requests(fleet: &Fleet, runs: &Runs) {
    let mut by_cause: HashMap<(String, usize), Vec<(Instant, usize)>> = HashMap::new();
    for outcome in locked(&fleet.outcomes).iter() {
        let body = &outcome.ask.body;
        if !body.starts_with(CRASHING_BODY) {
            continue;
        }
        // The part before the request's own one is the crashing one.
        let cause = match outcome.ask.parts.iter().nth_back(1) {
            Some(part) => (format!("part {part:x}"), PART_CRASHES_ALLOWED),
            None => (body.clone(), CRASHES_ALLOWED),
        };
        let own = runs.get(&outcome.ask.request).into_iter().flatten();
        let own = own.map(|(_, at)| (*at, outcome.daemon));
        by_cause.entry(cause).or_default().extend(own);
    }
    for ((cause, allowed), mut runs) in by_cause {
        runs.sort_unstable();
        let Some(&(last, _)) = runs.get(allowed - 1) else {
            continue;
        };
        let is_late = |&&(at, daemon): &&(Instant, usize)| {
            let concerns = |target: Target| match target {
                Target::Daemon(disturbed) => disturbed == daemon,
                Target::Store => true,
                Target::Runner => false,
            };
            at > last + CONTACT && !fleet.disturbances.touched(concerns, at, at, CONTACT)
        };
        let late = runs.iter().filter(is_late).count();
        if late > LATE_SENDS_ALLOWED {
            let crashes = runs.len();
            fleet.violation(format!(
                "CRASHES {cause} was sent {late} times more, {crashes} in all"
            ));
        }
    }
}

fn outcome_violation(fleet: &Fleet, outcome: &Outcome, runs: usize) -> Option<String> {
    let request = &outcome.ask.request;
    let told = format!(
        "{request} at daemon-{} ({})",
        outcome.daemon, outcome.ask.path
    );
    let may_repeat = match outcome.ask.kind {
        WorkKind::Repeatable | WorkKind::Stream { resumable: true } => true,
        WorkKind::AtMostOnce | WorkKind::Stream { resumable: false } => false,
    };
    if !may_repeat && runs > 1 {
        return Some(format!("TWICE {told} ran {runs} times"));
    }
    match &outcome.ending {
        Ending::Wrong(what) => return Some(format!("MIXED {told}: {what}")),
        Ending::Refused(status) if NOT_RUN.contains(status) && !may_repeat && runs > 0 => {
            return Some(format!("REFUSED {told} with {status} though it ran"));
        }
        Ending::Refused(status) if NOT_RUN.contains(status) => {}
        Ending::Refused(status) if *status < 500 => {
            return Some(format!("DENIED {told} with {status}"));
        }
        Ending::Refused(_) | Ending::Broken | Ending::Silent if is_calm(fleet, outcome) => {
            return Some(format!("LOST {told} in calm: {:?}", outcome.ending));
        }
        _ => {}
    }
    let answered = outcome.answered_at.unwrap_or(outcome.ended_at);
    let is_late = answered > outcome.sent_at + outcome.ask.deadline + ANSWER_SLACK;
    (is_late && is_calm(fleet, outcome)).then(|| format!("LATE {told}"))
}

/// Whether nothing was disturbed that concerns a request. A planned stop of the daemon is no disturbance.
fn is_calm(fleet: &Fleet, outcome: &Outcome) -> bool {
    let concerns = |target: Target| match target {
        Target::Daemon(daemon) => daemon == outcome.daemon,
        Target::Store | Target::Runner => true,
    };
    let (from, to) = (outcome.sent_at, outcome.ended_at);
    let is_touched = fleet.disturbances.touched(concerns, from, to, CALM);
    !is_touched && !is_at_the_end_of_a_stop(fleet, outcome)
}

/// A stream that is still at work when the grace of a planned stop ends may be cut off, and a request that
/// comes when the process is gone finds nobody.
fn is_at_the_end_of_a_stop(fleet: &Fleet, outcome: &Outcome) -> bool {
    let margin = Duration::from_millis(500);
    locked(&fleet.stops).iter().any(|stop| {
        stop.daemon == outcome.daemon
            && stop.ended + margin >= outcome.sent_at
            && stop.ended <= outcome.ended_at + margin
            && stop.begun < outcome.ended_at
            && (stop.ended.duration_since(stop.begun) > Duration::from_secs(7)
                || outcome.sent_at + margin > stop.ended)
    })
}

fn check_drains(fleet: &Fleet, runs: &Runs) {
    let drains = locked(&fleet.drains);
    for (request, runs) in runs {
        for (runner, at) in runs {
            let Some(drain) = drains.iter().find(|drain| drain.runner == *runner) else {
                continue;
            };
            let is_late = *at > drain.at + DRAIN_BOUND;
            let touched = fleet.disturbances.touched(|_| true, drain.at, *at, CALM);
            if is_late && !touched {
                let after = at.duration_since(drain.at).as_millis();
                fleet.violation(format!("DRAIN {request} went to {runner} after {after} ms"));
            }
        }
    }
}
