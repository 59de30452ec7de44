//! Simulated gateways: they send and renew demands, and follow redirects to other zones.

use std::collections::{BTreeMap, BTreeSet};

use flaxward_control::coordinator::CoordinatorEvent;
use flaxward_types::routing::{AnswerVersion, Demand, Outlook, RouteAnswer};
use flaxward_types::{ArtifactId, DaemonName};

use super::simulation::{DemandState, Simulation, SimulationEvent};

impl Simulation {
    /// Starts or extends a gateway's demand for an artifact.
    pub fn demand(&mut self, gateway: &DaemonName, artifact: &ArtifactId, millis: u64) {
        let until = self.now + millis;
        let (zone, demand_states) = self.gateways.get_mut(gateway).expect("a known gateway");
        let zone = zone.clone();
        let known = demand_states.contains_key(artifact);
        let state = demand_states
            .entry(artifact.clone())
            .or_insert_with(|| DemandState {
                until,
                zone,
                tried: BTreeSet::new(),
                newest: BTreeMap::new(),
                outlook: None,
                ready: Vec::new(),
            });
        state.until = state.until.max(until);
        if !known {
            self.renew_demand(gateway, artifact);
        }
    }

    /// Ends a gateway's demand for an artifact.
    pub fn end_demand(&mut self, gateway: &DaemonName, artifact: &ArtifactId) {
        if let Some((_, demand_states)) = self.gateways.get_mut(gateway)
            && let Some(state) = demand_states.get_mut(artifact)
        {
            state.until = self.now;
        }
    }

    pub(super) fn renew_demand(&mut self, gateway: &DaemonName, artifact: &ArtifactId) {
        let now = self.now;
        let (_, demand_states) = self.gateways.get_mut(gateway).expect("a known gateway");
        let Some(state) = demand_states.get(artifact) else {
            return;
        };
        if state.until <= now {
            demand_states.remove(artifact);
            return;
        }
        self.send_demand(gateway, artifact);
        self.schedule(
            now + 1_000,
            SimulationEvent::RenewDemand(gateway.clone(), artifact.clone()),
        );
    }

    pub(super) fn send_demand(&mut self, gateway: &DaemonName, artifact: &ArtifactId) {
        let state = &self.gateways[gateway].1[artifact];
        let ready = u32::from(state.outlook == Some(Outlook::Ready));
        let demand = Demand {
            artifact: artifact.clone(),
            waiting: 1 - ready,
            running: ready,
            priority: 1,
            earliest_deadline_ms: state.until.saturating_sub(self.now),
            arrivals: 0,
            known: state
                .newest
                .get(&state.zone)
                .map(|&(term, sequence)| AnswerVersion { term, sequence }),
        };
        let zone = state.zone.clone();
        let daemons: Vec<(DaemonName, u64)> = self
            .daemons
            .iter()
            .filter(|(_, daemon)| daemon.zone == zone)
            .map(|(name, daemon)| (name.clone(), daemon.incarnation))
            .collect();
        for (name, incarnation) in daemons {
            let time = self.now + self.latency();
            if !self.draw_loss() {
                let event = CoordinatorEvent::Demanded(gateway.clone(), demand.clone());
                self.deliver_at(time, name, incarnation, event);
            }
        }
    }

    pub(super) fn apply_answer(&mut self, gateway: &DaemonName, answer: RouteAnswer) {
        let Some((_, demand_states)) = self.gateways.get_mut(gateway) else {
            return;
        };
        let Some(state) = demand_states.get_mut(&answer.artifact) else {
            return;
        };
        let order = (answer.term, answer.sequence);
        let newest = state.newest.entry(answer.zone.clone()).or_default();
        if *newest >= order || answer.zone != state.zone {
            return;
        }
        *newest = order;
        state.outlook = Some(answer.outlook.clone());
        state.ready = answer
            .ready
            .into_iter()
            .map(|replica| replica.runner)
            .collect();
        let Outlook::Elsewhere { zones } = answer.outlook else {
            return;
        };
        state.tried.insert(answer.zone);
        let next = zones.iter().find(|zone| !state.tried.contains(*zone));
        // A gateway that has tried all zones starts over with the next renewal.
        let Some(next) = next.cloned() else {
            state.tried.clear();
            return;
        };
        state.zone = next;
        self.send_demand(gateway, &answer.artifact);
    }
}
