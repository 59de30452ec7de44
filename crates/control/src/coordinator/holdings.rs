//! What the runners of the zone hold, found by artifact. Kept up to date with each inventory.

use std::collections::BTreeMap;

use flaxward_types::engine::{Held, HeldState};
use flaxward_types::{ArtifactId, RunnerName};

use super::rounds::following;

/// Artifacts that are loaded, loading or unloading somewhere.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Holdings {
    by_artifact: BTreeMap<ArtifactId, BTreeMap<RunnerName, HeldState>>,
    by_runner: BTreeMap<RunnerName, BTreeMap<ArtifactId, HeldState>>,
}

impl Holdings {
    /// The runners that hold an artifact, in order.
    pub(super) fn of(
        &self,
        artifact: &ArtifactId,
    ) -> impl Iterator<Item = (&RunnerName, HeldState)> + use<'_> {
        let runners = self.by_artifact.get(artifact).into_iter().flatten();
        runners.map(|(name, state)| (name, *state))
    }

    /// Whether any runner holds an artifact.
    pub(super) fn contains(&self, artifact: &ArtifactId) -> bool {
        self.by_artifact.contains_key(artifact)
    }

    /// How far an artifact on a runner is.
    pub(super) fn state(&self, artifact: &ArtifactId, name: &RunnerName) -> Option<HeldState> {
        self.by_artifact.get(artifact)?.get(name).copied()
    }

    /// The artifacts that a runner holds, in order.
    pub(super) fn on(&self, name: &RunnerName) -> impl Iterator<Item = &ArtifactId> + use<'_> {
        let held = self.by_runner.get(name).into_iter().flatten();
        held.map(|(artifact, _)| artifact)
    }

    /// Number of artifacts held.
    pub(super) fn len(&self) -> usize {
        self.by_artifact.len()
    }

    /// The artifacts that follow one in their order, round and round, with the runners of each.
    pub(super) fn following(
        &self,
        last: Option<&ArtifactId>,
    ) -> impl Iterator<Item = (&ArtifactId, &BTreeMap<RunnerName, HeldState>)> + use<'_> {
        following(&self.by_artifact, last)
    }

    /// Takes in what a runner holds now. Returns the artifacts of which something is new.
    pub(super) fn replace<'a>(
        &mut self,
        name: &RunnerName,
        holdings: impl Iterator<Item = &'a Held>,
    ) -> Vec<ArtifactId> {
        let mut changed = Vec::new();
        let now: BTreeMap<ArtifactId, HeldState> = holdings
            .map(|held| (held.artifact.clone(), held.state))
            .collect();
        let before = self.by_runner.remove(name).unwrap_or_default();
        for artifact in before.keys() {
            if !now.contains_key(artifact) {
                self.take_out(artifact, name);
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

    /// Forgets a runner. Returns the artifacts that it held.
    pub(super) fn forget(&mut self, name: &RunnerName) -> Vec<ArtifactId> {
        self.replace(name, std::iter::empty())
    }

    fn take_out(&mut self, artifact: &ArtifactId, name: &RunnerName) {
        if let Some(runners) = self.by_artifact.get_mut(artifact) {
            runners.remove(name);
            if runners.is_empty() {
                self.by_artifact.remove(artifact);
            }
        }
    }
}
