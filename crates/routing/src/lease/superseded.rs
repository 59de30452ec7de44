//! A lease that its holder renews under a term below one that was used. Members and runners that know the higher term do not
//! follow that holder, so that nobody coordinates for as long as it goes on.

use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::revision::StoreRevision;

/// Renewals that must have been seen. Writes from before the store came back from a copy may be carried out after it, one or
/// two of them in a row; only a holder that lives goes on.
const LEAST_RENEWALS: u32 = 3;

/// How a daemon has seen the lease since it was first read under a lower term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Superseded {
    since: Timestamp,
    /// The revision at which the lease was read last.
    revision: StoreRevision,
    /// Reads that showed another revision than the one before.
    renewals: u32,
}

impl Superseded {
    /// Takes in that the lease was read under a lower term; `before` is what was known of that.
    pub fn note(before: Option<Self>, revision: StoreRevision, now: Timestamp) -> Self {
        let first = Self {
            since: now,
            revision,
            renewals: 0,
        };
        let before = before.unwrap_or(first);
        Self {
            since: before.since,
            revision,
            renewals: before.renewals + u32::from(before.revision != revision),
        }
    }

    /// Whether its holder has renewed it for a time.
    pub fn is_renewed_for(&self, time: Duration, now: Timestamp) -> bool {
        self.renewals >= LEAST_RENEWALS && now.since(self.since) >= time
    }
}
