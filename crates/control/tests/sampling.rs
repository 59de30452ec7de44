//! The replicas that each gateway is told of, and what routing by them costs in balance.

use std::collections::{BTreeMap, BTreeSet};

use flaxward_control::coordinator::{SAMPLE, sample};
use flaxward_control::router::Router;
use flaxward_types::routing::Replica;
use flaxward_types::{DaemonName, RunnerName};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Gateways of a zone and replicas of one busy model there at the target.
const GATEWAYS: usize = 29;
const REPLICAS: usize = 49;
/// Requests that run on a replica on average.
const MEAN_LOAD: usize = 25;
/// Requests that end, each followed by a new one, in one trial.
const ROUNDS: usize = 40_000;
/// Ends between two load reports: all runners of the model report once in about 10 s.
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
    fn a_sample_is_full_and_changes_only_by_what_comes_and_goes(
        numbers in proptest::collection::btree_set(0_usize..500, 1..80),
        gateway_number in 0_usize..1_000,
        gone in any::<prop::sample::Index>(),
    ) {
        let name = gateway(gateway_number);
        let numbers: Vec<usize> = numbers.into_iter().collect();
        let before = sample(&name, replicas(numbers.clone()), SAMPLE);
        prop_assert_eq!(before.len(), numbers.len().min(SAMPLE));
        let gone = numbers[gone.index(numbers.len())];
        let others = numbers.iter().copied().filter(|number| *number != gone);
        let after = sample(&name, replicas(others), SAMPLE);
        let gone = &replicas([gone])[0];
        let kept = before.iter().filter(|replica| *replica != gone);
        prop_assert!(kept.clone().all(|replica| after.contains(replica)));
        let new = after.len() - kept.count();
        prop_assert!(new <= usize::from(before.contains(gone)));
    }
}

/// Gateways that choose between two replicas, each among its sample, by the loads last reported.
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

    fn begin(&mut self) {
        let gateway = self.random.random_range(0..GATEWAYS);
        let chosen = self.routers[gateway].choose(&self.samples[gateway], None);
        let runner = chosen.expect("a replica").runner.clone();
        self.routers[gateway].record_start(&runner);
        *self.loads.get_mut(&runner).unwrap() += 1;
        self.running.push((gateway, runner));
    }

    fn end(&mut self) {
        let place = self.random.random_range(0..self.running.len());
        let (gateway, runner) = self.running.swap_remove(place);
        self.routers[gateway].record_end(&runner);
        *self.loads.get_mut(&runner).unwrap() -= 1;
    }

    fn report(&mut self) {
        for replica in self.samples.iter_mut().flatten() {
            replica.outstanding = self.loads[&replica.runner];
        }
    }

    /// The highest load over the mean, averaged over the second half of the trial.
    fn run(mut self, has_reports: bool) -> f64 {
        for _ in 0..REPLICAS * MEAN_LOAD {
            self.begin();
        }
        let mut ratios = Vec::new();
        for round in 0..ROUNDS {
            self.end();
            self.begin();
            if round % REPORT_EVERY != 0 {
                continue;
            }
            if has_reports {
                self.report();
            }
            if round >= ROUNDS / 2 {
                let highest = self.loads.values().max().copied().unwrap_or(0);
                ratios.push(f64::from(highest) / MEAN_LOAD as f64);
            }
        }
        ratios.iter().sum::<f64>() / ratios.len() as f64
    }
}

fn imbalance(size: usize, has_reports: bool) -> f64 {
    let sum: f64 = (0..TRIALS)
        .map(|seed| Trial::new(size, seed).run(has_reports))
        .sum();
    sum / TRIALS as f64
}

#[test]
fn load_stays_even_enough_with_samples() {
    println!("highest load over the mean, {GATEWAYS} gateways, {REPLICAS} replicas:");
    println!("sample | loads reported | loads unknown");
    for size in [4, SAMPLE, 12, 16, REPLICAS] {
        let (told, untold) = (imbalance(size, true), imbalance(size, false));
        println!("{size} | {told:.2} | {untold:.2}");
    }
    let used: BTreeSet<RunnerName> = (0..GATEWAYS)
        .flat_map(|number| sample(&gateway(number), replicas(0..REPLICAS), SAMPLE))
        .map(|replica| replica.runner)
        .collect();
    println!(
        "replicas in a sample of {SAMPLE}: {} of {REPLICAS}",
        used.len()
    );
    assert!(imbalance(SAMPLE, true) < 2.0);
}
