//! Selects the runner for a request.
//!
//! Runners outside the home regions of the request are not eligible. Healthy runners are preferred, and among them
//! those in the daemon's own zone until they are half full; runners in other regions come last. Among equals, a request
//! with a shared prompt prefix goes to the runner that rendezvous hashing of the prefix yields on every daemon, so that
//! the prefix cache is hit without coordination messages; any other request goes to the runner with the fewest requests
//! from this daemon.
//!
//! Affinity applies only while the daemon can estimate a runner's load from its own requests. Where a runner has fewer
//! slots than there are daemons, it cannot, and hundreds of daemons would overload one runner before load reports
//! arrive. In that case each request takes a random runner, weighted by free capacity: load reports are about a second
//! old, and if all daemons chose the least loaded runner, or each chose one in its own zone, they would overload it
//! together.

use std::cmp::Ordering;
use std::collections::HashMap;

use flaxward_types::time::Timestamp;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::availability::Availability;
use crate::cold::periods::ColdPeriods;
use crate::health::HealthTable;
use crate::homes::{Homes, allows_version};
use crate::locality::Distance;
use crate::names::{RunnerId, ServiceName, SoftwareVersion, Unit};
use crate::runners::Runner;

/// Fraction of a runner's slots, divided among the daemons, above which load takes precedence over affinity.
const MAX_AFFINITY_UTILIZATION: f64 = 0.8;
/// Minimum number of requests in a daemon's share at which its own requests are a usable estimate of a runner's load.
const MIN_OWN_SHARE: f64 = 1.0;
/// Weight of a runner in the daemon's own zone relative to one in another zone, for random selection.
const OWN_ZONE_WEIGHT: f64 = 2.0;
/// Relative weight of a runner in another region: an idle one ranks like a nearly full one in the same region.
const OTHER_REGION_WEIGHT: f64 = 0.05;

/// Utilization from which less loaded runners are preferred.
const BUSY_UTILIZATION: f64 = 0.75;
/// Utilization from which a runner counts as full.
const FULL_UTILIZATION: f64 = 1.0;
/// Utilization from which a runner in the daemon's own zone is no longer preferred to those in other zones.
const LOCAL_UTILIZATION: f64 = 0.5;
/// Utilization from which the coordinator reports a runner's load; slightly below [`LOCAL_UTILIZATION`].
const REPORTED_UTILIZATION: f64 = 0.4;
/// Utilization assumed for a runner without a load report: half of [`REPORTED_UTILIZATION`].
const DEFAULT_UTILIZATION: f64 = 0.2;
/// Lower bound for the free fraction, so that a full runner still has a defined rank.
const MIN_FREE_FRACTION: f64 = 0.05;

/// State that the selection depends on besides the request.
#[derive(Debug)]
pub struct SelectionContext<'a> {
    /// The runners, and which of them are eligible for requests.
    pub availability: Availability<'a>,
    /// Which runners are cold.
    pub spells: &'a ColdPeriods,
    /// Health of the runners.
    pub health: &'a HealthTable,
    /// Requests of this daemon in progress at each runner.
    pub in_flight: &'a HashMap<RunnerId, u32>,
    /// Requests of all daemons at runners with a high load, from load reports that are about a second old.
    pub loads: &'a HashMap<RunnerId, u32>,
    /// Number of daemons that share the runners.
    pub daemons: usize,
    /// Random number drawn for this request.
    pub random: u64,
    /// Current time.
    pub now: Timestamp,
}

/// Requirements of a request for its runner.
#[derive(Clone, Debug)]
pub struct SelectionCriteria<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model and adapter, if the service runs an engine.
    pub unit: Option<&'a Unit>,
    /// Hash of the shared prompt prefix, if there is one.
    pub affinity: Option<u64>,
    /// Regions in which the request may be served.
    pub homes: &'a Homes,
    /// The only software version that the runner may have, if the request continues a stream.
    pub software_version: Option<&'a SoftwareVersion>,
    /// Runners that were already tried for this request.
    pub tried: &'a [RunnerId],
    /// Runners that give this request no permit before a given time.
    pub permit_waits: &'a [PermitWait],
}

/// A runner that requires a permit and has no capacity for the request yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitWait {
    /// The runner.
    pub runner: RunnerId,
    /// Time from which it may have capacity.
    pub until: Timestamp,
}

