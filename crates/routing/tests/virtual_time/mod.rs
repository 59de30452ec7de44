//! Events of a trial in virtual time, and random numbers from its seed.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_types::time::Timestamp;

/// What is to happen, in the order of its moments; at one moment in the order in which it was scheduled.
#[derive(Debug)]
pub struct Events<Event> {
    scheduled: BTreeMap<(Timestamp, u64), Event>,
    number: u64,
    random: u64,
}

impl<Event> Events<Event> {
    /// Nothing yet, with random numbers from a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            scheduled: BTreeMap::new(),
            number: 0,
            random: seed | 1,
        }
    }

    /// A random number below another one.
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

    /// What happens next, and when.
    pub fn next(&mut self) -> Option<(Timestamp, Event)> {
        let ((at, _), event) = self.scheduled.pop_first()?;
        Some((at, event))
    }
}

/// The most of some moments within any span of a length.
pub fn most_within(moments: impl Iterator<Item = Timestamp>, span: Duration) -> usize {
    let mut moments: Vec<Timestamp> = moments.collect();
    moments.sort();
    let count = |from: &Timestamp| {
        let within = |at: &&Timestamp| **at >= *from && at.since(*from) < span;
        moments.iter().filter(within).count()
    };
    moments.iter().map(count).max().unwrap_or(0)
}
