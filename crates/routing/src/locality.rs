//! How far runners are from a daemon.

use std::collections::HashMap;

use crate::names::Zone;

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
    regions: HashMap<Zone, String>,
}

impl Locality {
    /// A daemon in a zone; `regions` tells the region of each zone.
    pub fn new(zone: Zone, regions: HashMap<Zone, String>) -> Self {
        Self { zone, regions }
    }

    /// How far a zone is.
    pub fn distance(&self, zone: &Zone) -> Distance {
        if *zone == self.zone {
            return Distance::Zone;
        }
        match (self.regions.get(&self.zone), self.regions.get(zone)) {
            (Some(own), Some(other)) if own != other => Distance::Abroad,
            _ => Distance::Region,
        }
    }
}
