//! How many loads from the weight store run at once.
//!
//! The weight store is a link that all runners share. Up to some number of loads, each runs at full speed;
//! beyond it all of them get slower in proportion, so that more loads at once bring nothing and make every one
//! late. The number is told nowhere and may change. It is found as congestion control of TCP finds the rate of
//! a path: the time that a load took, over the time that the operators promise for it, is its *stretch*. While
//! loads run at full speed the bound rises, twofold a round at first (slow start). A stretch shows how many
//! loads the link carries, namely those in flight over the stretch; that becomes the bound, and one more is
//! tried now and then.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::names::RunnerId;

/// Loads in flight before anything is known of the link. A link that carries one load makes these three times
/// as long, once; one that carries many is found after a few rounds.
const FIRST_LIMIT: f64 = 3.0;
/// Stretch from which loads count as slowed by each other.
const SLOWED_STRETCH: f64 = 1.15;
/// Time after which the end of a load is seen: half the interval between reports, and their age.
const DETECTION_DELAY: Duration = Duration::from_millis(250);
/// How uncertain that time is.
const DETECTION_SLACK: Duration = Duration::from_millis(250);
/// Share of the bound that must have been in flight for a load at full speed to raise it.
const USED_SHARE: f64 = 0.75;
/// Weight of a new measurement of the link against the ones before it.
const MEASUREMENT_WEIGHT: f64 = 0.5;
/// Part of a load by which the bound rises for each load at full speed, once the link was measured, in
/// bounds: one load more after this many rounds.
const PROBE_ROUNDS: f64 = 2.0;

/// A load in flight.
#[derive(Clone, Copy, Debug)]
struct Flight {
    begun: Timestamp,
    /// The time that it takes at full speed.
    promised: Duration,
    /// The sum of [`StoreLink::load_seconds`] when it began.
    load_seconds_before: f64,
}

/// What a load that has ended says of the link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSample {
    /// Time from the order to the report that shows the model.
    pub took: Duration,
    /// The time that the operators promise.
    pub promised: Duration,
    /// Loads in flight meanwhile, on average.
    pub in_flight: f64,
    /// The bound that follows from it.
    pub limit: f64,
}

/// The loads of one service from the weight store, and what they have shown of the link.
#[derive(Clone, Debug)]
pub struct StoreLink {
    flights: BTreeMap<RunnerId, Flight>,
    /// Loads in flight, those that this coordinator has not ordered included.
    in_flight: usize,
    /// Loads in flight, summed over time, in load seconds.
    load_seconds: f64,
    summed_until: Timestamp,
    limit: f64,
    is_measured: bool,
}

impl StoreLink {
    /// A link of which nothing is known.
    pub fn new(now: Timestamp) -> Self {
        Self {
            flights: BTreeMap::new(),
            in_flight: 0,
            load_seconds: 0.0,
            summed_until: now,
            limit: FIRST_LIMIT,
            is_measured: false,
        }
    }

    /// Loads that may be in flight.
    pub fn limit(&self) -> usize {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = self.limit.round() as usize;
        limit.max(1)
    }

    /// What was measured of the link: its bound, if loads were ever slowed or ever ran at full speed.
    pub fn measured_limit(&self) -> Option<f64> {
        self.is_measured.then_some(self.limit)
    }

    /// Takes over what another coordinator has measured.
    pub fn inherit(&mut self, limit: f64) {
        if !self.is_measured && limit >= 1.0 {
            self.limit = limit;
            self.is_measured = true;
        }
    }

    /// Time that a load is expected to take beside those that are in flight now.
    pub fn expected(&self, promised: Duration) -> Duration {
        if !self.is_measured {
            return promised;
        }
        promised.mul_f64((count(self.in_flight) / self.limit).max(1.0))
    }

    /// Notes how many loads are in flight from now on.
    pub fn set_in_flight(&mut self, loads: usize, now: Timestamp) {
        self.sum_up(now);
        self.in_flight = loads;
    }

    fn sum_up(&mut self, now: Timestamp) {
        self.load_seconds += count(self.in_flight) * now.since(self.summed_until).as_secs_f64();
        self.summed_until = self.summed_until.max(now);
    }

    /// A runner has taken the order for a load.
    pub fn begun(&mut self, runner: &RunnerId, promised: Duration, now: Timestamp) {
        self.sum_up(now);
        let flight = Flight {
            begun: now,
            promised,
            load_seconds_before: self.load_seconds,
        };
        self.flights.insert(runner.clone(), flight);
    }

    /// A load will not end, or nobody knows when it began or ends; it says nothing of the link.
    pub fn abandoned(&mut self, runner: &RunnerId) {
        self.flights.remove(runner);
    }

    /// A load has ended well.
    pub fn ended(&mut self, runner: &RunnerId, now: Timestamp) -> Option<LoadSample> {
        self.sum_up(now);
        let flight = self.flights.remove(runner)?;
        let in_flight = self.mean_in_flight(&flight, now);
        match self.stretch(&flight, now) {
            Some(stretch) => self.slowed(in_flight / stretch),
            None => self.at_full_speed(in_flight),
        }
        Some(LoadSample {
            took: now.since(flight.begun),
            promised: flight.promised,
            in_flight,
            limit: self.limit,
        })
    }

    /// Lowers the bound as soon as loads are overdue, before any of them has ended. One runner that hangs says
    /// nothing: all that should have ended by now must be overdue by as much.
    pub fn note_overdue(&mut self, now: Timestamp) {
        self.sum_up(now);
        let due = self
            .flights
            .values()
            .filter_map(|flight| Some((flight, self.stretch(flight, now)?)));
        let carried = due.map(|(flight, stretch)| self.mean_in_flight(flight, now) / stretch);
        let (count, most) = carried.fold((0, 0.0_f64), |(count, most), carried| {
            (count + 1, most.max(carried))
        });
        let is_telling = count >= 2 || (count == 1 && self.flights.len() == 1);
        if is_telling && most < self.limit {
            self.limit = most.max(1.0);
            self.is_measured = true;
        }
    }

    /// Loads in flight on average since a load began.
    fn mean_in_flight(&self, flight: &Flight, now: Timestamp) -> f64 {
        let seconds = now.since(flight.begun).as_secs_f64().max(0.001);
        ((self.load_seconds - flight.load_seconds_before) / seconds).max(1.0)
    }

    /// How many times longer a load has taken than it should, if it was slowed at all.
    fn stretch(&self, flight: &Flight, now: Timestamp) -> Option<f64> {
        let took = now.since(flight.begun).saturating_sub(DETECTION_DELAY);
        let longest = flight.promised.mul_f64(SLOWED_STRETCH) + DETECTION_SLACK;
        let promised = flight.promised.as_secs_f64().max(0.001);
        (took > longest).then(|| took.as_secs_f64() / promised)
    }

    fn slowed(&mut self, carried: f64) {
        let limit = if self.is_measured {
            self.limit + (carried - self.limit) * MEASUREMENT_WEIGHT
        } else {
            carried
        };
        self.limit = limit.max(1.0);
        self.is_measured = true;
    }

    fn at_full_speed(&mut self, in_flight: f64) {
        if in_flight < self.limit * USED_SHARE {
            return;
        }
        self.limit += if self.is_measured {
            1.0 / (self.limit * PROBE_ROUNDS)
        } else {
            1.0
        };
    }
}

fn count(loads: usize) -> f64 {
    f64::from(u32::try_from(loads).unwrap_or(u32::MAX))
}
