//! Keep-alive: bounds, the extremes of the weight, what it learns and what it costs in memory.

use std::time::Duration;

use flaxward_control::keep_alive::{
    ACCELERATOR_BYTES, IDLE_SECONDS_PER_COLD_SECOND, KeepAlive, KeepAliveDecision, PREWARM_SAMPLES,
};
use flaxward_types::configuration::PolicySpec;
use flaxward_types::{ArtifactId, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LOAD: Duration = Duration::from_secs(60);
const DAY: u64 = 86_400;

fn config() -> ProptestConfig {
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

/// Records one use of model `number` after each of these idle times, in seconds.
fn learn(keep_alive: &mut KeepAlive, number: usize, idle_seconds: &[u64]) -> Timestamp {
    let mut now = Timestamp::ZERO;
    keep_alive.record_arrival(&artifact(number), now);
    for &idle in idle_seconds {
        now = now + Duration::from_secs(idle);
        keep_alive.record_arrival(&artifact(number), now);
    }
    now
}

fn decide(keep_alive: &KeepAlive, number: usize, now: Timestamp, weight: f64) -> KeepAliveDecision {
    keep_alive.decide(&artifact(number), now, &policy(weight), LOAD)
}

/// What a fixed time-out costs over these idle times, by definition.
fn cost(idle_seconds: &[u64], timeout: Duration, weight: f64) -> f64 {
    let cold_start = weight * LOAD.as_secs_f64() * IDLE_SECONDS_PER_COLD_SECOND;
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

/// Idle times around a period, with others among them.
fn recurring_idle_times() -> impl Strategy<Value = Vec<u64>> {
    let times = prop::collection::vec((0_u64..1_200, prop::bool::weighted(0.1)), 3..40);
    (7_200..5 * DAY, times).prop_map(|(period, times)| {
        let idle = |(offset, odd)| if odd { offset } else { period + offset };
        times.into_iter().map(idle).collect()
    })
}

proptest! {
    #![proptest_config(config())]

    /// Whatever was learnt, stays keep to the policy's bounds and stays ahead of need come later.
    #[test]
    fn stays_within_the_bounds(
        idle in prop_oneof![any_idle_times(), recurring_idle_times()],
        weight in 0.0_f64..=1.0,
        later in 0_u64..60 * DAY,
    ) {
        let mut keep_alive = KeepAlive::new();
        let last = learn(&mut keep_alive, 0, &idle);
        let first = decide(&keep_alive, 0, last, weight);
        let shortest = Duration::from_millis(policy(weight).keep_alive_min_ms);
        let longest = Duration::from_millis(policy(weight).keep_alive_max_ms);
        prop_assert!(first.unload_after >= shortest && first.unload_after <= longest);
        if let Some(after) = first.prewarm_after {
            prop_assert!(after > first.unload_after);
            let second = decide(&keep_alive, 0, last + after, weight);
            prop_assert!(second.wants_prewarm(after));
            prop_assert!(second.unload_after > after);
            prop_assert!(second.unload_after - after <= longest);
            let over = decide(&keep_alive, 0, last + second.unload_after, weight);
            prop_assert!(!over.wants_loaded(second.unload_after));
            prop_assert_eq!(over.prewarm_after, None);
        }
        let elapsed = Duration::from_secs(later);
        let decision = decide(&keep_alive, 0, last + elapsed, weight);
        prop_assert!(!decision.wants_prewarm(elapsed) || elapsed > first.unload_after);
    }

    /// A higher weight of cold starts never shortens a stay.
    #[test]
    fn weight_only_lengthens(
        idle in prop::collection::vec(8_u64..2 * DAY, 0..40),
        low in 0.0_f64..=1.0,
        high in 0.0_f64..=1.0,
    ) {
        let mut keep_alive = KeepAlive::new();
        let last = learn(&mut keep_alive, 0, &idle);
        let (low, high) = (low.min(high), low.max(high));
        let short = decide(&keep_alive, 0, last, low).unload_after;
        let long = decide(&keep_alive, 0, last, high).unload_after;
        prop_assert!(short <= long, "{short:?} at {low}, {long:?} at {high}");
    }

    /// With many samples, no fixed time-out costs much less over the same idle times. The slack is
    /// one bin (19 %) and the prior's share.
    #[test]
    fn no_fixed_timeout_is_much_better(
        idle in prop::collection::vec(prop_oneof![10_u64..200, 600_u64..3_000, 7_200_u64..DAY], 48..60),
        weight in 0.05_f64..0.95,
        fixed in 30_u64..=3_600,
    ) {
        let mut keep_alive = KeepAlive::new();
        let last = learn(&mut keep_alive, 0, &idle);
        let learnt = decide(&keep_alive, 0, last, weight).unload_after;
        let ours = cost(&idle, learnt, weight);
        let theirs = cost(&idle, Duration::from_secs(fixed), weight);
        prop_assert!(ours <= theirs * 1.25 + 100.0, "{learnt:?}: {ours}, {fixed} s: {theirs}");
    }
}

/// The ends of the weight: as short, and as long, as allowed.
#[test]
fn extremes_of_the_weight() {
    let mut keep_alive = KeepAlive::new();
    let last = learn(&mut keep_alive, 0, &[100, 900, 2_000, 50 * DAY]);
    for number in [0, 1] {
        let saving = decide(&keep_alive, number, last, 0.0);
        assert_eq!(saving.unload_after, Duration::from_secs(30));
        assert_eq!(saving.prewarm_after, None);
        let waiting = decide(&keep_alive, number, last, 1.0);
        assert_eq!(waiting.unload_after, Duration::from_secs(3_600));
    }
}

/// A model never seen follows the fleet: kept where others come back soon, let go where they don't.
#[test]
fn unknown_models_follow_the_fleet() {
    let timeout_after = |idle: u64| {
        let mut keep_alive = KeepAlive::new();
        for number in 0..40 {
            learn(&mut keep_alive, number, &[idle, idle]);
        }
        decide(&keep_alive, 99, Timestamp::ZERO, 0.5).unload_after
    };
    let unlearnt = decide(&KeepAlive::new(), 99, Timestamp::ZERO, 0.5).unload_after;
    assert!(timeout_after(1_500) >= Duration::from_secs(1_500));
    assert!(timeout_after(21 * DAY) < Duration::from_secs(120));
    assert!(unlearnt > timeout_after(21 * DAY) && unlearnt < timeout_after(1_500));
}

/// A busy model does not speak for the fleet: one with thousands of short idle times moves the
/// time-out of an unknown model less than forty rare models do.
#[test]
fn busy_models_do_not_speak_for_rare_ones() {
    let mut keep_alive = KeepAlive::new();
    for number in 0..40 {
        learn(&mut keep_alive, number, &[21 * DAY, 21 * DAY]);
    }
    learn(&mut keep_alive, 98, &[1_500; 3_000]);
    let rare = decide(&keep_alive, 99, Timestamp::ZERO, 0.5).unload_after;
    assert!(rare < Duration::from_secs(300), "{rare:?}");
}

/// What takes a small share of an accelerator stays longer than what takes a whole one.
#[test]
fn small_artifacts_stay_longer() {
    let keep_alive = KeepAlive::new();
    let stay = |bytes: u64| {
        let policy = policy(0.3);
        let decision =
            keep_alive.decide_for_size(&artifact(0), Timestamp::ZERO, &policy, LOAD, bytes);
        decision.unload_after
    };
    assert!(stay(ACCELERATOR_BYTES / 100) > stay(ACCELERATOR_BYTES));
    assert!(stay(ACCELERATOR_BYTES) > stay(ACCELERATOR_BYTES * 4));
}

/// Own samples outweigh the fleet's.
#[test]
fn own_samples_outweigh_the_fleet() {
    let mut keep_alive = KeepAlive::new();
    for number in 0..40 {
        learn(&mut keep_alive, number, &[21 * DAY, 21 * DAY]);
    }
    let last = learn(&mut keep_alive, 50, &[1_500; 16]);
    let own = decide(&keep_alive, 50, last, 0.5).unload_after;
    assert!(own >= Duration::from_secs(1_500), "{own:?}");
}

/// Daily reports are loaded ahead of need, before the earliest, and given up after the latest.
#[test]
fn daily_reports_are_prewarmed() {
    let idle = [DAY - 60, DAY + 45, DAY, DAY + 20, DAY - 30];
    let mut keep_alive = KeepAlive::new();
    let last = learn(&mut keep_alive, 0, &idle);
    let decision = decide(&keep_alive, 0, last, 0.8);
    let after = decision.prewarm_after.expect("recurring");
    assert!(after + LOAD <= Duration::from_secs(DAY - 60), "{after:?}");
    assert!(after >= Duration::from_secs(DAY - 600), "{after:?}");
    let end = decide(&keep_alive, 0, last + after, 0.8).unload_after;
    assert!(end >= Duration::from_secs(DAY + 45), "{end:?}");
    assert!(end <= Duration::from_secs(DAY + 600), "{end:?}");

    let mut young = KeepAlive::new();
    let last = learn(&mut young, 0, &idle[..PREWARM_SAMPLES - 1]);
    assert_eq!(decide(&young, 0, last, 0.8).prewarm_after, None);
}

/// A habit that changed shows after about as many samples as the histogram remembers.
#[test]
fn old_habits_fade() {
    let mut keep_alive = KeepAlive::new();
    let mut idle = vec![1_500; 200];
    idle.extend([60; 200]);
    let last = learn(&mut keep_alive, 0, &idle);
    let now = decide(&keep_alive, 0, last, 0.3).unload_after;
    assert!(now < Duration::from_secs(600), "{now:?}");
}

/// Bursts of requests and requests that run on are one busy period, not idle times: what was learnt
/// before a long burst stands after it.
#[test]
fn busy_periods_are_no_idle_times() {
    let mut idle = vec![1_500; 6];
    let mut quiet = KeepAlive::new();
    for number in 1..40 {
        learn(&mut quiet, number, &[21 * DAY; 4]);
    }
    let mut busy = quiet.clone();
    learn(&mut quiet, 0, &idle);
    idle.extend([1; 5_000]);
    let last = learn(&mut busy, 0, &idle);
    assert_eq!(decide(&busy, 0, last, 0.5), decide(&quiet, 0, last, 0.5));
    assert_eq!(busy.last_use(&artifact(0)), Some(last));
    busy.forget(&artifact(0));
    assert_eq!(busy.last_use(&artifact(0)), None);
}
