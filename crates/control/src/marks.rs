//! Marks on runners: which take no new work.
//!
//! A daemon marks a runner as soon as its own view says that it is leaving. It takes a mark back at
//! once only if its own view said so before; else it may be that only its machine list lags, so it
//! must see the runner staying for [`CLEAR_AFTER`]. Every change raises the epoch, and the higher
//! epoch holds everywhere.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxward_types::{RunnerName, Timestamp};
use flaxward_wire::RunnerMark;

use crate::rumors::{Budget, Rumors, next_in_turn};

/// Time for which a mark is kept once its runner is in no machine list read here. Longer than a gateway
/// keeps a list of ready replicas that it does not use: such a list may still name the runner.
pub const FORGET_UNLISTED: Duration = Duration::from_hours(1);

/// Time for which a daemon must see that a runner stays before it takes back another's mark; longer
/// than machine lists lag.
pub const CLEAR_AFTER: Duration = Duration::from_mins(1);

/// All marks known.
#[derive(Clone, Debug, Default)]
pub struct Marks {
    by_runner: BTreeMap<RunnerName, Mark>,
    /// What this daemon itself last saw of each runner, and since when.
    views: BTreeMap<RunnerName, View>,
    /// The machine list as last read.
    listed: Option<BTreeSet<RunnerName>>,
    zone_rumors: Rumors<RunnerName>,
    outside_rumors: Rumors<RunnerName>,
    repeated: Option<RunnerName>,
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
    /// When its runner was last in the machine list, or else when the mark last changed.
    last_seen: Timestamp,
}

impl Mark {
    /// The higher epoch holds; on a tie, leaving.
    fn rank(self) -> (u64, bool) {
        (self.epoch, self.leaving)
    }
}

impl Marks {
    /// Notes this daemon's own view of a runner, all its sources together; to be told again and
    /// again. Returns whether the mark changed.
    pub fn set(&mut self, runner: &RunnerName, leaving: bool, now: Timestamp) -> bool {
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
        let saw_it_leaving = before.is_some_and(|view| view.leaving);
        let certain = saw_it_leaving != leaving || now.since(view.since) >= CLEAR_AFTER;
        if marked == leaving || !certain {
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

    /// Forgets this daemon's own views, such as when another daemon speaks for the zone.
    pub fn forget_views(&mut self) {
        self.views.clear();
    }

    /// Takes over marks that are newer than those known. Returns whether anything changed.
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
        self.outside_rumors.push(runner.clone());
    }

    /// The mark known here, if it is newer than the one given.
    pub fn newer_than(&self, mark: &RunnerMark) -> Option<RunnerMark> {
        let known = self.by_runner.get(&mark.runner)?;
        (known.rank() > (mark.epoch, mark.leaving)).then(|| fact(&mark.runner, *known))
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
            .map(|(runner, mark)| fact(runner, *mark))
            .collect()
    }

    /// Notes a machine list. A runner that is not in it may be gone, in another zone, or too new for a
    /// list that lags; its mark is kept for [`FORGET_UNLISTED`].
    pub fn machines(&mut self, listed: BTreeSet<RunnerName>, now: Timestamp) {
        for runner in &listed {
            if let Some(mark) = self.by_runner.get_mut(runner) {
                mark.last_seen = now;
            }
        }
        self.by_runner
            .retain(|_, mark| now.since(mark.last_seen) <= FORGET_UNLISTED);
        self.views.retain(|runner, _| listed.contains(runner));
        self.listed = Some(listed);
    }

    fn is_listed(&self, runner: &RunnerName) -> bool {
        self.listed
            .as_ref()
            .is_none_or(|listed| listed.contains(runner))
    }

    /// Number of marks on their way through the zone.
    pub fn news(&self) -> usize {
        self.zone_rumors.len()
    }

    /// Whether marks are on their way to other zones.
    pub fn spreading_outside(&self) -> bool {
        !self.outside_rumors.is_empty()
    }

    /// Picks marks for an envelope to a member of the own zone.
    pub fn for_zone(&mut self, budget: &mut Budget, limit: u32) -> Vec<RunnerMark> {
        let marks = &self.by_runner;
        self.zone_rumors.select(budget, limit, |runner| {
            marks.get(runner).map(|mark| fact(runner, *mark))
        })
    }

    /// Picks marks for an envelope to another zone.
    pub fn for_outside(&mut self, budget: &mut Budget, limit: u32) -> Vec<RunnerMark> {
        let marks = &self.by_runner;
        self.outside_rumors.select(budget, limit, |runner| {
            marks.get(runner).map(|mark| fact(runner, *mark))
        })
    }

    /// The next mark in turn, whether it is news or not: repairs what rumors missed. A mark whose
    /// runner is not listed is left out, or two daemons would keep reminding each other of it.
    pub fn repeat(&mut self) -> Option<RunnerMark> {
        let next = next_in_turn(&self.by_runner, self.repeated.as_ref())?;
        self.repeated = Some(next.clone());
        let mark = *self.by_runner.get(&next)?;
        self.is_listed(&next).then(|| fact(&next, mark))
    }
}

fn fact(runner: &RunnerName, mark: Mark) -> RunnerMark {
    RunnerMark {
        runner: runner.clone(),
        leaving: mark.leaving,
        epoch: mark.epoch,
    }
}
