//! Event queue in virtual time, with random numbers from a seed.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_types::time::Timestamp;

/// Scheduled events, ordered by time and, at equal times, by the order of scheduling.
#[derive(Debug)]
pub struct Events<Event> {
    scheduled: BTreeMap<(Timestamp, u64), Event>,
    number: u64,
    random: u64,
}

impl<Event> Events<Event> {
    /// An empty queue, with random numbers from a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            scheduled: BTreeMap::new(),
            number: 0,
            random: seed | 1,
        }
    }

    /// A random number below the given one.
    pub fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below.max(1)
    }

    pub fn schedule(&mut self, at: Timestamp, event: Event) {
        self.number += 1;
        self.scheduled.insert((at, self.number), event);
    }

    /// Removes the next event; returns it with its time.
    pub fn next(&mut self) -> Option<(Timestamp, Event)> {
        let ((at, _), event) = self.scheduled.pop_first()?;
        Some((at, event))
    }
}

/// The highest number of the given times within any interval of a length.
pub fn most_within(times: impl Iterator<Item = Timestamp>, span: Duration) -> usize {
    let mut times: Vec<Timestamp> = times.collect();
    times.sort();
    let count = |from: &Timestamp| {
        let within = |at: &&Timestamp| **at >= *from && at.since(*from) < span;
        times.iter().filter(within).count()
    };
    times.iter().map(count).max().unwrap_or(0)
}
