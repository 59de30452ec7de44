//! How many runners offer a unit or will, in which zones, and which ones have its weights in host memory or on
//! disk: kept up to date with each change of a [`Ledger`], so that a question does not go through all runners.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::homes::{Homes, Requirement};
use crate::locality::Regions;
use crate::names::{Region, RunnerId, Unit, Zone};

use super::ledger::Ledger;

/// A unit at one runner.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Copy {
    unit: Unit,
    zone: Zone,
    is_offered: bool,
    is_coming: bool,
    is_stored: bool,
}

/// Numbers of runners.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// Those that offer a unit now.
    offered: usize,
    /// Those that will.
    coming: usize,
    /// Those that offer it or will.
    all: usize,
}

impl Counts {
    fn add(&mut self, copy: &Copy) {
        self.offered += usize::from(copy.is_offered);
        self.coming += usize::from(copy.is_coming);
        self.all += usize::from(copy.is_offered || copy.is_coming);
    }

    fn take_away(&mut self, copy: &Copy) {
        self.offered -= usize::from(copy.is_offered);
        self.coming -= usize::from(copy.is_coming);
        self.all -= usize::from(copy.is_offered || copy.is_coming);
    }

    fn join(self, other: Self) -> Self {
        Self {
            offered: self.offered + other.offered,
            coming: self.coming + other.coming,
            all: self.all + other.all,
        }
    }
}

/// A unit at all runners.
#[derive(Debug, Default)]
struct UnitCopies {
    everywhere: Counts,
    /// Zones with a runner that offers it or will.
    by_zone: BTreeMap<Zone, Counts>,
    /// Runners that offer it now.
    offered_at: BTreeSet<RunnerId>,
    /// Runners that have its weights in host memory or on disk.
    stored_at: BTreeSet<RunnerId>,
}

/// Copies of all units.
#[derive(Debug, Default)]
pub(super) struct CopyIndex {
    regions: Regions,
    units: HashMap<Unit, UnitCopies>,
    by_runner: HashMap<RunnerId, Vec<Copy>>,
}

impl CopyIndex {
    /// No copies; the regions of zones tell which ones are within the homes of requests.
    pub fn new(regions: Regions) -> Self {
        Self {
            regions,
            ..Self::default()
        }
    }

    /// Takes in what has changed at a runner.
    pub fn update(&mut self, ledger: &Ledger) {
        self.remove(&ledger.runner.id);
        let copies = copies_of(ledger);
        for copy in &copies {
            let unit = self.units.entry(copy.unit.clone()).or_default();
            unit.everywhere.add(copy);
            if copy.is_offered || copy.is_coming {
                unit.by_zone.entry(copy.zone.clone()).or_default().add(copy);
            }
            if copy.is_offered {
                unit.offered_at.insert(ledger.runner.id.clone());
            }
            if copy.is_stored {
                unit.stored_at.insert(ledger.runner.id.clone());
            }
        }
        self.by_runner.insert(ledger.runner.id.clone(), copies);
    }

    /// Takes out a runner.
    pub fn remove(&mut self, runner: &RunnerId) {
        for copy in self.by_runner.remove(runner).unwrap_or_default() {
            let Some(unit) = self.units.get_mut(&copy.unit) else {
                continue;
            };
            unit.everywhere.take_away(&copy);
            if copy.is_offered || copy.is_coming {
                if let Some(counts) = unit.by_zone.get_mut(&copy.zone) {
                    counts.take_away(&copy);
                }
                unit.by_zone.retain(|_, counts| counts.all > 0);
            }
            unit.offered_at.remove(runner);
            unit.stored_at.remove(runner);
            if unit.by_zone.is_empty() && unit.stored_at.is_empty() {
                self.units.remove(&copy.unit);
            }
        }
    }

    /// Runners within the homes of requests.
    fn counts(&self, requirement: &Requirement) -> Counts {
        let Some(unit) = self.units.get(&requirement.unit) else {
            return Counts::default();
        };
        match &requirement.homes {
            Homes::Anywhere => unit.everywhere,
            homes @ Homes::Only(_) => {
                let zones = unit.by_zone.iter();
                let at_home = zones.filter(|(zone, _)| self.regions.allow(homes, zone));
                at_home.fold(Counts::default(), |sum, (_, counts)| sum.join(*counts))
            }
        }
    }

    /// Runners within the homes of requests that offer the unit now.
    pub fn offered(&self, requirement: &Requirement) -> usize {
        self.counts(requirement).offered
    }

    /// Whether a runner within the homes of requests offers the unit.
    pub fn is_offered(&self, requirement: &Requirement) -> bool {
        self.offered(requirement) > 0
    }

    /// Whether a runner within the homes of requests will offer the unit.
    pub fn is_coming(&self, requirement: &Requirement) -> bool {
        self.counts(requirement).coming > 0
    }

    /// Runners within the homes of requests that offer the unit or will.
    pub fn count(&self, requirement: &Requirement) -> usize {
        self.counts(requirement).all
    }

    /// Runners that offer the unit now.
    pub fn offered_at(&self, unit: &Unit) -> impl Iterator<Item = &RunnerId> {
        let unit = self.units.get(unit);
        unit.into_iter().flat_map(|it| &it.offered_at)
    }

    /// Runners that have the weights of a model in host memory or on disk.
    pub fn stored_at(&self, model: &Unit) -> impl Iterator<Item = &RunnerId> {
        let unit = self.units.get(model);
        unit.into_iter().flat_map(|it| &it.stored_at)
    }

    /// Whether a runner of the region offers the unit or will.
    pub fn is_in_region(&self, unit: &Unit, region: &Region) -> bool {
        let mut zones = self
            .units
            .get(unit)
            .into_iter()
            .flat_map(|it| it.by_zone.keys());
        zones.any(|zone| self.regions.of(zone) == Some(region))
    }

    /// Whether a runner of the zone offers the unit or will.
    pub fn is_in_zone(&self, unit: &Unit, zone: &Zone) -> bool {
        let unit = self.units.get(unit);
        unit.is_some_and(|it| it.by_zone.contains_key(zone))
    }
}

fn copies_of(ledger: &Ledger) -> Vec<Copy> {
    let mut units = ledger.known_units();
    units.extend(ledger.stored_models());
    units.sort();
    units.dedup();
    let copies = units.into_iter().map(|unit| Copy {
        zone: ledger.runner.zone.clone(),
        is_offered: ledger.offers(&unit),
        is_coming: ledger.will_offer(&unit),
        is_stored: ledger.stores(&unit),
        unit,
    });
    copies
        .filter(|copy| copy.is_offered || copy.is_coming || copy.is_stored)
        .collect()
}
