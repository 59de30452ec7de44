//! The budget for sending requests again, shared by all daemons.
//!
//! The budget of a service is a share of its requests and a fixed allowance, over any window of some
//! seconds. Each daemon spends the share that its own requests earn and an equal part of the
//! allowance, so no message is needed.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::names::ServiceName;

/// Part of the budget that is spent at most; the rest covers what daemons count differently.
const SAFETY: f64 = 0.85;

/// The bounds that the operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats that are always allowed in a window, all daemons together.
    pub allowance: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Timestamp>,
    repeats: VecDeque<Timestamp>,
}

/// Counts requests and repeats of one daemon.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    services: HashMap<ServiceName, Window>,
}

impl RetryBudget {
    /// A budget with nothing spent.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            services: HashMap::new(),
        }
    }

    /// Counts a request for a service.
    pub fn count_request(&mut self, service: &ServiceName, now: Timestamp) {
        self.window(service, now).requests.push_back(now);
    }

    /// Spends one repeat, if the share of this daemon among `daemons` allows it.
    pub fn try_repeat(&mut self, service: &ServiceName, now: Timestamp, daemons: usize) -> bool {
        let settings = self.settings;
        let window = self.window(service, now);
        let own_allowance = settings.allowance / as_f64(daemons.max(1));
        let earned = settings.ratio * as_f64(window.requests.len());
        let allowed = SAFETY * (earned + own_allowance);
        if as_f64(window.repeats.len() + 1) > allowed {
            return false;
        }
        window.repeats.push_back(now);
        true
    }

    fn window(&mut self, service: &ServiceName, now: Timestamp) -> &mut Window {
        let window = self.services.entry(service.clone()).or_default();
        let start = now - self.settings.window;
        for times in [&mut window.requests, &mut window.repeats] {
            while times.front().is_some_and(|&time| time < start) {
                times.pop_front();
            }
        }
        window
    }
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: usize) -> f64 {
    count as f64
}
