//! Digests of runner holdings, by which a coordinator finds out what a member already knows.
//!
//! Runners are distributed over buckets by a hash of their identity, and each bucket has one digest. A member that has
//! read the store's list, or received the holdings from an earlier coordinator, knows those of most runners: it is only
//! sent the runners of buckets whose digests differ.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::names::{AdapterName, ModelName, RunnerId, RunnerStart};

/// Number of buckets for the largest fleets: 1 KB of digests. With 3,000 runners, one differing runner costs twelve
/// entries.
const MAX_BUCKETS: usize = 256;
/// Number of buckets for the smallest fleets.
const MIN_BUCKETS: usize = 16;
/// Target number of runners per bucket.
const RUNNERS_PER_BUCKET: usize = 8;

/// One digest per bucket of runners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingsDigests {
    buckets: Vec<u32>,
}

impl HoldingsDigests {
    /// Empty digests with a number of buckets suitable for `count` runners.
    pub fn for_runners(count: usize) -> Self {
        let buckets = (count / RUNNERS_PER_BUCKET).next_power_of_two();
        Self {
            buckets: vec![0; buckets.clamp(MIN_BUCKETS, MAX_BUCKETS)],
        }
    }

    /// Empty digests with the maximum number of buckets.
    pub fn with_max_buckets() -> Self {
        Self {
            buckets: vec![0; MAX_BUCKETS],
        }
    }

    /// Adds the holdings of a runner. A runner without holdings is equivalent to an unknown one.
    pub fn add<'a, Adapters>(
        &mut self,
        runner: &RunnerId,
        holdings: impl IntoIterator<Item = (&'a ModelName, Adapters)>,
    ) where
        Adapters: IntoIterator<Item = &'a AdapterName>,
    {
        let mut hasher = Xxh3::new();
        hasher.update(runner.as_str().as_bytes());
        // Holdings of an earlier instance of the same runner must not match.
        let start = runner.start().map_or(0, RunnerStart::as_millis);
        hasher.update(&start.to_le_bytes());
        let mut is_empty = true;
        for (model, adapters) in holdings {
            is_empty = false;
            hasher.update(b"\nmodel ");
            hasher.update(model.as_str().as_bytes());
            for adapter in adapters {
                hasher.update(b"\nadapter ");
                hasher.update(adapter.as_str().as_bytes());
            }
        }
        if is_empty {
            return;
        }
        let bucket = Bucket::of(runner).index(self.buckets.len());
        // Addition makes the digest independent of the order in which runners are added.
        self.buckets[bucket] = self.buckets[bucket].wrapping_add(low_half(hasher.digest()));
    }

    /// Buckets in which a member's digests match these, which must have the maximum number of buckets.
    pub fn matching_buckets(&self, member: &Self) -> MatchingBuckets {
        let count = member.buckets.len();
        let is_valid = count.is_power_of_two() && count <= self.buckets.len();
        if !is_valid {
            return MatchingBuckets::default();
        }
        let mut own = vec![0_u32; count];
        for (index, digest) in self.buckets.iter().enumerate() {
            own[index % count] = own[index % count].wrapping_add(*digest);
        }
        let pairs = own.iter().zip(&member.buckets);
        MatchingBuckets {
            matches: pairs.map(|(own, member)| own == member).collect(),
        }
    }
}

/// Bucket of a runner, for any number of buckets.
#[derive(Clone, Copy, Debug)]
pub struct Bucket(u64);

impl Bucket {
    /// Returns the bucket of a runner.
    pub fn of(runner: &RunnerId) -> Self {
        Self(xxh3_64(runner.as_str().as_bytes()))
    }

    /// Index among `count` buckets; `count` is a power of two.
    fn index(self, count: usize) -> usize {
        #[allow(clippy::cast_possible_truncation)]
        let low = self.0 as usize;
        low % count
    }
}

/// Buckets in which the digests of two daemons match.
#[derive(Clone, Debug, Default)]
pub struct MatchingBuckets {
    matches: Vec<bool>,
}

impl MatchingBuckets {
    /// Whether the digests of a bucket match.
    pub fn contains(&self, bucket: Bucket) -> bool {
        !self.matches.is_empty() && self.matches[bucket.index(self.matches.len())]
    }
}

#[allow(clippy::cast_possible_truncation)]
fn low_half(digest: u64) -> u32 {
    digest as u32
}
