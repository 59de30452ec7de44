//! Runner membership, as daemons replicate it to each other.
//!
//! Revisions are ordered ones ([`crate::revision::StoreRevision::ordered`]). Each change carries
//! the store revision at which the runner appeared, disappeared, began to drain, or restarted, so
//! changes may arrive in any order and from several daemons: the one with the higher revision wins.
//! Only the last change of each runner is kept, so a change that reports a new incarnation also
//! implies that the earlier ones have ended. A daemon states the revision up to which it knows all
//! changes, and receives those after it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::millis;
use serde::{Deserialize, Serialize};

use crate::names::{RunnerId, RunnerName, ServiceName, SoftwareVersion, Zone};
use crate::revision::StoreEra;
use crate::runners::{Holdings, Runner};

/// Maximum number of removed runners whose change is kept. Daemons that lag further behind must
/// read the store.
const MAX_REMOVED: usize = 4_096;
/// Maximum number of changes in one message, so that it fits in a datagram.
const MAX_CHANGES_PER_MESSAGE: usize = 20;

/// What a daemon needs to know about a runner in order to send it work. Its holdings are replicated
/// separately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerSummary {
    /// Its service.
    pub service: ServiceName,
    /// Its listen address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving and gets no new work.
    pub draining: bool,
    /// How long it runs slowly after its start, in ms.
    pub cold_ms: u32,
    /// Version of its software. It is sent in an extension ([`crate::encoding`]); `None` from
    /// builds without it.
    #[serde(skip)]
    pub software_version: Option<SoftwareVersion>,
}

/// A change of one runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipChange {
    /// Identity of the runner; for a removed one, the start time may be missing.
    pub runner: RunnerId,
    /// Store revision at which this state was observed, or a later one.
    pub revision: u64,
    /// The runner, or `None` if it was removed.
    pub summary: Option<RunnerSummary>,
}

/// All changes between two store revisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// The receiver must already know all changes up to this revision.
    pub after: u64,
    /// After applying the changes it knows all up to this revision.
    pub until: u64,
    /// The changes, ordered by revision.
    pub changes: Vec<MembershipChange>,
    /// Scope of the changes.
    pub scope: UpdateScope,
}

/// Scope of the changes in an update.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpdateScope {
    /// All changes between the two revisions.
    #[default]
    Changes,
    /// Part of the full list: the existing runners, ordered by the revision of their last change. A
    /// runner that is in no part has been removed.
    Whole {
        /// Whether this is the last part of the list.
        is_last: bool,
    },
}

impl MembershipUpdate {
    /// Whether it is a part of the full list.
    pub fn is_whole(&self) -> bool {
        matches!(self.scope, UpdateScope::Whole { .. })
    }
}

impl RunnerSummary {
    /// Summarizes a runner for other daemons.
    pub fn of(runner: &Runner) -> Self {
        Self {
            service: runner.service.clone(),
            address: runner.address,
            zone: runner.zone.clone(),
            slots: runner.slots,
            draining: runner.draining,
            cold_ms: u32::try_from(millis(runner.cold_for)).unwrap_or(u32::MAX),
            software_version: runner.software_version.clone(),
        }
    }

    /// Builds a runner from the summary; all other fields are empty.
    pub fn into_runner(self, id: RunnerId, revision: u64) -> Runner {
        Runner {
            id,
            revision,
            service: self.service,
            software_version: self.software_version,
            address: self.address,
            zone: self.zone,
            slots: self.slots,
            draining: self.draining,
            leaves_in: None,
            cold_for: Duration::from_millis(u64::from(self.cold_ms)),
            holdings: Holdings::new(),
            in_memory: std::collections::BTreeSet::new(),
            on_disk: std::collections::BTreeSet::new(),
        }
    }
}

/// The last change of one runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LastChange {
    revision: u64,
    is_removed: bool,
}

/// Log of the membership changes that a daemon knows.
#[derive(Debug, Default)]
pub(crate) struct MembershipLog {
    /// All changes after this revision and up to `complete_until` are known; `None` until the first
    /// list.
    complete_after: Option<u64>,
    complete_until: u64,
    last_change: u64,
    changes: BTreeMap<RunnerName, LastChange>,
}

impl MembershipLog {
    /// The revision up to which all changes are known.
    pub fn complete_until(&self) -> u64 {
        self.complete_until
    }

    /// The revision of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Whether a change of a runner at a revision is older than what is known.
    pub fn is_outdated(&self, runner: &RunnerName, revision: u64) -> bool {
        match self.changes.get(runner) {
            Some(known) => known.revision > revision,
            // All changes up to then are known, and the runner is not among them.
            None => revision < self.complete_until,
        }
    }

