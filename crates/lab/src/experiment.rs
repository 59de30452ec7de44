//! Runs a scenario under several rules and compares them.

use std::collections::BTreeMap;
use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use flaxward_control::configuration::Configuration;
use flaxward_types::Timestamp;
use flaxward_types::configuration::PolicySpec;
use serde::Serialize;

use crate::calls::{Call, Fault, calls, faults};
use crate::controller::Controller;
use crate::controller::coordinators::Coordinators;
use crate::controller::planner::Planner;
use crate::controller::retention::{Fixed, Learnt, Oracle, Retention};
use crate::fleet_plan;
use crate::scenario::Scenario;
use crate::simulation::{Measures, Run, World};

/// Runs at one time at most; each takes one core.
const PARALLEL_RUNS: usize = 4;
/// Weights of the curve.
const CURVE_WEIGHTS: [f64; 11] = [0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0];
/// Keep-alive of the fixed baseline.
const FIXED: Duration = Duration::from_mins(10);
/// A keep-alive that never ends in any experiment.
const FOREVER: Duration = Duration::from_hours(24 * 3_650);

/// What decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Flaxward's coordinators.
    Flaxward,
    /// The planner with flaxward's keep-alive.
    Learnt,
    /// The planner with ten minutes of keep-alive.
    FixedTenMinutes,
    /// The planner, which unloads only to make room.
    NeverUnload,
    /// The planner, which unloads as soon as nothing runs.
    UnloadAtOnce,
    /// The planner with a keep-alive that knows the calls to come.
    Oracle,
}

impl Rule {
    /// Every rule.
    pub const ALL: [Self; 6] = [
        Self::Flaxward,
        Self::Learnt,
        Self::FixedTenMinutes,
        Self::NeverUnload,
        Self::UnloadAtOnce,
        Self::Oracle,
    ];

    /// Its name in results.
    pub fn name(self) -> &'static str {
        match self {
            Self::Flaxward => "flaxward",
            Self::Learnt => "learnt",
            Self::FixedTenMinutes => "fixed-ten-minutes",
            Self::NeverUnload => "never-unload",
            Self::UnloadAtOnce => "unload-at-once",
            Self::Oracle => "oracle",
        }
    }

    /// Whether the weight of cold starts matters to it.
    pub fn is_weighted(self) -> bool {
        matches!(self, Self::Flaxward | Self::Learnt | Self::Oracle)
    }
}

/// A scenario with its calls and faults.
pub struct Experiment {
    /// The scenario.
    pub scenario: Scenario,
    /// The seed of calls and faults.
    pub seed: u64,
    /// Days simulated.
    pub days: u32,
    calls: Vec<Call>,
    faults: Vec<(Timestamp, Fault)>,
}

/// What one run gave. Times in seconds unless named otherwise.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// The scenario.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// Days simulated.
    pub days: u32,
    /// What decided.
    pub rule: Rule,
    /// Weight of cold starts.
    pub weight: f64,
    /// Calls.
    pub calls: usize,
    /// Busy periods: calls after half a minute or more without any, for one artifact.
    pub starts: u64,
    /// Calls that found no replica and were served once it was loaded, one for each wait.
    pub cold_starts: u64,
    /// Such waits that ended with nobody served.
    pub unserved: u64,
    /// Cold-start time.
    pub cold_p50: f64,
    /// Cold-start time.
    pub cold_p95: f64,
    /// Cold-start time.
    pub cold_p99: f64,
    /// Cold-start time.
    pub cold_worst: f64,
    /// Sum of all cold-start times.
    pub cold_total: f64,
    /// Time until a busy period begins, zero if a replica was ready.
    pub start_p95: f64,
    /// Time until a busy period begins, zero if a replica was ready.
    pub start_p99: f64,
    /// Cold-start time over the physical load time, all cold starts.
    pub ratio_p99: f64,
    /// Cold starts during which the weight store held nobody back.
    pub unlimited: u64,
    /// Cold-start time over the physical load time, for those.
    pub unlimited_ratio_p50: f64,
    /// Cold-start time over the physical load time, for those.
    pub unlimited_ratio_p99: f64,
    /// Accelerators times hours, loaded and idle.
    pub idle_accelerator_hours: f64,
    /// Accelerators times hours, loading.
    pub loading_accelerator_hours: f64,
    /// Loads decided.
    pub loads_decided: u64,
    /// Loads that engines began.
    pub loads_begun: u64,
    /// Loads done.
    pub loads_done: u64,
    /// Calls answered.
    pub answered: u64,
    /// Calls whose machine went away while they ran.
    pub broken: u64,
    /// Refusals by number of the result code.
    pub refusals: BTreeMap<u16, u64>,
    /// Time to the first token.
    pub first_token_p50: f64,
    /// Time to the first token.
    pub first_token_p95: f64,
    /// Time between tokens, in milliseconds.
    pub between_tokens_p95_ms: u64,
    /// Most accelerator memory ever taken on a machine, over its size.
    pub most_memory: f64,
    /// Load orders that an engine refused for want of memory.
    pub memory_refusals: u64,
    /// Most replicas of an artifact at one time, over those allowed.
    pub most_replicas: f64,
    /// Lines in the log of decisions.
    pub decisions: u64,
    /// Digest of the log of decisions.
    pub digest: String,
}

impl Experiment {
    /// Draws the calls and faults of a scenario.
    pub fn new(scenario: Scenario, seed: u64, days: Option<u32>) -> Self {
        let days = days.unwrap_or(scenario.days);
        Self {
            calls: calls(&scenario, days, seed),
            faults: faults(&scenario, days, seed),
            scenario,
            seed,
            days,
        }
    }

