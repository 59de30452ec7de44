//! Two regions with a zone each, and routes whose requests may run in one of them only.

use flaxward_platform_stand_in::RouteSpec;

/// A region, and its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Region {
    /// Its name.
    pub name: &'static str,
    /// Its only zone.
    pub zone: &'static str,
}

/// The regions; a soak without regions has the first one's zone only.
pub const REGIONS: [Region; 2] = [
    Region {
        name: "west",
        zone: "zone-a",
    },
    Region {
        name: "east",
        zone: "zone-b",
    },
];

impl Region {
    /// The region of the daemon or runner with a number, if there are regions.
    pub fn of(number: usize, has_regions: bool) -> Self {
        REGIONS[if has_regions {
            number % REGIONS.len()
        } else {
            0
        }]
    }

    /// The region of a zone.
    pub fn with_zone(zone: &str) -> Option<Self> {
        REGIONS.into_iter().find(|region| region.zone == zone)
    }

    /// What the names of its own routes end with.
    fn suffix(self) -> String {
        format!("home-{}", self.name)
    }

    /// A route like another one, whose requests may run in this region only.
    pub fn home_route(self, like: &RouteSpec) -> RouteSpec {
        RouteSpec {
            name: format!("{}-{}", like.name, self.suffix()),
            home_regions: vec![self.name.to_owned()],
            ..like.clone()
        }
    }

    /// The only region in which requests under a path may run; `None` if they may run in all.
    pub fn home_of(path: &str) -> Option<Self> {
        let route = path.trim_start_matches('/').split('/').next()?;
        REGIONS
            .into_iter()
            .find(|region| route.ends_with(&region.suffix()))
    }
}
