//! The prefix cache and its events.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use flaxward_types::engine::CacheEvent;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::tokens::{BYTES_PER_TOKEN, answer_seed};

/// Prompt tokens of one cached block.
const BLOCK_TOKENS: usize = 64;

/// Events kept; older ones are lost.
const MAX_EVENTS: usize = 10_000;

/// Digests of the prefixes of a prompt, of one block, two blocks and so on, under an artifact.
pub fn prefix_digests(artifact: &str, prompt: &str) -> Vec<u64> {
    let blocks = prompt
        .as_bytes()
        .chunks_exact(BLOCK_TOKENS * BYTES_PER_TOKEN);
    let mut digest = answer_seed(artifact, "");
    blocks
        .map(|block| {
            digest = xxh3_64_with_seed(block, digest);
            digest
        })
        .collect()
}

/// Cached prefix blocks, least recently used first out.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    limit_blocks: u64,
    clock: u64,
    used_at: HashMap<u64, u64>,
    oldest: BTreeMap<u64, u64>,
    sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    /// A cache for so many prompt tokens.
    pub(crate) fn new(limit_tokens: u64) -> Self {
        Self {
            limit_blocks: limit_tokens / BLOCK_TOKENS as u64,
            clock: 0,
            used_at: HashMap::new(),
            oldest: BTreeMap::new(),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Whether it can hold anything.
    pub(crate) fn is_on(&self) -> bool {
        self.limit_blocks > 0
    }

    /// Prompt tokens held.
    pub(crate) fn tokens(&self) -> u64 {
        (self.used_at.len() * BLOCK_TOKENS) as u64
    }

    /// Uses the prefixes of a prompt: returns how many of its tokens were cached, and caches all.
    pub(crate) fn use_prefixes(&mut self, digests: &[u64]) -> u64 {
        let cached = digests
            .iter()
            .take_while(|digest| self.used_at.contains_key(digest));
        let cached_tokens = (cached.count() * BLOCK_TOKENS) as u64;
        // The longest prefix first, so that the shortest is the most recently used.
        for digest in digests.iter().rev() {
            self.touch(*digest);
        }
        cached_tokens
    }

    /// Drops everything, without events: the engine has crashed.
    pub(crate) fn clear(&mut self) {
        self.used_at.clear();
        self.oldest.clear();
        self.events.clear();
        self.sequence = 0;
    }

    /// Events after a sequence number that are at least `lag` old.
    pub(crate) fn events(&self, after: u64, lag: Duration) -> Vec<CacheEvent> {
        let due =
            |(at, event): &&(Instant, CacheEvent)| event.sequence > after && at.elapsed() >= lag;
        let events = self.events.iter().filter(due);
        events.map(|(_, event)| event.clone()).collect()
    }

    /// Loses the newest event, leaving a gap.
    pub(crate) fn lose_newest_event(&mut self) {
        self.events.pop_back();
    }

    fn touch(&mut self, digest: u64) {
        self.clock += 1;
        match self.used_at.insert(digest, self.clock) {
            Some(before) => {
                self.oldest.remove(&before);
            }
            None => self.publish(digest, true),
        }
        self.oldest.insert(self.clock, digest);
        while self.used_at.len() as u64 > self.limit_blocks {
            let Some((_, dropped)) = self.oldest.pop_first() else {
                return;
            };
            self.used_at.remove(&dropped);
            self.publish(dropped, false);
        }
    }

    fn publish(&mut self, prefix: u64, stored: bool) {
        self.sequence += 1;
        let event = CacheEvent {
            sequence: self.sequence,
            prefix,
            stored,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
