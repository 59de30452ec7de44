//! A cache of limited size that drops what was used longest ago.

use std::collections::BTreeMap;

/// Keys with sizes, in the order of their last use.
#[derive(Clone, Debug)]
pub struct Cache<K> {
    capacity: u64,
    used: u64,
    clock: u64,
    entries: BTreeMap<K, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    size: u64,
    last_use: u64,
}

impl<K: Clone + Ord> Cache<K> {
    /// An empty cache.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            used: 0,
            clock: 0,
            entries: BTreeMap::new(),
        }
    }

    /// Whether a key is there.
    pub fn contains(&self, key: &K) -> bool {
        self.entries.contains_key(key)
    }

    /// The keys, in their own order.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.entries.keys()
    }

    /// Notes a use of a key, which is added if it fits at all, and drops others to make room.
    /// Returns whether the key was there.
    pub fn touch(&mut self, key: &K, size: u64) -> bool {
        self.clock += 1;
        if let Some(entry) = self.entries.get_mut(key) {
            entry.last_use = self.clock;
            return true;
        }
        if size > self.capacity {
            return false;
        }
        while self.used + size > self.capacity {
            self.drop_oldest();
        }
        self.used += size;
        let last_use = self.clock;
        self.entries.insert(key.clone(), Entry { size, last_use });
        false
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.last_use)
            .map(|(key, _)| key.clone());
        if let Some(entry) = oldest.and_then(|key| self.entries.remove(&key)) {
            self.used -= entry.size;
        }
    }
}
