//! Properties of the load balancing over replicas.

use std::collections::BTreeSet;

use flaxward_control::router::{LOAD_BOUND_PERCENT, Router};
use flaxward_types::RunnerName;
use flaxward_types::routing::Replica;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    let cases = std::env::var("FLAXWARD_PROPTEST_CASES").ok();
    ProptestConfig {
        cases: cases.and_then(|text| text.parse().ok()).unwrap_or(512),
        rng_seed: RngSeed::Fixed(0x0207_7e25),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn replicas(loads: &[u32]) -> Vec<Replica> {
    let replica = |(index, &outstanding): (usize, &u32)| Replica {
        runner: RunnerName::literal(&format!("r{index}")),
        address: String::new(),
        outstanding,
    };
    loads.iter().enumerate().map(replica).collect()
}

fn loads_of(router: &Router, replicas: &[Replica]) -> Vec<u64> {
    replicas
        .iter()
        .map(|replica| router.load(replica))
        .collect()
}

proptest! {
    #![proptest_config(config())]

    /// A replica is chosen if and only if there is one that is not leaving; a leaving one never is.
    #[test]
    fn leaving_runners_receive_no_requests(
        loads in prop::collection::vec(0_u32..20, 0..8),
        leaving in prop::collection::btree_set(0_usize..8, 0..8),
        prefix in prop::option::of(any::<u64>()),
        seed in any::<u64>(),
    ) {
        let replicas = replicas(&loads);
        let name = |index| RunnerName::literal(&format!("r{index}"));
        let leaving: BTreeSet<RunnerName> = leaving.into_iter().map(name).collect();
        let mut router = Router::new(seed);
        router.set_leaving(leaving.clone());
        let is_available = |replica: &Replica| !leaving.contains(&replica.runner);
        let chosen = router.choose(&replicas, prefix);
        prop_assert_eq!(chosen.is_some(), replicas.iter().any(is_available));
        prop_assert!(chosen.is_none_or(is_available));
    }

    /// With prefixes, however skewed their distribution, no load exceeds the bound. While the bound
    /// allows it, a prefix keeps its replica, also when another replica is added or removed.
    #[test]
    fn prefixes_are_sticky_and_loads_are_bounded(
        count in 2_usize..8,
        prefixes in prop::collection::vec(0_u64..4, 1..60),
    ) {
        let replicas = replicas(&vec![0; count]);
        let mut router = Router::new(1);
        for prefix in prefixes {
            let preferred = Router::new(1).choose(&replicas, Some(prefix)).unwrap();
            let chosen = router.choose(&replicas, Some(prefix)).unwrap();
            let loads = loads_of(&router, &replicas);
            let total = loads.iter().sum::<u64>() + 1;
            let bound = (total * LOAD_BOUND_PERCENT).div_ceil(100 * count as u64);
            prop_assert!(router.load(chosen) < bound, "{loads:?}");
            prop_assert!(chosen == preferred || router.load(preferred) >= bound, "{loads:?}");
            let others: Vec<Replica> = replicas
                .iter()
                .filter(|replica| *replica == preferred || replica.runner.as_str() != "r0")
                .cloned()
                .collect();
            prop_assert_eq!(Router::new(1).choose(&others, Some(prefix)), Some(preferred));
            router.record_start(&chosen.runner);
        }
    }

    /// Without prefixes, the most loaded replica is never chosen while the others have less load.
    /// Requests that have ended are no longer counted.
    #[test]
    fn the_most_loaded_replica_is_not_chosen(
        loads in prop::collection::vec(0_u32..20, 2..8),
        seed in any::<u64>(),
    ) {
        let mut replicas = replicas(&loads);
        replicas[0].outstanding = 20;
        let mut router = Router::new(seed);
        for _ in 0..20 {
            let chosen = router.choose(&replicas, None).unwrap().runner.clone();
            prop_assert_ne!(&chosen, &replicas[0].runner);
            router.record_start(&chosen);
            prop_assert_eq!(router.outstanding(&chosen), 1);
            router.record_end(&chosen);
            router.record_end(&chosen);
            prop_assert_eq!(router.outstanding(&chosen), 0);
        }
    }
}

/// Power of two choices keeps the loads of equal replicas close together, and prefixes are
/// distributed over all of them.
#[test]
fn choices_are_evenly_distributed() {
    let replicas = replicas(&[0; 10]);
    let mut router = Router::new(3);
    for _ in 0..1_000 {
        let chosen = router.choose(&replicas, None).unwrap().runner.clone();
        router.record_start(&chosen);
    }
    let loads = loads_of(&router, &replicas);
    assert!(
        loads.iter().all(|load| (95..=105).contains(load)),
        "{loads:?}"
    );
    let homes: BTreeSet<&RunnerName> = (0..100)
        .filter_map(|prefix| Router::new(1).choose(&replicas, Some(prefix)))
        .map(|home| &home.runner)
        .collect();
    assert_eq!(homes.len(), 10);
}
