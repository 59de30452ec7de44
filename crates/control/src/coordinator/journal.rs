//! The last decisions about each artifact, for `explain`.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use flaxward_types::{ArtifactId, ModelName, Timestamp};

use super::interface::Decision;

/// Decisions kept for each artifact.
const KEPT_PER_ARTIFACT: usize = 16;

/// The last decisions.
#[derive(Clone, Debug, Default)]
pub(super) struct Journal {
    by_artifact: BTreeMap<ArtifactId, VecDeque<(Timestamp, Decision)>>,
}

impl Journal {
    pub(super) fn note(&mut self, decision: Decision, now: Timestamp) {
        let ring = self
            .by_artifact
            .entry(decision.artifact.clone())
            .or_default();
        if ring.len() == KEPT_PER_ARTIFACT {
            ring.pop_front();
        }
        ring.push_back((now, decision));
    }

    /// Decisions about a model's artifacts with their age, latest first.
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
