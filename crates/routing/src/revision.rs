//! Revisions of the store, ordered across restores from a backup.
//!
//! The store numbers its changes. After a restore from a backup that lacks the latest changes, it assigns the same
//! numbers again to different changes. The store's era, which increases with each restore, tells these histories apart;
//! only era and number together order changes.
//!
//! Daemons exchange revisions as a single number, [`StoreRevision::ordered`], which also increases across eras. For a
//! store that was never restored it equals the store's own number.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// Bits of an ordered revision that hold the store's number: enough for 300 years at 100 changes per second.
const NUMBER_BITS: u32 = 40;
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
/// Highest era. Terms are counted from the first revision of an era, and must stay below 2^53 so that all encodings
/// represent them exactly.
const MAX_ERA: u64 = (1 << (53 - NUMBER_BITS)) - 1;

/// Number of times the store was restored from a backup.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(u64);

impl StoreEra {
    /// Era of a store that was never restored.
    pub const FIRST: Self = Self(0);

    /// Creates an era from its number.
    pub fn new(number: u64) -> Self {
        Self(number.min(MAX_ERA))
    }

    /// Era of an ordered revision.
    pub fn of(ordered: u64) -> Self {
        StoreRevision::from_ordered(ordered).era
    }

    /// Ordered revision that is higher than any of an earlier era.
    pub fn start(self) -> u64 {
        self.0 << NUMBER_BITS
    }
}

impl Display for StoreEra {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A revision of the store, with the era in which it was assigned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    /// The era.
    pub era: StoreEra,
    /// Number assigned by the store; unique only within the era.
    pub number: u64,
}

impl StoreRevision {
    /// The revision as a single number, which increases with every change, also across eras.
    pub fn ordered(self) -> u64 {
        self.era.start() | self.number.min(MAX_NUMBER)
    }

    /// Decodes an ordered revision.
    pub fn from_ordered(ordered: u64) -> Self {
        Self {
            era: StoreEra::new(ordered >> NUMBER_BITS),
            number: ordered & MAX_NUMBER,
        }
    }
}

/// Log format: the number, prefixed with the era unless it is the first.
impl Display for StoreRevision {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        if self.era == StoreEra::FIRST {
            return self.number.fmt(formatter);
        }
        write!(formatter, "{}/{}", self.era, self.number)
    }
}

/// Start of an era as observed by one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EraStart {
    /// First revision of the era known to the daemon; its number is 0 if only the era is known.
    pub first: StoreRevision,
    /// Ordered revision up to which the daemon knew all runner changes at that time; 0 if none.
    pub known_before: u64,
}
