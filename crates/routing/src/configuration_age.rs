//! How old a daemon's knowledge of the configuration is.
//!
//! Knowledge is as old as the last moment at which somebody was certain that no newer version existed: a call to the
//! store counts from when it was sent, and what a peer says from when the peer's own certainty began. So a daemon that
//! is cut off, or hears only peers that are, knows when it may no longer rely on keys that could have been taken away.

use std::time::Duration;

use flaxward_types::time::Timestamp;

/// That no version newer than this one existed at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Confirmation {
    version: u64,
    at: Timestamp,
}

/// What one daemon knows.
#[derive(Debug, Default)]
pub struct ConfigurationAge {
    /// The version in force here.
    version: u64,
    confirmed_at: Option<Timestamp>,
    /// A confirmation of a version that is not in force here yet.
    newer: Option<Confirmation>,
}

impl ConfigurationAge {
    /// A version is in force here from now on.
    pub fn applied(&mut self, version: u64) {
        self.version = self.version.max(version);
        if let Some(newer) = self.newer.take_if(|newer| newer.version <= version) {
            self.confirm(newer.at);
        }
    }

    /// Somebody was certain at a moment that no version newer than this one existed.
    pub fn confirmed(&mut self, version: u64, at: Timestamp) {
        if version <= self.version {
            self.confirm(at);
            return;
        }
        self.newer = self.newer.max(Some(Confirmation { version, at }));
    }

    /// Time since the version in force here was surely the newest; `None` if it never was.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    fn confirm(&mut self, at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }
}
