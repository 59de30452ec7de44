//! From which regions the requests for models come, so that copies go where their callers are.

use std::collections::HashMap;

use crate::homes::Requirement;
use crate::locality::Regions;
use crate::names::{Region, Unit};

use super::demand::Member;

/// Requests for one model by the regions of the daemons that they came to.
type ByRegion = HashMap<Region, u32>;

/// Requests for all models by region. Nothing is counted where there is one region only.
#[derive(Debug, Default)]
pub(super) struct Origins {
    regions: Regions,
    /// Requests of the last seconds and those that waited, as of the last look at the rates.
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

    /// Counts what the requests of the members have used lately or wait for.
    pub fn count_recent<'a>(&mut self, members: impl Iterator<Item = &'a Member>) {
        self.recent = self.count(members, Member::recent);
    }

    /// Counts what the requests of the members wait for.
    pub fn count_waiting<'a>(&mut self, members: impl Iterator<Item = &'a Member>) {
        self.waiting = self.count(members, Member::waits_for);
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

    /// Share of the requests for a model that come from other regions than one, those apart that have a copy.
    pub fn share_abroad(
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
        let abroad = counts.iter();
        let abroad = abroad.filter(|(other, _)| Some(*other) != region && !has_copy(other));
        let abroad: u32 = abroad.map(|(_, count)| count).sum();
        f64::from(abroad) / f64::from(all.max(1))
    }
}
