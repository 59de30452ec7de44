//! Calls and faults at random times, the same for the same scenario and seed.

use std::time::Duration;

use flaxward_types::{ArtifactId, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Normal};

use crate::fleet_plan::{self, PlannedModel};
use crate::scenario::{CallPattern, RequestSpec, Scenario};

/// Sigma of the lognormal token counts.
const TOKENS_SIGMA: f64 = 0.5;
/// Sigma of the lognormal pause before a further burst.
const ECHO_SIGMA: f64 = 1.0;
/// Hours of the day in which steady calls are frequent.
const DAY_HOURS: std::ops::Range<u64> = 7..19;

const DAY: Duration = Duration::from_hours(24);
const WEEK: Duration = Duration::from_hours(24 * 7);

/// One request.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// When it is sent.
    pub at: Timestamp,
    /// Position of the gateway it is sent to.
    pub gateway: usize,
    /// What it asks.
    pub artifact: ArtifactId,
    /// Position of the group in the scenario.
    pub group: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that all calls of the artifact have in common.
    pub prefix_tokens: u32,
    /// Tokens generated.
    pub output_tokens: u32,
    /// When the caller gives up waiting for the first token.
    pub deadline: Timestamp,
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A runner is to be reclaimed; the number picks it among those that live.
    Reclaim(u32),
    /// The weight store slows down.
    SlowStore,
}

/// All calls of a scenario, in order of time.
///
/// # Panics
/// Panics if a spread of the scenario is not a number.
pub fn calls(scenario: &Scenario, days: u32, seed: u64) -> Vec<Call> {
    let end = Timestamp::ZERO + DAY * days;
    let mut calls = Vec::new();
    for (position, model) in fleet_plan::models(scenario).iter().enumerate() {
        // A generator for each model: one more model changes no other's calls.
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        generator.set_stream(position as u64 + 1);
        let mut source = Source {
            scenario,
            model,
            generator,
            end,
            calls: &mut calls,
        };
        source.generate();
    }
    calls.retain(|call| call.at < end);
    calls.sort_by(|one, other| {
        (one.at, one.gateway, &one.artifact).cmp(&(other.at, other.gateway, &other.artifact))
    });
    calls
}

/// All faults of a scenario, in order of time.
///
/// # Panics
/// Panics if a rate of the scenario is negative.
pub fn faults(scenario: &Scenario, days: u32, seed: u64) -> Vec<(Timestamp, Fault)> {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    generator.set_stream(0);
    let end = Timestamp::ZERO + DAY * days;
    let mut faults = Vec::new();
    for at in poisson(&mut generator, scenario.faults.reclaims_per_week, end) {
        faults.push((at, Fault::Reclaim(generator.random())));
    }
    for at in poisson(&mut generator, scenario.faults.slow_store_per_week, end) {
        faults.push((at, Fault::SlowStore));
    }
    faults.sort_by_key(|(at, _)| *at);
    faults
}

fn poisson(generator: &mut ChaCha8Rng, per_week: f64, end: Timestamp) -> Vec<Timestamp> {
    let mut times = Vec::new();
    if per_week <= 0.0 {
        return times;
    }
    let mut at = Timestamp::ZERO;
    loop {
        at = at + exponential(generator, WEEK.div_f64(per_week));
        if at >= end {
            return times;
        }
        times.push(at);
    }
}

/// Makes the calls of one model.
struct Source<'a> {
    scenario: &'a Scenario,
    model: &'a PlannedModel,
    generator: ChaCha8Rng,
    end: Timestamp,
    calls: &'a mut Vec<Call>,
}

