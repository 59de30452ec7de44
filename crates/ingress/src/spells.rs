//! Which runners are cold: what this daemon takes in of it, and what the log tells.

use std::collections::HashSet;
use std::fmt::Display;

use flaxward_routing::cold::periods::Transition;
use flaxward_routing::evacuation::Evacuations;
use flaxward_routing::names::Zone;
use flaxward_routing::runners::Runner;

use crate::state::{Shared, Tables};

/// Takes in what the entries of the runners say, after they have changed.
pub(crate) fn take_in_spells(shared: &Shared) {
    let now = shared.now();
    let mut guard = shared.tables();
    let Tables {
        runners, spells, ..
    } = &mut *guard;
    let turns = spells.update_all(runners, now);
    drop(guard);
    log_turns(shared, &turns, "entry");
}

/// The runners of a zone whose evacuation has just ended may have turned cold unheard: they count as cold for a whole
/// spell. `before` are the evacuations until now.
pub(crate) fn suspect_returned(shared: &Shared, before: &Evacuations) {
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
        runners, spells, ..
    } = &mut *guard;
    let returned = runners.iter().filter(|it| ended.contains(&it.zone));
    let turns: Vec<Transition> = returned
        .filter_map(|runner| Some((runner, cold_start(runner)?.duration)))
        .map(|(runner, duration)| spells.mark_suspected(runner, duration, now))
        .collect();
    drop(guard);
    log_turns(shared, &turns, "evacuation-end");
}

/// Tells of the runners whose spells have ended, and wakes the requests that wait for one.
pub(crate) fn end_spells(shared: &Shared) {
    let now = shared.now();
    let turns = shared.tables().spells.take_ended(now);
    if turns.is_empty() {
        return;
    }
    log_turns(shared, &turns, "clock");
    shared.changed.notify_waiters();
}

/// Writes a line for the runners that have turned cold and one for those that are warm again: a zone comes back at once.
fn log_turns(shared: &Shared, turns: &[Transition], cause: &str) {
    let (cold, warm): (Vec<&Transition>, Vec<&Transition>) =
        turns.iter().partition(|turn| turn.cold_for.is_some());
    log_runners(shared, "runners-cold", &cold, cause);
    log_runners(shared, "runners-warm", &warm, cause);
}

fn log_runners(shared: &Shared, event: &str, turns: &[&Transition], cause: &str) {
    if turns.is_empty() {
        return;
    }
    let names: Vec<&str> = turns.iter().map(|turn| turn.runner.as_str()).collect();
    let longest = turns.iter().filter_map(|turn| turn.cold_for).max();
    let fields: &[(&str, &dyn Display)] = &[
        ("count", &turns.len()),
        ("cause", &cause),
        ("longest_ms", &longest.unwrap_or_default().as_millis()),
        ("runners", &names.join(",")),
    ];
    shared.log.write(shared.now(), event, fields);
}
