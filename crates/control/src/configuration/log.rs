//! The last changes of configuration, kept for daemons that are a little behind.

use std::collections::VecDeque;

use flaxward_types::Revision;
use flaxward_wire::{ConfigurationChange, ConfigurationDelta};

/// All changes after one revision, in order, up to the revision in force.
#[derive(Clone, Debug)]
pub struct ChangeLog {
    changes: VecDeque<ConfigurationChange>,
    limit: usize,
    /// Everything that changed after this revision is kept.
    floor: Revision,
    last: Revision,
    /// Ranges of revisions known only from their two ends: between them, something may have come
    /// and gone that is not kept.
    gaps: VecDeque<(Revision, Revision)>,
}

impl ChangeLog {
    /// An empty log that keeps so many changes.
    pub fn new(limit: usize) -> Self {
        Self {
            changes: VecDeque::new(),
            limit,
            floor: Revision(0),
            last: Revision(0),
            gaps: VecDeque::new(),
        }
    }

    /// Forgets everything: nothing is known of what led to this revision.
    pub fn restart(&mut self, revision: Revision) {
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

    /// Notes that what happened between two revisions is known only from its outcome.
    pub fn note_gap(&mut self, from: Revision, to: Revision) {
        self.gaps.push_back((from, to));
    }

    /// All changes after a revision, if they are known.
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
