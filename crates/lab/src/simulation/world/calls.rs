//! Calls at the gateways: waiting, sending on, refusing, and telling what is wanted.

use flaxward_types::routing::{Demand, RouteAnswer};
use flaxward_types::{ArtifactId, DaemonName, ResultCode, RunnerName};

use super::{Event, InFlight, RENEWAL, Report, World, is_of_group};
use crate::simulation::batch::CallIndex;
use crate::simulation::gateway::Gateway;

impl World<'_> {
    pub(super) fn called(&mut self, index: CallIndex) {
        let call = &self.run.calls[index];
        let artifact = &call.artifact;
        let ready = self
            .runners
            .values()
            .any(|runner| !runner.machine.leaving && runner.is_ready(artifact));
        let limited = self.store.limited_millis(self.now);
        self.cold_starts
            .called(artifact, ready, limited, self.now, &mut self.measures);
        let pending = self.gateways[call.gateway].pending(artifact);
        pending.arrivals += 1;
        let was_active = pending.is_active();
        pending.waiting.push_back(index);
        self.dispatch(call.gateway, artifact);
        let waits = self.gateways[call.gateway].has_waiting(artifact);
        if waits {
            self.schedule(call.deadline, Event::Deadline(index));
        }
        if waits || !was_active {
            self.demand(call.gateway, artifact);
        }
    }

    /// Sends the waiting calls of a gateway to replicas, if it knows any.
    pub(super) fn dispatch(&mut self, gateway: usize, artifact: &ArtifactId) {
        while let Some(runner) = self.pick(gateway, artifact) {
            let pending = self.gateways[gateway].pending(artifact);
            let Some(call) = pending.waiting.pop_front() else {
                return;
            };
            pending.running += 1;
            let in_flight = InFlight {
                gateway,
                runner: runner.clone(),
                first_token: None,
            };
            self.in_flight.insert(call, in_flight);
            self.later(Event::Dispatched(runner, call));
        }
    }

    /// The replica with the least work, as the lagging reports and the gateway's own calls say.
    pub(super) fn pick(&mut self, gateway: usize, artifact: &ArtifactId) -> Option<RunnerName> {
        let pending = self.gateways[gateway].pending(artifact);
        if pending.waiting.is_empty() {
            return None;
        }
        let replicas = pending.replicas.clone();
        if replicas.len() < 2 {
            return replicas.first().map(|replica| replica.runner.clone());
        }
        let lag = self.run.scenario.engine.report_lag;
        let now = self.now;
        let mut best = None;
        for replica in replicas {
            let real = self.runners.get(&replica.runner);
            let fresh = Report {
                at: now,
                outstanding: real.map_or(0, |runner| runner.batch.outstanding()),
            };
            let report = self.reports.entry(replica.runner.clone()).or_insert(fresh);
            if now.since(report.at) >= lag {
                *report = fresh;
            }
            let own = self
                .in_flight
                .values()
                .filter(|flight| flight.gateway == gateway && flight.runner == replica.runner);
            let work = report.outstanding + own.count();
            if best.as_ref().is_none_or(|(least, _)| work < *least) {
                best = Some((work, replica.runner));
            }
        }
        best.map(|(_, runner)| runner)
    }

    /// Tells the zone that is asked what a gateway wants.
    pub(super) fn demand(&mut self, gateway: usize, artifact: &ArtifactId) {
        let group = self.run.scenario.models.iter();
        let priority = group
            .filter(|group| is_of_group(artifact, &group.prefix))
            .map(|group| group.priority)
            .max()
            .unwrap_or(0);
        let name = self.gateways[gateway].name.clone();
        let pending = self.gateways[gateway].pending(artifact);
        let demand = pending.demand(artifact, priority, self.run.calls, self.now);
        let asked = pending.asked.clone();
        let renews = pending.is_active() && !pending.renewing;
        pending.renewing |= renews;
        if renews {
            self.schedule(self.now + RENEWAL, Event::Renew(gateway, artifact.clone()));
        }
        self.later(Event::Demanded(asked, name, demand));
    }

    pub(super) fn renew(&mut self, gateway: usize, artifact: &ArtifactId) {
        self.gateways[gateway].pending(artifact).renewing = false;
        self.demand(gateway, artifact);
    }

    pub(super) fn answered(&mut self, name: &DaemonName, answer: &RouteAnswer) {
        let found = self
            .gateways
            .iter()
            .position(|gateway| gateway.name == *name);
        let Some(gateway) = found else {
            return;
        };
        let reaction = self.gateways[gateway].answered(answer, self.run.calls, self.now);
        for (call, code) in reaction.refused {
            self.refuse(call, code);
        }
        if let Some(left) = reaction.left {
            let name = name.clone();
            let nothing = Demand {
                artifact: answer.artifact.clone(),
                waiting: 0,
                running: 0,
                priority: 0,
                earliest_deadline_ms: 0,
                arrivals: 0,
                known: None,
            };
            self.later(Event::Demanded(left, name, nothing));
            self.demand(gateway, &answer.artifact);
        }
        if reaction.dispatch {
            self.dispatch(gateway, &answer.artifact);
        }
    }

    pub(super) fn deadline(&mut self, call: CallIndex) {
        let index = &self.run.calls[call];
        let pending = self.gateways[index.gateway].pending(&index.artifact);
        let before = pending.waiting.len();
        pending.waiting.retain(|waiting| *waiting != call);
        if pending.waiting.len() < before {
            self.refuse(call, ResultCode::DeadlinePassed);
        }
    }

    pub(super) fn refuse(&mut self, call: CallIndex, code: ResultCode) {
        let artifact = self.run.calls[call].artifact.clone();
        self.measures.refused(code);
        let line = format!("{} refuse {call} {}", self.now, code.number());
        self.measures.log(&line);
        let waits = |gateway: &Gateway| gateway.has_waiting(&artifact);
        let flies = self
            .in_flight
            .keys()
            .any(|index| self.run.calls[*index].artifact == artifact);
        if !flies && !self.gateways.iter().any(waits) {
            self.cold_starts.given_up(&artifact, &mut self.measures);
        }
    }
}
