//! Copies on cold runners: they bear a few requests a second, so that more requests than that need another copy at a
//! warm runner, if that one is ready before the cold spell ends.

use std::sync::Arc;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::configuration::{Configuration, Service};
use crate::homes::Requirement;

use super::candidates::{Candidate, Openings};
use super::demand::WantedUnit;
use super::{Placement, Reason};

/// What the copies of a unit bear while all of them are cold.
struct ColdCopies {
    /// Time until the first of them is warm.
    spell: Duration,
    /// Requests a second that they bear together until then.
    rate: f64,
}

impl ColdCopies {
    /// Whether a copy that is ready after a time would still find requests that wait, and before a cold one is warm.
    fn are_relieved_after(&self, ready: Duration, wanted: &WantedUnit) -> bool {
        let seconds = ready.as_secs_f64();
        let requests = f64::from(wanted.requests) + wanted.rate * seconds;
        ready < self.spell && requests > self.rate * seconds
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

    /// What the copies of a unit bear, if there are some and all are cold.
    fn cold_copies(&self, requirement: &Requirement, now: Timestamp) -> Option<ColdCopies> {
        let rate = *self.cold_rates.get(&requirement.unit.service)?;
        let copies = self.copies.offered_at(&requirement.unit);
        let copies = copies.filter_map(|id| self.ledgers.get(id));
        let copies = copies.filter(|ledger| self.is_at_home(ledger, &requirement.homes));
        let spells: Vec<Duration> = copies.map(|ledger| ledger.cold_for(now)).collect();
        let spell = spells.iter().min().copied()?;
        let count = u32::try_from(spells.len()).unwrap_or(u32::MAX);
        (!spell.is_zero()).then(|| ColdCopies {
            spell,
            rate: rate * f64::from(count),
        })
    }

    /// Loads another copy of what requests wait for though it is offered, if all its copies are cold and the other one
    /// helps.
    pub(super) fn relieve_cold(
        &mut self,
        wanted: &WantedUnit,
        openings: &mut Openings,
        now: Timestamp,
    ) {
        let Some(cold) = self.cold_copies(&wanted.requirement, now) else {
            return;
        };
        let model = wanted.requirement.base();
        let is_adapter = wanted.requirement.unit.adapter.is_some();
        let has_warm_model = is_adapter && self.cold_copies(&model, now).is_none();
        if has_warm_model {
            self.place_adapter(&wanted.requirement, openings, now);
            return;
        }
        if self.copies.is_coming(&model) {
            return;
        }
        let Some(candidate) = self.best_candidate(&model, openings, now) else {
            return;
        };
        let is_warm = self.is_warm_when_loaded(&candidate, now);
        if is_warm && cold.are_relieved_after(candidate.ready_in(), wanted) {
            openings.take(&candidate, &model.unit.service);
            self.load_at(&candidate.runner, &model, Reason::Replica, now);
        }
    }

    fn is_warm_when_loaded(&self, candidate: &Candidate, now: Timestamp) -> bool {
        let ledger = self.ledgers.get(&candidate.runner);
        ledger.is_some_and(|ledger| ledger.cold_for(now) <= candidate.ready_in())
    }
}
