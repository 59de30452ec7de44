//! Marks on runners that take no new work.
//!
//! A daemon marks a runner as soon as its own view shows the runner as leaving. It clears a mark
//! immediately only if its own view showed the runner as leaving before. Otherwise its machine list
//! may merely lag, so its view must show the runner as staying for [`CLEAR_DELAY`]. Every change
//! raises the epoch, and the higher epoch wins on every daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxward_types::{RunnerName, Timestamp};
use flaxward_wire::RunnerMark;

use crate::rumors::{Budget, Rumors, next_round_robin};

/// Retention of a mark whose runner is no longer in the machine list. Longer than a gateway keeps an
/// unused list of ready replicas, since such a list may still name the runner.
pub const UNLISTED_RETENTION: Duration = Duration::from_hours(1);

/// Time for which a daemon must see a runner as staying before it clears a mark that another daemon
/// set. Exceeds the lag of machine lists.
pub const CLEAR_DELAY: Duration = Duration::from_mins(1);

/// All marks known.
#[derive(Clone, Debug, Default)]
pub struct Marks {
    by_runner: BTreeMap<RunnerName, Mark>,
    /// This daemon's own view of each runner.
    views: BTreeMap<RunnerName, View>,
    /// The machine list as last read.
    listed: Option<BTreeSet<RunnerName>>,
    zone_rumors: Rumors<RunnerName>,
    cross_zone_rumors: Rumors<RunnerName>,
    last_anti_entropy: Option<RunnerName>,
}

#[derive(Clone, Copy, Debug)]
struct View {
    leaving: bool,
    since: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Mark {
    epoch: u64,
    leaving: bool,
    /// When the runner was last in the machine list or the mark last changed, whichever is later.
    last_seen: Timestamp,
}

impl Mark {
    /// The higher epoch wins; on a tie, leaving wins.
    fn rank(self) -> (u64, bool) {
        (self.epoch, self.leaving)
    }
}

impl Marks {
    /// Records this daemon's own view of a runner, combined from all its sources. Must be called
    /// repeatedly, also for an unchanged view. Returns whether the mark changed.
    pub fn record_view(&mut self, runner: &RunnerName, leaving: bool, now: Timestamp) -> bool {
        let before = self.views.get(runner).copied();
        let unchanged = before.filter(|view| view.leaving == leaving);
        let view = unchanged.unwrap_or(View {
            leaving,
            since: now,
        });
        self.views.insert(runner.clone(), view);
        let (epoch, marked) = self
            .by_runner
            .get(runner)
            .map_or((0, false), |mark| mark.rank());
        let saw_leaving = before.is_some_and(|view| view.leaving);
        let is_confirmed = saw_leaving != leaving || now.since(view.since) >= CLEAR_DELAY;
        if marked == leaving || !is_confirmed {
            return false;
        }
        let mark = Mark {
            epoch: epoch.saturating_add(1),
            leaving,
            last_seen: now,
        };
        self.insert(runner, mark);
        true
    }

    /// Discards this daemon's own views, for example when another daemon becomes coordinator.
    pub fn clear_views(&mut self) {
        self.views.clear();
    }

    /// Merges marks that are newer than those known. Returns whether anything changed.
    pub fn merge(&mut self, marks: &[RunnerMark], now: Timestamp) -> bool {
        let mut changed = false;
        for mark in marks {
            changed |= self.merge_one(mark, now);
        }
        changed
    }

    fn merge_one(&mut self, mark: &RunnerMark, now: Timestamp) -> bool {
        let offered = Mark {
            epoch: mark.epoch,
            leaving: mark.leaving,
            last_seen: now,
        };
        let known = self.by_runner.get(&mark.runner);
        if known.is_some_and(|known| known.rank() >= offered.rank()) {
            return false;
        }
        self.insert(&mark.runner, offered);
        true
    }

