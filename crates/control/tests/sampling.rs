//! Tests the sample of replicas announced to each gateway, and the load imbalance that routing by
//! samples causes.

use std::collections::{BTreeMap, BTreeSet};

use flaxward_control::coordinator::{SAMPLE_SIZE, sample};
use flaxward_control::router::Router;
use flaxward_types::routing::Replica;
use flaxward_types::{DaemonName, RunnerName};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Gateways in a zone and replicas of one busy model there, at the target scale.
const GATEWAYS: usize = 29;
const REPLICAS: usize = 49;
/// Average number of running requests per replica.
const MEAN_LOAD: usize = 25;
/// Number of requests per trial that end and are each replaced by a new one.
const ROUNDS: usize = 40_000;
/// Ended requests between two load reports: each runner of the model reports about every 10 s.
const REPORT_EVERY: usize = 800;
const TRIALS: u64 = 5;

fn replicas(numbers: impl IntoIterator<Item = usize>) -> Vec<Replica> {
    let replica = |number| Replica {
        runner: RunnerName::literal(&format!("runner-{number}")),
        address: String::new(),
        outstanding: 0,
    };
    numbers.into_iter().map(replica).collect()
}

fn gateway(number: usize) -> DaemonName {
    DaemonName::literal(&format!("daemon-{number}"))
}

proptest! {
    #[test]
    fn a_sample_is_full_and_changes_only_by_added_or_removed_replicas(
        numbers in proptest::collection::btree_set(0_usize..500, 1..80),
        gateway_number in 0_usize..1_000,
        removed in any::<prop::sample::Index>(),
    ) {
        let name = gateway(gateway_number);
        let numbers: Vec<usize> = numbers.into_iter().collect();
        let before = sample(&name, replicas(numbers.clone()), SAMPLE_SIZE);
        prop_assert_eq!(before.len(), numbers.len().min(SAMPLE_SIZE));
        let removed = numbers[removed.index(numbers.len())];
        let others = numbers.iter().copied().filter(|number| *number != removed);
        let after = sample(&name, replicas(others), SAMPLE_SIZE);
        let removed = &replicas([removed])[0];
        let retained = before.iter().filter(|replica| *replica != removed);
        prop_assert!(retained.clone().all(|replica| after.contains(replica)));
        let new = after.len() - retained.count();
        prop_assert!(new <= usize::from(before.contains(removed)));
    }
}

/// A simulation of gateways that each choose between two replicas of their own sample by the last
/// reported loads.
struct Trial {
    routers: Vec<Router>,
    samples: Vec<Vec<Replica>>,
    loads: BTreeMap<RunnerName, u32>,
    running: Vec<(usize, RunnerName)>,
    random: ChaCha8Rng,
}

impl Trial {
    fn new(size: usize, seed: u64) -> Self {
        let of = |number| {
            let name = gateway(number + 1_000 * usize::try_from(seed).unwrap());
            sample(&name, replicas(0..REPLICAS), size)
        };
        Self {
            routers: (0..GATEWAYS as u64)
                .map(|number| Router::new(seed * 100 + number))
                .collect(),
            samples: (0..GATEWAYS).map(of).collect(),
            loads: replicas(0..REPLICAS)
                .into_iter()
                .map(|replica| (replica.runner, 0))
                .collect(),
            running: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn start_request(&mut self) {
        let gateway = self.random.random_range(0..GATEWAYS);
        let chosen = self.routers[gateway].choose(&self.samples[gateway], None);
        let runner = chosen.expect("a replica").runner.clone();
        self.routers[gateway].record_start(&runner);
        *self.loads.get_mut(&runner).unwrap() += 1;
        self.running.push((gateway, runner));
    }

    fn end_request(&mut self) {
        let index = self.random.random_range(0..self.running.len());
        let (gateway, runner) = self.running.swap_remove(index);
        self.routers[gateway].record_end(&runner);
        *self.loads.get_mut(&runner).unwrap() -= 1;
    }

    fn report_loads(&mut self) {
        for replica in self.samples.iter_mut().flatten() {
            replica.outstanding = self.loads[&replica.runner];
        }
    }

    /// The ratio of the highest load to the mean, averaged over the second half of the trial.
    fn run(mut self, is_load_reported: bool) -> f64 {
        for _ in 0..REPLICAS * MEAN_LOAD {
            self.start_request();
        }
        let mut ratios = Vec::new();
        for round in 0..ROUNDS {
            self.end_request();
            self.start_request();
            if round % REPORT_EVERY != 0 {
                continue;
            }
            if is_load_reported {
                self.report_loads();
            }
            if round >= ROUNDS / 2 {
                let highest = self.loads.values().max().copied().unwrap_or(0);
                ratios.push(f64::from(highest) / MEAN_LOAD as f64);
            }
        }
        ratios.iter().sum::<f64>() / ratios.len() as f64
    }
}

fn imbalance(size: usize, is_load_reported: bool) -> f64 {
    let sum: f64 = (0..TRIALS)
        .map(|seed| Trial::new(size, seed).run(is_load_reported))
        .sum();
    sum / TRIALS as f64
}

#[test]
fn sampling_keeps_the_highest_load_below_twice_the_mean() {
    println!("highest load over the mean, {GATEWAYS} gateways, {REPLICAS} replicas:");
    println!("sample | loads reported | loads unknown");
    for size in [4, SAMPLE_SIZE, 12, 16, REPLICAS] {
        let (with_reports, without_reports) = (imbalance(size, true), imbalance(size, false));
        println!("{size} | {with_reports:.2} | {without_reports:.2}");
    }
    let used: BTreeSet<RunnerName> = (0..GATEWAYS)
        .flat_map(|number| sample(&gateway(number), replicas(0..REPLICAS), SAMPLE_SIZE))
        .map(|replica| replica.runner)
        .collect();
    println!(
        "replicas in a sample of {SAMPLE_SIZE}: {} of {REPLICAS}",
        used.len()
    );
    assert!(imbalance(SAMPLE_SIZE, true) < 2.0);
}
