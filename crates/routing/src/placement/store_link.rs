//! Limit on concurrent loads from the weight store.
//!
//! The weight store is a link shared by all runners. Up to some number of loads, each runs at full
//! speed; beyond it all of them slow down in proportion, so that more concurrent loads gain nothing
//! and delay every one. The number is not configured and may change. It is estimated in the same
//! way as TCP congestion control estimates the rate of a path. The *slowdown* of a load is its
//! duration divided by the nominal duration that the operators configured. While loads run at full
//! speed the limit rises, doubling each round at first (slow start) and later in steps that double
//! as long as no load is slowed. Slowed loads show the capacity of the link, which is the number of
//! loads in flight divided by the slowdown; this becomes the limit.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::names::RunnerId;

/// Limit before anything is known of the link. A link with a capacity of one load makes the first
/// loads three times as long, once; one with a large capacity is found after a few rounds.
const INITIAL_LIMIT: f64 = 3.0;
/// Slowdown from which loads count as slowed by each other.
const SLOWED_THRESHOLD: f64 = 1.15;
/// Delay until the end of a load is detected: half the report interval plus the age of a report.
const DETECTION_DELAY: Duration = Duration::from_millis(250);
/// Uncertainty of that delay.
const DETECTION_SLACK: Duration = Duration::from_millis(250);
/// Share of the limit that must have been in flight for a load at full speed to raise it.
const MIN_USED_SHARE: f64 = 0.75;
/// Number of recent loads evaluated together; a single slow runner does not indicate a full link.
const SAMPLE_WINDOW: usize = 3;
/// Number of slowed loads among them from which the link counts as saturated.
const MIN_SLOWED: usize = 2;
/// Slowdown from which an unfinished load counts as stuck.
const STUCK_THRESHOLD: f64 = 6.0;
/// Rounds of loads at full speed in which the limit rises by one step, once the link was saturated.
const PROBE_ROUNDS: f64 = 2.0;

/// A load in flight.
#[derive(Clone, Copy, Debug)]
struct ActiveLoad {
    started_at: Timestamp,
    /// Its duration at full speed.
    nominal: Duration,
    /// [`StoreLink::load_seconds`] at its start.
    load_seconds_before: f64,
    /// The limit at its start.
    limit_before: f64,
}

/// Measurement from a finished load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSample {
    /// Time from the order to the report that shows the model.
    pub took: Duration,
    /// The duration at full speed that the operators configured.
    pub nominal: Duration,
    /// Mean number of loads in flight during the load.
    pub in_flight: f64,
    /// The resulting limit.
    pub limit: f64,
}

/// The loads of one service from the weight store, and the limit estimated from them.
#[derive(Clone, Debug)]
pub struct StoreLink {
    active_loads: BTreeMap<RunnerId, ActiveLoad>,
    /// Loads in flight, including those that this coordinator has not ordered.
    in_flight: usize,
    /// Integral of the loads in flight over time, in load seconds.
    load_seconds: f64,
    integrated_until: Timestamp,
    limit: f64,
    /// The most recently finished loads, the latest last: the measured capacity of the link for
    /// slowed loads, `None` for others.
    recent: VecDeque<Option<f64>>,
    /// Whether the link has been saturated, under this or a previous coordinator.
    was_saturated: bool,
    /// Number of loads by which the limit rises in [`PROBE_ROUNDS`].
    probe_step: f64,
    /// Loads at full speed since the step last changed.
    probe_loads: f64,
}

impl StoreLink {
    /// A link without measurements.
    pub fn new(now: Timestamp) -> Self {
        Self {
            active_loads: BTreeMap::new(),
            in_flight: 0,
            load_seconds: 0.0,
            integrated_until: now,
            limit: INITIAL_LIMIT,
            recent: VecDeque::new(),
            was_saturated: false,
            probe_step: 1.0,
            probe_loads: 0.0,
        }
    }

    /// Maximum number of loads in flight.
    pub fn limit(&self) -> usize {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = self.limit.round() as usize;
        limit.max(1)
    }

    /// Takes over the limit that another coordinator found.
    pub fn inherit(&mut self, limit: usize, was_saturated: bool) {
        self.limit = count(limit.max(1));
        self.was_saturated = was_saturated;
    }

    /// Whether loads were ever slowed, so that the limit reflects the capacity of the link.
    pub fn was_saturated(&self) -> bool {
        self.was_saturated
    }

    /// Expected duration of a load that shares the link with those now in flight.
    pub fn expected_load_time(&self, nominal: Duration) -> Duration {
        if !self.was_saturated {
            return nominal;
        }
        nominal.mul_f64((count(self.in_flight) / self.limit).max(1.0))
    }

