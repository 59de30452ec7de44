//! What this daemon tells about itself, to operators here and at other daemons.

use flaxward_control::coordinator::{ReplicaView, RunnerView};
use flaxward_operators::{
    DaemonRow, DaemonState, DecisionRow, ReplicaRow, ReplicaState, RequestRow, RequestState,
    RunnerRow, RunnerState, ZoneRow,
};
use flaxward_types::engine::{HeldState, MachineRole};
use flaxward_types::time::millis;
use flaxward_types::{ArtifactId, ModelName, RunnerName};
use flaxward_wire::{MemberState, MemberUpdate, Peer, View};
use serde::{Deserialize, Serialize};

use super::core::Core;
use super::decisions::DecisionText;

/// Answer to [`View::Daemon`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DaemonReport {
    /// The daemon.
    pub daemon: DaemonRow,
    /// Its zone, if it coordinates it.
    pub zone: Option<ZoneRow>,
    /// The members of its zone as it knows them.
    pub members: Vec<(Peer, DaemonState)>,
}

/// Answer to [`View::Artifacts`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ArtifactsReport {
    /// Replicas that are loading, ready or unloading.
    pub replicas: Vec<ReplicaRow>,
    /// Requests waiting, by artifact.
    pub waiting: Vec<(ArtifactId, u32)>,
    /// Artifacts whose last load failed.
    pub failing: Vec<ArtifactId>,
}

impl Core {
    /// One view, as JSON.
    pub(super) fn view_rows(&self, view: &View) -> String {
        let value = match view {
            View::Daemon => serde_json::to_string(&self.daemon_report()),
            View::Artifacts => serde_json::to_string(&self.artifacts_report()),
            View::Runners => serde_json::to_string(&self.runner_rows()),
            View::Requests => serde_json::to_string(&self.request_rows()),
            View::Decisions(model) => serde_json::to_string(&self.decision_rows(model)),
        };
        value.unwrap_or_else(|_| "null".to_owned())
    }

    fn daemon_report(&self) -> DaemonReport {
        let me = self.parts.node.me();
        let requests = self.parts.gateway.waiting() + self.parts.gateway.running();
        let daemon = DaemonRow {
            name: me.name.to_string(),
            zone: me.zone.to_string(),
            address: me.address.to_string(),
            state: DaemonState::Alive,
            coordinator: self.parts.node.leading().is_some(),
            requests: count(requests),
            revision: self.parts.node.configuration().revision().0,
        };
        let members = self
            .parts
            .node
            .gossip_state()
            .membership()
            .members()
            .map(member)
            .collect();
        DaemonReport {
            daemon,
            zone: self.zone_row(),
            members,
        }
    }

    fn zone_row(&self) -> Option<ZoneRow> {
        let term = self.parts.node.leading()?;
        let runners = self.parts.node.coordinator().runners();
        let inventories = || {
            runners
                .iter()
                .filter_map(|runner| runner.inventory.as_ref())
        };
        Some(ZoneRow {
            name: self.parts.node.me().zone.to_string(),
            coordinator: Some(self.parts.node.me().name.to_string()),
            term: term.0,
            daemons: count(self.parts.node.gossip_state().membership().alive().len()),
            runners: count(runners.len()),
            memory: inventories().map(|inventory| inventory.memory).sum(),
            used: inventories()
                .map(flaxward_types::engine::Inventory::used)
                .sum(),
        })
    }

    fn artifacts_report(&self) -> ArtifactsReport {
        let coordinator = self.parts.node.coordinator();
        let runners = coordinator.runners();
        let replicas = coordinator
            .replicas()
            .iter()
            .filter_map(|replica| self.replica_row(replica, &runners))
            .collect();
        let waiting = coordinator
            .waiting()
            .into_iter()
            .map(|waiting| (waiting.artifact, waiting.waiting))
            .collect();
        ArtifactsReport {
            replicas,
            waiting,
            failing: coordinator.failing(),
        }
    }

    fn replica_row(&self, replica: &ReplicaView, runners: &[RunnerView]) -> Option<ReplicaRow> {
        let artifact = &replica.slot.artifact;
        let state = replica_state(replica.state?);
        let runner = runners
            .iter()
            .find(|runner| runner.runner == replica.slot.runner);
        let held = runner.and_then(|runner| runner.inventory.as_ref()?.held(artifact));
        Some(ReplicaRow {
            model: artifact.model.to_string(),
            adapter: artifact.adapter.as_ref().map(ToString::to_string),
            release: artifact.version.to_string(),
            zone: self.parts.node.me().zone.to_string(),
            runner: replica.slot.runner.to_string(),
            state,
            memory: held.map_or(0, |held| held.bytes),
            outstanding: replica.outstanding,
        })
    }