    /// Runs one rule at one weight.
    pub fn run(&self, rule: Rule, weight: f64) -> RunResult {
        let policy = PolicySpec {
            cold_start_weight: weight,
            ..fleet_plan::policy(&self.scenario)
        };
        let configuration = fleet_plan::configuration(&self.scenario, &policy);
        let mut controller = self.controller(rule, policy, configuration);
        let measures = self.simulate(controller.as_mut());
        self.result(rule, weight, &measures)
    }

    fn controller(
        &self,
        rule: Rule,
        policy: PolicySpec,
        configuration: Configuration,
    ) -> Box<dyn Controller + '_> {
        let retention: Box<dyn Retention> = match rule {
            Rule::Flaxward => {
                let coordinators = Coordinators::new(&self.scenario, configuration, self.seed);
                return Box::new(coordinators);
            }
            Rule::Oracle => Box::new(Oracle::new(&self.calls, policy.cold_start_weight)),
            Rule::Learnt => Box::new(Learnt::new(policy)),
            Rule::FixedTenMinutes => Box::new(Fixed(FIXED)),
            Rule::NeverUnload => Box::new(Fixed(FOREVER)),
            Rule::UnloadAtOnce => Box::new(Fixed(Duration::ZERO)),
        };
        Box::new(Planner::new(&self.scenario, configuration, retention))
    }

    fn simulate(&self, controller: &mut dyn Controller) -> Measures {
        let run = Run {
            scenario: &self.scenario,
            calls: &self.calls,
            faults: &self.faults,
            end: Timestamp::ZERO + Duration::from_hours(24) * self.days,
        };
        World::new(run, controller).run()
    }

    /// Runs rules at the weight of the scenario's deployment.
    pub fn compare(&self, rules: &[Rule]) -> Vec<RunResult> {
        let weight = self.scenario.cold_start_weight;
        let runs: Vec<(Rule, f64)> = rules.iter().map(|rule| (*rule, weight)).collect();
        self.run_all(&runs)
    }

    /// Runs the weighted rules at weights from 0 to 1, and the others once.
    pub fn curve(&self, rules: &[Rule]) -> Vec<RunResult> {
        let mut runs = Vec::new();
        for &rule in rules {
            if rule.is_weighted() {
                runs.extend(CURVE_WEIGHTS.iter().map(|weight| (rule, *weight)));
            } else {
                runs.push((rule, self.scenario.cold_start_weight));
            }
        }
        self.run_all(&runs)
    }

    /// Runs several at one time; the results are in the order asked for.
    fn run_all(&self, runs: &[(Rule, f64)]) -> Vec<RunResult> {
        let cores = std::thread::available_parallelism().map_or(1, NonZeroUsize::get);
        let next = AtomicUsize::new(0);
        let results = Mutex::new(BTreeMap::new());
        std::thread::scope(|scope| {
            for _ in 0..PARALLEL_RUNS.min(cores) {
                scope.spawn(|| {
                    loop {
                        let position = next.fetch_add(1, Ordering::Relaxed);
                        let Some((rule, weight)) = runs.get(position) else {
                            return;
                        };
                        let result = self.run(*rule, *weight);
                        let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                        results.insert(position, result);
                    }
                });
            }
        });
        let results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
        results.into_values().collect()
    }

    fn result(&self, rule: Rule, weight: f64, measures: &Measures) -> RunResult {
        let accelerator = self.scenario.runner.accelerator_memory.as_u64();
        let cold = &measures.cold_starts;
        let refusals = measures.refusals.iter();
        RunResult {
            scenario: self.scenario.name.clone(),
            seed: self.seed,
            days: self.days,
            rule,
            weight,
            calls: self.calls.len(),
            starts: measures.starts.count(),
            cold_starts: cold.count(),
            unserved: measures.unserved,
            cold_p50: seconds(cold.quantile(0.5)),
            cold_p95: seconds(cold.quantile(0.95)),
            cold_p99: seconds(cold.quantile(0.99)),
            cold_worst: seconds(cold.worst()),
            cold_total: cold.total_seconds(),
            start_p95: seconds(measures.starts.quantile(0.95)),
            start_p99: seconds(measures.starts.quantile(0.99)),
            ratio_p99: measures.cold_ratio.ratio(0.99),
            unlimited: measures.cold_ratio_unlimited.count(),
            unlimited_ratio_p50: measures.cold_ratio_unlimited.ratio(0.5),
            unlimited_ratio_p99: measures.cold_ratio_unlimited.ratio(0.99),
            idle_accelerator_hours: measures.idle_accelerator_hours(accelerator),
            loading_accelerator_hours: measures.loading_accelerator_hours(accelerator),
            loads_decided: measures.loads_decided,
            loads_begun: measures.loads_begun,
            loads_done: measures.loads_done,
            answered: measures.answered,
            broken: measures.broken,
            refusals: refusals
                .map(|(code, count)| (code.number(), *count))
                .collect(),
            first_token_p50: seconds(measures.first_token.quantile(0.5)),
            first_token_p95: seconds(measures.first_token.quantile(0.95)),
            between_tokens_p95_ms: measures.between_tokens.quantile(0.95),
            most_memory: measures.most_memory,
            memory_refusals: measures.memory_refusals,
            most_replicas: measures.most_replicas,
            decisions: measures.decisions(),
            digest: measures.digest(),
        }
    }
}

#[allow(clippy::cast_precision_loss)] // far below 2^52
fn seconds(millis: u64) -> f64 {
    millis as f64 / 1_000.0
}
