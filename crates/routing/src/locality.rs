//! In which regions zones lie, and how far runners are from a daemon.

use std::collections::HashMap;

use crate::homes::Homes;
use crate::names::{Region, Zone};

/// The regions of the zones, as the operators have told them.
#[derive(Clone, Debug, Default)]
pub struct Regions(HashMap<Zone, Region>);

impl FromIterator<(Zone, Region)> for Regions {
    fn from_iter<Pairs: IntoIterator<Item = (Zone, Region)>>(pairs: Pairs) -> Self {
        Self(pairs.into_iter().collect())
    }
}

impl Regions {
    /// The region of a zone, if it was told.
    pub fn of(&self, zone: &Zone) -> Option<&Region> {
        self.0.get(zone)
    }

    /// Whether requests with some homes may be served in a zone.
    pub fn allow(&self, homes: &Homes, zone: &Zone) -> bool {
        match homes {
            Homes::Anywhere => true,
            Homes::Only(_) => homes.allows(self.of(zone)),
        }
    }

    /// Whether there is more than one region.
    pub fn are_several(&self) -> bool {
        let mut regions = self.0.values();
        let first = regions.next();
        regions.any(|region| Some(region) != first)
    }

    /// Whether two zones are known to lie in different regions.
    pub fn part(&self, one: &Zone, other: &Zone) -> bool {
        let regions = self.of(one).zip(self.of(other));
        regions.is_some_and(|(one, other)| one != other)
    }
}

/// How far a zone is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// It is the daemon's own.
    Zone,
    /// It is another one of the daemon's region, or nobody has told its region.
    Region,
    /// It lies in another region: each message takes tens of ms, and its bytes are paid for.
    Abroad,
}

/// Where a daemon is, and in which regions the zones lie.
#[derive(Clone, Debug)]
pub struct Locality {
    zone: Zone,
    regions: Regions,
}

impl Locality {
    /// A daemon in a zone.
    pub fn new(zone: Zone, regions: Regions) -> Self {
        Self { zone, regions }
    }

    /// The regions of the zones.
    pub fn regions(&self) -> &Regions {
        &self.regions
    }

    /// How far a zone is.
    pub fn distance(&self, zone: &Zone) -> Distance {
        if *zone == self.zone {
            Distance::Zone
        } else if self.regions.part(&self.zone, zone) {
            Distance::Abroad
        } else {
            Distance::Region
        }
    }
}
