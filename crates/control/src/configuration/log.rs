//! Log of recent configuration changes, for daemons that lag slightly behind.

use std::collections::VecDeque;

use flaxward_types::Revision;
use flaxward_wire::{ConfigurationChange, ConfigurationDelta};

/// All changes after one revision, in order, up to the revision in force.
#[derive(Clone, Debug)]
pub struct ChangeLog {
    changes: VecDeque<ConfigurationChange>,
    limit: usize,
    /// The log is complete after this revision.
    floor: Revision,
    last: Revision,
    /// Ranges of revisions known only from their two ends: items may have been created and removed
    /// in between without being logged.
    gaps: VecDeque<(Revision, Revision)>,
}

impl ChangeLog {
    /// An empty log that keeps up to `limit` changes.
    pub fn new(limit: usize) -> Self {
        Self {
            changes: VecDeque::new(),
            limit,
            floor: Revision(0),
            last: Revision(0),
            gaps: VecDeque::new(),
        }
    }

    /// Clears the log: the changes that led to this revision are not known.
    pub fn reset(&mut self, revision: Revision) {
        *self = Self {
            floor: revision,
            last: revision,
            ..Self::new(self.limit)
        };
    }

    /// Adds the changes of a delta after the revision that was in force before it.
    pub fn append(&mut self, delta: &ConfigurationDelta, before: Revision) {
        let mut changes: Vec<ConfigurationChange> = delta
            .changes
            .iter()
            .filter(|change| change.revision > before)
            .cloned()
            .collect();
        changes.sort_by_key(|change| change.revision);
        self.changes.extend(changes);
        self.last = delta.to;
        while self.changes.len() > self.limit {
            if let Some(dropped) = self.changes.pop_front() {
                self.floor = dropped.revision;
            }
        }
        let floor = self.floor;
        self.gaps.retain(|(_, to)| *to > floor);
    }

    /// Records that only the outcome of the changes between two revisions is known.
    pub fn record_gap(&mut self, from: Revision, to: Revision) {
        self.gaps.push_back((from, to));
    }

    /// All changes after a revision, if the log is complete from there.
    pub fn since(&self, have: Revision) -> Option<ConfigurationDelta> {
        let in_gap = self
            .gaps
            .iter()
            .any(|(from, to)| have > *from && have < *to);
        if have < self.floor || in_gap {
            return None;
        }
        let changes: Vec<ConfigurationChange> = self
            .changes
            .iter()
            .filter(|change| change.revision > have)
            .cloned()
            .collect();
        Some(ConfigurationDelta {
            from: have,
            to: self.last,
            changes,
        })
    }
}