    /// Sets the number of loads in flight from now on.
    pub fn set_in_flight(&mut self, loads: usize, now: Timestamp) {
        self.integrate_in_flight(now);
        self.in_flight = loads;
    }

    fn integrate_in_flight(&mut self, now: Timestamp) {
        self.load_seconds += count(self.in_flight) * now.since(self.integrated_until).as_secs_f64();
        self.integrated_until = self.integrated_until.max(now);
    }

    /// Records that a runner has accepted a load order.
    pub fn load_started(&mut self, runner: &RunnerId, nominal: Duration, now: Timestamp) {
        self.integrate_in_flight(now);
        let load = ActiveLoad {
            started_at: now,
            nominal,
            load_seconds_before: self.load_seconds,
            limit_before: self.limit,
        };
        self.active_loads.insert(runner.clone(), load);
    }

    /// Discards a load that will not finish, or whose start or end time is unknown; it is not a
    /// measurement.
    pub fn load_discarded(&mut self, runner: &RunnerId) {
        self.active_loads.remove(runner);
    }

    /// Records a load that has finished successfully.
    pub fn load_finished(&mut self, runner: &RunnerId, now: Timestamp) -> Option<LoadSample> {
        self.integrate_in_flight(now);
        let load = self.active_loads.remove(runner)?;
        let in_flight = self.mean_in_flight(&load, now);
        let capacity = Self::slowdown(&load, now).map(|it| in_flight / it);
        self.recent.push_back(capacity);
        if self.recent.len() > SAMPLE_WINDOW {
            self.recent.pop_front();
        }
        if capacity.is_none() {
            self.raise_limit(in_flight, load.limit_before);
        } else if self.recent.iter().flatten().count() >= MIN_SLOWED {
            self.lower_limit();
        }
        Some(LoadSample {
            took: now.since(load.started_at),
            nominal: load.nominal,
            in_flight,
            limit: self.limit,
        })
    }

    /// Lowers the limit as soon as loads are overdue, before any of them has finished. A single
    /// hanging runner has no effect: all loads that should have finished by now must be overdue by
    /// as much.
    pub fn note_overdue(&mut self, now: Timestamp) {
        self.integrate_in_flight(now);
        let due = self
            .active_loads
            .values()
            .filter_map(|load| Some((load, Self::slowdown(load, now)?)))
            .filter(|(_, slowdown)| *slowdown < STUCK_THRESHOLD);
        let capacity = due.map(|(load, slowdown)| self.mean_in_flight(load, now) / slowdown);
        let (count, max_capacity) = capacity
            .fold((0, 0.0_f64), |(count, max_capacity), capacity| {
                (count + 1, max_capacity.max(capacity))
            });
        if count >= MIN_SLOWED && max_capacity < self.limit {
            self.limit = max_capacity.max(1.0);
            self.mark_saturated();
        }
    }

    /// Mean number of loads in flight since a load started.
    fn mean_in_flight(&self, load: &ActiveLoad, now: Timestamp) -> f64 {
        let seconds = now.since(load.started_at).as_secs_f64().max(0.001);
        ((self.load_seconds - load.load_seconds_before) / seconds).max(1.0)
    }

    /// How many times longer than nominal a load has taken, if it was slowed at all.
    fn slowdown(load: &ActiveLoad, now: Timestamp) -> Option<f64> {
        let took = now.since(load.started_at).saturating_sub(DETECTION_DELAY);
        let longest = load.nominal.mul_f64(SLOWED_THRESHOLD) + DETECTION_SLACK;
        let nominal = load.nominal.as_secs_f64().max(0.001);
        (took > longest).then(|| took.as_secs_f64() / nominal)
    }

    /// Lowers the limit to the highest capacity measured by the recent slowed loads.
    fn lower_limit(&mut self) {
        let max_capacity = self.recent.iter().flatten().copied().fold(1.0, f64::max);
        self.limit = max_capacity;
        self.mark_saturated();
    }

    fn mark_saturated(&mut self) {
        self.was_saturated = true;
        self.probe_step = 1.0;
        self.probe_loads = 0.0;
    }

    /// Raises the limit after a load at full speed, but only if as many loads were in flight as the
    /// limit allowed at its start; otherwise it shows nothing new.
    fn raise_limit(&mut self, in_flight: f64, limit_before: f64) {
        if in_flight < limit_before * MIN_USED_SHARE {
            return;
        }
        if !self.was_saturated {
            self.limit += 1.0;
            return;
        }
        let loads = self.limit * PROBE_ROUNDS;
        self.limit += (self.probe_step / loads).min(1.0);
        self.probe_loads += 1.0;
        if self.probe_loads >= loads {
            self.probe_step *= 2.0;
            self.probe_loads = 0.0;
        }
    }
}

fn count(loads: usize) -> f64 {
    f64::from(u32::try_from(loads).unwrap_or(u32::MAX))
}
