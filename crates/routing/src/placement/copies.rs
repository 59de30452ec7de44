//! Index of the runners that offer a unit or will offer it, by zone and software version, and of those that have its
//! weights in host memory or on disk. It is updated with each change of a [`RunnerRecord`], so that
//! a query does not scan all runners.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::homes::{Homes, Requirement};
use crate::locality::Regions;
use crate::names::{Region, RunnerId, SoftwareVersion, Unit, Zone};

use super::runner_record::RunnerRecord;

/// What requirements restrict of a runner, beside its service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    zone: Zone,
    software_version: Option<SoftwareVersion>,
}

/// A unit on one runner.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Copy {
    unit: Unit,
    place: Place,
    is_offered: bool,
    is_pending: bool,
    is_cached: bool,
}

/// Numbers of runners.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// Runners that offer the unit now.
    offered: usize,
    /// Runners that will offer it.
    pending: usize,
    /// Runners that offer it now or will.
    all: usize,
}

impl Counts {
    fn add(&mut self, copy: &Copy) {
        self.offered += usize::from(copy.is_offered);
        self.pending += usize::from(copy.is_pending);
        self.all += usize::from(copy.is_offered || copy.is_pending);
    }

    fn subtract(&mut self, copy: &Copy) {
        self.offered -= usize::from(copy.is_offered);
        self.pending -= usize::from(copy.is_pending);
        self.all -= usize::from(copy.is_offered || copy.is_pending);
    }

    fn plus(self, other: Self) -> Self {
        Self {
            offered: self.offered + other.offered,
            pending: self.pending + other.pending,
            all: self.all + other.all,
        }
    }
}

/// The copies of one unit on all runners.
#[derive(Debug, Default)]
struct UnitCopies {
    everywhere: Counts,
    /// Places with a runner that offers it or will offer it.
    by_place: BTreeMap<Place, Counts>,
    /// Runners that offer it now.
    offered_at: BTreeSet<RunnerId>,
    /// Runners that have its weights in host memory or on disk.
    cached_at: BTreeSet<RunnerId>,
}

/// Index of the copies of all units.
#[derive(Debug, Default)]
pub(super) struct CopyIndex {
    regions: Regions,
    units: HashMap<Unit, UnitCopies>,
    by_runner: HashMap<RunnerId, Vec<Copy>>,
}

impl CopyIndex {
    /// An empty index. The regions decide which zones lie within the homes of requests.
    pub fn new(regions: Regions) -> Self {
        Self {
            regions,
            ..Self::default()
        }
    }

    /// Updates the copies on a runner.
    pub fn update(&mut self, record: &RunnerRecord) {
        self.remove(&record.runner.id);
        let copies = copies_of(record);
        for copy in &copies {
            let unit = self.units.entry(copy.unit.clone()).or_default();
            unit.everywhere.add(copy);
            if copy.is_offered || copy.is_pending {
                let counts = unit.by_place.entry(copy.place.clone());
                counts.or_default().add(copy);
            }
            if copy.is_offered {
                unit.offered_at.insert(record.runner.id.clone());
            }
            if copy.is_cached {
                unit.cached_at.insert(record.runner.id.clone());
            }
        }
        self.by_runner.insert(record.runner.id.clone(), copies);
    }

    /// Removes a runner.
    pub fn remove(&mut self, runner: &RunnerId) {
        for copy in self.by_runner.remove(runner).unwrap_or_default() {
            let Some(unit) = self.units.get_mut(&copy.unit) else {
                continue;
            };
            unit.everywhere.subtract(&copy);
            if copy.is_offered || copy.is_pending {
                if let Some(counts) = unit.by_place.get_mut(&copy.place) {
                    counts.subtract(&copy);
                }
                unit.by_place.retain(|_, counts| counts.all > 0);
            }
            unit.offered_at.remove(runner);
            unit.cached_at.remove(runner);
            if unit.by_place.is_empty() && unit.cached_at.is_empty() {
                self.units.remove(&copy.unit);
            }
        }
    }

    /// Numbers of runners that a requirement allows.
    fn counts(&self, requirement: &Requirement) -> Counts {
        let Some(unit) = self.units.get(&requirement.unit) else {
            return Counts::default();
        };
        if requirement.homes == Homes::Anywhere && requirement.software_version.is_none() {
            return unit.everywhere;
        }
        let allowed = unit.by_place.iter().filter(|(place, _)| {
            let required = requirement.software_version.as_ref();
            let allows_version =
                required.is_none_or(|version| place.software_version.as_ref() == Some(version));
            allows_version && self.regions.allow(&requirement.homes, &place.zone)
        });
        allowed.fold(Counts::default(), |sum, (_, counts)| sum.plus(*counts))
    }

    /// Number of runners that a requirement allows and that offer its unit now.
    pub fn offered(&self, requirement: &Requirement) -> usize {
        self.counts(requirement).offered
    }

    /// Whether a runner that a requirement allows offers its unit now.
    pub fn is_offered(&self, requirement: &Requirement) -> bool {
        self.offered(requirement) > 0
    }

    /// Whether a runner that a requirement allows will offer its unit.
    pub fn is_pending(&self, requirement: &Requirement) -> bool {
        self.counts(requirement).pending > 0
    }

    /// Number of runners that a requirement allows and that offer its unit now or will.
    pub fn count(&self, requirement: &Requirement) -> usize {
        self.counts(requirement).all
    }

    /// Runners that offer the unit now.
    pub fn offered_at(&self, unit: &Unit) -> impl Iterator<Item = &RunnerId> {
        let unit = self.units.get(unit);
        unit.into_iter().flat_map(|it| &it.offered_at)
    }

    /// Runners that have the weights of a model in host memory or on disk.
    pub fn cached_at(&self, model: &Unit) -> impl Iterator<Item = &RunnerId> {
        let unit = self.units.get(model);
        unit.into_iter().flat_map(|it| &it.cached_at)
    }

    /// Whether a runner of the region offers the unit now or will.
    pub fn is_in_region(&self, unit: &Unit, region: &Region) -> bool {
        let mut places = self
            .units
            .get(unit)
            .into_iter()
            .flat_map(|it| it.by_place.keys());
        places.any(|place| self.regions.of(&place.zone) == Some(region))
    }

    /// Whether a runner of the zone offers the unit now or will.
    pub fn is_in_zone(&self, unit: &Unit, zone: &Zone) -> bool {
        let unit = self.units.get(unit);
        unit.is_some_and(|it| it.by_place.keys().any(|place| place.zone == *zone))
    }
}

fn copies_of(record: &RunnerRecord) -> Vec<Copy> {
    let mut units = record.known_units();
    units.extend(record.cached_models());
    units.sort();
    units.dedup();
    let copies = units.into_iter().map(|unit| Copy {
        place: Place {
            zone: record.runner.zone.clone(),
            software_version: record.runner.software_version.clone(),
        },
        is_offered: record.offers(&unit),
        is_pending: record.will_offer(&unit),
        is_cached: record.caches(&unit),
        unit,
    });
    copies
        .filter(|copy| copy.is_offered || copy.is_pending || copy.is_cached)
        .collect()
}
