//! Updates the cold periods of runners and logs the transitions.

use std::collections::HashSet;
use std::fmt::Display;

use flaxward_routing::cold::periods::Transition;
use flaxward_routing::evacuation::Evacuations;
use flaxward_routing::names::Zone;
use flaxward_routing::runners::Runner;

use crate::state::{Shared, Tables};

/// Updates the cold periods after entries of runners have changed.
pub(crate) fn update_cold_periods(shared: &Shared) {
    let now = shared.now();
    let mut guard = shared.tables();
    let Tables {
        runners,
        cold_periods,
        ..
    } = &mut *guard;
    let transitions = cold_periods.update_all(runners, now);
    drop(guard);
    log_transitions(shared, &transitions, "entry");
}

/// Marks the runners of zones whose evacuation has just ended as cold for a whole cold period: they
/// may have turned cold without this daemon observing it. `before` are the previous evacuations.
pub(crate) fn mark_returned_zones_cold(shared: &Shared, before: &Evacuations) {
    let now = shared.now();
    let evacuations = shared.tables().evacuations.clone();
    let ended: HashSet<&Zone> = before
        .zones
        .iter()
        .filter(|zone| !evacuations.zones.contains(zone))
        .collect();
    if ended.is_empty() || shared.settings.cold_runners.is_none() {
        return;
    }
    let Some(configuration) = shared.configuration() else {
        return;
    };
    let cold_start = |runner: &Runner| configuration.service(&runner.service)?.cold_start;
    let mut guard = shared.tables();
    let Tables {
        runners,
        cold_periods,
        ..
    } = &mut *guard;
    let returned = runners.iter().filter(|it| ended.contains(&it.zone));
    let transitions: Vec<Transition> = returned
        .filter_map(|runner| Some((runner, cold_start(runner)?.duration)))
        .map(|(runner, duration)| cold_periods.mark_suspected(runner, duration, now))
        .collect();
    drop(guard);
    log_transitions(shared, &transitions, "evacuation-end");
}

/// Logs the runners whose cold periods have ended, and wakes requests that wait for one.
pub(crate) fn end_cold_periods(shared: &Shared) {
    let now = shared.now();
    let transitions = shared.tables().cold_periods.take_ended(now);
    if transitions.is_empty() {
        return;
    }
    log_transitions(shared, &transitions, "clock");
    shared.changed.notify_waiters();
}

/// Writes one line for the runners that turned cold and one for those that are warm again, since
/// all runners of a zone return at once.
fn log_transitions(shared: &Shared, transitions: &[Transition], cause: &str) {
    let (cold, warm): (Vec<&Transition>, Vec<&Transition>) = transitions
        .iter()
        .partition(|transition| transition.cold_for.is_some());
    log_runners(shared, "runners-cold", &cold, cause);
    log_runners(shared, "runners-warm", &warm, cause);
}

fn log_runners(shared: &Shared, event: &str, transitions: &[&Transition], cause: &str) {
    if transitions.is_empty() {
        return;
    }
    let names: Vec<&str> = transitions
        .iter()
        .map(|transition| transition.runner.as_str())
        .collect();
    let max_duration = transitions
        .iter()
        .filter_map(|transition| transition.cold_for)
        .max();
    let fields: &[(&str, &dyn Display)] = &[
        ("count", &transitions.len()),
        ("cause", &cause),
        ("longest_ms", &max_duration.unwrap_or_default().as_millis()),
        ("runners", &names.join(",")),
    ];
    shared.log.write(shared.now(), event, fields);
}
