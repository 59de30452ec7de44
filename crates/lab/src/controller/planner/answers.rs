//! What gateways are told.

use std::time::Duration;

use flaxward_types::routing::{Outlook, Replica, RouteAnswer};
use flaxward_types::{ArtifactId, DaemonName, ResultCode, Timestamp, ZoneName};

use super::{ASK_AGAIN_MILLIS, Planner, TERM, millis};
use crate::controller::Command;
use crate::simulation::{Source, physical_load_time};

impl Planner<'_> {
    pub(super) fn answer_changes(&mut self, now: Timestamp) {
        let artifacts: Vec<ArtifactId> = self.wanted.keys().cloned().collect();
        for artifact in artifacts {
            let state = self.state_of(&artifact, now);
            let Some(wanted) = self.wanted.get_mut(&artifact) else {
                continue;
            };
            if wanted.answered.as_ref() == Some(&state) {
                continue;
            }
            wanted.answered = Some(state);
            let gateways: Vec<DaemonName> = wanted.gateways.keys().cloned().collect();
            for gateway in gateways {
                self.answer(&gateway, &artifact, now);
            }
        }
    }

    pub(super) fn answer(&mut self, gateway: &DaemonName, artifact: &ArtifactId, now: Timestamp) {
        let (ready, outlook) = self.state_of(artifact, now);
        if !ready.is_empty() {
            let informed = self.informed.entry(artifact.clone()).or_default();
            informed.insert(gateway.clone());
        }
        self.sequence += 1;
        let answer = RouteAnswer {
            artifact: artifact.clone(),
            zone: ZoneName::literal("region"),
            term: TERM,
            sequence: self.sequence,
            ready,
            outlook,
        };
        self.commands.push(Command::Answer(gateway.clone(), answer));
    }

    pub(super) fn state_of(
        &self,
        artifact: &ArtifactId,
        now: Timestamp,
    ) -> (Vec<Replica>, Outlook) {
        let serving = self
            .runners
            .iter()
            .filter(|(_, runner)| runner.serves(artifact));
        let ready: Vec<Replica> = serving
            .map(|(name, runner)| Replica {
                runner: name.clone(),
                address: runner.machine.address.clone(),
                outstanding: 0,
            })
            .collect();
        if !ready.is_empty() {
            return (ready, Outlook::Ready);
        }
        if self.blocked.contains(artifact) {
            let refused = Outlook::Refused {
                code: ResultCode::NoMemory,
                retry_after_ms: ASK_AGAIN_MILLIS,
            };
            return (ready, refused);
        }
        let from_store =
            || physical_load_time(self.scenario, Source::WeightStore, self.weights(artifact));
        let estimate = self.estimate(artifact, now).unwrap_or_else(from_store);
        let loading = Outlook::Loading {
            estimate_ms: millis(estimate),
        };
        (ready, loading)
    }

    /// Time until an artifact is ready, if it is on its way.
    pub(super) fn estimate(&self, artifact: &ArtifactId, now: Timestamp) -> Option<Duration> {
        let load = self
            .runners
            .values()
            .find_map(|runner| runner.loads.get(artifact));
        if let Some(load) = load {
            let left = if load.ordered {
                load.expected.saturating_sub(now.since(load.started))
            } else {
                load.expected
            };
            let base = (artifact.is_adapter() && !load.ordered)
                .then(|| self.estimate(&artifact.base(), now))
                .flatten();
            return Some(left + base.unwrap_or_default());
        }
        if !artifact.is_adapter() {
            return None;
        }
        let base = self.estimate(&artifact.base(), now)?;
        Some(base + physical_load_time(self.scenario, Source::WeightStore, self.weights(artifact)))
    }
}
