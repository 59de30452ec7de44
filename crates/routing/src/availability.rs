//! Eligibility of runners for requests, regardless of load.

use flaxward_types::time::Timestamp;

use crate::evacuation::Evacuations;
use crate::homes::{Homes, Requirement};
use crate::locality::Locality;
use crate::names::{ServiceName, Unit};
use crate::notices::Notices;
use crate::runners::{Runner, RunnerTable};

/// The runners, and the state that determines which of them are eligible for requests.
#[derive(Clone, Copy, Debug)]
pub struct Availability<'a> {
    /// The runners.
    pub runners: &'a RunnerTable,
    /// Evacuated zones, whose runners get no requests.
    pub evacuations: &'a Evacuations,
    /// Notices sent by the runners themselves.
    pub notices: &'a Notices,
    /// Regions of the zones, and this daemon's own zone.
    pub locality: &'a Locality,
}

impl<'a> Availability<'a> {
    /// The runners of a service that are eligible for requests.
    pub fn usable(&self, service: &ServiceName) -> impl Iterator<Item = &'a Runner> {
        let of_service = |runner: &&Runner| runner.service == *service;
        let runners = self.runners.iter().filter(of_service);
        runners.filter(|runner| self.is_usable(runner))
    }

    /// Whether a runner is eligible for requests. Its own notices count in addition to the list, which may be late: the
    /// store may be unreachable, and the list may have come through other daemons.
    fn is_usable(&self, runner: &Runner) -> bool {
        let leaves = runner.draining || self.notices.is_leaving(&runner.id);
        !leaves && !self.evacuations.includes(runner)
    }

    /// Whether a runner is in a home region of a request.
    pub fn is_in_home_region(&self, runner: &Runner, homes: &Homes) -> bool {
        self.locality.regions().allow(homes, &runner.zone)
    }

    /// Whether a runner has the unit of a request loaded; true if the request needs none. A crashed runner has lost what it
    /// held, so that requests wait for another one to load it.
    pub fn holds_unit(&self, runner: &Runner, unit: Option<&Unit>, now: Timestamp) -> bool {
        let is_down = || self.notices.is_down(&runner.id, now);
        unit.is_none_or(|unit| !is_down() && self.runners.holds(runner, unit, now))
    }

    /// Whether an eligible runner in the home regions of the requirement, of the software version that it allows, has its
    /// unit loaded.
    ///
    /// Requests that wait for a unit to be loaded poll this. It must agree with the selection, which reports
    /// [`NotLoaded`](crate::balance::NoRunner::NotLoaded) only if this is false; otherwise a request would wait for a
    /// unit that is already loaded and retry in a busy loop.
    pub fn is_unit_loaded(&self, requirement: &Requirement, now: Timestamp) -> bool {
        let Requirement { unit, homes, .. } = requirement;
        self.usable(&unit.service)
            .filter(|runner| self.is_in_home_region(runner, homes))
            .filter(|runner| requirement.allows_version_of(runner))
            .any(|runner| self.holds_unit(runner, Some(unit), now))
    }
}
