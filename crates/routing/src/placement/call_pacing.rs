//! Pacing of the coordinator's calls to runners with a low request rate limit or a pause, where
//! these calls count against the runner's limit together with requests.

use std::collections::HashMap;

use flaxward_types::time::Timestamp;

use crate::names::RunnerId;
use crate::notices::Notices;
use crate::rate_limit::CALL_INTERVAL;

use super::Placement;

/// Earliest times for calls to rate-limited and paused runners.
#[derive(Debug, Default)]
pub(super) struct CallPacing {
    /// For runners that announced a rate limit.
    next_call: HashMap<RunnerId, Timestamp>,
    /// For runners that asked for a pause.
    rest_end: HashMap<RunnerId, Timestamp>,
}

impl CallPacing {
    /// Sets the rate-limited runners. One that was not known to be limited may just have been
    /// called by the previous coordinator, so its first call waits a full interval.
    pub fn set_limited<'a>(&mut self, runners: impl Iterator<Item = &'a RunnerId>, now: Timestamp) {
        let mut before = std::mem::take(&mut self.next_call);
        let known = runners.map(|runner| {
            let next_call = before.remove(runner).unwrap_or(now + CALL_INTERVAL);
            (runner.clone(), next_call)
        });
        self.next_call = known.collect();
    }

    /// Sets the runners that asked this daemon to send nothing, and until when.
    pub fn set_resting<'a>(&mut self, runners: impl Iterator<Item = (&'a RunnerId, Timestamp)>) {
        let runners = runners.map(|(runner, until)| (runner.clone(), until));
        self.rest_end = runners.collect();
    }

    /// Whether a runner may be called now.
    pub fn may_call(&self, runner: &RunnerId, now: Timestamp) -> bool {
        let is_due =
            |times: &HashMap<RunnerId, Timestamp>| times.get(runner).is_none_or(|&at| now >= at);
        is_due(&self.next_call) && is_due(&self.rest_end)
    }

    /// Records a call to a runner.
    pub fn note_call(&mut self, runner: &RunnerId, now: Timestamp) {
        if let Some(next_call) = self.next_call.get_mut(runner) {
            *next_call = now + CALL_INTERVAL;
        }
    }
}

impl Placement {
    /// Applies the notices of runners: report reads and orders keep to a runner's rate limit and
    /// pause, and copies on rate-limited runners count as having limited capacity.
    pub fn apply_notices(&mut self, notices: &Notices, now: Timestamp) {
        let before: Vec<RunnerId> = self.call_pacing.next_call.keys().cloned().collect();
        self.call_pacing.set_limited(notices.limited(), now);
        for runner in before.iter().chain(self.call_pacing.next_call.keys()) {
            if let Some(record) = self.records.get_mut(runner) {
                record.rate_limit = notices.rate_limit(runner);
            }
        }
        self.call_pacing.set_resting(notices.resting(now));
    }
}
