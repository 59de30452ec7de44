//! What is still to happen, in the order of virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Events by time in milliseconds; those of the same time in the order in which they were added.
#[derive(Debug)]
pub struct Queue<Event> {
    order: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    added: u64,
}

impl<Event> Default for Queue<Event> {
    fn default() -> Self {
        Self {
            order: BinaryHeap::new(),
            events: BTreeMap::new(),
            added: 0,
        }
    }
}

impl<Event> Queue<Event> {
    /// Adds an event at a time.
    pub fn add(&mut self, at: u64, event: Event) {
        self.added += 1;
        self.order.push(Reverse((at, self.added)));
        self.events.insert(self.added, event);
    }

    /// Takes the next event, if it is due by `until`.
    pub fn next_until(&mut self, until: u64) -> Option<(u64, Event)> {
        let Reverse((at, _)) = self.order.peek()?;
        if *at > until {
            return None;
        }
        let Reverse((at, number)) = self.order.pop()?;
        let event = self.events.remove(&number)?;
        Some((at, event))
    }
}
