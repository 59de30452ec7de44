//! Evacuated zones: their runners get no new requests until the operators end the evacuation.

use serde::{Deserialize, Serialize};

use crate::names::Zone;
use crate::runners::Runner;

/// Evacuated zones, as listed by the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Store revision of the list; 0 before the first list was read.
    pub revision: u64,
    /// The evacuated zones; the list is short.
    pub zones: Vec<Zone>,
}

impl Evacuations {
    /// Applies a list, unless the same or a later one is already known. Returns whether the evacuated zones changed.
    pub fn update(&mut self, listed: Self) -> bool {
        if listed.revision <= self.revision {
            return false;
        }
        let has_changed = listed.zones != self.zones;
        *self = listed;
        has_changed
    }

    /// Whether a runner is in an evacuated zone.
    pub fn includes(&self, runner: &Runner) -> bool {
        self.zones.contains(&runner.zone)
    }
}
