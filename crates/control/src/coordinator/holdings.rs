//! Index of the artifacts on the zone's runners, updated with each inventory.

use std::collections::BTreeMap;

use flaxward_types::engine::{Held, HeldState};
use flaxward_types::{ArtifactId, RunnerName};

use super::rounds::following;

/// Artifacts that are loaded, loading or unloading on any runner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Holdings {
    by_artifact: BTreeMap<ArtifactId, BTreeMap<RunnerName, HeldState>>,
    by_runner: BTreeMap<RunnerName, BTreeMap<ArtifactId, HeldState>>,
}

impl Holdings {
    /// The runners that have an artifact, in order.
    pub(super) fn of(
        &self,
        artifact: &ArtifactId,
    ) -> impl Iterator<Item = (&RunnerName, HeldState)> + use<'_> {
        let runners = self.by_artifact.get(artifact).into_iter().flatten();
        runners.map(|(name, state)| (name, *state))
    }

    /// Whether any runner has an artifact.
    pub(super) fn contains(&self, artifact: &ArtifactId) -> bool {
        self.by_artifact.contains_key(artifact)
    }

    /// The state of an artifact on a runner.
    pub(super) fn state(&self, artifact: &ArtifactId, name: &RunnerName) -> Option<HeldState> {
        self.by_artifact.get(artifact)?.get(name).copied()
    }

    /// The artifacts on a runner, in order.
    pub(super) fn on(&self, name: &RunnerName) -> impl Iterator<Item = &ArtifactId> + use<'_> {
        let entries = self.by_runner.get(name).into_iter().flatten();
        entries.map(|(artifact, _)| artifact)
    }

    /// Number of distinct artifacts.
    pub(super) fn len(&self) -> usize {
        self.by_artifact.len()
    }

    /// All artifacts in cyclic order, starting after the given one, with the runners of each.
    pub(super) fn following(
        &self,
        last: Option<&ArtifactId>,
    ) -> impl Iterator<Item = (&ArtifactId, &BTreeMap<RunnerName, HeldState>)> + use<'_> {
        following(&self.by_artifact, last)
    }

    /// Replaces the entries of a runner. Returns the artifacts whose state has changed.
    pub(super) fn replace<'a>(
        &mut self,
        name: &RunnerName,
        holdings: impl Iterator<Item = &'a Held>,
    ) -> Vec<ArtifactId> {
        let mut changed = Vec::new();
        let now: BTreeMap<ArtifactId, HeldState> = holdings
            .map(|entry| (entry.artifact.clone(), entry.state))
            .collect();
        let before = self.by_runner.remove(name).unwrap_or_default();
        for artifact in before.keys() {
            if !now.contains_key(artifact) {
                self.remove_entry(artifact, name);
                changed.push(artifact.clone());
            }
        }
        for (artifact, state) in &now {
            if before.get(artifact) != Some(state) {
                let runners = self.by_artifact.entry(artifact.clone()).or_default();
                runners.insert(name.clone(), *state);
                changed.push(artifact.clone());
            }
        }
        if !now.is_empty() {
            self.by_runner.insert(name.clone(), now);
        }
        changed
    }

    /// Removes a runner. Returns the artifacts that it had.
    pub(super) fn remove_runner(&mut self, name: &RunnerName) -> Vec<ArtifactId> {
        self.replace(name, std::iter::empty())
    }

    fn remove_entry(&mut self, artifact: &ArtifactId, name: &RunnerName) {
        if let Some(runners) = self.by_artifact.get_mut(artifact) {
            runners.remove(name);
            if runners.is_empty() {
                self.by_artifact.remove(artifact);
            }
        }
    }
}
