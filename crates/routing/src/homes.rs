//! Home regions: the regions in which requests of a route or tenant may be served.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::names::{Region, Unit};

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

/// What a request requires of a runner: a unit, in one of the request's home regions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Requirement {
    /// The unit.
    pub unit: Unit,
    /// Regions in which the runner may be.
    pub homes: Homes,
}

impl Requirement {
    /// A unit in any region.
    pub fn anywhere(unit: Unit) -> Self {
        Self {
            unit,
            homes: Homes::Anywhere,
        }
    }

    /// The base model in the same home regions.
    #[must_use]
    pub fn base(&self) -> Self {
        Self {
            unit: self.unit.base(),
            homes: self.homes.clone(),
        }
    }
}

/// The unit, with its home regions if it has any.
impl fmt::Display for Requirement {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.unit.fmt(formatter)?;
        match &self.homes {
            Homes::Anywhere => Ok(()),
            homes @ Homes::Only(_) => write!(formatter, " in {homes}"),
        }
    }
}