    /// Records a change. The revision of a runner's changes never decreases; otherwise receivers of
    /// the previous change would discard the next one as outdated.
    pub fn record(&mut self, runner: &RunnerName, revision: u64, is_removed: bool) {
        let known = self.changes.get(runner).map_or(0, |known| known.revision);
        let revision = revision.max(known);
        let change = LastChange {
            revision,
            is_removed,
        };
        self.last_change = self.last_change.max(revision);
        self.changes.insert(runner.clone(), change);
    }

    /// Records that the runners at a revision are known, though possibly not the changes that led
    /// to them.
    ///
    /// The first list of an era counts as a change, so that all daemons receive it: without it they
    /// could not order the following changes against what they know.
    pub fn start_at(&mut self, revision: u64) {
        if StoreEra::of(revision) > StoreEra::of(self.complete_until) {
            self.last_change = self.last_change.max(revision);
        }
        if revision > self.complete_until {
            self.complete_after = Some(revision);
        }
        self.complete(revision);
    }

    /// Records that all changes up to a revision are known.
    pub fn complete(&mut self, revision: u64) {
        self.complete_after.get_or_insert(revision);
        self.complete_until = self.complete_until.max(revision);
        self.evict_oldest_removed();
    }

    fn evict_oldest_removed(&mut self) {
        let removed = self.changes.iter().filter(|(_, change)| change.is_removed);
        let mut removed: Vec<(u64, RunnerName)> = removed
            .map(|(runner, change)| (change.revision, runner.clone()))
            .collect();
        if removed.len() <= MAX_REMOVED {
            return;
        }
        removed.sort();
        for (revision, runner) in removed.drain(..removed.len() - MAX_REMOVED) {
            self.changes.remove(&runner);
            self.complete_after = self.complete_after.max(Some(revision));
        }
    }

    /// Returns the changes after a revision, in messages that each fit in a datagram. If some of
    /// them are no longer known, returns the full list; `None` before the first list.
    pub fn updates_after<'a>(
        &'a self,
        revision: u64,
        present: impl Fn(&RunnerName) -> Option<(RunnerId, RunnerSummary)> + 'a,
    ) -> Option<Vec<MembershipUpdate>> {
        let complete_after = self.complete_after?;
        if revision < complete_after {
            return Some(self.full_list(&present));
        }
        Some(self.split(revision, self.changes_after(revision, &present)))
    }

    /// All existing runners.
    fn full_list(
        &self,
        present: &impl Fn(&RunnerName) -> Option<(RunnerId, RunnerSummary)>,
    ) -> Vec<MembershipUpdate> {
        let mut changes = self.changes_after(0, present);
        changes.retain(|change| change.summary.is_some());
        let mut parts = self.split(0, changes);
        let count = parts.len();
        for (part, number) in parts.iter_mut().zip(1..) {
            let is_last = number == count;
            part.scope = UpdateScope::Whole { is_last };
        }
        parts
    }

    /// The changes after a revision, ordered by revision.
    fn changes_after(
        &self,
        revision: u64,
        present: &impl Fn(&RunnerName) -> Option<(RunnerId, RunnerSummary)>,
    ) -> Vec<MembershipChange> {
        let mut changes: Vec<MembershipChange> = self
            .changes
            .iter()
            .filter(|(_, change)| change.revision > revision)
            .map(|(name, change)| {
                let runner = present(name).filter(|_| !change.is_removed);
                let (runner, summary) = runner.unzip();
                MembershipChange {
                    runner: runner.unwrap_or_else(|| RunnerId::from_parts(name.clone(), None)),
                    revision: change.revision,
                    summary,
                }
            })
            .collect();
        changes.sort_by_key(|change| change.revision);
        changes
    }

    /// Splits changes into messages so that all changes of one revision are in the same message.
    fn split(&self, revision: u64, changes: Vec<MembershipChange>) -> Vec<MembershipUpdate> {
        let mut updates = Vec::new();
        let mut after = revision;
        let mut part: Vec<MembershipChange> = Vec::new();
        for change in changes {
            let last = part.last().map_or(0, |last| last.revision);
            if part.len() >= MAX_CHANGES_PER_MESSAGE && change.revision > last {
                updates.push(MembershipUpdate {
                    after,
                    until: last,
                    changes: std::mem::take(&mut part),
                    scope: UpdateScope::Changes,
                });
                after = last;
            }
            part.push(change);
        }
        updates.push(MembershipUpdate {
            after,
            until: self.complete_until.max(after),
            changes: part,
            scope: UpdateScope::Changes,
        });
        updates
    }
}
