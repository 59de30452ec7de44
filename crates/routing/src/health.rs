//! Health of runners from what requests have met: a runner that fails requests is left alone for a
//! while, longer each time. No health answer is asked for.

use std::collections::HashMap;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::names::RunnerId;

/// Failures in a row after which a runner is left alone.
const FAILURES_TO_EJECT: u32 = 2;
/// First time for which a runner is left alone.
const FIRST_EJECTION: Duration = Duration::from_millis(800);
/// Longest time for which a runner is left alone.
const LONGEST_EJECTION: Duration = Duration::from_secs(5);
/// Weight of the newest attempt in the remembered share of failures.
const FAILURE_WEIGHT: f64 = 0.25;
/// Share of failures from which a runner comes after those that fail less.
const DOUBTFUL_SHARE: f64 = 0.2;

/// Time for which a runner that has refused a request because it is full comes after others: a few requests of
/// it end in this time.
const REFUSAL_PAUSE: Duration = Duration::from_millis(400);

/// How an attempt at a runner ended, as far as its health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It answered.
    Success,
    /// It failed a request after taking it.
    Failure,
    /// No connection came about: nothing listens, or nothing answers.
    Unreachable,
}

#[derive(Debug, Default)]
struct RunnerHealth {
    failures_in_row: u32,
    failure_share: f64,
    ejections: u32,
    ejected_until: Option<Timestamp>,
    refused_at: Option<Timestamp>,
}

/// What is known of all runners.
#[derive(Debug, Default)]
pub struct HealthTable {
    runners: HashMap<RunnerId, RunnerHealth>,
}

impl HealthTable {
    /// Takes in how an attempt ended. Returns the time for which the runner is now left alone.
    pub fn observe(
        &mut self,
        runner: &RunnerId,
        observation: Observation,
        now: Timestamp,
    ) -> Option<Duration> {
        let health = self.runners.entry(runner.clone()).or_default();
        if observation == Observation::Success {
            health.failures_in_row = 0;
            health.failure_share *= 1.0 - FAILURE_WEIGHT;
            if health.failure_share < DOUBTFUL_SHARE / 2.0 {
                health.ejections = 0;
            }
            return None;
        }
        health.failures_in_row += 1;
        health.failure_share += FAILURE_WEIGHT * (1.0 - health.failure_share);
        let ejects =
            observation == Observation::Unreachable || health.failures_in_row >= FAILURES_TO_EJECT;
        if !ejects {
            return None;
        }
        let ejection = (FIRST_EJECTION * 2_u32.pow(health.ejections.min(4))).min(LONGEST_EJECTION);
        health.ejections += 1;
        health.ejected_until = Some(now + ejection);
        Some(ejection)
    }

    /// Notes that a runner has refused a request because it is full. That is no failure.
    pub fn note_refused(&mut self, runner: &RunnerId, now: Timestamp) {
        self.runners.entry(runner.clone()).or_default().refused_at = Some(now);
    }

    /// Whether a runner has refused a request a moment ago because it is full.
    pub fn has_refused(&self, runner: &RunnerId, now: Timestamp) -> bool {
        let refused_at = self
            .runners
            .get(runner)
            .and_then(|health| health.refused_at);
        refused_at.is_some_and(|at| now.since(at) < REFUSAL_PAUSE)
    }

    /// Whether a runner is left alone now.
    pub fn is_ejected(&self, runner: &RunnerId, now: Timestamp) -> bool {
        self.runners
            .get(runner)
            .and_then(|health| health.ejected_until)
            .is_some_and(|until| now < until)
    }

    /// Whether a runner fails so many requests that others come first.
    pub fn is_doubtful(&self, runner: &RunnerId, now: Timestamp) -> bool {
        let share = |health: &RunnerHealth| health.failure_share;
        self.is_ejected(runner, now)
            || self.runners.get(runner).map_or(0.0, share) >= DOUBTFUL_SHARE
    }

    /// Forgets runners that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&RunnerId) -> bool) {
        self.runners.retain(|id, _| is_known(id));
    }
}