/// Reason why no runner was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRunner {
    /// No known runner of the service accepts requests.
    NoneOfService,
    /// Runners accept requests, but none is in a home region of the request.
    NoneAtHome,
    /// Runners are available, but none has the software version that began the stream.
    NoneOfVersion,
    /// Runners are available, but none has the unit loaded.
    NotLoaded,
    /// All runners that could serve the request were tried.
    AllTried,
    /// The untried runners that could serve the request are resting, or require a permit and have no capacity.
    NoRoom {
        /// Earliest time at which one of them may have capacity.
        until: Timestamp,
    },
}

/// Selects a runner for a request.
///
/// # Errors
/// Returns the reason if no runner is eligible.
pub fn choose<'a>(
    context: &SelectionContext<'a>,
    criteria: &SelectionCriteria<'_>,
) -> Result<&'a Runner, NoRunner> {
    let availability = &context.availability;
    let all: Vec<&Runner> = availability.usable(criteria.service).collect();
    if all.is_empty() {
        return Err(NoRunner::NoneOfService);
    }
    let in_home_region: Vec<&Runner> = all
        .into_iter()
        .filter(|runner| availability.is_in_home_region(runner, criteria.homes))
        .collect();
    if in_home_region.is_empty() {
        return Err(NoRunner::NoneAtHome);
    }
    let of_version: Vec<&Runner> = in_home_region
        .into_iter()
        .filter(|runner| allows_version(criteria.software_version, runner))
        .collect();
    if of_version.is_empty() {
        return Err(NoRunner::NoneOfVersion);
    }
    let loaded: Vec<&Runner> = of_version
        .into_iter()
        .filter(|runner| availability.holds_unit(runner, criteria.unit, context.now))
        .collect();
    if loaded.is_empty() {
        return Err(NoRunner::NotLoaded);
    }
    let untried: Vec<&Runner> = loaded
        .into_iter()
        .filter(|runner| !criteria.tried.contains(&runner.id))
        .collect();
    let with_capacity = untried
        .iter()
        .filter(|runner| available_at(context, criteria, runner).is_none());
    let chosen = with_capacity
        .map(|runner| (rank(context, criteria, runner), *runner))
        .min_by(|(left, _), (right, _)| left.order(right));
    if let Some((_, runner)) = chosen {
        return Ok(runner);
    }
    let available_at = untried
        .iter()
        .filter_map(|runner| available_at(context, criteria, runner))
        .min();
    Err(available_at.map_or(NoRunner::AllTried, |until| NoRunner::NoRoom { until }))
}

/// Time at which a runner may have capacity for the request; `None` if it has capacity now.
fn available_at(
    context: &SelectionContext<'_>,
    criteria: &SelectionCriteria<'_>,
    runner: &Runner,
) -> Option<Timestamp> {
    let permit_waits = criteria.permit_waits.iter();
    let of_runner = permit_waits.filter(|it| it.runner == runner.id && it.until > context.now);
    let permit_wait_until = of_runner.map(|it| it.until).max();
    let resting_until = context
        .availability
        .notices
        .rests_until(&runner.id, context.now);
    permit_wait_until
        .max(resting_until)
        .max(bearable_at(context, runner))
}

/// Time at which a brittle runner may be sent a request without a keeper that gives permits; `None` if now.
fn bearable_at(context: &SelectionContext<'_>, runner: &Runner) -> Option<Timestamp> {
    let notices = context.availability.notices;
    if notices.concurrency.hears_keeper(context.now) {
        return None;
    }
    notices
        .rejections
        .available_at(&runner.id, context.daemons, context.now)
}

/// Condition of a runner, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Condition {
    Healthy,
    Busy,
    /// Requests need a permit: the runner is cold or has a rate limit.
    NeedsPermit,
    Degraded,
    Overloaded,
    Ejected,
}

/// Sort key of a runner; the lowest is preferred.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Rank {
    condition: Condition,
    /// From [`LOCAL_UTILIZATION`] on, the own zone counts like the rest of its region.
    proximity: Distance,
    load: u32,
    score: f64,
}

impl Rank {
    fn order(&self, other: &Self) -> Ordering {
        let by_condition = self.condition.cmp(&other.condition);
        by_condition
            .then_with(|| self.proximity.cmp(&other.proximity))
            .then_with(|| self.load.cmp(&other.load))
            .then_with(|| self.score.total_cmp(&other.score))
    }
}

