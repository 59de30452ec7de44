//! Zones whose runners are to get nothing more until the operators take that back.

use serde::{Deserialize, Serialize};

use crate::names::Zone;
use crate::runners::Runner;

/// The zones that are evacuated, as the store listed them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The store's revision of the list; 0 before the first.
    pub revision: u64,
    /// The zones. They are few.
    pub zones: Vec<Zone>,
}

impl Evacuations {
    /// Takes in a list, unless a later one is known. Returns whether other zones are evacuated than before.
    pub fn take_in(&mut self, listed: Self) -> bool {
        if listed.revision <= self.revision {
            return false;
        }
        let is_news = listed.zones != self.zones;
        *self = listed;
        is_news
    }

    /// Whether a runner is to get nothing more.
    pub fn includes(&self, runner: &Runner) -> bool {
        self.zones.contains(&runner.zone)
    }
}
