//! Software versions in the lease record, from which daemons that have just started learn what was listed before.

use serde::{Deserialize, Serialize};

use crate::names::{ServiceName, SoftwareVersion};
use crate::revision::StoreRevision;

/// Maximum number of versions in a record; a few dozen bytes each. Beyond it, nothing is recorded.
pub(super) const MAX_RECORDED_VERSIONS: usize = 128;

/// The software versions of the runners up to a revision of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Ordered revision of the store up to which the versions are known.
    pub revision: u64,
    /// Time for which daemons had known all runners without a gap, in ms.
    pub known_for_ms: u32,
    /// All versions that were listed lately.
    pub versions: Vec<RecordedVersion>,
}

/// A software version of the runners of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedVersion {
    /// The service.
    pub service: ServiceName,
    /// The version; `None` if it is unknown.
    pub version: Option<SoftwareVersion>,
    /// Time since a runner with it was last listed, in ms.
    pub listed_ms_ago: u32,
}

impl VersionRecord {
    /// Of two records, the one of the later era of the store, or else the one that covers the longer time.
    pub fn better_of(own: Option<&Self>, recorded: Option<&Self>) -> Option<Self> {
        let rank = |it: &&Self| {
            (
                StoreRevision::from_ordered(it.revision).era,
                it.known_for_ms,
            )
        };
        // Of equal ones, the last is chosen.
        recorded.into_iter().chain(own).max_by_key(rank).cloned()
    }
}
