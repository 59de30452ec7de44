//! Regions of zones, and the distance between a daemon and runners.

use std::collections::HashMap;

use crate::homes::Homes;
use crate::names::{Region, Zone};

/// Mapping from zones to regions, as configured by the operators.
#[derive(Clone, Debug, Default)]
pub struct Regions(HashMap<Zone, Region>);

impl FromIterator<(Zone, Region)> for Regions {
    fn from_iter<Pairs: IntoIterator<Item = (Zone, Region)>>(pairs: Pairs) -> Self {
        Self(pairs.into_iter().collect())
    }
}

impl Regions {
    /// Region of a zone, if configured.
    pub fn of(&self, zone: &Zone) -> Option<&Region> {
        self.0.get(zone)
    }

    /// Whether requests with these home regions may be served in a zone.
    pub fn allow(&self, homes: &Homes, zone: &Zone) -> bool {
        match homes {
            Homes::Anywhere => true,
            Homes::Only(_) => homes.allows(self.of(zone)),
        }
    }

    /// Whether there is more than one region.
    pub fn has_multiple(&self) -> bool {
        let mut regions = self.0.values();
        let first = regions.next();
        regions.any(|region| Some(region) != first)
    }

    /// Whether two zones are configured to be in different regions.
    pub fn in_different_regions(&self, one: &Zone, other: &Zone) -> bool {
        let regions = self.of(one).zip(self.of(other));
        regions.is_some_and(|(one, other)| one != other)
    }
}

/// Distance of a zone from a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The daemon's own zone.
    SameZone,
    /// Another zone of the daemon's region, or a zone whose region is not configured.
    SameRegion,
    /// A zone of another region: each message takes tens of ms, and traffic is billed.
    OtherRegion,
}

/// Zone of a daemon and the regions of all zones.
#[derive(Clone, Debug)]
pub struct Locality {
    zone: Zone,
    regions: Regions,
}

impl Locality {
    /// Creates the locality of a daemon in a zone.
    pub fn new(zone: Zone, regions: Regions) -> Self {
        Self { zone, regions }
    }

    /// The regions of the zones.
    pub fn regions(&self) -> &Regions {
        &self.regions
    }

    /// Whether bytes of a request with home regions may pass through this daemon on their way to a runner in a zone. Such a
    /// request only goes to runners in its homes, so the region of the runner is one of them.
    pub fn may_relay_home_requests(&self, runner_zone: &Zone) -> bool {
        let region = self.regions.of(runner_zone);
        region.is_none_or(|region| self.regions.of(&self.zone) == Some(region))
    }

    /// Distance of a zone from a daemon.
    pub fn distance(&self, zone: &Zone) -> Distance {
        if *zone == self.zone {
            Distance::SameZone
        } else if self.regions.in_different_regions(&self.zone, zone) {
            Distance::OtherRegion
        } else {
            Distance::SameRegion
        }
    }
}
