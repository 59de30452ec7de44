//! State transitions of the pending order of one runner, from the decision to the answer or report
//! that settles it.

use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::names::Unit;
use crate::placement::{Operation, Order, OrderAnswer, PlacementSettings, Reason, RunnerReport};
use crate::runners::Holdings;

use super::{MIN_RESIDENCE_TIME, OrderState, Progress, RunnerRecord, Settlement};

/// Time for which a runner gets no order after it rejected one as invalid or as meant for another
/// runner.
const REJECTION_PAUSE: Duration = Duration::from_secs(2);
/// Time after which an unload that no request blocks counts as done.
const QUICK_UNLOAD_TIME: Duration = Duration::from_millis(60);

impl RunnerRecord {
    /// Settles an unblocked unload without waiting for a report. If it is not done after all, the
    /// runner refuses the next order, and then a report is read.
    pub fn settle_expected(&mut self, now: Timestamp) {
        let is_due =
            |state: &mut OrderState| matches!(state.progress, Progress::Expected(at) if now >= at);
        if let Some(state) = self.order.take_if(is_due) {
            self.settle(&state.order, now);
        }
    }

    /// When the pending order is assumed to be done, if that needs no report.
    pub fn expected_at(&self) -> Option<Timestamp> {
        match self.order.as_ref()?.progress {
            Progress::Expected(at) => Some(at),
            _ => None,
        }
    }

    /// Sets the pending order.
    pub fn begin(&mut self, order: Order, reason: Reason, ready_at: Timestamp) {
        if self
            .deferred_load
            .as_ref()
            .is_some_and(|deferred_load| deferred_load.requirement.unit == order.unit)
        {
            self.deferred_load = None;
        }
        let loads_model = order.operation == Operation::Load && order.unit.adapter.is_none();
        self.order = Some(OrderState {
            source: loads_model.then(|| self.weight_source(&order.unit.model)),
            order,
            reason,
            progress: Progress::Ready,
            ready_at,
        });
    }

    /// The order to send now, with the order count that it expects, if one is due.
    pub fn due_order(&mut self, now: Timestamp) -> Option<(Order, u64, Reason)> {
        let count = self.order_count?;
        let state = self.order.as_mut()?;
        let is_due = match state.progress {
            Progress::Ready => true,
            Progress::Unanswered { retry_at } => now >= retry_at,
            Progress::Sent(_) | Progress::Running | Progress::Expected(_) => false,
        };
        if !is_due {
            return None;
        }
        state.progress = Progress::Sent(now);
        Some((state.order.clone(), count, state.reason))
    }

    /// Whether a report is due.
    pub fn report_is_due(&self, now: Timestamp) -> bool {
        if self.report_asked_at.is_some() || now < self.next_report {
            return false;
        }
        if !self.is_confirmed || self.order_count.is_none() || self.has_unknown_order {
            return true;
        }
        let needs_report = |state: &OrderState| match state.progress {
            Progress::Running | Progress::Unanswered { .. } => true,
            Progress::Ready | Progress::Sent(_) | Progress::Expected(_) => false,
        };
        self.order.as_ref().is_some_and(needs_report) || !self.pending_adapters.is_empty()
    }

    /// Applies the answer to the pending order.
    pub fn apply_answer(
        &mut self,
        answer: OrderAnswer,
        load_time: Option<Duration>,
        is_blocked: bool,
        now: Timestamp,
        settings: &PlacementSettings,
    ) {
        let Some(mut state) = self.order.take() else {
            return;
        };
        match answer {
            OrderAnswer::Accepted if self.is_quick_unload(&state.order, is_blocked) => {
                self.order_count = self.order_count.map(|count| count + 1);
                state.progress = Progress::Expected(now + QUICK_UNLOAD_TIME);
                self.order = Some(state);
            }
            OrderAnswer::Accepted => self.accepted(state, load_time, now, settings),
            OrderAnswer::AlreadyDone => {
                self.settle(&state.order, now);
                self.order_count = None;
                self.next_report = now + settings.report_lag;
            }
            OrderAnswer::Conflict => {
                // Another order was accepted, perhaps an earlier one that arrived late.
                self.order_count = None;
                self.next_report = now + settings.report_lag;
            }
            OrderAnswer::FencedOff => {}
            OrderAnswer::OtherRunner | OrderAnswer::Invalid => {
                self.rejected_until = now + REJECTION_PAUSE;
                self.order_count = None;
                self.next_report = self.rejected_until;
            }
            OrderAnswer::Unknown => {
                state.progress = Progress::Unanswered {
                    retry_at: now + settings.order_retry,
                };
                self.order = Some(state);
            }
        }
    }

