//! The keeper's side: learns how many requests each brittle runner accepts at a time, and issues permits.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};

use super::{
    CONFIRMATION_TIME, ConcurrencyDecision, ConcurrencyQuestion, ConcurrencyReport, EndedPermit,
    HeldPermits, PERMIT_EXPIRY, PermitOutcome,
};
use crate::names::RunnerId;
use crate::rate_limit::RequestRate;

/// Time over which a runner counts the requests that it rejects, and the longest time by which the reports of two of
/// them move together on their way.
const COUNTING_TIME: Duration = Duration::from_millis(1_100);
/// Time after which a keeper knows all rejections that still count.
const STARTUP_TIME: Duration = COUNTING_TIME.saturating_add(CONFIRMATION_TIME);
/// Share of a runner's limit that permits may use. The rest is left to requests of daemons that do not know of the limit.
const LIMIT_SHARE: f64 = 0.75;
/// Lowest limit that is assumed: only a response shows that a runner tolerates more again.
const MIN_LIMIT_PER_SECOND: f64 = 0.25;
/// Time from a change of a runner's capacity until one more request is tried there, below its slots.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(250);
/// The same from its slots on, where the queue of the runner is used.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time for which a runner counts as busy after a request was refused or rejected.
const BUSY_TIME: Duration = Duration::from_secs(5);
/// Shortest time until a refused request may ask again.
const MIN_RETRY: Duration = Duration::from_millis(20);
/// Longest time until a refused request may ask again.
const MAX_RETRY: Duration = Duration::from_secs(2);
/// Time for which a permit is reserved for a refused request of a more urgent rank that may ask again.
const RESERVATION_SLACK: Duration = Duration::from_millis(50);
/// Time in which a request is assumed to be served until one has been.
const INITIAL_HOLD_TIME: Duration = Duration::from_millis(100);
/// Weight of the last request in the average time for which a permit is held.
const HOLD_TIME_WEIGHT: u32 = 8;
/// Time after which the state of an unused runner is dropped.
const IDLE_TIME: Duration = Duration::from_mins(1);

/// A permit is identified by the address of its daemon and the number of the request there.
type PermitId = (SocketAddr, u64);

/// A permit in use.
#[derive(Clone, Copy, Debug)]
struct Permit {
    issued_at: Timestamp,
    /// When it was issued or last reported.
    seen_at: Timestamp,
    /// The runner may have been full: it had half of what it accepts, or the keeper did not know how many it had.
    may_be_rejected: bool,
}

/// A refused request that may ask again.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    at: Timestamp,
    rank: u8,
    /// Probability that it comes back to this runner and not to another one that refused it too.
    weight: f64,
}

/// How many rejections permits may cause.
#[derive(Clone, Copy, Debug)]
struct RejectionBudget {
    rejections: usize,
    window: Duration,
}

impl RejectionBudget {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn of(limit: RequestRate, is_starting: bool) -> Self {
        let limit = limit.as_per_second().max(MIN_LIMIT_PER_SECOND);
        let rejections = (limit * LIMIT_SHARE).ceil() as usize;
        // A new keeper does not know the rejections of the last second.
        let rejections = if is_starting {
            rejections / 2
        } else {
            rejections
        };
        Self {
            rejections,
            window: COUNTING_TIME.div_f64(limit.min(1.0)),
        }
    }
}

/// What the keeper knows about one runner.
#[derive(Debug)]
struct RunnerState {
    /// Requests that the runner processes at a time; `None` until a question has told it.
    slots: Option<usize>,
    /// Requests that the runner is assumed to accept at a time.
    capacity: usize,
    capacity_changed_at: Timestamp,
    permits: HashMap<PermitId, Permit>,
    rejected_at: VecDeque<Timestamp>,
    reservations: Vec<Reservation>,
    /// Average time for which a permit is in use.
    hold_time: Duration,
    last_busy_at: Option<Timestamp>,
    used_at: Timestamp,
}

impl RunnerState {
    fn new(now: Timestamp) -> Self {
        Self {
            slots: None,
            capacity: 1,
            capacity_changed_at: now,
            permits: HashMap::new(),
            rejected_at: VecDeque::new(),
            reservations: Vec::new(),
            hold_time: INITIAL_HOLD_TIME,
            last_busy_at: None,
            used_at: now,
        }
    }

