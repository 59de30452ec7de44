//! How long changes of configuration take until they are in force at each daemon.

use std::collections::BTreeMap;

use flaxward_types::Revision;

/// One change.
#[derive(Clone, Debug)]
struct Change {
    at: u64,
    /// Daemons where it is to come into force, and how many it has reached.
    daemons: usize,
    reached: usize,
    last: u64,
}

/// Changes under way and the times they took.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    changes: BTreeMap<Revision, Change>,
    /// Milliseconds of each change at each daemon.
    delays: Vec<u64>,
}

/// Times from a change in the store until it was in force, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct SpreadSummary {
    /// Changes begun.
    pub changes: usize,
    /// Changes in force at every daemon that ran when they began and has not restarted since.
    pub complete: usize,
    /// Half of all (change, daemon) pairs took at most this.
    pub p50: u64,
    /// 99 of 100 pairs took at most this.
    pub p99: u64,
    /// The longest time of any pair.
    pub worst: u64,
}

impl Spread {
    /// A change was written at a time; `daemons` run now.
    pub fn begin(&mut self, revision: Revision, at: u64, daemons: usize) {
        let change = Change {
            at,
            daemons,
            reached: 0,
            last: at,
        };
        self.changes.insert(revision, change);
    }

    /// The revision in force at a daemon rose. A daemon without any configuration is starting, and
    /// is not counted.
    pub fn in_force(&mut self, _place: usize, before: Revision, after: Revision, now: u64) {
        if before == Revision(0) || after <= before {
            return;
        }
        let range = (
            std::ops::Bound::Excluded(before),
            std::ops::Bound::Included(after),
        );
        for (_, change) in self.changes.range_mut(range) {
            change.reached += 1;
            change.last = now;
            self.delays.push(now - change.at);
        }
    }

    /// A daemon that runs no more is waited for no more.
    pub fn gone(&mut self, in_force: Revision) {
        let later = (
            std::ops::Bound::Excluded(in_force),
            std::ops::Bound::Unbounded,
        );
        for (_, change) in self.changes.range_mut(later) {
            change.daemons = change.daemons.saturating_sub(1);
        }
    }

    /// Forgets everything counted so far.
    pub fn clear(&mut self) {
        self.changes.clear();
        self.delays.clear();
    }

    /// The times so far.
    pub fn summary(&self) -> SpreadSummary {
        let mut delays = self.delays.clone();
        delays.sort_unstable();
        let complete = self
            .changes
            .values()
            .filter(|change| change.reached >= change.daemons)
            .count();
        SpreadSummary {
            changes: self.changes.len(),
            complete,
            p50: quantile(&delays, 50),
            p99: quantile(&delays, 99),
            worst: delays.last().copied().unwrap_or(0),
        }
    }
}

/// The value that so many of a hundred do not exceed.
fn quantile(sorted: &[u64], percent: usize) -> u64 {
    let place = (sorted.len() * percent).div_ceil(100);
    place
        .checked_sub(1)
        .and_then(|place| sorted.get(place))
        .copied()
        .unwrap_or(0)
}