impl Source<'_> {
    fn generate(&mut self) {
        let group = &self.scenario.models[self.model.group];
        match group.calls {
            CallPattern::Bursts {
                silence_median,
                silence_sigma,
                calls,
                length,
                echoes,
                echo_median,
            } => {
                let artifacts: Vec<ArtifactId> = self.model.artifacts().cloned().collect();
                for artifact in &artifacts {
                    // The history does not begin with the experiment.
                    let silence = lognormal(&mut self.generator, silence_median, silence_sigma);
                    let mut at = Timestamp::ZERO + silence.mul_f64(self.generator.random());
                    while at < self.end {
                        at = self.burst(artifact, at, calls, length);
                        for _ in 0..geometric(&mut self.generator, echoes) {
                            at = at + lognormal(&mut self.generator, echo_median, ECHO_SIGMA);
                            at = self.burst(artifact, at, calls, length);
                        }
                        at = at + lognormal(&mut self.generator, silence_median, silence_sigma);
                    }
                }
            }
            CallPattern::Daily {
                at,
                jitter,
                calls,
                length,
            } => {
                let mut midnight = Timestamp::ZERO;
                while midnight < self.end {
                    let jitter = normal(&mut self.generator, jitter);
                    let begin = (at.as_secs_f64() + jitter).max(0.0);
                    let begin = midnight + Duration::from_secs_f64(begin);
                    for _ in 0..calls {
                        let artifact = self.any_artifact();
                        self.call(artifact, begin, length);
                    }
                    midnight = midnight + DAY;
                }
            }
            CallPattern::Steady {
                day_pause,
                night_pause,
            } => {
                let mut at = Timestamp::ZERO;
                while at < self.end {
                    let hour = at.0 / 3_600_000 % 24;
                    let daytime = DAY_HOURS.contains(&hour);
                    let pause = if daytime { day_pause } else { night_pause };
                    at = at + exponential(&mut self.generator, pause);
                    let artifact = self.any_artifact();
                    self.call(artifact, at, Duration::ZERO);
                }
            }
        }
    }

    fn any_artifact(&mut self) -> ArtifactId {
        let position = self.generator.random_range(0..=self.model.adapters.len());
        match position.checked_sub(1) {
            Some(adapter) => self.model.adapters[adapter].clone(),
            None => self.model.base.clone(),
        }
    }

    /// Makes a burst and returns its end.
    fn burst(
        &mut self,
        artifact: &ArtifactId,
        begin: Timestamp,
        mean_calls: f64,
        length: Duration,
    ) -> Timestamp {
        let calls = 1 + geometric(&mut self.generator, mean_calls - 1.0);
        for _ in 0..calls {
            self.call(artifact.clone(), begin, length);
        }
        begin + length
    }

    /// Makes one call at a random time of a span, at a random gateway.
    fn call(&mut self, artifact: ArtifactId, begin: Timestamp, length: Duration) {
        let at = begin + length.mul_f64(self.generator.random());
        let gateway = self.generator.random_range(0..self.scenario.zones.len());
        let group = &self.scenario.models[self.model.group];
        let (prompt_tokens, prefix_tokens, output_tokens) =
            tokens(&mut self.generator, &group.request);
        self.calls.push(Call {
            at,
            gateway,
            artifact,
            group: self.model.group,
            prompt_tokens,
            prefix_tokens,
            output_tokens,
            deadline: at + group.request.deadline,
        });
    }
}

fn tokens(generator: &mut ChaCha8Rng, request: &RequestSpec) -> (u32, u32, u32) {
    let mut count = |mean: f64| {
        // The mean of a lognormal is its median times exp(sigma squared / 2).
        let median = mean / (TOKENS_SIGMA * TOKENS_SIGMA / 2.0).exp();
        let distribution = LogNormal::new(median.ln(), TOKENS_SIGMA).expect("sigma is positive");
        whole(distribution.sample(generator)).max(1)
    };
    let prompt = count(request.prompt_tokens);
    let output = count(request.output_tokens);
    let prefix = whole(request.prompt_tokens * request.shared_prefix).min(prompt);
    (prompt, prefix, output)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // token counts are small
fn whole(value: f64) -> u32 {
    value.round() as u32
}

fn lognormal(generator: &mut ChaCha8Rng, median: Duration, sigma: f64) -> Duration {
    let distribution = LogNormal::new(median.as_secs_f64().ln(), sigma).expect("sigma is a number");
    Duration::from_secs_f64(distribution.sample(generator))
}

fn exponential(generator: &mut ChaCha8Rng, mean: Duration) -> Duration {
    let distribution = Exp::new(1.0 / mean.as_secs_f64()).expect("a rate is positive");
    Duration::from_secs_f64(distribution.sample(generator))
}

fn normal(generator: &mut ChaCha8Rng, deviation: Duration) -> f64 {
    let distribution = Normal::new(0.0, deviation.as_secs_f64()).expect("a deviation is a number");
    distribution.sample(generator)
}

/// A geometric number from 0 with this mean.
fn geometric(generator: &mut ChaCha8Rng, mean: f64) -> u32 {
    if mean <= 0.0 {
        return 0;
    }
    let goes_on = mean / (1.0 + mean);
    let chance: f64 = generator.random();
    whole((1.0 - chance).ln() / goes_on.ln() - 0.5)
}