    fn insert(&mut self, runner: &RunnerName, mark: Mark) {
        self.by_runner.insert(runner.clone(), mark);
        self.zone_rumors.push(runner.clone());
        self.cross_zone_rumors.push(runner.clone());
    }

    /// The mark known here, if it is newer than the one given.
    pub fn newer_than(&self, mark: &RunnerMark) -> Option<RunnerMark> {
        let known = self.by_runner.get(&mark.runner)?;
        (known.rank() > (mark.epoch, mark.leaving)).then(|| runner_mark(&mark.runner, *known))
    }

    /// Whether a runner takes no new work.
    pub fn is_leaving(&self, runner: &RunnerName) -> bool {
        self.by_runner.get(runner).is_some_and(|mark| mark.leaving)
    }

    /// Every runner that takes no new work.
    pub fn leaving(&self) -> BTreeSet<RunnerName> {
        self.by_runner
            .iter()
            .filter(|(_, mark)| mark.leaving)
            .map(|(runner, _)| runner.clone())
            .collect()
    }

    /// Every mark whose runner is not known to be gone.
    pub fn all(&self) -> Vec<RunnerMark> {
        self.by_runner
            .iter()
            .filter(|(runner, _)| self.is_listed(runner))
            .map(|(runner, mark)| runner_mark(runner, *mark))
            .collect()
    }

    /// Records a machine list. A runner that is not in it may be gone, in another zone, or too new for
    /// a list that lags; its mark is kept for [`UNLISTED_RETENTION`].
    pub fn record_machine_list(&mut self, listed: BTreeSet<RunnerName>, now: Timestamp) {
        for runner in &listed {
            if let Some(mark) = self.by_runner.get_mut(runner) {
                mark.last_seen = now;
            }
        }
        self.by_runner
            .retain(|_, mark| now.since(mark.last_seen) <= UNLISTED_RETENTION);
        self.views.retain(|runner, _| listed.contains(runner));
        self.listed = Some(listed);
    }

    fn is_listed(&self, runner: &RunnerName) -> bool {
        self.listed
            .as_ref()
            .is_none_or(|listed| listed.contains(runner))
    }

    /// Number of marks still to be disseminated within the zone.
    pub fn pending_rumors(&self) -> usize {
        self.zone_rumors.len()
    }

    /// Whether marks are still to be disseminated to other zones.
    pub fn has_cross_zone_rumors(&self) -> bool {
        !self.cross_zone_rumors.is_empty()
    }

    /// Selects marks for an envelope to a member of the own zone.
    pub fn for_zone(&mut self, budget: &mut Budget, limit: u32) -> Vec<RunnerMark> {
        let marks = &self.by_runner;
        self.zone_rumors.select(budget, limit, |runner| {
            marks.get(runner).map(|mark| runner_mark(runner, *mark))
        })
    }

    /// Selects marks for an envelope to another zone.
    pub fn for_other_zone(&mut self, budget: &mut Budget, limit: u32) -> Vec<RunnerMark> {
        let marks = &self.by_runner;
        self.cross_zone_rumors.select(budget, limit, |runner| {
            marks.get(runner).map(|mark| runner_mark(runner, *mark))
        })
    }

    /// The next mark in round-robin order, for anti-entropy: repairs updates that rumors missed. A mark
    /// whose runner is not listed is skipped; otherwise two daemons would keep sending it to each
    /// other and it would never expire.
    pub fn next_for_anti_entropy(&mut self) -> Option<RunnerMark> {
        let next = next_round_robin(&self.by_runner, self.last_anti_entropy.as_ref())?;
        self.last_anti_entropy = Some(next.clone());
        let mark = *self.by_runner.get(&next)?;
        self.is_listed(&next).then(|| runner_mark(&next, mark))
    }
}

fn runner_mark(runner: &RunnerName, mark: Mark) -> RunnerMark {
    RunnerMark {
        runner: runner.clone(),
        leaving: mark.leaving,
        epoch: mark.epoch,
    }
}
