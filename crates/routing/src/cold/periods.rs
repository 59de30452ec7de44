//! Tracks which runners a daemon believes to be cold.
//!
//! A cold period belongs to one start of a runner: it is what the runner's entry said when it last changed, aged by the
//! daemon's clock. The periods are kept separately from the runner table, which has no notion of time.

use std::collections::HashMap;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::names::RunnerId;
use crate::runners::{Runner, RunnerTable};

/// How far a new entry may move the end of the same cold period. The entry carries a remaining time, and arrives late
/// through the store, a watch and a message.
const END_TOLERANCE: Duration = Duration::from_secs(1);

/// The last known cold period of one runner.
#[derive(Clone, Copy, Debug)]
struct Period {
    /// Revision of the entry that reported it.
    revision: u64,
    started_at: Timestamp,
    until: Timestamp,
    /// The runner may have become cold without an entry saying so, and is treated as cold until then whatever its entry
    /// says.
    suspected_until: Timestamp,
    /// The start of the period was returned to the caller, and its end was not yet.
    is_announced_cold: bool,
}

impl Period {
    fn ends_at(&self) -> Timestamp {
        self.until.max(self.suspected_until)
    }
}

/// A runner has become cold or warm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The runner.
    pub runner: RunnerId,
    /// Remaining time for which it is cold; `None` if it is warm.
    pub cold_for: Option<Duration>,
}

/// Current and past cold periods of runners.
#[derive(Debug, Default)]
pub struct ColdPeriods {
    periods: HashMap<RunnerId, Period>,
}

impl ColdPeriods {
    /// Applies the entries of all runners. Members must be told of every new cold period, including one that ends
    /// earlier than the previous entry said: the table has no notion of time and cannot distinguish the two.
    pub fn update_all(&mut self, runners: &mut RunnerTable, now: Timestamp) -> Vec<Transition> {
        self.periods
            .retain(|runner, _| runners.get(runner).is_some());
        let transitions: Vec<Transition> = runners
            .iter()
            .filter_map(|runner| self.update(runner, now))
            .collect();
        for transition in &transitions {
            runners.record_cold_period(&transition.runner);
        }
        transitions
    }

    /// Applies the entry of one runner. Returns a transition if the entry starts a new cold period.
    pub fn update(&mut self, runner: &Runner, now: Timestamp) -> Option<Transition> {
        let known = self.periods.get_mut(&runner.id);
        if runner.cold_for.is_zero() {
            // Runners that were never cold are not tracked.
            if let Some(period) = known.filter(|period| period.revision != runner.revision) {
                period.revision = runner.revision;
                period.until = period.until.min(now);
            }
            return None;
        }
        let until = now + runner.cold_for;
        match known {
            Some(period) if period.revision == runner.revision => None,
            Some(period) if now < period.ends_at() && until <= period.ends_at() + END_TOLERANCE => {
                period.revision = runner.revision;
                period.until = until;
                None
            }
            _ => {
                self.start(runner, until, now);
                Some(turned_cold(runner, runner.cold_for))
            }
        }
    }

    fn start(&mut self, runner: &Runner, until: Timestamp, now: Timestamp) {
        let period = Period {
            revision: runner.revision,
            started_at: now,
            until,
            suspected_until: Timestamp::ZERO,
            is_announced_cold: true,
        };
        self.periods.insert(runner.id.clone(), period);
    }

    /// Treats a runner as cold for a while because it may have become cold without an entry saying so.
    pub fn mark_suspected(
        &mut self,
        runner: &Runner,
        period: Duration,
        now: Timestamp,
    ) -> Transition {
        let until = now + period;
        let known = self.periods.entry(runner.id.clone()).or_insert(Period {
            revision: runner.revision,
            started_at: now,
            until: now,
            suspected_until: until,
            is_announced_cold: true,
        });
        known.started_at = now;
        known.suspected_until = until;
        known.is_announced_cold = true;
        turned_cold(runner, period)
    }

    /// Whether a runner is believed to be cold.
    pub fn is_cold(&self, runner: &RunnerId, now: Timestamp) -> bool {
        self.ends_at(runner).is_some_and(|ends_at| now < ends_at)
    }

    /// When the last known cold period of a runner ends.
    pub fn ends_at(&self, runner: &RunnerId) -> Option<Timestamp> {
        self.periods.get(runner).map(Period::ends_at)
    }

    /// When the current cold period of a runner started, as far as this daemon knows.
    pub fn started_at(&self, runner: &RunnerId, now: Timestamp) -> Option<Timestamp> {
        let period = self.periods.get(runner)?;
        (now < period.ends_at()).then_some(period.started_at)
    }

    /// The runners whose cold periods have ended since the last call.
    pub fn take_ended(&mut self, now: Timestamp) -> Vec<Transition> {
        let ended = self.periods.iter_mut();
        let ended = ended.filter(|(_, period)| period.is_announced_cold && now >= period.ends_at());
        ended
            .map(|(runner, period)| {
                period.is_announced_cold = false;
                Transition {
                    runner: runner.clone(),
                    cold_for: None,
                }
            })
            .collect()
    }
}

fn turned_cold(runner: &Runner, cold_for: Duration) -> Transition {
    Transition {
        runner: runner.id.clone(),
        cold_for: Some(cold_for),
    }
}
