//! The keeper's side: issues permits for requests to runners that are cold or report a rate limit.

use std::collections::HashMap;
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};

use super::PermitDecision;
use super::sliding_window::SlidingWindow;
use crate::cold::{ColdBound, PROPAGATION_DELAY, WINDOW};
use crate::names::RunnerId;
use crate::rate_limit::{self, RequestRate, STARTUP_PERMITS};

/// Number of distinct ranks; less urgent ones count as the last.
const RANKS: u8 = 4;
/// Retry delay if nothing is known of a runner; the keeper has learned of it by then.
const UNKNOWN_RUNNER_RETRY: Duration = Duration::from_millis(300);
/// Interval between removals of windows that are no longer in use.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Permits for one cold runner.
#[derive(Debug)]
struct ColdWindow {
    /// Start of the cold period that the permits belong to.
    period_started_at: Timestamp,
    /// Until then, the permits above the rate are left to requests that are sent without a permit.
    unannounced_until: Timestamp,
    permits: SlidingWindow,
}

impl ColdWindow {
    /// An empty window for a cold period that starts now, as far as is known.
    fn new(now: Timestamp) -> Self {
        Self {
            period_started_at: now,
            unannounced_until: now + PROPAGATION_DELAY + WINDOW,
            permits: SlidingWindow::new(WINDOW),
        }
    }

    /// Records that a cold period has started. Daemons that do not know of it yet send requests without permits.
    fn start_period(&mut self, started_at: Timestamp) {
        if self.period_started_at == started_at {
            return;
        }
        self.period_started_at = started_at;
        self.unannounced_until = started_at + PROPAGATION_DELAY + WINDOW;
    }

    /// Number of permits in a window up to which a rank is given one. The part of the limit above the rate is reserved
    /// for urgent ranks, and at the start of a cold period withheld from all of them. No rank is starved by the others,
    /// and none is refused while the total stays below the rate.
    fn allowed(&self, bound: &ColdBound, rank: u8, now: Timestamp) -> usize {
        let headroom = bound.headroom();
        let reserved = if now < self.unannounced_until {
            headroom
        } else {
            reserved_from(rank, headroom)
        };
        bound.permits() - reserved
    }
}

/// A request that needs a permit.
#[derive(Clone, Copy, Debug)]
pub struct PermitRequest<'a> {
    /// The runner.
    pub runner: &'a RunnerId,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// The limit while the runner is cold.
    pub cold: Option<ColdPeriod>,
    /// The rate limit that the runner reports.
    pub rate_limit: Option<RequestRate>,
}

/// Limit of the requests to a runner while it is cold.
#[derive(Clone, Copy, Debug)]
pub struct ColdPeriod {
    /// The limit.
    pub bound: ColdBound,
    /// When the keeper learned that the current cold period has started; other daemons may have learned it earlier.
    pub started_at: Option<Timestamp>,
}

/// One limit that applies to a request, with the permits issued under it.
struct PermitLimit<'a> {
    permits: &'a mut SlidingWindow,
    /// Permits in a window for the rank of the request.
    allowed: usize,
    /// Permits in a window for any rank.
    max: usize,
}

/// How many of the spare permits are withheld from a rank for more urgent ones.
fn reserved_from(rank: u8, spare: usize) -> usize {
    spare * usize::from(rank.min(RANKS - 1)) / usize::from(RANKS - 1)
}

fn refused(retry_after: Duration) -> PermitDecision {
    let room_in_ms = u32::try_from(millis(retry_after))
        .unwrap_or(u32::MAX)
        .max(1);
    PermitDecision::Refused { room_in_ms }
}

impl PermitLimit<'_> {
    /// Returns when a permit may become available.
    fn refuse(&mut self, rank: u8, now: Timestamp) -> Timestamp {
        self.permits.refuse(self.allowed, self.max, rank, now)
    }
}

/// Issues permits during one term of a coordinator.
#[derive(Debug)]
pub struct PermitKeeper {
    started_at: Timestamp,
    cold: HashMap<RunnerId, ColdWindow>,
    limited: HashMap<RunnerId, SlidingWindow>,
    last_sweep_at: Timestamp,
}

impl PermitKeeper {
    /// A keeper that starts now and does not know which permits its predecessor issued.
    pub fn new(now: Timestamp) -> Self {
        Self {
            started_at: now,
            cold: HashMap::new(),
            limited: HashMap::new(),
            last_sweep_at: now,
        }
    }

    /// Decides on a request to a runner. If two limits apply, both must have room.
    pub fn ask(&mut self, request: &PermitRequest<'_>, now: Timestamp) -> PermitDecision {
        let age = now.since(self.started_at);
        if request.cold.is_some() && age < WINDOW {
            return refused(WINDOW.saturating_sub(age));
        }
        self.sweep(now);
        let cold = request
            .cold
            .map(|period| cold_limit(&mut self.cold, request, &period, now));
        let limited = request
            .rate_limit
            .map(|rate| reported_rate_limit(&mut self.limited, request, rate, age, now));
        let mut limits: Vec<PermitLimit<'_>> = cold.into_iter().chain(limited).collect();
        let full = limits
            .iter_mut()
            .filter(|limit| !limit.permits.has_room(limit.allowed));
        let available_at = full.map(|limit| limit.refuse(request.rank, now)).max();
        if let Some(available_at) = available_at {
            return refused(available_at.since(now));
        }
        for limit in limits {
            limit.permits.issue(now);
        }
        PermitDecision::Given
    }

    /// The answer for a runner that the keeper does not know, or that has no limit.
    pub fn unknown_runner() -> PermitDecision {
        refused(UNKNOWN_RUNNER_RETRY)
    }

    fn sweep(&mut self, now: Timestamp) {
        if now.since(self.last_sweep_at) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep_at = now;
        self.cold
            .retain(|_, window| is_used(&mut window.permits, now));
        self.limited.retain(|_, permits| is_used(permits, now));
    }
}

fn is_used(permits: &mut SlidingWindow, now: Timestamp) -> bool {
    permits.advance(now);
    !permits.is_empty()
}

fn cold_limit<'a>(
    windows: &'a mut HashMap<RunnerId, ColdWindow>,
    request: &PermitRequest<'_>,
    period: &ColdPeriod,
    now: Timestamp,
) -> PermitLimit<'a> {
    let window = windows.entry(request.runner.clone());
    let window = window.or_insert_with(|| ColdWindow::new(now));
    let started_at = period.started_at.unwrap_or(window.period_started_at);
    window.start_period(started_at);
    window.permits.advance(now);
    PermitLimit {
        allowed: window.allowed(&period.bound, request.rank, now),
        max: period.bound.permits(),
        permits: &mut window.permits,
    }
}

/// `age` is the time since the keeper started; permits issued by its predecessor may still be in use at first.
fn reported_rate_limit<'a>(
    windows: &'a mut HashMap<RunnerId, SlidingWindow>,
    request: &PermitRequest<'_>,
    rate: RequestRate,
    age: Duration,
    now: Timestamp,
) -> PermitLimit<'a> {
    let window = windows.entry(request.runner.clone());
    let permits = window.or_insert_with(|| SlidingWindow::new(rate_limit::WINDOW));
    permits.advance(now);
    let max = if age < rate_limit::WINDOW {
        STARTUP_PERMITS
    } else {
        rate.permits()
    };
    let reserved = reserved_from(request.rank, rate.reserved()).min(max - 1);
    PermitLimit {
        permits,
        allowed: max - reserved,
        max,
    }
}
