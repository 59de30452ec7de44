//! Runs the property tests of requests with fixed seeds. The tests also run deliberately broken
//! variants, which must be detected.

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};

const SEED: u64 = 0x0f1a_c5ed;
const CASES: u32 = 512;

pub fn config() -> Config {
    let cases = std::env::var("FLAXWARD_PROPTEST_CASES");
    Config {
        cases: cases
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(CASES),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

/// The first violation found by random cases, if any.
pub fn violation<S: Strategy>(
    strategy: &S,
    check: impl Fn(S::Value) -> Result<(), String>,
) -> Option<String> {
    TestRunner::new(config())
        .run(strategy, |case| check(case).map_err(TestCaseError::fail))
        .err()
        .map(|error| error.to_string())
}

/// Returns an error with this text unless the rule holds.
pub fn rule(holds: bool, text: &str) -> Result<(), String> {
    if holds { Ok(()) } else { Err(text.to_owned()) }
}
