//! The object API of an experiment: always up, answers at once, and compares versions as it should.

use std::collections::BTreeMap;

use flaxward_control::coordinator::StoreFault;
use flaxward_types::records::{Quota, QuotaSubject, ZoneLease, ZonePlacement};
use flaxward_types::{Revision, ZoneName};

/// Records of one kind by key, each with the revision of its last change.
#[derive(Clone, Debug)]
pub struct Records<K, V>(BTreeMap<K, (Revision, V)>);

impl<K, V> Default for Records<K, V> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<K: Ord, V: Clone> Records<K, V> {
    /// Reads one.
    pub fn get(&self, key: &K) -> Option<(Revision, V)> {
        self.0.get(key).cloned()
    }

    /// Reads all.
    pub fn all(&self) -> Vec<(Revision, V)> {
        self.0.values().cloned().collect()
    }

    /// Writes one if it still has the version expected, or is not there if that is none.
    ///
    /// # Errors
    /// [`StoreFault::Conflict`] if it has another.
    pub fn put(
        &mut self,
        key: K,
        expected: Option<Revision>,
        value: V,
        next: &mut Revision,
    ) -> Result<Revision, StoreFault> {
        let current = self.0.get(&key).map(|(revision, _)| *revision);
        if current != expected {
            return Err(StoreFault::Conflict);
        }
        *next = next.next();
        self.0.insert(key, (*next, value));
        Ok(*next)
    }
}

/// All records of the coordinators.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// Revision of the last change.
    pub revision: Revision,
    /// Leases by zone.
    pub leases: Records<ZoneName, ZoneLease>,
    /// Slots by zone.
    pub placements: Records<ZoneName, ZonePlacement>,
    /// Quotas.
    pub quotas: Records<QuotaSubject, Quota>,
}
