//! Chooses the runner for a request.
//!
//! Runners outside the homes of a request are none for it.
//! Runners that are well come first, and among them those in the daemon's own zone until they are half full; those of
//! other regions come last.
//! Among equals, a request with shared prompt parts goes to the runner that all daemons agree on for these parts
//! (rendezvous hashing), so that the prompt memory is found again without any message; any other request goes to
//! the runner with the least of this daemon's requests.
//!
//! A daemon keeps to that runner only while its own requests tell it how full the runner is. Where a runner has
//! fewer slots than there are daemons, they tell it nothing, and hundreds of daemons would fill one runner before
//! they hear of it. There each request takes a runner at random, weighted by the room that it has: what is told of
//! loads is about a second old, and if all turned to the emptiest runner, or each to one of its own zone, they
//! would fill it together.

use std::cmp::Ordering;
use std::collections::HashMap;

use flaxward_types::time::Timestamp;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::availability::Availability;
use crate::cold::spells::Spells;
use crate::health::HealthTable;
use crate::homes::Homes;
use crate::locality::Distance;
use crate::names::{RunnerId, ServiceName, Unit};
use crate::runners::Runner;

/// Share of a runner's slots, divided among the daemons, from which affinity gives way to load.
const AFFINITY_LOAD: f64 = 0.8;
/// Requests of one daemon that this share must allow for its own requests to tell how full a runner is.
const LEAST_OWN_REQUESTS: f64 = 1.0;
/// Weight of a runner in the daemon's own zone beside one of another zone, where runners are taken at random.
const ZONE_WEIGHT: f64 = 2.0;
/// The same for a runner in another region: an empty one is as good as a near one that is nearly full.
const ABROAD_WEIGHT: f64 = 0.05;

/// Filled share of a runner's slots from which others come first.
const CROWDED_SHARE: f64 = 0.75;
/// Filled share of a runner's slots from which it counts as full.
const FULL_SHARE: f64 = 1.0;
/// Filled share from which a runner in the daemon's own zone no longer comes before those of other zones.
const LOCAL_SHARE: f64 = 0.5;
/// Filled share from which the coordinator tells of a runner's load; a little below the share above.
const TOLD_SHARE: f64 = 0.4;
/// Filled share that is assumed of a runner of which nothing is told: the middle below the share above.
const UNTOLD_SHARE: f64 = 0.2;
/// Least free share that is reckoned with, so that a full runner still has its place among others.
const LEAST_FREE_SHARE: f64 = 0.05;

/// What the choice depends on besides the request.
#[derive(Debug)]
pub struct Situation<'a> {
    /// The runners, and which of them may get requests.
    pub availability: Availability<'a>,
    /// Which of them are cold.
    pub spells: &'a Spells,
    /// Their health.
    pub health: &'a HealthTable,
    /// This daemon's requests at each runner.
    pub in_flight: &'a HashMap<RunnerId, u32>,
    /// Requests of all daemons at runners that are crowded, as told a while ago.
    pub loads: &'a HashMap<RunnerId, u32>,
    /// Daemons that share the runners.
    pub daemons: usize,
    /// A random number of this request.
    pub random: u64,
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
    /// Where it may be served.
    pub homes: &'a Homes,
    /// Runners that this request has been to.
    pub tried: &'a [RunnerId],
    /// Runners without a permit for this request before a time.
    pub held_back: &'a [HeldBack],
}

/// A runner that needs a permit has no room for a request yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldBack {
    /// The runner.
    pub runner: RunnerId,
    /// When it may have room.
    pub until: Timestamp,
}

/// Why no runner was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRunner {
    /// No runner of the service is known that takes work.
    NoneOfService,
    /// Runners take work, and none of them is within the homes of the request.
    NoneAtHome,
    /// Runners are there, and none holds the unit.
    NotLoaded,
    /// All that could serve were tried.
    AllTried,
    /// Those that could serve and were not tried rest, or need a permit and have no room.
    NoRoom {
        /// When the first of them may have.
        until: Timestamp,
    },
}

