//! Passive health checks: a runner that fails requests is ejected for a period that grows with each ejection. Runners
//! are not probed.

use std::collections::HashMap;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::names::RunnerId;

/// Consecutive failures after which a runner is ejected.
const EJECTION_THRESHOLD: u32 = 2;
/// Duration of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_millis(800);
/// Upper bound for the duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(5);
/// Weight of the latest attempt in the moving average of the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.25;
/// Failure rate from which runners with a lower rate are preferred.
const DEGRADED_FAILURE_RATE: f64 = 0.2;

/// Time for which other runners are preferred to one that refused a request because it is full. A few of its requests
/// complete in this time.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(400);

/// Outcome of an attempt at a runner, as it concerns the runner's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The runner answered.
    Success,
    /// The runner failed a request after accepting it.
    Failure,
    /// No connection was established: nothing listens at the address, or nothing answers.
    Unreachable,
}

#[derive(Debug, Default)]
struct RunnerHealth {
    consecutive_failures: u32,
    failure_rate: f64,
    ejections: u32,
    ejected_until: Option<Timestamp>,
    refused_at: Option<Timestamp>,
}

/// Health of all runners.
#[derive(Debug, Default)]
pub struct HealthTable {
    runners: HashMap<RunnerId, RunnerHealth>,
}

impl HealthTable {
    /// Records the outcome of an attempt. Returns the duration of the ejection, if the runner is ejected for it.
    pub fn observe(
        &mut self,
        runner: &RunnerId,
        observation: Observation,
        now: Timestamp,
    ) -> Option<Duration> {
        let health = self.runners.entry(runner.clone()).or_default();
        if observation == Observation::Success {
            health.consecutive_failures = 0;
            health.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
            if health.failure_rate < DEGRADED_FAILURE_RATE / 2.0 {
                health.ejections = 0;
            }
            return None;
        }
        health.consecutive_failures += 1;
        health.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - health.failure_rate);
        let is_ejection = observation == Observation::Unreachable
            || health.consecutive_failures >= EJECTION_THRESHOLD;
        if !is_ejection {
            return None;
        }
        let ejection = (FIRST_EJECTION * 2_u32.pow(health.ejections.min(4))).min(MAX_EJECTION);
        health.ejections += 1;
        health.ejected_until = Some(now + ejection);
        Some(ejection)
    }

    /// Records that a runner refused a request because it is full, which does not count as a failure.
    pub fn record_refusal(&mut self, runner: &RunnerId, now: Timestamp) {
        self.runners.entry(runner.clone()).or_default().refused_at = Some(now);
    }

    /// Whether a runner recently refused a request because it is full.
    pub fn refused_recently(&self, runner: &RunnerId, now: Timestamp) -> bool {
        let refused_at = self
            .runners
            .get(runner)
            .and_then(|health| health.refused_at);
        refused_at.is_some_and(|at| now.since(at) < REFUSAL_BACKOFF)
    }

    /// Whether a runner is currently ejected.
    pub fn is_ejected(&self, runner: &RunnerId, now: Timestamp) -> bool {
        self.runners
            .get(runner)
            .and_then(|health| health.ejected_until)
            .is_some_and(|until| now < until)
    }

    /// Whether a runner is ejected or its failure rate is so high that others are preferred.
    pub fn is_degraded(&self, runner: &RunnerId, now: Timestamp) -> bool {
        let rate = |health: &RunnerHealth| health.failure_rate;
        self.is_ejected(runner, now)
            || self.runners.get(runner).map_or(0.0, rate) >= DEGRADED_FAILURE_RATE
    }

    /// Ends all ejections: the daemon has lost its own path to the runners.
    pub fn end_ejections(&mut self) {
        for health in self.runners.values_mut() {
            health.consecutive_failures = 0;
            health.ejections = 0;
            health.ejected_until = None;
        }
    }

    /// Drops the entries of runners that no longer exist.
    pub fn retain(&mut self, is_known: impl Fn(&RunnerId) -> bool) {
        self.runners.retain(|id, _| is_known(id));
    }
}
