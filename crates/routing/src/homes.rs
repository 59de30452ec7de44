//! Home regions: where the requests of a route or tenant may be served.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::names::{Region, Unit};

/// The regions in which a request may be served.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Homes {
    /// All, also those that nobody has told.
    #[default]
    Anywhere,
    /// These alone; none if homes without a common region were joined.
    Only(Arc<BTreeSet<Region>>),
}

impl Homes {
    /// The homes that a configuration names; none named is anywhere.
    pub fn named(regions: impl IntoIterator<Item = Region>) -> Self {
        let regions: BTreeSet<Region> = regions.into_iter().collect();
        if regions.is_empty() {
            Self::Anywhere
        } else {
            Self::Only(Arc::new(regions))
        }
    }

    /// The regions that both allow.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Anywhere, homes) | (homes, Self::Anywhere) => homes.clone(),
            (Self::Only(left), Self::Only(right)) => {
                Self::Only(Arc::new(left.intersection(right).cloned().collect()))
            }
        }
    }

    /// Whether a request may be served in a region; `None` is one that nobody has told, which is nobody's home.
    pub fn allows(&self, region: Option<&Region>) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Only(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// Whether no region is left.
    pub fn are_nowhere(&self) -> bool {
        matches!(self, Self::Only(regions) if regions.is_empty())
    }
}

/// The names of the regions, for logs.
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

/// What a request needs a runner for: a unit, within the homes of the request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Requirement {
    /// The unit.
    pub unit: Unit,
    /// Where a runner of use may be.
    pub homes: Homes,
}

impl Requirement {
    /// A unit at any runner.
    pub fn anywhere(unit: Unit) -> Self {
        Self {
            unit,
            homes: Homes::Anywhere,
        }
    }

    /// The model itself within the same homes.
    #[must_use]
    pub fn base(&self) -> Self {
        Self {
            unit: self.unit.base(),
            homes: self.homes.clone(),
        }
    }
}

/// The unit, with its homes if there are any.
impl fmt::Display for Requirement {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.unit.fmt(formatter)?;
        match &self.homes {
            Homes::Anywhere => Ok(()),
            homes @ Homes::Only(_) => write!(formatter, " in {homes}"),
        }
    }
}