/// Chooses a runner.
///
/// # Errors
/// Says why there is none.
pub fn choose<'a>(situation: &Situation<'a>, wanted: &Wanted<'_>) -> Result<&'a Runner, NoRunner> {
    let availability = &situation.availability;
    let all: Vec<&Runner> = availability.usable(wanted.service).collect();
    if all.is_empty() {
        return Err(NoRunner::NoneOfService);
    }
    let at_home: Vec<&Runner> = all
        .into_iter()
        .filter(|runner| availability.is_at_home(runner, wanted.homes))
        .collect();
    if at_home.is_empty() {
        return Err(NoRunner::NoneAtHome);
    }
    let able: Vec<&Runner> = at_home
        .into_iter()
        .filter(|runner| availability.is_able(runner, wanted.unit, situation.now))
        .collect();
    if able.is_empty() {
        return Err(NoRunner::NotLoaded);
    }
    let untried: Vec<&Runner> = able
        .into_iter()
        .filter(|runner| !wanted.tried.contains(&runner.id))
        .collect();
    let with_room = untried
        .iter()
        .filter(|runner| room_at(situation, wanted, runner).is_none());
    let chosen = with_room
        .map(|runner| (rank(situation, wanted, runner), *runner))
        .min_by(|(left, _), (right, _)| left.order(right));
    if let Some((_, runner)) = chosen {
        return Ok(runner);
    }
    let room_at = untried
        .iter()
        .filter_map(|runner| room_at(situation, wanted, runner))
        .min();
    Err(room_at.map_or(NoRunner::AllTried, |until| NoRunner::NoRoom { until }))
}

/// When a runner may have room for the request, if it has none now.
fn room_at(situation: &Situation<'_>, wanted: &Wanted<'_>, runner: &Runner) -> Option<Timestamp> {
    let held_back = wanted.held_back.iter();
    let of_runner = held_back.filter(|it| it.runner == runner.id && it.until > situation.now);
    let held_back_until = of_runner.map(|it| it.until).max();
    let rests_until = situation
        .availability
        .notices
        .rests_until(&runner.id, situation.now);
    held_back_until.max(rests_until)
}

/// Condition of a runner, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Condition {
    Well,
    Crowded,
    /// It gets only what permits allow.
    NeedsPermit,
    Doubtful,
    Overloaded,
    Ejected,
}

/// Order of preference; the least comes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Rank {
    condition: Condition,
    /// The own zone counts as one with its region from some load on.
    nearness: Distance,
    load: u32,
    distance: f64,
}

impl Rank {
    fn order(&self, other: &Self) -> Ordering {
        let by_condition = self.condition.cmp(&other.condition);
        by_condition
            .then_with(|| self.nearness.cmp(&other.nearness))
            .then_with(|| self.load.cmp(&other.load))
            .then_with(|| self.distance.total_cmp(&other.distance))
    }
}

fn rank(situation: &Situation<'_>, wanted: &Wanted<'_>, runner: &Runner) -> Rank {
    let in_flight = situation.in_flight.get(&runner.id).copied().unwrap_or(0);
    if wanted.unit.is_some() && own_share(situation, runner) < LEAST_OWN_REQUESTS {
        return rank_at_random(situation, runner, in_flight);
    }
    let load = if wanted.affinity.is_some() {
        0
    } else {
        in_flight
    };
    let filled = filled_share(situation, runner, in_flight);
    let nearness = match situation.availability.locality.distance(&runner.zone) {
        Distance::SameZone if filled >= LOCAL_SHARE => Distance::SameRegion,
        distance => distance,
    };
    let hash = hash(wanted.affinity.unwrap_or(situation.random), runner);
    Rank {
        condition: condition(situation, runner, in_flight),
        nearness,
        load,
        distance: distance(hash, (1.0 - filled).max(LEAST_FREE_SHARE)),
    }
}

