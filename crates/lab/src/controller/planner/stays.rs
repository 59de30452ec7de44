//! How long idle replicas stay.

use std::collections::BTreeSet;
use std::time::Duration;

use flaxward_control::coordinator::UnloadReason;
use flaxward_types::{ArtifactId, Timestamp};

use super::Planner;
use crate::controller::retention::{ReplicaCost, Stay};
use crate::simulation::{Source, physical_load_time};

impl Planner<'_> {
    /// Unloads what has stayed long enough, adapters before their bases.
    pub(super) fn unload_idle(&mut self, now: Timestamp) {
        let mut due = Vec::new();
        let mut spared = BTreeSet::new();
        for (name, runner) in &self.runners {
            // An adapter does not hold its base back: its memory is small, that of its base is not.
            let may_go = |artifact: &ArtifactId| {
                self.is_over(artifact, now)
                    || self.is_over(&artifact.base(), now)
                    || (spared.contains(artifact) && self.is_surplus_over(artifact, now))
            };
            let going = runner.going_first(may_go);
            spared.extend(runner.serving().cloned());
            due.extend(
                going
                    .into_iter()
                    .map(|(artifact, _)| (name.clone(), artifact)),
            );
        }
        for (name, artifact) in due {
            let last_use = self.last_use.get(&artifact).copied().unwrap_or(now);
            let stay = self.stay(&artifact, last_use, now);
            let last = stay.unload_at <= now;
            if let Some(at) = stay.load_at.filter(|at| last && *at > now) {
                self.load_ahead.insert(artifact.clone(), at);
                self.next_tick = self.next_tick.min(at);
            }
            self.unload(&name, &artifact, UnloadReason::Idle, now);
        }
        let held = self.runners.values().flat_map(|runner| {
            let inventory = runner.inventory.iter();
            inventory.flat_map(|inventory| &inventory.artifacts)
        });
        let unwanted = held.filter(|held| !self.wanted.contains_key(&held.artifact));
        for held in unwanted {
            let Some(last_use) = self.last_use.get(&held.artifact) else {
                continue;
            };
            let unload_at = self.stay(&held.artifact, *last_use, now).unload_at;
            let surplus_at = self
                .retention
                .surplus_after()
                .map(|after| *last_use + after);
            for at in std::iter::once(unload_at).chain(surplus_at) {
                if at > now {
                    self.next_tick = self.next_tick.min(at);
                }
            }
        }
    }

    pub(super) fn is_over(&self, artifact: &ArtifactId, now: Timestamp) -> bool {
        let Some(last_use) = self.last_use.get(artifact) else {
            return true;
        };
        !self.is_wanted(artifact) && self.stay(artifact, *last_use, now).unload_at <= now
    }

    /// Whether all replicas of an artifact but one have been idle for long enough.
    pub(super) fn is_surplus_over(&self, artifact: &ArtifactId, now: Timestamp) -> bool {
        let after = self.retention.surplus_after();
        let last_use = self.last_use.get(artifact);
        let over = last_use
            .zip(after)
            .is_some_and(|(last, after)| now >= *last + after);
        over && !self.is_wanted(artifact)
    }

    pub(super) fn is_wanted(&self, artifact: &ArtifactId) -> bool {
        let mut wanted = self.wanted.keys();
        wanted.any(|wanted| wanted == artifact || wanted.base() == *artifact)
    }

    pub(super) fn stay(&self, artifact: &ArtifactId, last_use: Timestamp, now: Timestamp) -> Stay {
        let weights = self.weights(artifact);
        let cost = ReplicaCost {
            load_time: self.best_load_time(artifact, weights),
            bytes: self.configuration.bytes(artifact).unwrap_or(0),
        };
        self.retention.stay(artifact, last_use, now, cost)
    }

    /// Time to load an artifact again from the nearest place that has its weights now.
    pub(super) fn best_load_time(&self, artifact: &ArtifactId, weights: u64) -> Duration {
        let runners = self
            .runners
            .values()
            .filter(|runner| !runner.machine.leaving);
        let times = runners
            .map(|runner| physical_load_time(self.scenario, runner.source(artifact), weights));
        times
            .min()
            .unwrap_or_else(|| physical_load_time(self.scenario, Source::WeightStore, weights))
    }
}