    fn runner_rows(&self) -> Vec<RunnerRow> {
        if self.parts.node.leading().is_none() {
            return Vec::new();
        }
        let drained = self.parts.node.configuration().drained();
        let engines = self.parts.node.coordinator().runners();
        let engines = engines.iter().map(|runner| {
            let is_drained = drained.contains(&runner.runner);
            engine_row(runner, self.parts.node.me().zone.as_str(), is_drained)
        });
        engines.chain(self.service_rows()).collect()
    }

    /// Service machines of the own zone.
    fn service_rows(&self) -> impl Iterator<Item = RunnerRow> {
        let own =
            |machine: &&flaxward_types::engine::Machine| machine.zone == self.parts.node.me().zone;
        self.parts
            .node
            .machines()
            .services()
            .iter()
            .filter(own)
            .map(|machine| RunnerRow {
                name: machine.name.to_string(),
                zone: machine.zone.to_string(),
                address: machine.address.clone(),
                service: match &machine.role {
                    MachineRole::Service(service) => Some(service.to_string()),
                    MachineRole::Engine => None,
                },
                state: self.machine_state(&machine.name, machine.leaving),
                ..RunnerRow::default()
            })
    }

    fn machine_state(&self, name: &RunnerName, leaving: bool) -> RunnerState {
        if self.parts.node.configuration().drained().contains(name) {
            RunnerState::Drained
        } else if leaving {
            RunnerState::Leaving
        } else {
            RunnerState::Ready
        }
    }

    fn request_rows(&self) -> Vec<RequestRow> {
        let me = self.parts.node.me();
        let requests = self.parts.gateway.requests().into_iter();
        requests
            .map(|request| RequestRow {
                id: request.id,
                model: request.target,
                daemon: me.name.to_string(),
                zone: me.zone.to_string(),
                state: if request.runner.is_some() {
                    RequestState::Running
                } else {
                    RequestState::Waiting
                },
                runner: request.runner.map(|runner| runner.to_string()),
                priority: request.priority,
                age: millis(request.age),
                time_left: millis(request.time_left),
            })
            .collect()
    }

    fn decision_rows(&self, model: &ModelName) -> Vec<DecisionRow> {
        let decisions = self.parts.node.coordinator().explain(model).into_iter();
        decisions
            .map(|(age, decision)| {
                let text = DecisionText::new(&decision.kind);
                DecisionRow {
                    age: millis(age),
                    zone: self.parts.node.me().zone.to_string(),
                    daemon: self.parts.node.me().name.to_string(),
                    artifact: decision.artifact.to_string(),
                    runner: text.runner.map(ToString::to_string),
                    decision: text.decision.to_owned(),
                    reason: text.reason,
                }
            })
            .collect()
    }
}

fn member(update: &MemberUpdate) -> (Peer, DaemonState) {
    let state = match update.state {
        MemberState::Alive => DaemonState::Alive,
        MemberState::Suspect => DaemonState::Suspect,
        MemberState::Left => DaemonState::Left,
        MemberState::Dead => DaemonState::Dead,
    };
    (update.peer.clone(), state)
}

fn replica_state(state: HeldState) -> ReplicaState {
    match state {
        HeldState::Loading => ReplicaState::Loading,
        HeldState::Ready => ReplicaState::Ready,
        HeldState::Unloading => ReplicaState::Unloading,
        HeldState::Failed => ReplicaState::Failed,
    }
}

fn engine_row(runner: &RunnerView, zone: &str, is_drained: bool) -> RunnerRow {
    let inventory = runner.inventory.as_ref();
    let state = match runner {
        _ if is_drained => RunnerState::Drained,
        RunnerView { leaving: true, .. } => RunnerState::Leaving,
        RunnerView {
            unreachable: true, ..
        } => RunnerState::Unreachable,
        _ => RunnerState::Ready,
    };
    RunnerRow {
        name: runner.runner.to_string(),
        zone: zone.to_owned(),
        address: runner.address.clone(),
        service: None,
        state,
        memory: inventory.map_or(0, |inventory| inventory.memory),
        used: inventory.map_or(0, flaxward_types::engine::Inventory::used),
        replicas: inventory.map_or(0, |inventory| count(inventory.artifacts.len())),
        running: runner.load.running,
        waiting: runner.load.waiting,
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
