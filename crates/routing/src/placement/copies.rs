//! How many runners offer a unit or will, in which zones, and which ones have its weights in host memory or on
//! disk: kept up to date with each change of a [`Ledger`], so that a question does not go through all runners.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::names::{RunnerId, Unit, Zone};

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

/// A unit at all runners.
#[derive(Debug, Default)]
struct UnitCopies {
    /// Runners that offer it now.
    offered_at: BTreeSet<RunnerId>,
    coming: usize,
    /// Runners that offer it or will.
    by_zone: BTreeMap<Zone, usize>,
    /// Runners that have its weights in host memory or on disk.
    stored_at: BTreeSet<RunnerId>,
}

/// Copies of all units.
#[derive(Debug, Default)]
pub(super) struct CopyIndex {
    units: HashMap<Unit, UnitCopies>,
    by_runner: HashMap<RunnerId, Vec<Copy>>,
}

impl CopyIndex {
    /// Takes in what has changed at a runner.
    pub fn update(&mut self, ledger: &Ledger) {
        self.remove(&ledger.runner.id);
        let copies = copies_of(ledger);
        for copy in &copies {
            let unit = self.units.entry(copy.unit.clone()).or_default();
            if copy.is_offered {
                unit.offered_at.insert(ledger.runner.id.clone());
            }
            unit.coming += usize::from(copy.is_coming);
            if copy.is_offered || copy.is_coming {
                *unit.by_zone.entry(copy.zone.clone()).or_default() += 1;
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
            unit.offered_at.remove(runner);
            unit.coming -= usize::from(copy.is_coming);
            if copy.is_offered || copy.is_coming {
                if let Some(count) = unit.by_zone.get_mut(&copy.zone) {
                    *count -= 1;
                }
                unit.by_zone.retain(|_, count| *count > 0);
            }
            unit.stored_at.remove(runner);
            if unit.by_zone.is_empty() && unit.stored_at.is_empty() {
                self.units.remove(&copy.unit);
            }
        }
    }

    /// Runners that offer the unit now.
    pub fn offered(&self, unit: &Unit) -> usize {
        self.units.get(unit).map_or(0, |it| it.offered_at.len())
    }

    /// The runners that offer the unit now.
    pub fn offered_at(&self, unit: &Unit) -> impl Iterator<Item = &RunnerId> {
        let unit = self.units.get(unit);
        unit.into_iter().flat_map(|it| &it.offered_at)
    }

    /// Whether a runner offers the unit.
    pub fn is_offered(&self, unit: &Unit) -> bool {
        self.units
            .get(unit)
            .is_some_and(|it| !it.offered_at.is_empty())
    }

    /// Whether a runner will offer the unit.
    pub fn is_coming(&self, unit: &Unit) -> bool {
        self.units.get(unit).is_some_and(|it| it.coming > 0)
    }

    /// Runners that offer the unit or will.
    pub fn count(&self, unit: &Unit) -> usize {
        let by_zone = self.units.get(unit).map(|it| it.by_zone.values().sum());
        by_zone.unwrap_or(0)
    }

    /// Runners that have the weights of a model in host memory or on disk.
    pub fn stored_at(&self, model: &Unit) -> impl Iterator<Item = &RunnerId> {
        let unit = self.units.get(model);
        unit.into_iter().flat_map(|it| &it.stored_at)
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
