//! Experiments: the same twice, within the limits, and the baselines are what they claim to be.

use std::collections::BTreeMap;
use std::sync::LazyLock;

use flaxward_control::keep_alive::IDLE_SECONDS_PER_COLD_SECOND;
use flaxward_lab::experiment::{Experiment, Rule, RunResult};
use flaxward_lab::fleet_plan;
use flaxward_lab::goals::standings;
use flaxward_lab::report::{self, Output};
use flaxward_lab::scenario::Scenario;

fn small(seed: u64) -> Experiment {
    let scenario = Scenario::parse(include_str!("small.toml")).expect("valid");
    Experiment::new(scenario, seed, None)
}

type ByRule = BTreeMap<&'static str, RunResult>;

/// Every rule under three seeds, run once for all tests.
static COMPARED: LazyLock<BTreeMap<u64, ByRule>> = LazyLock::new(|| {
    let compared = |seed| (seed, by_rule(small(seed).compare(&Rule::ALL)));
    [1, 2, 3].into_iter().map(compared).collect()
});

fn by_rule(results: Vec<RunResult>) -> ByRule {
    let named = |result: RunResult| (result.rule.name(), result);
    results.into_iter().map(named).collect()
}

/// What a run cost at the price of the weight.
fn cost(result: &RunResult, weight: f64) -> f64 {
    let waited = result.cold_total * IDLE_SECONDS_PER_COLD_SECOND * weight;
    waited + result.idle_accelerator_hours * 3_600.0 * (1.0 - weight)
}

/// The deployments' sizes are those of the scenarios that come with the program.
#[test]
fn built_in_scenarios_have_the_sizes_of_today() {
    let table = [
        ("ventisquero", 3, 10, 50, 60),
        ("andrade-velez", 4, 12, 65, 80),
    ];
    for (name, zones, runners, models, adapters) in table {
        let scenario = Scenario::read(name).expect(name);
        assert_eq!(scenario.zones.len(), zones, "{name}");
        assert_eq!(fleet_plan::machines(&scenario).len(), runners, "{name}");
        let planned = fleet_plan::models(&scenario);
        assert_eq!(planned.len(), models, "{name}");
        let made: usize = planned.iter().map(|model| model.adapters.len()).sum();
        assert_eq!(made, adapters, "{name}");
    }
}

/// Mistakes in scenario files are told.
#[test]
fn bad_scenarios_are_refused() {
    let text = include_str!("small.toml");
    let table = [
        ("an unknown field", "days = 1", "days = 1\nnights = 2"),
        ("no such unit", "warm_up = \"1s\"", "warm_up = \"1 parsec\""),
        (
            "weight above one",
            "cold_start_weight = 0.6",
            "cold_start_weight = 6.0",
        ),
        (
            "model larger than a runner",
            "weights = \"28GiB\"",
            "weights = \"280GiB\"",
        ),
        (
            "no speed",
            "starts_per_second = 2.0",
            "starts_per_second = 0.0",
        ),
    ];
    for (fault, from, to) in table {
        assert!(text.contains(from), "{fault}");
        assert!(Scenario::parse(&text.replace(from, to)).is_err(), "{fault}");
    }
    assert!(Scenario::read("no-such-scenario").is_err());
}

/// The same seed gives the same decisions twice, whatever else runs; another seed gives others. So it
/// is for the planner and for the real coordinators.
#[test]
fn same_seed_same_decisions() {
    for rule in [Rule::Learnt, Rule::Flaxward] {
        let alone = small(1).run(rule, 0.6);
        let together = &COMPARED[&1][rule.name()];
        let other = &COMPARED[&2][rule.name()];
        assert!(alone.decisions > 100);
        assert_eq!(alone.digest, together.digest);
        assert_ne!(alone.digest, other.digest);
        let mut lines = Vec::new();
        report::write(&[alone], Output::Json, report::table, &mut lines).expect("written");
        let line: serde_json::Value = serde_json::from_slice(&lines).expect("one object");
        assert_eq!(line["digest"], together.digest);
    }
}

/// A run is held against the oracle's curve between its points, and against each baseline in both
/// measures.
#[test]
fn standings_follow_the_oracles_curve() {
    let template = &COMPARED[&1]["learnt"];
    let made = |rule, idle: f64, tail: f64| RunResult {
        rule,
        idle_accelerator_hours: idle,
        start_p99: tail,
        cold_total: tail * 100.0,
        ..template.clone()
    };
    let results = [
        made(Rule::Oracle, 1.0, 20.0),
        made(Rule::Oracle, 3.0, 10.0),
        made(Rule::FixedTenMinutes, 2.4, 14.0),
        made(Rule::NeverUnload, 9.0, 10.0),
        made(Rule::Learnt, 2.5, 15.0),
        made(Rule::Flaxward, 2.5, 9.0),
    ];
    let [learnt, flaxward] = &standings(&results)[..] else {
        panic!("one for each that is judged");
    };
    assert_eq!(learnt.idle_at_same_tail, Some(1.25));
    assert_eq!(learnt.idle_at_same_wait, Some(1.25));
    assert_eq!(learnt.beaten_by, [Rule::FixedTenMinutes]);
    assert_eq!(flaxward.idle_at_same_tail, None);
    assert!(flaxward.beaten_by.is_empty());
}

/// Whatever the rule: memory and copies stay within the limits, and no call is lost.
#[test]
fn every_rule_keeps_the_limits() {
    for (seed, results) in COMPARED.iter() {
        for (rule, result) in results {
            let about = format!("{rule}, seed {seed}: {result:?}");
            assert!(
                result.most_memory <= 1.0 && result.most_replicas <= 1.0,
                "{about}"
            );
            assert_eq!(result.memory_refusals, 0, "{about}");
            assert!(result.loads_done <= result.loads_begun, "{about}");
            assert!(result.loads_begun <= result.loads_decided, "{about}");
            let refused: u64 = result.refusals.values().sum();
            let ended = result.answered + refused;
            let calls = result.calls as u64;
            assert!(ended <= calls && ended + 2 >= calls, "{about}");
            assert!(refused * 20 <= calls, "{about}");
            assert!(result.cold_starts > 0 && result.cold_p50 >= 1.0, "{about}");
            assert!(result.unlimited_ratio_p50 >= 1.0, "{about}");
        }
    }
}

/// Each baseline has its own extreme, and nobody pays less than the oracle.
#[test]
fn baselines_are_extremes() {
    for (seed, results) in COMPARED.iter() {
        let idle = |rule: &str| results[rule].idle_accelerator_hours;
        let waited = |rule: &str| results[rule].cold_total;
        for rule in results.keys() {
            assert!(idle("never-unload") >= idle(rule), "{rule}, seed {seed}");
            assert!(idle("unload-at-once") <= idle(rule), "{rule}, seed {seed}");
            assert!(
                waited("unload-at-once") >= waited(rule),
                "{rule}, seed {seed}"
            );
            let oracle = cost(&results["oracle"], 0.6);
            assert!(oracle <= cost(&results[rule], 0.6), "{rule}, seed {seed}");
        }
    }
}

/// More weight on cold starts means less waiting and more idle accelerators.
#[test]
fn the_weight_moves_along_the_curve() {
    let experiment = small(1);
    let [saving, middle, waiting] = [0.0, 0.5, 1.0].map(|w| experiment.run(Rule::Learnt, w));
    assert!(saving.idle_accelerator_hours < middle.idle_accelerator_hours);
    assert!(middle.idle_accelerator_hours < waiting.idle_accelerator_hours);
    assert!(saving.cold_total > middle.cold_total && middle.cold_total > waiting.cold_total);
}
