//! Rumor dissemination: each fact is sent to a group a bounded number of times.
//!
//! A rumor queue stores only the keys of facts; the owner looks up the fact when it is sent, so the
//! newest state is always sent. Facts sent the fewest times go first, and among those the newest.

use std::collections::BTreeMap;

use flaxward_wire::encoded_size;
use serde::Serialize;

/// Keys of the facts that are still to be sent.
#[derive(Clone, Debug)]
pub struct Rumors<Key> {
    pending: BTreeMap<Key, Rumor>,
    push_count: u64,
}

/// Transmission count of one fact, and its position in the order of insertion.
#[derive(Clone, Copy, Debug)]
struct Rumor {
    sent: u32,
    order: u64,
}

/// Bytes still available in an envelope.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    bytes: usize,
}

impl Budget {
    /// A budget of the given number of bytes.
    pub fn new(bytes: usize) -> Self {
        Self { bytes }
    }

    /// Reserves the encoded size of a part. Returns whether it fits.
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
            push_count: 0,
        }
    }
}

impl<Key: Ord + Clone> Rumors<Key> {
    /// Queues the fact with this key for dissemination, resetting its transmission count.
    pub fn push(&mut self, key: Key) {
        self.push_count += 1;
        let rumor = Rumor {
            sent: 0,
            order: self.push_count,
        };
        self.pending.insert(key, rumor);
    }

    /// Stops disseminating the fact with this key.
    pub fn remove(&mut self, key: &Key) {
        self.pending.remove(key);
    }

    /// Whether no fact is left to send.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Number of facts left to send.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Selects as many facts for one envelope as fit in the budget and counts them as sent. A fact
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
                self.record_send(&key, limit);
            }
        }
        selected
    }

    fn in_order(&self) -> Vec<Key> {
        let mut keys: Vec<_> = self.pending.iter().collect();
        keys.sort_by_key(|(_, rumor)| (rumor.sent, std::cmp::Reverse(rumor.order)));
        keys.into_iter().map(|(key, _)| key.clone()).collect()
    }

    fn record_send(&mut self, key: &Key, limit: u32) {
        let Some(rumor) = self.pending.get_mut(key) else {
            return;
        };
        rumor.sent += 1;
        if rumor.sent >= limit {
            self.pending.remove(key);
        }
    }
}

/// Number of times that a fact is sent in a group of this size so that it almost certainly reaches
/// every member: `factor * ceil(log2(size + 1))`.
pub fn transmissions(factor: u32, size: usize) -> u32 {
    factor * (usize::BITS - size.leading_zeros()).max(1)
}

/// The key that follows `last`, wrapping around to the first one at the end.
pub fn next_round_robin<Key: Ord + Clone, Value>(
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