    /// Whether an accepted order should be done within a moment: an unload that makes room for a
    /// deferred load, of a model that no request uses.
    fn is_quick_unload(&self, order: &Order, is_blocked: bool) -> bool {
        order.operation == Operation::Unload
            && order.unit.adapter.is_none()
            && self.deferred_load.is_some()
            && !is_blocked
    }

    fn accepted(
        &mut self,
        mut state: OrderState,
        load_time: Option<Duration>,
        now: Timestamp,
        settings: &PlacementSettings,
    ) {
        self.order_count = self.order_count.map(|count| count + 1);
        if let Some(adapter) = &state.order.unit.adapter {
            match state.order.operation {
                Operation::Load => {
                    let key = (state.order.unit.model.clone(), adapter.clone());
                    self.pending_adapters.insert(key);
                }
                Operation::Unload => self.settle(&state.order, now),
            }
            self.next_report = now + settings.report_lag;
            return;
        }
        let expected = match state.order.operation {
            Operation::Load => load_time.unwrap_or_default(),
            Operation::Unload => Duration::ZERO,
        };
        state.progress = Progress::Running;
        state.ready_at = now + expected;
        self.next_report = now + expected.max(settings.report_lag);
        self.order = Some(state);
    }

    /// Applies a report and returns the order that it settles.
    pub fn apply_report(
        &mut self,
        report: RunnerReport,
        asked_at: Timestamp,
        now: Timestamp,
        settings: &PlacementSettings,
    ) -> Option<Settlement> {
        self.next_report = now + settings.report_interval;
        self.reported_at = now;
        let is_stale = self
            .order_count
            .is_some_and(|count| report.order_count < count);
        if is_stale {
            return None;
        }
        let mut settlement = None;
        let is_ahead = self.order_count != Some(report.order_count);
        self.order_count = Some(report.order_count);
        self.is_confirmed = true;
        self.unanswered_reports = 0;
        if let Some(mut state) = self.order.take() {
            let unanswered = matches!(state.progress, Progress::Unanswered { .. });
            if is_ahead && unanswered {
                state.progress = Progress::Running;
            }
            let done = match state.order.operation {
                Operation::Load => holds(&report.holdings, &state.order.unit),
                Operation::Unload => !holds(&report.holdings, &state.order.unit),
            };
            let is_running = state.progress == Progress::Running;
            if done && !report.is_busy && is_running {
                self.note_ready(&state.order, now);
                settlement = Some(Settlement {
                    state,
                    is_done: true,
                });
            } else if is_running && !report.is_busy && !done && asked_at > state.ready_at {
                // The runner no longer executes the order and has not completed it.
                self.order_count = Some(report.order_count);
                settlement = Some(Settlement {
                    state,
                    is_done: false,
                });
            } else {
                self.order = Some(state);
            }
        }
        self.has_unknown_order = report.is_busy && self.order.is_none();
        self.pending_adapters = report.pending;
        self.holdings = report.holdings;
        self.in_memory = report.in_memory;
        self.on_disk = report.on_disk;
        settlement
    }

    fn settle(&mut self, order: &Order, now: Timestamp) {
        let unit = &order.unit;
        match (order.operation, &unit.adapter) {
            (Operation::Load, None) => {
                self.holdings.entry(unit.model.clone()).or_default();
            }
            (Operation::Load, Some(adapter)) => {
                let adapters = self.holdings.entry(unit.model.clone()).or_default();
                adapters.insert(adapter.clone());
            }
            (Operation::Unload, None) => {
                self.holdings.remove(&unit.model);
            }
            (Operation::Unload, Some(adapter)) => {
                if let Some(adapters) = self.holdings.get_mut(&unit.model) {
                    adapters.remove(adapter);
                }
            }
        }
        self.note_ready(order, now);
    }

    fn note_ready(&mut self, order: &Order, now: Timestamp) {
        if order.operation == Operation::Load && order.unit.adapter.is_none() {
            self.ready_since.retain(|(model, at)| {
                *model != order.unit.model && now.since(*at) < MIN_RESIDENCE_TIME
            });
            self.ready_since.push((order.unit.model.clone(), now));
        }
    }
}

fn holds(holdings: &Holdings, unit: &Unit) -> bool {
    match (holdings.get(&unit.model), &unit.adapter) {
        (None, _) => false,
        (Some(_), None) => true,
        (Some(adapters), Some(adapter)) => adapters.contains(adapter),
    }
}
