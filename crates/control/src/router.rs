//! Load balancing: the choice of one replica among those that accept requests.
//!
//! Without a prompt prefix, two candidates are drawn at random and the less loaded one is chosen
//! (power of two choices). With one, candidates are ranked by rendezvous hashing of the prefix and
//! the first whose load is within the bound is chosen (consistent hashing with bounded loads), so
//! that equal prefixes reach the same prefix cache without a shared index.

use std::collections::{BTreeMap, BTreeSet};

use flaxward_types::RunnerName;
use flaxward_types::routing::Replica;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum load of a replica chosen by prefix, in percent of the mean load.
pub const LOAD_BOUND_PERCENT: u64 = 125;

/// Chooses replicas and counts this daemon's outstanding requests at each runner.
#[derive(Clone, Debug)]
pub struct Router {
    random: ChaCha8Rng,
    leaving: BTreeSet<RunnerName>,
    outstanding: BTreeMap<RunnerName, u32>,
}

impl Router {
    /// A router whose random choices are determined by a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            leaving: BTreeSet::new(),
            outstanding: BTreeMap::new(),
        }
    }

    /// Replaces the set of runners that accept no new requests.
    pub fn set_leaving(&mut self, leaving: BTreeSet<RunnerName>) {
        self.leaving = leaving;
    }

    /// Whether a runner accepts no new requests.
    pub fn is_leaving(&self, runner: &RunnerName) -> bool {
        self.leaving.contains(runner)
    }

    /// Counts a request that was sent to a runner as outstanding.
    pub fn record_start(&mut self, runner: &RunnerName) {
        *self.outstanding.entry(runner.clone()).or_insert(0) += 1;
    }

    /// Stops counting a request at a runner that has ended.
    pub fn record_end(&mut self, runner: &RunnerName) {
        let Some(count) = self.outstanding.get_mut(runner) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.outstanding.remove(runner);
        }
    }

    /// Requests that this daemon has outstanding at a runner.
    pub fn outstanding(&self, runner: &RunnerName) -> u32 {
        self.outstanding.get(runner).copied().unwrap_or(0)
    }

    /// Load of a replica: this daemon's outstanding requests plus those last reported by the
    /// coordinator.
    pub fn load(&self, replica: &Replica) -> u64 {
        u64::from(self.outstanding(&replica.runner)) + u64::from(replica.outstanding)
    }

    /// Chooses a replica whose runner is not leaving; `None` if there is none.
    pub fn choose<'a>(
        &mut self,
        replicas: impl IntoIterator<Item = &'a Replica>,
        prefix: Option<u64>,
    ) -> Option<&'a Replica> {
        let candidates: Vec<&Replica> = replicas
            .into_iter()
            .filter(|replica| !self.is_leaving(&replica.runner))
            .collect();
        match (candidates.len(), prefix) {
            (0, _) => None,
            (1, _) => Some(candidates[0]),
            (_, Some(prefix)) => self.choose_by_prefix(&candidates, prefix),
            (_, None) => Some(self.choose_of_two(&candidates)),
        }
    }

    fn choose_of_two<'a>(&mut self, candidates: &[&'a Replica]) -> &'a Replica {
        let first = self.random.random_range(0..candidates.len());
        let step = self.random.random_range(1..candidates.len());
        let second = (first + step) % candidates.len();
        let (first, second) = (candidates[first], candidates[second]);
        if self.load(second) < self.load(first) {
            second
        } else {
            first
        }
    }

    fn choose_by_prefix<'a>(&self, candidates: &[&'a Replica], prefix: u64) -> Option<&'a Replica> {
        let bound = self.load_bound(candidates);
        candidates
            .iter()
            .filter(|replica| self.load(replica) < bound)
            .max_by_key(|replica| xxh3_64_with_seed(replica.runner.as_str().as_bytes(), prefix))
            .copied()
    }

    /// Load that no replica may exceed when one more request is placed. At least one candidate is
    /// always below it, because it is not less than the mean including the new request.
    fn load_bound(&self, candidates: &[&Replica]) -> u64 {
        let total: u64 = candidates.iter().map(|replica| self.load(replica)).sum();
        let shares = 100 * candidates.len() as u64;
        ((total + 1) * LOAD_BOUND_PERCENT).div_ceil(shares)
    }
}
