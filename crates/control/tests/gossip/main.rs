//! Properties of gossip, in virtual time over a network with faults.

mod configuration;
mod facts;
mod history;
mod membership;
mod network;
mod traffic;

use proptest::test_runner::{Config, RngSeed};

/// Runs with a fixed seed; `FLAXWARD_PROPTEST_CASES` overrides the number of cases.
fn cases(default: u32) -> Config {
    let cases = std::env::var("FLAXWARD_PROPTEST_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default);
    Config {
        cases,
        rng_seed: RngSeed::Fixed(29),
        failure_persistence: None,
        ..Config::default()
    }
}
