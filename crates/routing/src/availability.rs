//! Which runners may get requests at all, whatever their load.

use flaxward_types::time::Timestamp;

use crate::evacuation::Evacuations;
use crate::homes::{Homes, Requirement};
use crate::locality::Locality;
use crate::names::{ServiceName, Unit};
use crate::notices::Notices;
use crate::runners::{Runner, RunnerTable};

/// The runners, and what decides which of them may get requests.
#[derive(Clone, Copy, Debug)]
pub struct Availability<'a> {
    /// The runners.
    pub runners: &'a RunnerTable,
    /// Zones whose runners get nothing.
    pub evacuations: &'a Evacuations,
    /// What runners have said of themselves.
    pub notices: &'a Notices,
    /// Where zones lie.
    pub locality: &'a Locality,
}

impl<'a> Availability<'a> {
    /// The runners of a service that may get requests.
    pub fn usable(&self, service: &ServiceName) -> impl Iterator<Item = &'a Runner> {
        let of_service = |runner: &&Runner| runner.service == *service;
        let runners = self.runners.iter().filter(of_service);
        runners.filter(|runner| self.is_usable(runner))
    }

    /// Whether a runner may get requests. What it has said of itself counts beside the list, which may come late: the store
    /// may not be reached, and the list be told by others.
    fn is_usable(&self, runner: &Runner) -> bool {
        let leaves = runner.draining || self.notices.is_leaving(&runner.id);
        !leaves && !self.evacuations.includes(runner)
    }

    /// Whether a runner is within the homes of a request.
    pub fn is_at_home(&self, runner: &Runner, homes: &Homes) -> bool {
        self.locality.regions().allow(homes, &runner.zone)
    }

    /// Whether a runner holds the unit of a request, if that needs one.
    pub fn is_able(&self, runner: &Runner, unit: Option<&Unit>, now: Timestamp) -> bool {
        unit.is_none_or(|unit| self.runners.holds(runner, unit, now))
    }

    /// Whether some runner within the homes of requests holds their unit and may get them. Those who wait for a unit go by
    /// this, and a choice among runners finds that it is not loaded only where this does not hold: otherwise they would wait
    /// for nothing, and look again without end.
    pub fn is_held(&self, requirement: &Requirement, now: Timestamp) -> bool {
        let Requirement { unit, homes } = requirement;
        self.usable(&unit.service)
            .filter(|runner| self.is_at_home(runner, homes))
            .any(|runner| self.is_able(runner, Some(unit), now))
    }
}
