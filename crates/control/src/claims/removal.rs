//! Removal of expired claims from the object API.
//!
//! A claim belongs to a removal group: the hour in which it expires and a shard. Once the hour is
//! over, the coordinator of the zone that owns the shard selects the group and removes its claims,
//! each on condition that it still has the version read. So only claims due for removal are read, a
//! claim that changed in the meantime is kept, and daemons that remove concurrently do not
//! interfere.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use flaxward_types::records::Claim;
use flaxward_types::{AttemptId, Revision, ZoneName};

use super::identity::is_expired;

/// Shards that the claims of an hour are spread over; also the maximum number of zones that can
/// share the work.
pub const SHARDS: u32 = 32;

/// Seconds per hour.
const HOUR: u64 = 3_600;

/// Name of the claim field that holds the removal group.
pub const REMOVAL_GROUP_FIELD: &str = "removal_group";

/// The claims that expire in the same hour and belong to the same shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RemovalGroup {
    /// Hours since the epoch.
    hour: u64,
    shard: u32,
}

impl RemovalGroup {
    /// The group of a claim held by `attempt` that expires at `expires_unix`.
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

/// The shards whose claims are removed by the coordinator of `zone`.
pub fn shards_for_zone(zone: &ZoneName, zones: &[ZoneName]) -> Vec<u32> {
    let mut sorted: Vec<&ZoneName> = zones.iter().collect();
    sorted.sort();
    let is_owned = |shard: &u32| {
        let index = usize::try_from(*shard).unwrap_or_default() % sorted.len().max(1);
        sorted.get(index) == Some(&zone)
    };
    (0..SHARDS).filter(is_owned).collect()
}

/// Durations and limits of the removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovalSettings {
    /// Maximum rate of calls to the object API.
    pub calls_per_second: u32,
    /// Time after its expiry during which a claim is not removed. Covers the skew between the wall
    /// clocks of daemons.
    pub clock_margin: Duration,
    /// Maximum number of claims selected with one call.
    pub batch: u32,
    /// Hours covered by each pass. Claims left behind by an outage of the removal longer than this
    /// are never removed.
    pub hours_back: u64,
    /// Time between passes.
    pub interval: Duration,
    /// Time until the next pass if the object API is unavailable.
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

/// A selected claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoundClaim {
    /// Name in the object API.
    pub name: String,
    /// Version read.
    pub version: Revision,
    /// The claim.
    pub claim: Claim,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RemovalAction {
    /// Wait this long.
    Wait(Duration),
    /// Select up to [`RemovalSettings::batch`] claims of this group; the result goes to
    /// [`Removal::selected`].
    Select(RemovalGroup),
    /// Remove the claim if it still has this version; the result goes to [`Removal::removed`].
    Remove {
        /// Name of the claim.
        name: String,
        /// The version.
        version: Revision,
    },
}

/// The object API is unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable;

/// Removes the expired claims of some shards in periodic passes.
#[derive(Clone, Debug)]
pub struct Removal {
    settings: RemovalSettings,
    shards: Vec<u32>,
    /// Groups of this pass that are not selected yet.
    groups: VecDeque<RemovalGroup>,
    /// Selected claims that are not processed yet.
    found: VecDeque<FoundClaim>,
    /// The group selected last, if it may hold more claims than were selected.
    unfinished: Option<RemovalGroup>,
    next_pass_unix: u64,
}

impl Removal {
    /// Creates a removal whose first pass is due immediately.
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

    /// The next action at this time.
    pub fn next(&mut self, now_unix: u64) -> RemovalAction {
        // Reduced by the margin, so that a daemon with a fast clock removes no claim early.
        let safe_unix = now_unix.saturating_sub(self.settings.clock_margin.as_secs());
        while let Some(found) = self.found.pop_front() {
            if is_expired(&found.claim, safe_unix) {
                return RemovalAction::Remove {
                    name: found.name,
                    version: found.version,
                };
            }
        }
        if self.groups.is_empty() {
            if now_unix < self.next_pass_unix {
                return RemovalAction::Wait(Duration::from_secs(self.next_pass_unix - now_unix));
            }
            self.begin_pass(safe_unix, now_unix);
        }
        match self.groups.front() {
            Some(group) => RemovalAction::Select(*group),
            None => RemovalAction::Wait(self.settings.interval),
        }
    }

    /// Applies the result of the last selection.
    pub fn selected(&mut self, result: Result<Vec<FoundClaim>, Unavailable>, now_unix: u64) {
        let Ok(claims) = result else {
            self.abort_pass(now_unix);
            return;
        };
        let group = self.groups.pop_front();
        let is_full = claims.len() >= usize::try_from(self.settings.batch).unwrap_or(usize::MAX);
        self.unfinished = group.filter(|_| is_full);
        self.found = claims.into();
    }

    /// Applies the result of a removal: `true` if the claim is removed, `false` if it has changed
    /// and is kept.
    pub fn removed(&mut self, result: Result<bool, Unavailable>, now_unix: u64) {
        match result {
            Ok(true) => {
                // Selecting again returns other claims. If none could be removed, it would return
                // the same ones, so the group is selected again only after a removal.
                let unfinished = self.unfinished.take();
                self.groups.extend(unfinished);
            }
            Ok(false) => {}
            Err(Unavailable) => self.abort_pass(now_unix),
        }
    }

    /// Starts a pass from the oldest hour. The last hour of the pass is over on every daemon's
    /// clock.
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

    fn abort_pass(&mut self, now_unix: u64) {
        self.groups.clear();
        self.found.clear();
        self.unfinished = None;
        self.next_pass_unix = now_unix + self.settings.retry.as_secs();
    }
}