    /// Applies what a question tells. A runner is assumed to accept as many requests as it has slots until it rejects one.
    fn advance(&mut self, slots: u32, now: Timestamp) {
        let slots = usize::try_from(slots).unwrap_or(usize::MAX).max(1);
        if self.slots.replace(slots) != Some(slots) {
            self.capacity = slots;
        }
        self.permits
            .retain(|_, permit| now.since(permit.seen_at) < PERMIT_EXPIRY);
        self.reservations
            .retain(|it| it.at + RESERVATION_SLACK > now);
        self.used_at = now;
    }

    /// Whether one more request does not risk too many rejections.
    fn is_bearable(&self, budget: RejectionBudget, now: Timestamp) -> bool {
        let unconfirmed = self.permits.values();
        let unconfirmed = unconfirmed.filter(|permit| {
            permit.may_be_rejected && now.since(permit.issued_at) < CONFIRMATION_TIME
        });
        self.recent_rejections(budget, now).count() + unconfirmed.count() < budget.rejections
    }

    fn recent_rejections(
        &self,
        budget: RejectionBudget,
        now: Timestamp,
    ) -> impl Iterator<Item = &Timestamp> {
        let is_recent = move |at: &&Timestamp| now.since(**at) < budget.window;
        self.rejected_at.iter().filter(is_recent)
    }

    /// When enough rejections have left the window for another one; `None` if they leave room now.
    fn rejections_end_at(&self, budget: RejectionBudget, now: Timestamp) -> Option<Timestamp> {
        if self.recent_rejections(budget, now).count() < budget.rejections {
            return None;
        }
        let oldest = self.recent_rejections(budget, now).next();
        Some(oldest.map_or(now, |at| *at) + budget.window)
    }

    /// Whether the runner has room for a request of a rank. More urgent requests that were refused come first.
    #[allow(clippy::cast_precision_loss)]
    fn has_room(&self, rank: u8) -> bool {
        let reserved = self.reservations.iter().filter(|it| it.rank < rank);
        let reserved: f64 = reserved.map(|it| it.weight).sum();
        self.permits.len() as f64 + reserved + 1.0 <= self.capacity as f64
    }

    /// Raises the capacity if it has not changed for a while, so that one more request is tried.
    fn try_to_grow(&mut self, now: Timestamp) -> bool {
        let interval = if Some(self.capacity) < self.slots {
            RECOVERY_INTERVAL
        } else {
            PROBE_INTERVAL
        };
        // More urgent requests may have reserved what was there before.
        let is_used_up = self.permits.len() >= self.capacity;
        if !is_used_up || now.since(self.capacity_changed_at) < interval {
            return false;
        }
        self.capacity += 1;
        self.capacity_changed_at = now;
        true
    }

    /// When a refused request may find room, after those that were refused earlier.
    #[allow(clippy::cast_precision_loss)]
    fn room_expected_at(&self, rank: u8, budget: RejectionBudget, now: Timestamp) -> Timestamp {
        let by_capacity = self.hold_time.div_f64(self.capacity.max(1) as f64);
        let unconfirmed_time = self.hold_time.min(CONFIRMATION_TIME);
        let by_budget = unconfirmed_time.div_f64(budget.rejections.max(1) as f64);
        let ahead = self.reservations.iter().filter(|it| it.rank <= rank);
        let ahead: f64 = ahead.map(|it| it.weight).sum();
        now + by_capacity.max(by_budget).mul_f64(ahead + 1.0)
    }

    fn refuse(
        &mut self,
        question: &ConcurrencyQuestion,
        budget: RejectionBudget,
        now: Timestamp,
    ) -> ConcurrencyDecision {
        let rank = question.rank;
        let room_at = self.room_expected_at(rank, budget, now);
        let until = self
            .rejections_end_at(budget, now)
            .map_or(room_at, |at| room_at.max(at));
        let retry_in = until.since(now).max(MIN_RETRY);
        self.last_busy_at = Some(now);
        // Callers that are given a later time give up.
        if retry_in <= MAX_RETRY {
            self.reservations.push(Reservation {
                at: now + retry_in,
                rank,
                weight: 1.0 / f64::from(question.candidates.max(1)),
            });
        }
        let retry_in_ms = u32::try_from(millis(retry_in.min(MAX_RETRY))).unwrap_or(u32::MAX);
        ConcurrencyDecision::Refused { retry_in_ms }
    }

    fn issue(&mut self, id: PermitId, is_starting: bool, now: Timestamp) -> ConcurrencyDecision {
        let is_half_full = (self.permits.len() + 1) * 2 > self.capacity;
        let permit = Permit {
            issued_at: now,
            seen_at: now,
            may_be_rejected: is_starting || is_half_full,
        };
        self.permits.insert(id, permit);
        ConcurrencyDecision::Given {
            is_busy: is_half_full || self.is_busy(now),
        }
    }

