//! Calls to runners that take so little, or nothing for a while, that the coordinator's own calls count beside requests.

use std::collections::HashMap;

use flaxward_types::time::Timestamp;

use crate::names::RunnerId;
use crate::notices::Notices;
use crate::rate_limit::CALL_INTERVAL;

use super::Placement;

/// When runners may be called that name a rate or rest.
#[derive(Debug, Default)]
pub(super) struct CallPacing {
    /// Of those that name a rate.
    next_call: HashMap<RunnerId, Timestamp>,
    /// Of those that rest.
    rest_end: HashMap<RunnerId, Timestamp>,
}

impl CallPacing {
    /// Sets which runners name a rate. A predecessor may just have called one that was not known to do so.
    pub fn set_limited<'a>(&mut self, runners: impl Iterator<Item = &'a RunnerId>, now: Timestamp) {
        let mut before = std::mem::take(&mut self.next_call);
        let known = runners.map(|runner| {
            let next_call = before.remove(runner).unwrap_or(now + CALL_INTERVAL);
            (runner.clone(), next_call)
        });
        self.next_call = known.collect();
    }

    /// Sets which runners want nothing from this daemon, and until when.
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

    /// A runner is called now.
    pub fn note_call(&mut self, runner: &RunnerId, now: Timestamp) {
        if let Some(next_call) = self.next_call.get_mut(runner) {
            *next_call = now + CALL_INTERVAL;
        }
    }
}

impl Placement {
    /// Takes in what runners have said: reports are read and orders given no more often than a rate bears, and not in a
    /// rest; copies at runners that name a rate bear little.
    pub fn hear_notices(&mut self, notices: &Notices, now: Timestamp) {
        let before: Vec<RunnerId> = self.call_pacing.next_call.keys().cloned().collect();
        self.call_pacing.set_limited(notices.limited(), now);
        for runner in before.iter().chain(self.call_pacing.next_call.keys()) {
            if let Some(ledger) = self.ledgers.get_mut(runner) {
                ledger.rate_limit = notices.rate_limit(runner);
            }
        }
        self.call_pacing.set_resting(notices.resting(now));
    }
}
