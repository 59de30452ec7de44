//! Random schedules of faults, each followed by a time without any.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use flaxward_simulation::{Outcome, Region, RegionSettings, Schedule, Target};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};

use crate::schedules::{CALM, FAULTY, THINKING, calm, faulty};
use crate::support::request;

/// Cases if `FLAXWARD_PROPTEST_CASES` says nothing.
const CASES: u64 = 48;
/// First seed if `FLAXWARD_PROPTEST_SEED` says nothing.
const FIRST_SEED: u64 = 1;
/// Seeds whose schedules failed before.
const FAILED_BEFORE: [u64; 4] = [256, 307, 402, 593];
/// Steps by which a failing schedule is made shorter, if `FLAXWARD_PROPTEST_SHRINKS` says nothing.
const SHRINKS: u64 = 0;
/// Threads that run cases.
const THREADS: usize = 4;
/// Time before the first fault.
const QUIET: Duration = Duration::from_secs(5);
/// Time in which a region finds itself after its last fault.
const RECOVERY: Duration = Duration::from_secs(42);
/// Time in which a model must wake.
const WAKE: Duration = Duration::from_secs(45);
/// Time until a refused caller comes back.
const RETRY: Duration = Duration::from_secs(1);

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

fn check(region: &Region) -> Result<(), TestCaseError> {
    match region.violation() {
        None => Ok(()),
        Some(violation) => Err(TestCaseError::fail(violation.to_string())),
    }
}

/// Lets everything fail, then nothing, and then wakes each model.
fn run(seed: u64, faults: &Schedule, calm: &Schedule) -> Result<(), TestCaseError> {
    let settings = RegionSettings {
        traces: std::env::var_os("FLAXWARD_TRACE").is_some(),
        ..RegionSettings::small()
    };
    let mut region = Region::new(settings, seed);
    region.run_for(QUIET);
    region.plan(faults);
    region.run_for(FAULTY);
    region.heal();
    region.run_for(RECOVERY);
    region.check_settled();
    check(&region)?;
    region.plan(calm);
    region.run_for(CALM + 2 * THINKING);
    region.restore();
    region.run_for(RECOVERY);
    region.check_settled();
    check(&region)?;
    wake(&mut region)
}

/// Each model wakes. A caller who is told to come back comes back.
fn wake(region: &mut Region) -> Result<(), TestCaseError> {
    let daemons = region.daemons().len();
    for (place, artifact) in region.artifacts().into_iter().enumerate() {
        let begin = region.now();
        let mut ended = None;
        while !matches!(ended, Some((_, Outcome::Answered))) {
            if region.now().since(begin) > WAKE {
                let detail = format!("{artifact:?} at daemon {}: {ended:?}", place % daemons);
                region.fail_to_wake(detail);
                for object in region.store.quotas() {
                    println!("{object:?}");
                }
                break;
            }
            let wanted = request(Target::Model(artifact.clone()), WAKE);
            let number = region.submit(place % daemons, wanted);
            region.run_for(RETRY);
            while region.violation().is_none()
                && region
                    .record(number)
                    .is_some_and(|record| record.ended.is_none())
            {
                region.run_for(RETRY);
            }
            ended = region.record(number).and_then(|record| record.ended);
            // Time stands still from the first broken invariant on.
            check(region)?;
        }
        check(region)?;
    }
    Ok(())
}

/// Runs the case of one seed; a failing schedule is made shorter.
fn run_seed(seed: u64) -> Result<(), String> {
    let shrinks = number("FLAXWARD_PROPTEST_SHRINKS").unwrap_or(SHRINKS);
    let config = Config {
        cases: 1,
        max_shrink_iters: u32::try_from(shrinks).unwrap_or(u32::MAX),
        failure_persistence: None,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let strategy = (any::<u64>(), faulty(), calm());
    TestRunner::new_with_rng(config, random)
        .run(&strategy, |(seed, faults, calm)| run(seed, &faults, &calm))
        .map_err(|error| match error {
            TestError::Fail(reason, (region, faults, calm)) => {
                let replay =
                    format!("FLAXWARD_REPLAY={seed} cargo test -p flaxward-simulation replay");
                let (faults, calm) = (lines(faults), lines(calm));
                format!("{reason}\nreplay: {replay}\nregion {region}\n{faults}calm:\n{calm}")
            }
            TestError::Abort(reason) => reason.to_string(),
        })
}

/// What happens in order, one a line.
fn lines(mut schedule: Schedule) -> String {
    schedule.sort_by_key(|(delay, _)| *delay);
    let lines = schedule.iter();
    lines
        .map(|(delay, happening)| format!("  {delay:?} {happening:?}\n"))
        .collect()
}

#[test]
fn everything_holds_under_random_faults() {
    let cases = number("FLAXWARD_PROPTEST_CASES").unwrap_or(CASES);
    let first = number("FLAXWARD_PROPTEST_SEED").unwrap_or(FIRST_SEED);
    let next = AtomicU64::new(0);
    let work = || {
        let mut failures = Vec::new();
        loop {
            let case = next.fetch_add(1, Ordering::Relaxed);
            if case >= cases {
                return failures;
            }
            if let Err(failure) = run_seed(first + case) {
                failures.push((first + case, failure));
            }
        }
    };
    let mut failures = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        let failures = threads
            .into_iter()
            .map(|thread| thread.join().expect("no thread panics"));
        failures.flatten().collect::<Vec<_>>()
    });
    failures.sort();
    for (seed, failure) in &failures {
        println!("seed {seed}: {failure}\n");
    }
    assert!(
        failures.is_empty(),
        "{} of {cases} cases fail",
        failures.len()
    );
}

/// Schedules that broke a law before.
#[test]
fn schedules_that_failed_before_hold() {
    for seed in FAILED_BEFORE {
        if let Err(failure) = run_seed(seed) {
            panic!("{failure}");
        }
    }
}

/// A test for each seed whose schedule breaks a law and is not mended.
macro_rules! failing_seeds {
    ($($(#[$doc:meta])* $name:ident: $seed:literal,)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                if let Err(failure) = run_seed($seed) {
                    panic!("{failure}");
                }
            }
        )*
    };
}

failing_seeds! {
    /// Guards against work for a runner that was marked as leaving seconds ago.
    no_work_goes_to_a_leaving_runner_838: 838,
    /// The same.
    no_work_goes_to_a_leaving_runner_1128: 1128,
    /// The same.
    no_work_goes_to_a_leaving_runner_1458: 1458,
    /// The same.
    no_work_goes_to_a_leaving_runner_1630: 1630,
    /// The same.
    no_work_goes_to_a_leaving_runner_2472: 2472,
    /// Guards against a request that ends by its deadline because a daemon stops as planned.
    a_planned_stop_delays_no_request_past_its_deadline_680: 680,
    /// The same.
    a_planned_stop_delays_no_request_past_its_deadline_1426: 1426,
    /// The same.
    a_planned_stop_delays_no_request_past_its_deadline_1610: 1610,
    /// The same.
    a_planned_stop_delays_no_request_past_its_deadline_2589: 2589,
}

/// Runs the case of the seed in `FLAXWARD_REPLAY` again.
#[test]
fn replay() {
    let Some(seed) = number("FLAXWARD_REPLAY") else {
        return;
    };
    if let Err(failure) = run_seed(seed) {
        panic!("{failure}");
    }
}
