//! Tests of the limit on concurrent loads from the weight store, against a store that serves some
//! loads at full speed and slows all of them in proportion beyond that.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_routing::messages::StoreLimit;
use flaxward_routing::names::{RunnerId, ServiceName};
use flaxward_routing::placement::store_link::StoreLink;
use flaxward_routing::placement::{Placement, PlacementSettings};
use flaxward_types::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const STEP: Duration = Duration::from_millis(50);
const RUNNERS: usize = 200;

/// A store under steady demand, with the loads that the limit allows.
struct Store {
    link: StoreLink,
    /// Work left for each load, in seconds at full speed.
    loads: BTreeMap<usize, f64>,
    /// Number of loads that run at full speed.
    capacity: f64,
    nominal: Duration,
    now: Timestamp,
    most_in_flight: usize,
    done: usize,
}

impl Store {
    fn new(capacity: f64, nominal: Duration) -> Self {
        let now = Timestamp(1_000);
        Self {
            link: StoreLink::new(now),
            loads: BTreeMap::new(),
            capacity,
            nominal,
            now,
            most_in_flight: 0,
            done: 0,
        }
    }

    fn runner(index: usize) -> RunnerId {
        RunnerId::new(&format!("r{index}"))
    }

    /// Advances the time; as many loads are in flight as the limit allows, but no more than are
    /// wanted.
    fn run(&mut self, time: Duration, wanted: usize) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + STEP;
            self.progress();
            self.link.set_in_flight(self.loads.len(), self.now);
            self.link.note_overdue(self.now);
            let free = (0..RUNNERS).filter(|index| !self.loads.contains_key(index));
            let places = self
                .link
                .limit()
                .min(wanted)
                .saturating_sub(self.loads.len());
            let started: Vec<usize> = free.take(places).collect();
            for index in started {
                self.loads.insert(index, self.nominal.as_secs_f64());
                self.link
                    .load_started(&Self::runner(index), self.nominal, self.now);
            }
            self.link.set_in_flight(self.loads.len(), self.now);
            self.most_in_flight = self.most_in_flight.max(self.loads.len());
        }
    }

    fn progress(&mut self) {
        let in_flight = self.loads.len() as f64;
        let speed = (self.capacity / in_flight.max(1.0)).min(1.0);
        for left in self.loads.values_mut() {
            *left -= STEP.as_secs_f64() * speed;
        }
        let finished: Vec<usize> = self
            .loads
            .iter()
            .filter(|(_, left)| **left <= 0.0)
            .map(|(index, _)| *index)
            .collect();
        for index in finished {
            self.loads.remove(&index);
            self.link.load_finished(&Self::runner(index), self.now);
            self.done += 1;
        }
    }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn the_limit_converges_to_the_capacity_of_the_store() {
    for capacity in [1.0, 2.0, 4.0, 8.0, 16.0] {
        let mut store = Store::new(capacity, seconds(4));
        store.run(seconds(240), RUNNERS);
        let limit = store.link.limit() as f64;
        assert!(
            (capacity..=capacity * 1.5 + 1.0).contains(&limit),
            "{limit} loads at a store with a capacity of {capacity}"
        );
    }
}

#[test]
fn slow_start_reaches_a_large_capacity_in_a_few_rounds() {
    let mut store = Store::new(148.0, seconds(3));
    store.run(seconds(27), RUNNERS);
    assert!(store.link.limit() >= 100, "{}", store.link.limit());
}

#[test]
fn short_loads_are_not_taken_for_slowed_ones_because_reports_are_late() {
    let mut store = Store::new(25.0, Duration::from_millis(600));
    store.run(seconds(20), RUNNERS);
    assert!(store.link.limit() >= 20, "{}", store.link.limit());
}

/// A single load that was detected late ended the slow start at 2.9 loads, although the store had a
/// capacity of 25.
#[test]
fn a_single_late_load_does_not_lower_the_limit() {
    let now = Timestamp(1_000);
    let mut link = StoreLink::new(now);
    let runners: Vec<RunnerId> = (0..3).map(Store::runner).collect();
    for runner in &runners {
        link.load_started(runner, seconds(1), now);
    }
    link.set_in_flight(3, now);
    link.load_finished(&runners[0], now + seconds(1));
    link.load_finished(&runners[1], now + seconds(3));
    link.load_finished(&runners[2], now + seconds(1));
    assert!(link.limit() >= 3, "{}", link.limit());
}

/// A hanging runner must not keep the limit at one load for as long as it is listed.
#[test]
fn a_single_stuck_load_does_not_lower_the_limit() {
    let mut store = Store::new(8.0, seconds(2));
    store
        .link
        .load_started(&RunnerId::new("hangs"), seconds(2), store.now);
    store.run(seconds(60), 6);
    assert!(store.link.limit() >= 6, "{}", store.link.limit());
}

#[test]
fn overdue_loads_lower_the_limit_before_any_has_finished() {
    let now = Timestamp(1_000);
    let mut link = StoreLink::new(now);
    link.inherit(12, true);
    for index in 0..12 {
        link.load_started(&Store::runner(index), seconds(4), now);
    }
    link.set_in_flight(12, now);
    let later = now + seconds(9);
    link.note_overdue(later);
    assert!(link.limit() < 8, "{}", link.limit());
}

#[test]
fn a_successor_inherits_the_limit() {
    let mut store = Store::new(4.0, seconds(6));
    store.run(seconds(120), RUNNERS);
    let found = store.link.limit();
    let mut successor = StoreLink::new(store.now);
    successor.inherit(found, store.link.was_saturated());
    assert_eq!(successor.limit(), found);
    assert!(successor.was_saturated());
}

#[test]
fn a_load_on_a_saturated_link_is_expected_to_take_longer() {
    let mut link = StoreLink::new(Timestamp(0));
    link.inherit(4, true);
    link.set_in_flight(8, Timestamp(0));
    assert_eq!(link.expected_load_time(seconds(6)), seconds(12));
    link.set_in_flight(3, Timestamp(0));
    assert_eq!(link.expected_load_time(seconds(6)), seconds(6));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(0x10ad_0002),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// For any capacity of the store, duration of loads and change of capacity, the limit follows
    /// and the store is kept busy.
    #[test]
    fn the_limit_follows_changes_of_the_capacity(
        first in 1_u32..40,
        second in 1_u32..40,
        nominal_ms in 1_000_u64..7_000,
    ) {
        let nominal = Duration::from_millis(nominal_ms);
        let mut store = Store::new(f64::from(first), nominal);
        for capacity in [first, second, first] {
            store.capacity = f64::from(capacity);
            store.run(nominal * 60, RUNNERS);
            let limit = store.link.limit() as f64;
            let capacity = f64::from(capacity);
            prop_assert!(limit <= capacity * 2.0 + 2.0, "{limit} loads at a store with a capacity of {capacity}");
            store.done = 0;
            store.run(nominal * 10, RUNNERS);
            prop_assert!(
                store.done as f64 >= capacity * 10.0 * 0.6,
                "{} loads in ten rounds of a store with a capacity of {capacity}", store.done
            );
        }
    }
}

/// A coordinator announces its limit in its messages; a successor that has received it starts
/// there.
#[test]
fn the_next_coordinator_inherits_the_limit_by_message() {
    let now = Timestamp(1_000);
    let limits = vec![StoreLimit {
        service: ServiceName::new("pool"),
        loads: 4,
        is_measured: true,
    }];
    let mut successor = Placement::new(PlacementSettings::default(), now, now);
    successor.inherit_store_limits(&limits, now);
    assert_eq!(successor.store_limits(), limits);
}
