//! The retry budget, shared by all daemons.
//!
//! The budget of a service is a share of its requests plus a fixed allowance, over a sliding window of some seconds.
//! Each daemon spends the share that its own requests earn and an equal part of the allowance, so no messages are
//! needed.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::names::ServiceName;

/// Share of the budget that may be spent; the rest covers differences between the counts of daemons.
const SAFETY_FACTOR: f64 = 0.85;

/// The limits set by the operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries that are always allowed in a window, over all daemons.
    pub allowance: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Whether a retry may be sent, and the counts that decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryDecision {
    /// Whether the retry was granted, and so counted.
    pub is_granted: bool,
    /// Retries of this daemon in the window before this one.
    pub retries: usize,
    /// Requests of this daemon in the window.
    pub requests: usize,
    /// Retries that this daemon may have in the window.
    pub allowed: f64,
}

#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

/// Counts the requests and retries of one daemon.
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

    /// Spends one retry, if the share of this daemon among `daemons` daemons allows it.
    pub fn try_retry(
        &mut self,
        service: &ServiceName,
        now: Timestamp,
        daemons: usize,
    ) -> RetryDecision {
        let settings = self.settings;
        let window = self.window(service, now);
        let own_allowance = settings.allowance / as_f64(daemons.max(1));
        let earned = settings.ratio * as_f64(window.requests.len());
        let allowed = SAFETY_FACTOR * (earned + own_allowance);
        let retries = window.retries.len();
        let is_granted = as_f64(retries + 1) <= allowed;
        if is_granted {
            window.retries.push_back(now);
        }
        RetryDecision {
            is_granted,
            retries,
            requests: window.requests.len(),
            allowed,
        }
    }

    fn window(&mut self, service: &ServiceName, now: Timestamp) -> &mut Window {
        let window = self.services.entry(service.clone()).or_default();
        let start = now - self.settings.window;
        for times in [&mut window.requests, &mut window.retries] {
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
