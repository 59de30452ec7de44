//! Regions from which the requests for models come, so that copies are placed near their callers.

use std::collections::HashMap;

use crate::homes::Requirement;
use crate::locality::Regions;
use crate::names::{Region, Unit};

use super::demand::Member;

/// Requests for one model by the region of the daemon that received them.
type ByRegion = HashMap<Region, u32>;

/// Requests for all models by region. Nothing is counted if there is only one region.
#[derive(Debug, Default)]
pub(super) struct Origins {
    regions: Regions,
    /// Recently used and waiting requests, as of the last computation of the rates.
    recent: HashMap<Unit, ByRegion>,
    /// Requests that wait now.
    waiting: HashMap<Unit, ByRegion>,
}

impl Origins {
    pub fn new(regions: Regions) -> Self {
        Self {
            regions,
            ..Self::default()
        }
    }

    /// Counts the members' recently used and waiting requests.
    pub fn count_recent<'a>(&mut self, members: impl Iterator<Item = &'a Member>) {
        self.recent = self.count(members, Member::recent_requests);
    }

    /// Counts the members' waiting requests.
    pub fn count_waiting<'a>(&mut self, members: impl Iterator<Item = &'a Member>) {
        self.waiting = self.count(members, Member::waiting_requests);
    }

    fn count<'a, Requests>(
        &self,
        members: impl Iterator<Item = &'a Member>,
        requests: impl Fn(&'a Member) -> Requests,
    ) -> HashMap<Unit, ByRegion>
    where
        Requests: Iterator<Item = (&'a Requirement, u32)>,
    {
        let mut counts: HashMap<Unit, ByRegion> = HashMap::new();
        if !self.regions.has_multiple() {
            return counts;
        }
        for member in members {
            let Some(region) = self.regions.of(&member.zone) else {
                continue;
            };
            for (requirement, count) in requests(member) {
                let model = counts.entry(requirement.unit.base()).or_default();
                *model.entry(region.clone()).or_default() += count;
            }
        }
        counts
    }

    /// Share of the requests for a model that come from other regions than the given one, excluding
    /// regions with a copy.
    pub fn share_from_other_regions(
        &self,
        model: &Unit,
        region: Option<&Region>,
        has_copy: impl Fn(&Region) -> bool,
    ) -> f64 {
        let counts = self.waiting.get(model).or_else(|| self.recent.get(model));
        let Some(counts) = counts else {
            return 0.0;
        };
        let all: u32 = counts.values().sum();
        let elsewhere = counts.iter();
        let elsewhere = elsewhere.filter(|(other, _)| Some(*other) != region && !has_copy(other));
        let elsewhere: u32 = elsewhere.map(|(_, count)| count).sum();
        f64::from(elsewhere) / f64::from(all.max(1))
    }
}
