//! Digests of what the runners hold, by which a coordinator sees what a member knows already.
//!
//! Runners are spread over buckets by a hash of their identity, and each bucket has one digest. A member that has
//! read the store's list, or was told by an earlier coordinator, knows what most runners hold: it is told the
//! runners of those buckets alone whose digests differ.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::names::{AdapterName, ModelName, RunnerId, RunnerStart};

/// Buckets for the largest fleets: 1 KB of digests. At 3,000 runners a runner that differs costs twelve entries.
const MOST_BUCKETS: usize = 256;
/// Buckets for the smallest fleets.
const FEWEST_BUCKETS: usize = 16;
/// Runners for which there is one bucket.
const RUNNERS_A_BUCKET: usize = 8;

/// One digest for each bucket of runners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingsDigests {
    buckets: Vec<u32>,
}

impl HoldingsDigests {
    /// Digests of no runner, in as many buckets as a number of runners is worth.
    pub fn for_runners(count: usize) -> Self {
        let buckets = (count / RUNNERS_A_BUCKET).next_power_of_two();
        Self {
            buckets: vec![0; buckets.clamp(FEWEST_BUCKETS, MOST_BUCKETS)],
        }
    }

    /// Digests of no runner, in as many buckets as there can be.
    pub fn finest() -> Self {
        Self {
            buckets: vec![0; MOST_BUCKETS],
        }
    }

    /// Adds what a runner holds. One that holds nothing counts like one that is not known.
    pub fn add<'a, Adapters>(
        &mut self,
        runner: &RunnerId,
        holdings: impl IntoIterator<Item = (&'a ModelName, Adapters)>,
    ) where
        Adapters: IntoIterator<Item = &'a AdapterName>,
    {
        let mut hasher = Xxh3::new();
        hasher.update(runner.as_str().as_bytes());
        // What another life of it held says nothing of this one.
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
        let bucket = Bucket::of(runner).place(self.buckets.len());
        // The order in which runners are added does not matter.
        self.buckets[bucket] = self.buckets[bucket].wrapping_add(low_half(hasher.digest()));
    }

    /// The buckets of a member's digests that are the same here, where the digests are the finest.
    pub fn same_buckets(&self, member: &Self) -> SameBuckets {
        let count = member.buckets.len();
        let is_valid = count.is_power_of_two() && count <= self.buckets.len();
        if !is_valid {
            return SameBuckets::default();
        }
        let mut own = vec![0_u32; count];
        for (place, digest) in self.buckets.iter().enumerate() {
            own[place % count] = own[place % count].wrapping_add(*digest);
        }
        let pairs = own.iter().zip(&member.buckets);
        SameBuckets {
            are_same: pairs.map(|(own, member)| own == member).collect(),
        }
    }
}

/// The bucket of a runner, among however many there are.
#[derive(Clone, Copy, Debug)]
pub struct Bucket(u64);

impl Bucket {
    /// The bucket of a runner.
    pub fn of(runner: &RunnerId) -> Self {
        Self(xxh3_64(runner.as_str().as_bytes()))
    }

    /// Its place among a number of buckets, which is a power of two.
    fn place(self, count: usize) -> usize {
        #[allow(clippy::cast_possible_truncation)]
        let low = self.0 as usize;
        low % count
    }
}

/// Buckets of which two daemons know the same.
#[derive(Clone, Debug, Default)]
pub struct SameBuckets {
    are_same: Vec<bool>,
}

impl SameBuckets {
    /// Whether the runners of a bucket are the same.
    pub fn contains(&self, bucket: Bucket) -> bool {
        !self.are_same.is_empty() && self.are_same[bucket.place(self.are_same.len())]
    }
}

#[allow(clippy::cast_possible_truncation)]
fn low_half(digest: u64) -> u32 {
    digest as u32
}
