//! Without faults, everything is answered, and nothing is loaded twice.

use std::time::Duration;

use flaxward_simulation::settings::{GIGABYTE, model};
use flaxward_simulation::{Outcome, Region, RegionSettings};
use flaxward_types::ConfigurationItem;

use crate::support::{burst, check, started};

/// Longer than the test that uses it.
const KEEP_ALIVE_MILLIS: u64 = 600_000;

#[test]
fn bursts_for_every_model_are_answered() {
    let mut region = started(RegionSettings::small(), 1);
    for artifact in 0..region.artifacts().len() {
        let artifact = u8::try_from(artifact).expect("a few artifacts");
        region.plan(&vec![(Duration::ZERO, burst(artifact, artifact % 2 == 0))]);
        region.run_for(Duration::from_secs(40));
        check(&region);
    }
    assert_all_answered(&region);
}

fn assert_all_answered(region: &Region) {
    let refused: Vec<_> = region
        .records()
        .filter(|(_, record)| !matches!(record.ended, Some((_, Outcome::Answered))))
        .collect();
    assert!(refused.is_empty(), "{refused:?}");
}

/// A region in which nothing is loaded by itself, and what is loaded stays so.
fn lasting() -> RegionSettings {
    let mut settings = RegionSettings::small();
    settings.coordinator.load_timeout = Duration::from_millis(KEEP_ALIVE_MILLIS);
    for (key, item) in &mut settings.items {
        match item {
            ConfigurationItem::Policy(policy) => {
                policy.keep_alive_min_ms = KEEP_ALIVE_MILLIS;
                policy.keep_alive_max_ms = KEEP_ALIVE_MILLIS;
            }
            ConfigurationItem::Model(_) if key.to_string() == "model.four" => {
                *item = model(0, 1, &[], "v1");
            }
            _ => {}
        }
    }
    settings
}

/// The one unit of a model is in one zone, and callers of every zone want it. However long the load
/// takes, the replica stays where it is and all callers are served by it.
#[test]
fn a_model_with_one_copy_is_loaded_once_for_callers_in_all_zones() {
    for (seed, load_seconds) in (0..).zip([1, 2, 3, 4, 6, 8, 12, 16, 20].repeat(2)) {
        let mut settings = lasting();
        settings.weight_store_speed = 4 * GIGABYTE / load_seconds;
        settings.coordinator.remote_bytes_per_second = settings.weight_store_speed;
        let mut region = started(settings, seed);
        region.plan(&vec![(Duration::ZERO, burst(0, false))]);
        region.run_for(Duration::from_secs(90));
        check(&region);
        let loads: u64 = region.engines().map(|engine| engine.loads()).sum();
        assert_eq!(loads, 1, "seed {seed}, with a load of {load_seconds} s");
        assert_all_answered(&region);
    }
}