fn rank(context: &SelectionContext<'_>, criteria: &SelectionCriteria<'_>, runner: &Runner) -> Rank {
    let in_flight = context.in_flight.get(&runner.id).copied().unwrap_or(0);
    if criteria.unit.is_some() && own_share(context, runner) < MIN_OWN_SHARE {
        return rank_at_random(context, runner, in_flight);
    }
    let load = if criteria.affinity.is_some() {
        0
    } else {
        in_flight
    };
    let utilization = utilization(context, runner, in_flight);
    let proximity = match context.availability.locality.distance(&runner.zone) {
        Distance::SameZone if utilization >= LOCAL_UTILIZATION => Distance::SameRegion,
        distance => distance,
    };
    let hash = hash(criteria.affinity.unwrap_or(context.random), runner);
    Rank {
        condition: condition(context, runner, in_flight),
        proximity,
        load,
        score: score(hash, (1.0 - utilization).max(MIN_FREE_FRACTION)),
    }
}

/// Rank of a runner whose load cannot be estimated from this daemon's own requests.
fn rank_at_random(context: &SelectionContext<'_>, runner: &Runner, in_flight: u32) -> Rank {
    let utilization = utilization(context, runner, in_flight);
    let free = (1.0 - utilization).max(MIN_FREE_FRACTION);
    let weight = match context.availability.locality.distance(&runner.zone) {
        Distance::SameZone => free * OWN_ZONE_WEIGHT,
        Distance::SameRegion => free,
        Distance::OtherRegion => free * OTHER_REGION_WEIGHT,
    };
    let condition = match condition(context, runner, in_flight) {
        Condition::Busy => Condition::Healthy,
        other => other,
    };
    Rank {
        condition,
        proximity: Distance::SameRegion,
        load: 0,
        score: score(hash(context.random, runner), weight),
    }
}

/// Best estimate of a runner's utilization.
fn utilization(context: &SelectionContext<'_>, runner: &Runner, in_flight: u32) -> f64 {
    let slots = f64::from(runner.slots.max(1));
    let reported = context.loads.get(&runner.id);
    let reported = reported.map_or(DEFAULT_UTILIZATION, |&requests| f64::from(requests) / slots);
    reported.max(f64::from(in_flight) / slots)
}

/// Score of a runner for a key under weighted rendezvous hashing. The lowest score wins, and each runner wins a fraction
/// of the keys in proportion to its weight, which must be positive.
#[allow(clippy::cast_precision_loss)]
fn score(hash: u64, weight: f64) -> f64 {
    const FRACTION_BITS: u32 = 53;
    let fraction = (hash >> (u64::BITS - FRACTION_BITS)) as f64 + 1.0;
    let uniform = fraction / ((1_u64 << FRACTION_BITS) as f64 + 1.0);
    -uniform.ln() / weight
}

fn condition(context: &SelectionContext<'_>, runner: &Runner, in_flight: u32) -> Condition {
    let (health, now) = (context.health, context.now);
    if health.is_ejected(&runner.id, now) {
        Condition::Ejected
    } else if is_overloaded(context, runner, in_flight) {
        Condition::Overloaded
    } else if health.is_degraded(&runner.id, now) {
        Condition::Degraded
    } else if needs_permit(context, runner) {
        Condition::NeedsPermit
    } else if reported_utilization(context, runner) >= BUSY_UTILIZATION {
        Condition::Busy
    } else {
        Condition::Healthy
    }
}

fn needs_permit(context: &SelectionContext<'_>, runner: &Runner) -> bool {
    context.spells.is_cold(&runner.id, context.now)
        || context
            .availability
            .notices
            .rate_limit(&runner.id)
            .is_some()
}

/// Whether a runner's total number of requests is high enough to be reported to the daemons.
pub fn is_load_reportable(requests: u32, slots: u32) -> bool {
    f64::from(requests) >= f64::from(slots.max(1)) * REPORTED_UTILIZATION
}

/// Utilization of a runner by all daemons, from its last load report.
fn reported_utilization(context: &SelectionContext<'_>, runner: &Runner) -> f64 {
    let requests = context.loads.get(&runner.id).copied().unwrap_or(0);
    f64::from(requests) / f64::from(runner.slots.max(1))
}

fn is_overloaded(context: &SelectionContext<'_>, runner: &Runner, in_flight: u32) -> bool {
    let is_full = context.health.refused_recently(&runner.id, context.now);
    if is_full || reported_utilization(context, runner) >= FULL_UTILIZATION {
        return true;
    }
    f64::from(in_flight) >= own_share(context, runner).max(2.0)
}

/// Number of requests that this daemon may have at a runner if all daemons have equal shares.
#[allow(clippy::cast_precision_loss)]
fn own_share(context: &SelectionContext<'_>, runner: &Runner) -> f64 {
    f64::from(runner.slots) * MAX_AFFINITY_UTILIZATION / context.daemons.max(1) as f64
}

fn hash(key: u64, runner: &Runner) -> u64 {
    xxh3_64_with_seed(runner.id.as_str().as_bytes(), key)
}
