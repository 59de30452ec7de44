//! The most recent decisions about each artifact, for `explain`.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use flaxward_types::{ArtifactId, ModelName, Timestamp};

use super::interface::Decision;

/// Maximum number of decisions kept for each artifact.
const MAX_DECISIONS_PER_ARTIFACT: usize = 16;

/// The most recent decisions by artifact.
#[derive(Clone, Debug, Default)]
pub(super) struct Journal {
    by_artifact: BTreeMap<ArtifactId, VecDeque<(Timestamp, Decision)>>,
}

impl Journal {
    pub(super) fn record(&mut self, decision: Decision, now: Timestamp) {
        let ring = self
            .by_artifact
            .entry(decision.artifact.clone())
            .or_default();
        if ring.len() == MAX_DECISIONS_PER_ARTIFACT {
            ring.pop_front();
        }
        ring.push_back((now, decision));
    }

    /// Decisions about a model's artifacts with their age, most recent first.
    pub(super) fn explain(&self, model: &ModelName, now: Timestamp) -> Vec<(Duration, Decision)> {
        let mut decisions: Vec<(Duration, Decision)> = self
            .by_artifact
            .iter()
            .filter(|(artifact, _)| artifact.model == *model)
            .flat_map(|(_, ring)| ring)
            .map(|(at, decision)| (now.since(*at), decision.clone()))
            .collect();
        decisions.sort_by_key(|(age, _)| *age);
        decisions
    }
}
