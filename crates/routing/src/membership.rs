//! Which runners there are, as daemons tell it to each other.
//!
//! Revisions are ordered ones ([`crate::revision::StoreRevision::ordered`]).
//! Each change carries the store's revision at which the runner came, went, began to drain, or began another life, so
//! that changes may be heard in any order and from several daemons: the one with the higher revision stands. A runner
//! has one change, its last; so one that tells of a life also tells that those before are over.
//! A daemon names the revision up to which it knows all changes, and gets those after it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::millis;
use serde::{Deserialize, Serialize};

use crate::names::{RunnerId, RunnerName, ServiceName, Zone};
use crate::revision::StoreEra;
use crate::runners::{Holdings, Runner};

/// Runners that are gone of which the change is kept, at most. Daemons that know less must read the
/// store.
const MAX_GONE: usize = 4_096;
/// Changes in one message at most, so that it fits a datagram.
const CHANGES_A_MESSAGE: usize = 20;

/// What a daemon must know of a runner to send it work. What it holds is told apart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerSummary {
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It is about to leave and gets no new work.
    pub draining: bool,
    /// Time for which it stays slow from its start, in ms.
    pub cold_ms: u32,
}

/// A change of one runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipChange {
    /// The life of the runner; one that is gone may be told without its start.
    pub runner: RunnerId,
    /// The store's revision at which it was seen so, or a later one.
    pub revision: u64,
    /// The runner, or `None` if it is gone.
    pub summary: Option<RunnerSummary>,
}

/// All changes between two revisions of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// The receiver must know all changes up to this revision.
    pub after: u64,
    /// With the changes below it knows all up to this one.
    pub until: u64,
    /// The changes, in the order of their revisions.
    pub changes: Vec<MembershipChange>,
    /// What the changes are.
    pub scope: UpdateScope,
}

/// What the changes of an update are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpdateScope {
    /// All that have happened between the two revisions.
    #[default]
    Changes,
    /// A part of the whole list: the runners that there are, in the order of their last changes. A runner that
    /// is in no part is gone.
    Whole {
        /// The parts after this one complete the list.
        is_last: bool,
    },
}

impl MembershipUpdate {
    /// Whether it is a part of the whole list.
    pub fn is_whole(&self) -> bool {
        matches!(self.scope, UpdateScope::Whole { .. })
    }
}

impl RunnerSummary {
    /// What others must know of a runner.
    pub fn of(runner: &Runner) -> Self {
        Self {
            service: runner.service.clone(),
            address: runner.address,
            zone: runner.zone.clone(),
            slots: runner.slots,
            draining: runner.draining,
            cold_ms: u32::try_from(millis(runner.cold_for)).unwrap_or(u32::MAX),
        }
    }

    /// The runner as far as the summary tells it.
    pub fn into_runner(self, id: RunnerId, revision: u64) -> Runner {
        Runner {
            id,
            revision,
            service: self.service,
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
    is_gone: bool,
}

/// The changes that a daemon knows.
#[derive(Debug, Default)]
pub(crate) struct MembershipLog {
    /// All changes after this revision and up to `complete_until` are known; `None` before the first list.
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

    /// Whether news of a runner at a revision are older than what is known.
    pub fn is_outdated(&self, runner: &RunnerName, revision: u64) -> bool {
        match self.changes.get(runner) {
            Some(known) => known.revision > revision,
            // All up to then is known, and that this runner was there is not.
            None => revision < self.complete_until,
        }
    }

    /// Notes a change. Changes of a runner never go back in revision, or those who were told the one before would take
    /// the next one for older.
    pub fn note(&mut self, runner: &RunnerName, revision: u64, is_gone: bool) {
        let known = self.changes.get(runner).map_or(0, |known| known.revision);
        let revision = revision.max(known);
        let change = LastChange { revision, is_gone };
        self.last_change = self.last_change.max(revision);
        self.changes.insert(runner.clone(), change);
    }

    /// The runners at a revision are known, and perhaps not how they came to be.
    ///
    /// The first list of an era counts as a change, so that all daemons hear of it: they could not tell the news that
    /// follow it from what they know.
    pub fn begin_at(&mut self, revision: u64) {
        if StoreEra::of(revision) > StoreEra::of(self.complete_until) {
            self.last_change = self.last_change.max(revision);
        }
        if revision > self.complete_until {
            self.complete_after = Some(revision);
        }
        self.complete(revision);
    }

    /// All changes up to a revision are known from now on.
    pub fn complete(&mut self, revision: u64) {
        self.complete_after.get_or_insert(revision);
        self.complete_until = self.complete_until.max(revision);
        self.forget_oldest_gone();
    }

    fn forget_oldest_gone(&mut self) {
        let gone = self.changes.iter().filter(|(_, change)| change.is_gone);
        let mut gone: Vec<(u64, RunnerName)> = gone
            .map(|(runner, change)| (change.revision, runner.clone()))
            .collect();
        if gone.len() <= MAX_GONE {
            return;
        }
        gone.sort();
        for (revision, runner) in gone.drain(..gone.len() - MAX_GONE) {
            self.changes.remove(&runner);
            self.complete_after = self.complete_after.max(Some(revision));
        }
    }

    /// The changes after a revision, in messages that fit a datagram each. If some of them are not known any
    /// more, the whole list; `None` before the first list.
    pub fn updates_after<'a>(
        &'a self,
        revision: u64,
        present: impl Fn(&RunnerName) -> Option<(RunnerId, RunnerSummary)> + 'a,
    ) -> Option<Vec<MembershipUpdate>> {
        let complete_after = self.complete_after?;
        if revision < complete_after {
            return Some(self.whole_list(&present));
        }
        Some(self.split(revision, self.changes_after(revision, &present)))
    }

    /// All runners that there are.
    fn whole_list(
        &self,
        present: &impl Fn(&RunnerName) -> Option<(RunnerId, RunnerSummary)>,
    ) -> Vec<MembershipUpdate> {
        let mut changes = self.changes_after(0, present);
        changes.retain(|change| change.summary.is_some());
        let mut parts = self.split(0, changes);
        let count = parts.len();
        for (part, place) in parts.iter_mut().zip(1..) {
            let is_last = place == count;
            part.scope = UpdateScope::Whole { is_last };
        }
        parts
    }

    /// The changes after a revision, in the order of their revisions.
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
                let runner = present(name).filter(|_| !change.is_gone);
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

    /// Splits changes so that none of a revision is in a later message than its end.
    fn split(&self, revision: u64, changes: Vec<MembershipChange>) -> Vec<MembershipUpdate> {
        let mut updates = Vec::new();
        let mut after = revision;
        let mut part: Vec<MembershipChange> = Vec::new();
        for change in changes {
            let last = part.last().map_or(0, |last| last.revision);
            if part.len() >= CHANGES_A_MESSAGE && change.revision > last {
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