/// Rank of a runner whose load this daemon's own requests do not tell.
fn rank_at_random(situation: &Situation<'_>, runner: &Runner, in_flight: u32) -> Rank {
    let filled = filled_share(situation, runner, in_flight);
    let free = (1.0 - filled).max(LEAST_FREE_SHARE);
    let weight = match situation.availability.locality.distance(&runner.zone) {
        Distance::SameZone => free * ZONE_WEIGHT,
        Distance::SameRegion => free,
        Distance::OtherRegion => free * ABROAD_WEIGHT,
    };
    let condition = match condition(situation, runner, in_flight) {
        Condition::Crowded => Condition::Well,
        other => other,
    };
    Rank {
        condition,
        nearness: Distance::SameRegion,
        load: 0,
        distance: distance(hash(situation.random, runner), weight),
    }
}

/// Share of a runner's slots that is filled, as far as is known.
fn filled_share(situation: &Situation<'_>, runner: &Runner, in_flight: u32) -> f64 {
    let slots = f64::from(runner.slots.max(1));
    let told = situation.loads.get(&runner.id);
    let told = told.map_or(UNTOLD_SHARE, |&requests| f64::from(requests) / slots);
    told.max(f64::from(in_flight) / slots)
}

/// Place of a runner for a key under weighted rendezvous hashing: the least is chosen, and each of several
/// runners is so for a part of the keys in proportion to its weight, which is above 0.
#[allow(clippy::cast_precision_loss)]
fn distance(hash: u64, weight: f64) -> f64 {
    const FRACTION_BITS: u32 = 53;
    let fraction = (hash >> (u64::BITS - FRACTION_BITS)) as f64 + 1.0;
    let uniform = fraction / ((1_u64 << FRACTION_BITS) as f64 + 1.0);
    -uniform.ln() / weight
}

fn condition(situation: &Situation<'_>, runner: &Runner, in_flight: u32) -> Condition {
    let (health, now) = (situation.health, situation.now);
    if health.is_ejected(&runner.id, now) {
        Condition::Ejected
    } else if is_overloaded(situation, runner, in_flight) {
        Condition::Overloaded
    } else if health.is_doubtful(&runner.id, now) {
        Condition::Doubtful
    } else if needs_permit(situation, runner) {
        Condition::NeedsPermit
    } else if told_load(situation, runner) >= CROWDED_SHARE {
        Condition::Crowded
    } else {
        Condition::Well
    }
}

fn needs_permit(situation: &Situation<'_>, runner: &Runner) -> bool {
    situation.spells.is_cold(&runner.id, situation.now)
        || situation
            .availability
            .notices
            .rate_limit(&runner.id)
            .is_some()
}

/// Whether daemons must know that a runner has this many requests of all of them.
pub fn is_worth_telling(requests: u32, slots: u32) -> bool {
    f64::from(requests) >= f64::from(slots.max(1)) * TOLD_SHARE
}

/// Share of a runner's slots that all daemons together have filled, by the last word of it.
fn told_load(situation: &Situation<'_>, runner: &Runner) -> f64 {
    let requests = situation.loads.get(&runner.id).copied().unwrap_or(0);
    f64::from(requests) / f64::from(runner.slots.max(1))
}

fn is_overloaded(situation: &Situation<'_>, runner: &Runner, in_flight: u32) -> bool {
    let is_full = situation.health.has_refused(&runner.id, situation.now);
    if is_full || told_load(situation, runner) >= FULL_SHARE {
        return true;
    }
    f64::from(in_flight) >= own_share(situation, runner).max(2.0)
}

/// Requests that this daemon may have at a runner if each daemon has as many.
#[allow(clippy::cast_precision_loss)]
fn own_share(situation: &Situation<'_>, runner: &Runner) -> f64 {
    f64::from(runner.slots) * AFFINITY_LOAD / situation.daemons.max(1) as f64
}

fn hash(key: u64, runner: &Runner) -> u64 {
    xxh3_64_with_seed(runner.id.as_str().as_bytes(), key)
}
