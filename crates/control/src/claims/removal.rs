//! Which expired claims are removed from the object API, and when.
//!
//! A claim names the group it is removed with: the hour in which it expires and a shard. Once the hour
//! is over, the coordinator of the zone that the shard belongs to selects the group and removes what
//! it finds, each claim by the version that it read. So nothing is read but what is to be removed, and
//! a claim that was changed meanwhile stays. Two daemons that remove at the same time do no harm.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use flaxward_types::records::Claim;
use flaxward_types::{AttemptId, Revision, ZoneName};

use super::identity::expired;

/// Shards that the claims of an hour are spread over, and so the most zones that can share the work.
pub const SHARDS: u32 = 32;

/// Seconds of an hour.
const HOUR: u64 = 3_600;

/// Name of the field of a claim that holds its group.
pub const REMOVAL_GROUP_FIELD: &str = "removal_group";

/// Claims that expire in the same hour and belong to the same shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RemovalGroup {
    /// Hours since the epoch.
    hour: u64,
    shard: u32,
}

impl RemovalGroup {
    /// The group of a claim that expires at this second and is held by this attempt.
    pub fn of(expires_unix: u64, attempt: AttemptId) -> Self {
        let shard = attempt.0 % u128::from(SHARDS);
        Self {
            hour: expires_unix / HOUR,
            shard: u32::try_from(shard).unwrap_or_default(),
        }
    }
}

impl fmt::Display for RemovalGroup {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.hour, self.shard)
    }
}

/// The shards whose claims the coordinator of a zone removes.
pub fn shards_of(zone: &ZoneName, zones: &[ZoneName]) -> Vec<u32> {
    let mut sorted: Vec<&ZoneName> = zones.iter().collect();
    sorted.sort();
    let share = |shard: &u32| {
        let place = usize::try_from(*shard).unwrap_or_default() % sorted.len().max(1);
        sorted.get(place) == Some(&zone)
    };
    (0..SHARDS).filter(share).collect()
}

/// Durations and limits of the removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovalSettings {
    /// Calls to the object API in a second, at most.
    pub calls_per_second: u32,
    /// Time after its expiry for which a claim is left alone. Covers the difference between the wall
    /// clocks of daemons.
    pub clock_margin: Duration,
    /// Claims selected with one call, at most.
    pub batch: u32,
    /// Hours looked back at in each pass; what a longer outage left behind stays.
    pub hours_back: u64,
    /// Time between passes.
    pub interval: Duration,
    /// Time until the next pass if the object API does not answer.
    pub retry: Duration,
}

impl Default for RemovalSettings {
    fn default() -> Self {
        Self {
            calls_per_second: 10,
            clock_margin: Duration::from_secs(30),
            batch: 100,
            hours_back: 72,
            interval: Duration::from_hours(1),
            retry: Duration::from_mins(1),
        }
    }
}

/// A claim as selected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoundClaim {
    /// Its name.
    pub name: String,
    /// Its version.
    pub version: Revision,
    /// The claim.
    pub claim: Claim,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RemovalAction {
    /// Nothing for so long.
    Rest(Duration),
    /// Select the claims of this group, as many as the batch; answered by [`Removal::selected`].
    Select(RemovalGroup),
    /// Remove the claim if it still has this version; answered by [`Removal::removed`].
    Remove {
        /// Name of the claim.
        name: String,
        /// The version.
        version: Revision,
    },
}

/// The object API does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable;

/// Removes the expired claims of some shards, pass after pass.
#[derive(Clone, Debug)]
pub struct Removal {
    settings: RemovalSettings,
    shards: Vec<u32>,
    /// Groups of this pass still to be selected.
    groups: VecDeque<RemovalGroup>,
    /// Claims selected and not yet looked at.
    found: VecDeque<FoundClaim>,
    /// The group whose claims were found, if it may hold more than were selected.
    unfinished: Option<RemovalGroup>,
    next_pass_unix: u64,
}

impl Removal {
    /// A removal whose first pass is due at once.
    pub fn new(settings: RemovalSettings, shards: Vec<u32>) -> Self {
        Self {
            settings,
            shards,
            groups: VecDeque::new(),
            found: VecDeque::new(),
            unfinished: None,
            next_pass_unix: 0,
        }
    }

    /// What to do next, at this second.
    pub fn next(&mut self, now_unix: u64) -> RemovalAction {
        // Behind by the margin, so that a fast clock removes nothing early.
        let safe_unix = now_unix.saturating_sub(self.settings.clock_margin.as_secs());
        while let Some(found) = self.found.pop_front() {
            if expired(&found.claim, safe_unix) {
                return RemovalAction::Remove {
                    name: found.name,
                    version: found.version,
                };
            }
        }
        if self.groups.is_empty() {
            if now_unix < self.next_pass_unix {
                return RemovalAction::Rest(Duration::from_secs(self.next_pass_unix - now_unix));
            }
            self.begin_pass(safe_unix, now_unix);
        }
        match self.groups.front() {
            Some(group) => RemovalAction::Select(*group),
            None => RemovalAction::Rest(self.settings.interval),
        }
    }

    /// Takes the claims of the group selected last.
    pub fn selected(&mut self, result: Result<Vec<FoundClaim>, Unavailable>, now_unix: u64) {
        let Ok(claims) = result else {
            self.break_off(now_unix);
            return;
        };
        let group = self.groups.pop_front();
        let is_full = claims.len() >= usize::try_from(self.settings.batch).unwrap_or(usize::MAX);
        self.unfinished = group.filter(|_| is_full);
        self.found = claims.into();
    }

    /// Takes the result of a removal: whether the claim is gone, or has changed and so stays.
    pub fn removed(&mut self, result: Result<bool, Unavailable>, now_unix: u64) {
        match result {
            Ok(true) => {
                // The next selection shows others. Where nothing can be removed, it would not.
                let unfinished = self.unfinished.take();
                self.groups.extend(unfinished);
            }
            Ok(false) => {}
            Err(Unavailable) => self.break_off(now_unix),
        }
    }

    /// Begins with the oldest hour; the last one is over for every claim of it.
    fn begin_pass(&mut self, safe_unix: u64, now_unix: u64) {
        let end = safe_unix / HOUR;
        let start = end.saturating_sub(self.settings.hours_back);
        for hour in start..end {
            let groups = self.shards.iter().map(|shard| RemovalGroup {
                hour,
                shard: *shard,
            });
            self.groups.extend(groups);
        }
        self.next_pass_unix = now_unix + self.settings.interval.as_secs();
    }

    fn break_off(&mut self, now_unix: u64) {
        self.groups.clear();
        self.found.clear();
        self.unfinished = None;
        self.next_pass_unix = now_unix + self.settings.retry.as_secs();
    }
}
