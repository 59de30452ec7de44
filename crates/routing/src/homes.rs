//! Home regions: the regions in which requests of a route or tenant may be served.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::names::{Region, SoftwareVersion, Unit};
use crate::runners::Runner;

/// The regions in which a request may be served.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Homes {
    /// All regions, including zones whose region is unknown.
    #[default]
    Anywhere,
    /// Only these regions; empty if home regions without a common region were intersected.
    Only(Arc<BTreeSet<Region>>),
}

impl Homes {
    /// The home regions named by a configuration; an empty list means anywhere.
    pub fn from_regions(regions: impl IntoIterator<Item = Region>) -> Self {
        let regions: BTreeSet<Region> = regions.into_iter().collect();
        if regions.is_empty() {
            Self::Anywhere
        } else {
            Self::Only(Arc::new(regions))
        }
    }

    /// The regions that both allow; [`Self::Anywhere`] does not restrict the other.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Anywhere, homes) | (homes, Self::Anywhere) => homes.clone(),
            (Self::Only(left), Self::Only(right)) => {
                Self::Only(Arc::new(left.intersection(right).cloned().collect()))
            }
        }
    }

    /// Whether a request may be served in a region. `None` stands for an unknown region, which is never a home region.
    pub fn allows(&self, region: Option<&Region>) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Only(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// Whether no region is allowed.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Only(regions) if regions.is_empty())
    }
}

/// The region names, for logs.
impl fmt::Display for Homes {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Anywhere => formatter.write_str("anywhere"),
            Self::Only(regions) if regions.is_empty() => formatter.write_str("nowhere"),
            Self::Only(regions) => {
                let names: Vec<&str> = regions.iter().map(Region::as_str).collect();
                formatter.write_str(&names.join("+"))
            }
        }
    }
}

/// What a request requires of a runner: a unit, in one of the request's home regions, at the software version that began
/// the stream if it continues one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Requirement {
    /// The unit.
    pub unit: Unit,
    /// Regions in which the runner may be.
    pub homes: Homes,
    /// The only software version that the runner may have, for a stream that began at it. It is sent in an extension
    /// ([`crate::encoding`]).
    #[serde(skip)]
    pub software_version: Option<SoftwareVersion>,
}

impl Requirement {
    /// A unit in any region.
    pub fn anywhere(unit: Unit) -> Self {
        Self {
            unit,
            homes: Homes::Anywhere,
            software_version: None,
        }
    }

    /// Whether a runner has a software version that the request allows.
    pub fn allows_version_of(&self, runner: &Runner) -> bool {
        allows_version(self.software_version.as_ref(), runner)
    }

    /// The base model in the same home regions.
    #[must_use]
    pub fn base(&self) -> Self {
        Self {
            unit: self.unit.base(),
            homes: self.homes.clone(),
            software_version: self.software_version.clone(),
        }
    }
}

/// Whether a runner may serve a request that requires a software version, or any for `None`. An unknown version is not the
/// required one.
pub fn allows_version(required: Option<&SoftwareVersion>, runner: &Runner) -> bool {
    required.is_none_or(|version| runner.software_version.as_ref() == Some(version))
}

/// The unit, with its home regions and software version if it is restricted to any.
impl fmt::Display for Requirement {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.unit.fmt(formatter)?;
        if let homes @ Homes::Only(_) = &self.homes {
            write!(formatter, " in {homes}")?;
        }
        match &self.software_version {
            Some(version) => write!(formatter, " at {version}"),
            None => Ok(()),
        }
    }
}
