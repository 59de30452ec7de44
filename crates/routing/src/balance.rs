//! Chooses the runner for a request.
//!
//! Runners that are well and in the daemon's own zone come first. Among equals, a request with shared
//! prompt parts goes to the runner that all daemons agree on for these parts (rendezvous hashing), so
//! that the prompt memory is found again without any message; any other request goes to the runner
//! with the least of this daemon's requests.

use std::collections::HashMap;

use flaxward_types::time::Timestamp;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::health::HealthTable;
use crate::names::{RunnerId, ServiceName, Unit, Zone};
use crate::runners::{Runner, RunnerTable};

/// Share of a runner's slots, divided among the daemons, from which affinity gives way to load.
const AFFINITY_LOAD: f64 = 0.8;

/// Filled share of a runner's slots from which others come first.
const CROWDED_SHARE: f64 = 0.75;
/// Filled share of a runner's slots from which it counts as full.
const FULL_SHARE: f64 = 1.0;

/// What the choice depends on besides the request.
#[derive(Debug)]
pub struct Situation<'a> {
    /// The runners.
    pub runners: &'a RunnerTable,
    /// Their health.
    pub health: &'a HealthTable,
    /// This daemon's requests at each runner.
    pub in_flight: &'a HashMap<RunnerId, u32>,
    /// Requests of all daemons at runners that are crowded, as told a while ago.
    pub loads: &'a HashMap<RunnerId, u32>,
    /// This daemon's zone.
    pub zone: &'a Zone,
    /// Daemons that share the runners.
    pub daemons: usize,
    /// The time.
    pub now: Timestamp,
}

/// What a request needs.
#[derive(Clone, Debug)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model and adapter, if the service has an engine.
    pub unit: Option<&'a Unit>,
    /// Hash of the shared prompt parts, if there are any.
    pub affinity: Option<u64>,
    /// Runners that this request has been to.
    pub tried: &'a [RunnerId],
}

/// Why no runner was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRunner {
    /// No runner of the service is known that takes work.
    NoneOfService,
    /// Runners are there, and none holds the unit.
    NotLoaded,
    /// All that could serve were tried.
    AllTried,
}

/// Chooses a runner.
///
/// # Errors
/// Says why there is none.
pub fn choose<'a>(situation: &Situation<'a>, wanted: &Wanted<'_>) -> Result<&'a Runner, NoRunner> {
    let all: Vec<&Runner> = situation
        .runners
        .iter()
        .filter(|runner| runner.service == *wanted.service && !runner.draining)
        .collect();
    if all.is_empty() {
        return Err(NoRunner::NoneOfService);
    }
    let able: Vec<&Runner> = all
        .into_iter()
        .filter(|runner| is_able(situation, wanted, runner))
        .collect();
    if able.is_empty() {
        return Err(NoRunner::NotLoaded);
    }
    let untried = able
        .into_iter()
        .filter(|runner| !wanted.tried.contains(&runner.id));
    untried
        .min_by_key(|runner| rank(situation, wanted, runner))
        .ok_or(NoRunner::AllTried)
}

fn is_able(situation: &Situation<'_>, wanted: &Wanted<'_>, runner: &Runner) -> bool {
    match wanted.unit {
        Some(unit) => situation.runners.holds(runner, unit, situation.now),
        None => true,
    }
}

/// Condition of a runner, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Condition {
    Well,
    Crowded,
    Cold,
    Doubtful,
    Overloaded,
    Ejected,
}

/// Order of preference; the least comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    condition: Condition,
    is_in_other_zone: bool,
    load: u32,
    hash: u64,
}

fn rank(situation: &Situation<'_>, wanted: &Wanted<'_>, runner: &Runner) -> Rank {
    let in_flight = situation.in_flight.get(&runner.id).copied().unwrap_or(0);
    let load = if wanted.affinity.is_some() {
        0
    } else {
        in_flight
    };
    Rank {
        condition: condition(situation, runner, in_flight),
        is_in_other_zone: runner.zone != *situation.zone,
        load,
        hash: hash(wanted.affinity.unwrap_or(situation.now.0), runner),
    }
}

fn condition(situation: &Situation<'_>, runner: &Runner, in_flight: u32) -> Condition {
    let (health, now) = (situation.health, situation.now);
    if health.is_ejected(&runner.id, now) {
        Condition::Ejected
    } else if is_overloaded(situation, runner, in_flight) {
        Condition::Overloaded
    } else if health.is_doubtful(&runner.id, now) {
        Condition::Doubtful
    } else if !runner.cold_for.is_zero() {
        Condition::Cold
    } else if told_load(situation, runner) >= CROWDED_SHARE {
        Condition::Crowded
    } else {
        Condition::Well
    }
}

/// Whether others come before a runner with this many requests of all daemons.
pub fn is_crowded(requests: u32, slots: u32) -> bool {
    f64::from(requests) >= f64::from(slots.max(1)) * CROWDED_SHARE
}

/// Share of a runner's slots that all daemons together have filled, by the last word of it.
fn told_load(situation: &Situation<'_>, runner: &Runner) -> f64 {
    let requests = situation.loads.get(&runner.id).copied().unwrap_or(0);
    f64::from(requests) / f64::from(runner.slots.max(1))
}

fn is_overloaded(situation: &Situation<'_>, runner: &Runner, in_flight: u32) -> bool {
    if told_load(situation, runner) >= FULL_SHARE {
        return true;
    }
    #[allow(clippy::cast_precision_loss)]
    let share = f64::from(runner.slots) * AFFINITY_LOAD / situation.daemons.max(1) as f64;
    f64::from(in_flight) >= share.max(2.0)
}

fn hash(key: u64, runner: &Runner) -> u64 {
    xxh3_64_with_seed(runner.id.as_str().as_bytes(), key)
}
