//! Views of the zone's state for operators.

use std::time::Duration;

use flaxward_types::engine::{HeldState, Inventory, LoadReport};
use flaxward_types::records::Slot;
use flaxward_types::{ArtifactId, ModelName, RunnerName, Term, Timestamp};

use super::Coordinator;
use super::interface::Decision;
use super::leading::Leading;

/// A runner as shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerView {
    /// The runner's name.
    pub runner: RunnerName,
    /// Its address, `ip:port`.
    pub address: String,
    /// Whether it has accepted the coordinator's term.
    pub sealed: bool,
    /// Whether it is leaving or drained.
    pub leaving: bool,
    /// Whether it has not answered for a while.
    pub unreachable: bool,
    /// Its inventory as last read.
    pub inventory: Option<Inventory>,
    /// Its last load report.
    pub load: LoadReport,
}

/// A replica as shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaView {
    /// The artifact and its runner.
    pub slot: Slot,
    /// Its state, or `None` if the slot is recorded but the runner does not have the artifact.
    pub state: Option<HeldState>,
    /// Requests running and waiting on its runner, as last reported.
    pub outstanding: u32,
    /// Time until it is ready, if it is being loaded.
    pub remaining: Option<Duration>,
}

/// An artifact that requests wait for, as shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingView {
    /// The artifact.
    pub artifact: ArtifactId,
    /// Requests waiting at all gateways.
    pub waiting: u32,
    /// How long requests have been waiting.
    pub since: Duration,
    /// Highest priority among them.
    pub priority: u8,
}

impl Coordinator {
    /// The term under which this daemon coordinates the zone; `None` if it does not.
    pub fn leading(&self) -> Option<Term> {
        let leading = self.leading.as_ref()?;
        leading.placement.fenced().then_some(leading.term)
    }

    /// The zone's runners as known to the coordinator.
    pub fn runners(&self) -> Vec<RunnerView> {
        let leading = self.leading.as_ref();
        leading.map_or_else(Vec::new, |leading| leading.runner_views(self.last_now))
    }

    /// The zone's slots and the replicas in them.
    pub fn replicas(&self) -> Vec<ReplicaView> {
        let leading = self.leading.as_ref();
        leading.map_or_else(Vec::new, |leading| leading.replica_views(self.last_now))
    }

    /// Artifacts that requests wait for.
    pub fn waiting(&self) -> Vec<WaitingView> {
        let demands = &self.shared.demands;
        let summaries = demands
            .artifacts()
            .filter_map(|artifact| Some((artifact, demands.summary(artifact)?)));
        summaries
            .filter(|(_, summary)| summary.waiting > 0)
            .map(|(artifact, summary)| WaitingView {
                artifact: artifact.clone(),
                waiting: summary.waiting,
                since: self
                    .last_now
                    .since(summary.waiting_since.unwrap_or(self.last_now)),
                priority: summary.priority,
            })
            .collect()
    }

    /// Artifacts whose loads have failed and have not succeeded since.
    pub fn failing(&self) -> Vec<ArtifactId> {
        let leading = self.leading.as_ref();
        leading.map_or_else(Vec::new, |leading| leading.failures.artifacts())
    }

    /// The most recent decisions about a model's artifacts with their age, most recent first.
    pub fn explain(&self, model: &ModelName) -> Vec<(Duration, Decision)> {
        self.journal.explain(model, self.last_now)
    }
}

impl Leading {
    pub(super) fn runner_views(&self, now: Timestamp) -> Vec<RunnerView> {
        let view = |(name, runner): (&_, &super::runner::Runner)| RunnerView {
            runner: Clone::clone(name),
            address: runner.address.clone(),
            sealed: runner.sealed_boot().is_some(),
            leaving: runner.leaving() || self.drained.contains(name),
            unreachable: runner.unreachable(now),
            inventory: runner.inventory.clone(),
            load: runner.report.clone(),
        };
        self.runners.iter().map(view).collect()
    }

    pub(super) fn replica_views(&self, now: Timestamp) -> Vec<ReplicaView> {
        let slots = self.placement.slots().iter();
        slots
            .map(|slot| {
                let runner = self.runners.get(&slot.runner);
                let entry = runner.and_then(|runner| runner.held(&slot.artifact));
                ReplicaView {
                    slot: slot.clone(),
                    state: entry.map(|entry| entry.state),
                    outstanding: runner
                        .map_or(0, |runner| runner.report.running + runner.report.waiting),
                    remaining: self.loads.get(slot).map(|load| load.remaining(now)),
                }
            })
            .collect()
    }
}
