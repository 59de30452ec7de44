//! Virtual time, and the clock that each process makes of it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Add;
use std::time::Duration;

use flaxward_types::Timestamp;

/// Microseconds of virtual time since the simulation began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct VirtualTime(pub u64);

impl VirtualTime {
    /// Time passed since `earlier`, or zero if `earlier` lies in the future.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for VirtualTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

/// The monotonic clock of one process: its own origin and its own rate.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    /// When the process started.
    pub started: VirtualTime,
    /// What the clock showed then, in milliseconds.
    pub origin: u64,
    /// Parts per million by which it runs fast (or slow, below zero).
    pub drift: i64,
}

impl ProcessClock {
    /// What the clock shows.
    pub fn read(&self, now: VirtualTime) -> Timestamp {
        let passed = i128::from(now.0.saturating_sub(self.started.0));
        let shown = passed + passed * i128::from(self.drift) / 1_000_000;
        let millis = u64::try_from(shown / 1_000).unwrap_or(0);
        Timestamp(self.origin + millis)
    }
}

/// What is to happen, earliest first; events of the same time in the order in which they came.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    pushed: u64,
}

#[derive(Debug)]
struct Entry<E> {
    at: VirtualTime,
    number: u64,
    event: E,
}

impl<E> Entry<E> {
    fn key(&self) -> (VirtualTime, u64) {
        (self.at, self.number)
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            pushed: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event.
    pub fn push(&mut self, at: VirtualTime, event: E) {
        self.pushed += 1;
        let number = self.pushed;
        self.heap.push(Reverse(Entry { at, number, event }));
    }

    /// Takes the next event, if it is due by `end`.
    pub fn pop_until(&mut self, end: VirtualTime) -> Option<(VirtualTime, E)> {
        if self.heap.peek()?.0.at > end {
            return None;
        }
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at, entry.event))
    }

    /// Events taken in so far.
    pub fn pushed(&self) -> u64 {
        self.pushed
    }
}