    fn end(&mut self, id: PermitId, outcome: PermitOutcome, now: Timestamp) {
        let Some(permit) = self.permits.remove(&id) else {
            return;
        };
        match outcome {
            PermitOutcome::Unused => {}
            PermitOutcome::Accepted => self.record_hold_time(now.since(permit.issued_at)),
            PermitOutcome::Rejected => self.record_rejection(now),
        }
    }

    fn record_hold_time(&mut self, held: Duration) {
        let others = self.hold_time * (HOLD_TIME_WEIGHT - 1);
        self.hold_time = (others + held) / HOLD_TIME_WEIGHT;
    }

    /// The runner was full with the requests that are still there.
    fn record_rejection(&mut self, now: Timestamp) {
        self.rejected_at.push_back(now);
        while self
            .rejected_at
            .front()
            .is_some_and(|at| now.since(*at) > COUNTING_TIME.div_f64(MIN_LIMIT_PER_SECOND))
        {
            self.rejected_at.pop_front();
        }
        self.capacity = self.permits.len().clamp(1, self.capacity.max(1));
        self.capacity_changed_at = now;
        self.last_busy_at = Some(now);
    }

    /// Applies a full report of a daemon's permits.
    fn apply_held(&mut self, from: SocketAddr, held: &HeldPermits, now: Timestamp) {
        self.permits.retain(|(daemon, number), _| {
            *daemon != from || *number > held.up_to || held.numbers.contains(number)
        });
        for number in &held.numbers {
            // One of the predecessor's; what these may still cause is left room for at the start of a term.
            let permit = self.permits.entry((from, *number)).or_insert(Permit {
                issued_at: now,
                seen_at: now,
                may_be_rejected: false,
            });
            permit.seen_at = now;
        }
    }

    /// Whether a request was refused or rejected lately.
    fn is_busy(&self, now: Timestamp) -> bool {
        self.last_busy_at
            .is_some_and(|at| now.since(at) < BUSY_TIME)
    }

    fn is_idle(&self, now: Timestamp) -> bool {
        now.since(self.used_at) >= IDLE_TIME
    }
}

/// Issues concurrency permits during one term of a coordinator.
#[derive(Debug)]
pub struct ConcurrencyKeeper {
    started_at: Timestamp,
    runners: HashMap<RunnerId, RunnerState>,
    swept_at: Timestamp,
}

impl ConcurrencyKeeper {
    /// A keeper that starts now and knows nothing about the runners.
    pub fn new(now: Timestamp) -> Self {
        Self {
            started_at: now,
            runners: HashMap::new(),
            swept_at: now,
        }
    }

    /// Decides on a request of a daemon.
    pub fn ask(
        &mut self,
        from: SocketAddr,
        question: &ConcurrencyQuestion,
        now: Timestamp,
    ) -> ConcurrencyDecision {
        self.sweep(now);
        let is_starting = now.since(self.started_at) < STARTUP_TIME;
        let budget = RejectionBudget::of(question.limit, is_starting);
        let state = self.runners.entry(question.runner.clone());
        let state = state.or_insert_with(|| RunnerState::new(now));
        state.advance(question.slots, now);
        let is_bearable = state.is_bearable(budget, now);
        if !is_bearable || !(state.has_room(question.rank) || state.try_to_grow(now)) {
            return state.refuse(question, budget, now);
        }
        state.issue((from, question.number), is_starting, now)
    }

    /// Applies a daemon's report of its permits.
    pub fn record(&mut self, report: &ConcurrencyReport, now: Timestamp) {
        for held in &report.held {
            let state = self.runners.entry(held.runner.clone());
            let state = state.or_insert_with(|| RunnerState::new(now));
            state.apply_held(report.from, held, now);
        }
        for EndedPermit {
            number,
            runner,
            outcome,
        } in &report.ended
        {
            if let Some(state) = self.runners.get_mut(runner) {
                state.end((report.from, *number), *outcome, now);
            }
        }
    }

    /// Runners where a request was refused or rejected lately.
    pub fn busy_runners(&self, now: Timestamp) -> impl Iterator<Item = &RunnerId> {
        let busy = self
            .runners
            .iter()
            .filter(move |(_, state)| state.is_busy(now));
        busy.map(|(runner, _)| runner)
    }

    fn sweep(&mut self, now: Timestamp) {
        if now.since(self.swept_at) < IDLE_TIME {
            return;
        }
        self.swept_at = now;
        self.runners.retain(|_, state| !state.is_idle(now));
    }
}
