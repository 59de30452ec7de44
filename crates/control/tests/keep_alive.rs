//! Tests of the keep-alive policy: bounds, extremes of the weight, learning and prewarming.

use std::time::Duration;

use flaxward_control::keep_alive::{
    ACCELERATOR_BYTES, IDLE_SECONDS_PER_COLD_SECOND, KeepAlive, KeepAliveDecision, PREWARM_SAMPLES,
};
use flaxward_types::configuration::PolicySpec;
use flaxward_types::{ArtifactId, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LOAD_TIME: Duration = Duration::from_secs(60);
const DAY: u64 = 86_400;

fn proptest_config() -> ProptestConfig {
    let cases = std::env::var("FLAXWARD_PROPTEST_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(128);
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn artifact(number: usize) -> ArtifactId {
    format!("model-{number}@v1").parse().expect("valid")
}

fn policy(weight: f64) -> PolicySpec {
    PolicySpec {
        cold_start_weight: weight,
        ..PolicySpec::default()
    }
}

/// Records a use of model `number`, and one after each of these idle times in seconds.
fn record_idle_times(keep_alive: &mut KeepAlive, number: usize, idle_seconds: &[u64]) -> Timestamp {
    let mut now = Timestamp::ZERO;
    keep_alive.record_arrival(&artifact(number), now);
    for &idle in idle_seconds {
        now = now + Duration::from_secs(idle);
        keep_alive.record_arrival(&artifact(number), now);
    }
    now
}

fn decide(keep_alive: &KeepAlive, number: usize, now: Timestamp, weight: f64) -> KeepAliveDecision {
    keep_alive.decide(&artifact(number), now, &policy(weight), LOAD_TIME)
}

/// Cost of a fixed time-out over these idle times, by definition.
fn cost(idle_seconds: &[u64], timeout: Duration, weight: f64) -> f64 {
    let cold_start = weight * LOAD_TIME.as_secs_f64() * IDLE_SECONDS_PER_COLD_SECOND;
    let timeout = timeout.as_secs_f64();
    idle_seconds
        .iter()
        .map(|&idle| {
            let idle = idle as f64;
            let missed = if idle > timeout { cold_start } else { 0.0 };
            idle.min(timeout) * (1.0 - weight) + missed
        })
        .sum()
}

fn any_idle_times() -> impl Strategy<Value = Vec<u64>> {
    prop::collection::vec(1..40 * DAY, 0..40)
}

/// Idle times close to a period, mixed with irregular ones.
fn recurring_idle_times() -> impl Strategy<Value = Vec<u64>> {
    let times = prop::collection::vec((0_u64..1_200, prop::bool::weighted(0.1)), 3..40);
    (7_200..5 * DAY, times).prop_map(|(period, times)| {
        let idle = |(offset, irregular)| if irregular { offset } else { period + offset };
        times.into_iter().map(idle).collect()
    })
}

proptest! {
    #![proptest_config(proptest_config())]

    /// For all recorded idle times, time-outs and prewarm windows are within the policy's bounds,
    /// and prewarming starts after the time-out.
    #[test]
    fn timeouts_stay_within_the_bounds(
        idle in prop_oneof![any_idle_times(), recurring_idle_times()],
        weight in 0.0_f64..=1.0,
        later in 0_u64..60 * DAY,
    ) {
        let mut keep_alive = KeepAlive::new();
        let last = record_idle_times(&mut keep_alive, 0, &idle);
        let first = decide(&keep_alive, 0, last, weight);
        let min_duration = Duration::from_millis(policy(weight).keep_alive_min_ms);
        let max_duration = Duration::from_millis(policy(weight).keep_alive_max_ms);
        prop_assert!(first.unload_after >= min_duration && first.unload_after <= max_duration);
        if let Some(after) = first.prewarm_after {
            prop_assert!(after > first.unload_after);
            let second = decide(&keep_alive, 0, last + after, weight);
            prop_assert!(second.wants_prewarm(after));
            prop_assert!(second.unload_after > after);
            prop_assert!(second.unload_after - after <= max_duration);
            let expired = decide(&keep_alive, 0, last + second.unload_after, weight);
            prop_assert!(!expired.wants_loaded(second.unload_after));
            prop_assert_eq!(expired.prewarm_after, None);
        }
        let elapsed = Duration::from_secs(later);
        let decision = decide(&keep_alive, 0, last + elapsed, weight);
        prop_assert!(!decision.wants_prewarm(elapsed) || elapsed > first.unload_after);
    }

    /// A higher weight of cold starts never shortens the time-out.
    #[test]
    fn a_higher_weight_never_shortens_the_timeout(
        idle in prop::collection::vec(8_u64..2 * DAY, 0..40),
        low in 0.0_f64..=1.0,
        high in 0.0_f64..=1.0,
    ) {
        let mut keep_alive = KeepAlive::new();
        let last = record_idle_times(&mut keep_alive, 0, &idle);
        let (low, high) = (low.min(high), low.max(high));
        let short = decide(&keep_alive, 0, last, low).unload_after;
        let long = decide(&keep_alive, 0, last, high).unload_after;
        prop_assert!(short <= long, "{short:?} at {low}, {long:?} at {high}");
    }

    /// With many samples, no fixed time-out costs much less over the same idle times. The tolerance
    /// covers one bin (19 %) and the influence of the prior.
    #[test]
    fn no_fixed_timeout_is_much_better(
        idle in prop::collection::vec(prop_oneof![10_u64..200, 600_u64..3_000, 7_200_u64..DAY], 48..60),
        weight in 0.05_f64..0.95,
        fixed in 30_u64..=3_600,
    ) {
        let mut keep_alive = KeepAlive::new();
        let last = record_idle_times(&mut keep_alive, 0, &idle);
        let learnt = decide(&keep_alive, 0, last, weight).unload_after;
        let learnt_cost = cost(&idle, learnt, weight);
        let fixed_cost = cost(&idle, Duration::from_secs(fixed), weight);
        prop_assert!(
            learnt_cost <= fixed_cost * 1.25 + 100.0,
            "{learnt:?}: {learnt_cost}, {fixed} s: {fixed_cost}"
        );
    }
}

/// A weight of 0 gives the minimum keep-alive time, a weight of 1 the maximum.
#[test]
fn extremes_of_the_weight() {
    let mut keep_alive = KeepAlive::new();
    let last = record_idle_times(&mut keep_alive, 0, &[100, 900, 2_000, 50 * DAY]);
    for number in [0, 1] {
        let zero_weight = decide(&keep_alive, number, last, 0.0);
        assert_eq!(zero_weight.unload_after, Duration::from_secs(30));
        assert_eq!(zero_weight.prewarm_after, None);
        let full_weight = decide(&keep_alive, number, last, 1.0);
        assert_eq!(full_weight.unload_after, Duration::from_secs(3_600));
    }
}

/// A model without samples uses the fleet's prior: it is kept if other models are soon used again,
/// and unloaded early if they are not.
#[test]
fn unknown_models_use_the_prior_of_the_fleet() {
    let timeout_after = |idle: u64| {
        let mut keep_alive = KeepAlive::new();
        for number in 0..40 {
            record_idle_times(&mut keep_alive, number, &[idle, idle]);
        }
        decide(&keep_alive, 99, Timestamp::ZERO, 0.5).unload_after
    };
    let without_samples = decide(&KeepAlive::new(), 99, Timestamp::ZERO, 0.5).unload_after;
    assert!(timeout_after(1_500) >= Duration::from_secs(1_500));
    assert!(timeout_after(21 * DAY) < Duration::from_secs(120));
    assert!(without_samples > timeout_after(21 * DAY) && without_samples < timeout_after(1_500));
}

/// A busy model does not dominate the prior: one with thousands of short idle times affects the
/// time-out of an unknown model less than forty rarely used models do.
#[test]
fn busy_models_do_not_dominate_the_prior() {
    let mut keep_alive = KeepAlive::new();
    for number in 0..40 {
        record_idle_times(&mut keep_alive, number, &[21 * DAY, 21 * DAY]);
    }
    record_idle_times(&mut keep_alive, 98, &[1_500; 3_000]);
    let rare = decide(&keep_alive, 99, Timestamp::ZERO, 0.5).unload_after;
    assert!(rare < Duration::from_secs(300), "{rare:?}");
}

/// An artifact that takes a small share of an accelerator is kept longer than one that takes all of
/// it.
#[test]
fn small_artifacts_are_kept_longer() {
    let keep_alive = KeepAlive::new();
    let timeout = |bytes: u64| {
        let policy = policy(0.3);
        let decision =
            keep_alive.decide_for_size(&artifact(0), Timestamp::ZERO, &policy, LOAD_TIME, bytes);
        decision.unload_after
    };
    assert!(timeout(ACCELERATOR_BYTES / 100) > timeout(ACCELERATOR_BYTES));
    assert!(timeout(ACCELERATOR_BYTES) > timeout(ACCELERATOR_BYTES * 4));
}

/// An artifact's own samples outweigh the prior of the fleet.
#[test]
fn own_samples_outweigh_the_fleet() {
    let mut keep_alive = KeepAlive::new();
    for number in 0..40 {
        record_idle_times(&mut keep_alive, number, &[21 * DAY, 21 * DAY]);
    }
    let last = record_idle_times(&mut keep_alive, 50, &[1_500; 16]);
    let own = decide(&keep_alive, 50, last, 0.5).unload_after;
    assert!(own >= Duration::from_secs(1_500), "{own:?}");
}

/// A model that is used daily is prewarmed before the earliest expected use and unloaded after the
/// latest.
#[test]
fn daily_reports_are_prewarmed() {
    let idle = [DAY - 60, DAY + 45, DAY, DAY + 20, DAY - 30];
    let mut keep_alive = KeepAlive::new();
    let last = record_idle_times(&mut keep_alive, 0, &idle);
    let decision = decide(&keep_alive, 0, last, 0.8);
    let after = decision.prewarm_after.expect("recurring");
    assert!(
        after + LOAD_TIME <= Duration::from_secs(DAY - 60),
        "{after:?}"
    );
    assert!(after >= Duration::from_secs(DAY - 600), "{after:?}");
    let end = decide(&keep_alive, 0, last + after, 0.8).unload_after;
    assert!(end >= Duration::from_secs(DAY + 45), "{end:?}");
    assert!(end <= Duration::from_secs(DAY + 600), "{end:?}");

    let mut few_samples = KeepAlive::new();
    let last = record_idle_times(&mut few_samples, 0, &idle[..PREWARM_SAMPLES - 1]);
    assert_eq!(decide(&few_samples, 0, last, 0.8).prewarm_after, None);
}

/// A changed usage pattern takes effect after about as many samples as the histogram retains.
#[test]
fn old_usage_patterns_decay() {
    let mut keep_alive = KeepAlive::new();
    let mut idle = vec![1_500; 200];
    idle.extend([60; 200]);
    let last = record_idle_times(&mut keep_alive, 0, &idle);
    let now = decide(&keep_alive, 0, last, 0.3).unload_after;
    assert!(now < Duration::from_secs(600), "{now:?}");
}

/// Bursts of requests and long-running requests are one busy period, not idle times: a long burst
/// does not change the decisions learnt before it.
#[test]
fn busy_periods_are_not_idle_times() {
    let mut idle = vec![1_500; 6];
    let mut without_burst = KeepAlive::new();
    for number in 1..40 {
        record_idle_times(&mut without_burst, number, &[21 * DAY; 4]);
    }
    let mut with_burst = without_burst.clone();
    record_idle_times(&mut without_burst, 0, &idle);
    idle.extend([1; 5_000]);
    let last = record_idle_times(&mut with_burst, 0, &idle);
    assert_eq!(
        decide(&with_burst, 0, last, 0.5),
        decide(&without_burst, 0, last, 0.5)
    );
    assert_eq!(with_burst.last_use(&artifact(0)), Some(last));
    with_burst.forget(&artifact(0));
    assert_eq!(with_burst.last_use(&artifact(0)), None);
}
