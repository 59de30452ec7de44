//! Copies on runners that bear little, because they are cold or name a rate: more requests than they bear need another copy
//! at another runner, if that one is ready before these bear all again.

use std::sync::Arc;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::configuration::{Configuration, Service};
use crate::homes::Requirement;

use super::candidates::{Candidate, Openings};
use super::demand::WantedUnit;
use super::ledger::Ledger;
use super::{Placement, Reason};

/// What one copy bears.
struct ScarceCopy {
    /// Time for which it does.
    lasts: Duration,
    /// Requests a second.
    rate: f64,
}

/// What the copies of a unit bear while all of them bear little.
struct ScarceCopies {
    /// Time until the first of them bears all again.
    lasts: Duration,
    /// Requests a second that they bear together until then.
    rate: f64,
}

impl ScarceCopies {
    /// Whether a copy that is ready after a time would still find requests that wait, and before these bear all again.
    fn are_relieved_after(&self, ready: Duration, wanted: &WantedUnit) -> bool {
        let seconds = ready.as_secs_f64();
        let requests = f64::from(wanted.requests) + wanted.rate * seconds;
        ready < self.lasts && requests > self.rate * seconds
    }
}

impl Placement {
    /// Takes in how many requests a second a cold runner of each service bears. Cold runners of others count as warm ones.
    pub(super) fn configure_cold(&mut self, configuration: &Configuration) {
        let services = configuration.services();
        let rate = |service: &Arc<Service>| {
            let cold_start = service.cold_start?;
            Some((service.name.clone(), cold_start.requests_per_second))
        };
        self.cold_rates = services.filter_map(rate).collect();
    }

    /// What a copy on a runner bears, if that is little.
    fn scarce_copy(&self, ledger: &Ledger, now: Timestamp) -> Option<ScarceCopy> {
        let lasts = ledger.bears_little_for(now);
        if lasts.is_zero() {
            return None;
        }
        let cold_rate = self.cold_rates.get(&ledger.runner.service).copied();
        let rate = match ledger.rate_limit {
            Some(rate) => rate.as_per_second(),
            None => cold_rate?,
        };
        Some(ScarceCopy { lasts, rate })
    }

    /// What the copies of a unit bear, if there are some and all bear little.
    fn scarce_copies(&self, requirement: &Requirement, now: Timestamp) -> Option<ScarceCopies> {
        let copies = self.copies.offered_at(&requirement.unit);
        let copies = copies.filter_map(|id| self.ledgers.get(id));
        let copies = copies.filter(|ledger| self.is_at_home(ledger, &requirement.homes));
        let scarce: Option<Vec<ScarceCopy>> =
            copies.map(|ledger| self.scarce_copy(ledger, now)).collect();
        let scarce = scarce?;
        Some(ScarceCopies {
            lasts: scarce.iter().map(|copy| copy.lasts).min()?,
            rate: scarce.iter().map(|copy| copy.rate).sum(),
        })
    }

    /// Loads another copy of what requests wait for though it is offered, if all its copies bear little and the other one
    /// helps.
    pub(super) fn relieve_scarce(
        &mut self,
        wanted: &WantedUnit,
        openings: &mut Openings,
        now: Timestamp,
    ) {
        let Some(scarce) = self.scarce_copies(&wanted.requirement, now) else {
            return;
        };
        let model = wanted.requirement.base();
        let is_adapter = wanted.requirement.unit.adapter.is_some();
        let has_ample_model = is_adapter && self.scarce_copies(&model, now).is_none();
        if has_ample_model {
            self.place_adapter(&wanted.requirement, openings, now);
            return;
        }
        if self.copies.is_coming(&model) {
            return;
        }
        let Some(candidate) = self.best_candidate(&model, openings, now) else {
            return;
        };
        let is_ample = self.is_ample_when_loaded(&candidate, now);
        if is_ample && scarce.are_relieved_after(candidate.ready_in(), wanted) {
            openings.take(&candidate, &model.unit.service);
            self.load_at(&candidate.runner, &model, Reason::Replica, now);
        }
    }

    fn is_ample_when_loaded(&self, candidate: &Candidate, now: Timestamp) -> bool {
        let ledger = self.ledgers.get(&candidate.runner);
        ledger.is_some_and(|ledger| ledger.bears_little_for(now) <= candidate.ready_in())
    }
}
