//! Calls to runners that take so little that the coordinator's own calls count beside requests.

use std::collections::HashMap;

use flaxward_types::time::Timestamp;

use crate::names::RunnerId;
use crate::rate_limit::CALL_INTERVAL;

use super::Placement;

/// When runners that name a rate may be called.
#[derive(Debug, Default)]
pub(super) struct CallPacing {
    next_call: HashMap<RunnerId, Timestamp>,
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

    /// Whether a runner may be called now.
    pub fn may_call(&self, runner: &RunnerId, now: Timestamp) -> bool {
        self.next_call.get(runner).is_none_or(|&at| now >= at)
    }

    /// A runner is called now.
    pub fn note_call(&mut self, runner: &RunnerId, now: Timestamp) {
        if let Some(next_call) = self.next_call.get_mut(runner) {
            *next_call = now + CALL_INTERVAL;
        }
    }
}

impl Placement {
    /// Takes in which runners name a rate: reports are read and orders given there no more often than that bears.
    pub fn pace_calls<'a>(&mut self, limited: impl Iterator<Item = &'a RunnerId>, now: Timestamp) {
        self.call_pacing.set_limited(limited, now);
    }
}
