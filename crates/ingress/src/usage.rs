//! Recent, running and waiting demand of this daemon's requests, as reported to the coordinator.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use flaxward_routing::homes::Requirement;
use flaxward_routing::messages::{RunningUnit, USE_WINDOW_SECONDS, UsedUnit, WaitingUnit};
use flaxward_routing::names::{RunnerId, Unit};
use flaxward_types::time::Timestamp;

const WINDOW: Duration = Duration::from_secs(USE_WINDOW_SECONDS as u64);

/// Requests started within the window, by requirement.
#[derive(Debug, Default)]
pub(crate) struct UsageLog {
    requirements: HashMap<Requirement, VecDeque<Timestamp>>,
}

impl UsageLog {
    pub(crate) fn count(&mut self, requirement: Requirement, now: Timestamp) {
        let times = self.requirements.entry(requirement).or_default();
        times.push_back(now);
    }

    pub(crate) fn recent(&mut self, now: Timestamp) -> Vec<UsedUnit> {
        let start = now - WINDOW;
        self.requirements.retain(|_, times| {
            while times.front().is_some_and(|&time| time < start) {
                times.pop_front();
            }
            !times.is_empty()
        });
        self.requirements
            .iter()
            .map(|(requirement, times)| UsedUnit {
                requirement: requirement.clone(),
                requests: u32::try_from(times.len()).unwrap_or(u32::MAX),
            })
            .collect()
    }
}

/// Requests in progress, by runner and unit.
#[derive(Debug, Default)]
pub(crate) struct Running {
    counts: HashMap<(RunnerId, Unit), u32>,
}

impl Running {
    pub(crate) fn begin(&mut self, runner: &RunnerId, unit: &Unit) {
        let key = (runner.clone(), unit.clone());
        *self.counts.entry(key).or_default() += 1;
    }

    pub(crate) fn end(&mut self, runner: &RunnerId, unit: &Unit) {
        let key = (runner.clone(), unit.clone());
        if let Some(count) = self.counts.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&key);
            }
        }
    }

    pub(crate) fn all(&self) -> Vec<RunningUnit> {
        self.counts
            .iter()
            .map(|((runner, unit), &requests)| RunningUnit {
                runner: runner.clone(),
                unit: unit.clone(),
                requests,
            })
            .collect()
    }
}

/// Requests that wait for a unit.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    requests: Vec<WaitingRequest>,
}

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WaitingRequest {
    pub priority: u8,
    /// Latest time at which a load must start for the request to meet its target.
    pub load_by: Timestamp,
}

impl Waiting {
    /// Adds a waiting request.
    pub(crate) fn add(&mut self, request: WaitingRequest) {
        self.requests.push(request);
    }

    /// Removes a waiting request. Returns whether none is left.
    pub(crate) fn remove(&mut self, request: WaitingRequest) -> bool {
        let index = self.requests.iter().position(|it| *it == request);
        if let Some(index) = index {
            self.requests.swap_remove(index);
        }
        self.requests.is_empty()
    }

    /// Summary for the coordinator.
    pub(crate) fn summary(&self, requirement: &Requirement, now: Timestamp) -> WaitingUnit {
        let count = |length: usize| u32::try_from(length).unwrap_or(u32::MAX);
        let late = self.requests.iter().filter(|it| it.load_by < now);
        WaitingUnit {
            requirement: requirement.clone(),
            requests: count(self.requests.len()),
            late: count(late.count()),
            priority: self
                .requests
                .iter()
                .map(|it| it.priority)
                .min()
                .unwrap_or(0),
        }
    }
}
