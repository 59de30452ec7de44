//! How many loads from the weight store run at once.
//!
//! The weight store is a link that all runners share. Up to some number of loads, each runs at full speed;
//! beyond it all of them get slower in proportion, so that more loads at once bring nothing and make every one
//! late. The number is told nowhere and may change. It is found as congestion control of TCP finds the rate of
//! a path: the time that a load took, over the time that the operators promise for it, is its *stretch*. While
//! loads run at full speed the bound rises, twofold a round at first (slow start), and later in steps that
//! double as long as nothing is slowed. Slowed loads show how many the link carries, namely those in flight
//! over the stretch; that becomes the bound.

use std::collections::{BTreeMap, VecDeque};
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
/// Latest loads that are looked at together: one runner that is slow by itself says nothing of the link.
const WINDOW: usize = 3;
/// Loads among them that must have been slowed for the link to count as full.
const LEAST_SLOWED: usize = 2;
/// Stretch from which a load that has not ended is taken for stuck.
const STUCK_STRETCH: f64 = 6.0;
/// Rounds of loads at full speed in which the bound rises by one step, once the link was full.
const PROBE_ROUNDS: f64 = 2.0;

/// A load in flight.
#[derive(Clone, Copy, Debug)]
struct Flight {
    begun: Timestamp,
    /// The time that it takes at full speed.
    promised: Duration,
    /// The sum of [`StoreLink::load_seconds`] when it began.
    load_seconds_before: f64,
    /// The bound when it began.
    limit_before: f64,
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
    /// The latest loads that have ended, the youngest last: what the link carried, if they were slowed.
    latest: VecDeque<Option<f64>>,
    /// The link was full once, or was for another coordinator.
    was_full: bool,
    /// Loads by which the bound rises in [`PROBE_ROUNDS`].
    probe_step: f64,
    /// Loads at full speed since the step has changed.
    probe_loads: f64,
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
            latest: VecDeque::new(),
            was_full: false,
            probe_step: 1.0,
            probe_loads: 0.0,
        }
    }

    /// Loads that may be in flight.
    pub fn limit(&self) -> usize {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = self.limit.round() as usize;
        limit.max(1)
    }

    /// Takes over what another coordinator has found.
    pub fn inherit(&mut self, limit: usize, was_full: bool) {
        self.limit = count(limit.max(1));
        self.was_full = was_full;
    }

    /// Whether loads were ever slowed, so that the bound is that of the link.
    pub fn was_full(&self) -> bool {
        self.was_full
    }

    /// Time that a load is expected to take beside those that are in flight now.
    pub fn expected(&self, promised: Duration) -> Duration {
        if !self.was_full {
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
            limit_before: self.limit,
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
        let carried = Self::stretch(&flight, now).map(|it| in_flight / it);
        self.latest.push_back(carried);
        if self.latest.len() > WINDOW {
            self.latest.pop_front();
        }
        if carried.is_none() {
            self.at_full_speed(in_flight, flight.limit_before);
        } else if self.latest.iter().flatten().count() >= LEAST_SLOWED {
            self.full();
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
            .filter_map(|flight| Some((flight, Self::stretch(flight, now)?)))
            .filter(|(_, stretch)| *stretch < STUCK_STRETCH);
        let carried = due.map(|(flight, stretch)| self.mean_in_flight(flight, now) / stretch);
        let (count, most) = carried.fold((0, 0.0_f64), |(count, most), carried| {
            (count + 1, most.max(carried))
        });
        if count >= LEAST_SLOWED && most < self.limit {
            self.limit = most.max(1.0);
            self.note_full();
        }
    }

    /// Loads in flight on average since a load began.
    fn mean_in_flight(&self, flight: &Flight, now: Timestamp) -> f64 {
        let seconds = now.since(flight.begun).as_secs_f64().max(0.001);
        ((self.load_seconds - flight.load_seconds_before) / seconds).max(1.0)
    }

    /// How many times longer a load has taken than it should, if it was slowed at all.
    fn stretch(flight: &Flight, now: Timestamp) -> Option<f64> {
        let took = now.since(flight.begun).saturating_sub(DETECTION_DELAY);
        let longest = flight.promised.mul_f64(SLOWED_STRETCH) + DETECTION_SLACK;
        let promised = flight.promised.as_secs_f64().max(0.001);
        (took > longest).then(|| took.as_secs_f64() / promised)
    }

    /// The latest loads were slowed: the bound is what the link has carried at most meanwhile.
    fn full(&mut self) {
        let most = self.latest.iter().flatten().copied().fold(1.0, f64::max);
        self.limit = most;
        self.note_full();
    }

    fn note_full(&mut self) {
        self.was_full = true;
        self.probe_step = 1.0;
        self.probe_loads = 0.0;
    }

    /// A load ran at full speed. That tells something new only if as many were in flight as the bound allowed
    /// when it began.
    fn at_full_speed(&mut self, in_flight: f64, limit_before: f64) {
        if in_flight < limit_before * USED_SHARE {
            return;
        }
        if !self.was_full {
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
