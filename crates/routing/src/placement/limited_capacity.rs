//! Copies on runners with limited capacity, which are cold or have announced a rate limit. Demand
//! beyond this capacity needs another copy on another runner, if that copy is ready before the
//! limit ends.

use std::sync::Arc;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::configuration::{Configuration, Service};
use crate::homes::Requirement;

use super::candidates::{Candidate, PlanResources};
use super::demand::WantedUnit;
use super::runner_record::RunnerRecord;
use super::{Placement, Reason};

/// Capacity of one copy on a limited runner.
struct LimitedCopy {
    /// Time until the limit ends.
    remaining: Duration,
    /// Requests per second until then.
    rate: f64,
}

/// Capacity of the copies of a unit while all of them are limited.
struct LimitedCopies {
    /// Time until the first limit ends.
    remaining: Duration,
    /// Total requests per second until then.
    rate: f64,
}

impl LimitedCopies {
    /// Whether a copy that is ready after the given time would still find waiting requests, and
    /// would be ready before the first limit ends.
    fn are_relieved_by_copy_after(&self, ready: Duration, wanted: &WantedUnit) -> bool {
        let seconds = ready.as_secs_f64();
        let requests = f64::from(wanted.requests) + wanted.rate * seconds;
        ready < self.remaining && requests > self.rate * seconds
    }
}

impl Placement {
    /// Applies the request rate of cold runners, by service. Cold runners of services without one
    /// count as warm.
    pub(super) fn configure_cold_rates(&mut self, configuration: &Configuration) {
        let services = configuration.services();
        let rate = |service: &Arc<Service>| {
            let cold_start = service.cold_start?;
            Some((service.name.clone(), cold_start.requests_per_second))
        };
        self.cold_rates = services.filter_map(rate).collect();
    }

    /// Capacity of a copy on a runner, if it is limited.
    fn limited_copy(&self, record: &RunnerRecord, now: Timestamp) -> Option<LimitedCopy> {
        let remaining = record.limited_for(now);
        if remaining.is_zero() {
            return None;
        }
        let cold_rate = self.cold_rates.get(&record.runner.service).copied();
        let rate = match record.rate_limit {
            Some(rate) => rate.as_per_second(),
            None => cold_rate?,
        };
        Some(LimitedCopy { remaining, rate })
    }

    /// Total capacity of the copies of a unit, if there are any and all are limited.
    fn limited_copies(&self, requirement: &Requirement, now: Timestamp) -> Option<LimitedCopies> {
        let copies = self.copies.offered_at(&requirement.unit);
        let copies = copies.filter_map(|id| self.records.get(id));
        let copies = copies.filter(|record| self.is_allowed(record, requirement));
        let limited: Option<Vec<LimitedCopy>> = copies
            .map(|record| self.limited_copy(record, now))
            .collect();
        let limited = limited?;
        Some(LimitedCopies {
            remaining: limited.iter().map(|copy| copy.remaining).min()?,
            rate: limited.iter().map(|copy| copy.rate).sum(),
        })
    }

    /// Loads another copy of a unit that is offered but has waiting requests, if all its copies are
    /// limited and the new one would help.
    pub(super) fn relieve_limited_copies(
        &mut self,
        wanted: &WantedUnit,
        resources: &mut PlanResources,
        now: Timestamp,
    ) {
        let Some(limited) = self.limited_copies(&wanted.requirement, now) else {
            return;
        };
        let model = wanted.requirement.base();
        let is_adapter = wanted.requirement.unit.adapter.is_some();
        let has_unlimited_model = is_adapter && self.limited_copies(&model, now).is_none();
        if has_unlimited_model {
            self.place_adapter(&wanted.requirement, resources, now);
            return;
        }
        if self.copies.is_pending(&model) {
            return;
        }
        let Some(candidate) = self.best_candidate(&model, resources, now) else {
            return;
        };
        let is_unlimited = self.is_unlimited_when_loaded(&candidate, now);
        if is_unlimited && limited.are_relieved_by_copy_after(candidate.ready_in(), wanted) {
            resources.reserve(&candidate, &model.unit.service);
            self.load_at(&candidate.runner, &model, Reason::Replica, now);
        }
    }

    fn is_unlimited_when_loaded(&self, candidate: &Candidate, now: Timestamp) -> bool {
        let record = self.records.get(&candidate.runner);
        record.is_some_and(|record| record.limited_for(now) <= candidate.ready_in())
    }
}
