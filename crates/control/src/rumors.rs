//! Rumors: facts on their way through a group, each sent a bounded number of times.
//!
//! A rumor queue holds only the keys of facts; the owner looks up the fact when it is sent, so the
//! newest state always travels. Facts sent least go first, and among those the newest.

use std::collections::BTreeMap;

use flaxward_wire::encoded_size;
use serde::Serialize;

/// Keys of the facts that are still to be sent.
#[derive(Clone, Debug)]
pub struct Rumors<Key> {
    pending: BTreeMap<Key, Rumor>,
    pushed: u64,
}

/// How often one fact was sent, and when it came in.
#[derive(Clone, Copy, Debug)]
struct Rumor {
    sent: u32,
    order: u64,
}

/// What is left of an envelope, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    bytes: usize,
}

impl Budget {
    /// A budget of so many bytes.
    pub fn new(bytes: usize) -> Self {
        Self { bytes }
    }

    /// Takes the bytes that a part needs, if they are left.
    pub fn take<Part: Serialize>(&mut self, part: &Part) -> bool {
        let needed = encoded_size(part);
        if needed > self.bytes {
            return false;
        }
        self.bytes -= needed;
        true
    }
}

impl<Key: Ord + Clone> Default for Rumors<Key> {
    fn default() -> Self {
        Self {
            pending: BTreeMap::new(),
            pushed: 0,
        }
    }
}

impl<Key: Ord + Clone> Rumors<Key> {
    /// Starts to spread the fact with this key, again from the beginning if it was spread before.
    pub fn push(&mut self, key: Key) {
        self.pushed += 1;
        let rumor = Rumor {
            sent: 0,
            order: self.pushed,
        };
        self.pending.insert(key, rumor);
    }

    /// Stops to spread the fact with this key.
    pub fn remove(&mut self, key: &Key) {
        self.pending.remove(key);
    }

    /// Whether nothing is left to send.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Number of facts left to send.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Picks facts for one envelope, as many as the budget holds, and counts them as sent. A fact
    /// that was sent `limit` times, or that the owner no longer knows, is dropped.
    pub fn select<Fact: Serialize>(
        &mut self,
        budget: &mut Budget,
        limit: u32,
        fact: impl Fn(&Key) -> Option<Fact>,
    ) -> Vec<Fact> {
        let mut selected = Vec::new();
        for key in self.in_order() {
            let Some(found) = fact(&key) else {
                self.pending.remove(&key);
                continue;
            };
            if budget.take(&found) {
                selected.push(found);
                self.count(&key, limit);
            }
        }
        selected
    }

    fn in_order(&self) -> Vec<Key> {
        let mut keys: Vec<_> = self.pending.iter().collect();
        keys.sort_by_key(|(_, rumor)| (rumor.sent, std::cmp::Reverse(rumor.order)));
        keys.into_iter().map(|(key, _)| key.clone()).collect()
    }

    fn count(&mut self, key: &Key, limit: u32) {
        let Some(rumor) = self.pending.get_mut(key) else {
            return;
        };
        rumor.sent += 1;
        if rumor.sent >= limit {
            self.pending.remove(key);
        }
    }
}

/// How often a fact is sent in a group of this many, so that everyone hears it with near certainty:
/// `factor * ceil(log2(size + 1))`.
pub fn transmissions(factor: u32, size: usize) -> u32 {
    factor * (usize::BITS - size.leading_zeros()).max(1)
}

/// The key that follows `last`, or the first one after the end.
pub fn next_in_turn<Key: Ord + Clone, Value>(
    facts: &BTreeMap<Key, Value>,
    last: Option<&Key>,
) -> Option<Key> {
    let following = last.and_then(|last| {
        facts
            .range((std::ops::Bound::Excluded(last), std::ops::Bound::Unbounded))
            .next()
    });
    following
        .or_else(|| facts.iter().next())
        .map(|(key, _)| key.clone())
}
