//! Sizes and places of a simulated fleet.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use flaxward_types::{DaemonName, RunnerName, ZoneName};

/// Daemons of the target.
pub const TARGET_DAEMONS: u32 = 640;
/// Zones of the target.
const TARGET_ZONES: u32 = 22;
/// Regions of the target.
const TARGET_REGIONS: u32 = 8;
/// Runners of the target.
const TARGET_RUNNERS: u32 = 7_000;
/// Models of the target.
const TARGET_MODELS: u32 = 590;
/// Adapters of the target.
const TARGET_ADAPTERS: u32 = 31_000;
/// Daemons in a zone of the target.
const DAEMONS_PER_ZONE: u32 = 29;
/// Port on which daemons listen for each other.
const PEER_PORT: u16 = 8701;

/// One zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneShape {
    /// Its name.
    pub name: ZoneName,
    /// The region it lies in.
    pub region: usize,
    /// Its daemons.
    pub daemons: u32,
    /// Its runners.
    pub runners: u32,
}

/// A fleet with so many daemons and everything else in proportion to the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shape {
    /// All zones, region by region.
    pub zones: Vec<ZoneShape>,
    /// Number of regions.
    pub regions: usize,
    /// Daemons in all.
    pub daemons: u32,
    /// Runners in all.
    pub runners: u32,
    /// Models in all.
    pub models: u32,
    /// Adapters in all.
    pub adapters: u32,
}

impl Shape {
    /// The fleet with this many daemons: zones of about 29, but at least two of them, and regions of
    /// about three zones.
    pub fn of(daemons: u32) -> Self {
        let zone_count = divide_rounded(daemons, DAEMONS_PER_ZONE)
            .clamp(2, TARGET_ZONES)
            .min(daemons.max(1));
        let region_count = divide_rounded(zone_count * TARGET_REGIONS, TARGET_ZONES).max(1);
        let runners = scaled(TARGET_RUNNERS, daemons);
        let zones = (0..zone_count)
            .map(|zone| {
                let region = zone * region_count / zone_count;
                ZoneShape {
                    name: ZoneName::literal(&format!("region{region}-zone{zone}")),
                    region: region as usize,
                    daemons: share(daemons, zone_count, zone),
                    runners: share(runners, zone_count, zone),
                }
            })
            .collect();
        Self {
            zones,
            regions: region_count as usize,
            daemons,
            runners,
            models: scaled(TARGET_MODELS, daemons),
            adapters: scaled(TARGET_ADAPTERS, daemons),
        }
    }

    /// Share of the target's size.
    pub fn scale(&self) -> f64 {
        f64::from(self.daemons) / f64::from(TARGET_DAEMONS)
    }

    /// Places of the zones in a region.
    pub fn zones_of(&self, region: usize) -> impl Iterator<Item = usize> {
        let zones = self.zones.iter().enumerate();
        zones
            .filter(move |(_, zone)| zone.region == region)
            .map(|(place, _)| place)
    }

    /// Names of all zones as a daemon of `own` lists them: its own, those of its region, the others.
    pub fn zones_from(&self, own: usize) -> Vec<ZoneName> {
        let region = self.zones[own].region;
        let near = self.zones_of(region).filter(|zone| *zone != own);
        let far = (0..self.zones.len()).filter(|zone| self.zones[*zone].region != region);
        let order = std::iter::once(own).chain(near).chain(far);
        order.map(|zone| self.zones[zone].name.clone()).collect()
    }
}

/// Name of the daemon with this number; a replaced daemon has a new number.
pub fn daemon_name(number: usize) -> DaemonName {
    DaemonName::literal(&format!("daemon-{number}"))
}

/// Name of the runner with this number; a replaced runner has a new number.
pub fn runner_name(number: usize) -> RunnerName {
    RunnerName::literal(&format!("runner-{number}"))
}

/// Address of the daemon with this number.
pub fn daemon_address(number: usize) -> SocketAddr {
    SocketAddr::new(address(10, number), PEER_PORT)
}

/// Address of the runner's engine with this number.
pub fn engine_address(number: usize) -> String {
    format!("{}:8000", address(11, number))
}

fn address(network: u8, number: usize) -> IpAddr {
    let bytes = u32::try_from(number).unwrap_or(u32::MAX).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(network, bytes[1], bytes[2], bytes[3]))
}

fn divide_rounded(number: u32, by: u32) -> u32 {
    (number + by / 2) / by
}

fn scaled(target: u32, daemons: u32) -> u32 {
    divide_rounded(target * daemons, TARGET_DAEMONS).max(1)
}

/// The share of one among `parts` that are as even as can be.
fn share(total: u32, parts: u32, part: u32) -> u32 {
    total / parts + u32::from(part < total % parts)
}
