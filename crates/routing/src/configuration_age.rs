//! Age of a daemon's configuration.
//!
//! The age is the time since some daemon last confirmed that no newer version existed. A read from the store counts
//! from the time at which it was sent, and a report of a peer from the time of the peer's own confirmation. A daemon
//! that is partitioned, or that only reaches partitioned peers, can thus tell when to stop accepting keys that may have
//! been revoked.

use std::time::Duration;

use flaxward_types::time::Timestamp;

/// Confirmation that no version newer than `version` existed at the time `at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Confirmation {
    version: u64,
    at: Timestamp,
}

/// Tracks the age of the configuration of one daemon.
#[derive(Debug, Default)]
pub struct ConfigurationAge {
    /// Version in force on this daemon.
    version: u64,
    confirmed_at: Option<Timestamp>,
    /// Confirmation of a version that is not in force on this daemon yet.
    newer: Option<Confirmation>,
}

impl ConfigurationAge {
    /// Records that a version is now in force on this daemon.
    pub fn applied(&mut self, version: u64) {
        self.version = self.version.max(version);
        if let Some(newer) = self.newer.take_if(|newer| newer.version <= version) {
            self.confirm(newer.at);
        }
    }

    /// Records a confirmation that no version newer than this one existed at a given time.
    pub fn confirmed(&mut self, version: u64, at: Timestamp) {
        if version <= self.version {
            self.confirm(at);
            return;
        }
        self.newer = self.newer.max(Some(Confirmation { version, at }));
    }

    /// Time since the version in force was last confirmed to be the newest; `None` if it never was.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    fn confirm(&mut self, at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }
}
