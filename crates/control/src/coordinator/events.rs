//! Takes in events: each changes the state of the part that it is about.

use flaxward_types::routing::Demand;
use flaxward_types::{ArtifactId, DaemonName, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Coordinator;
use super::answers::Asked;
use super::demand::DemandChange;
use super::interface::{CoordinatorAction, CoordinatorEvent, StoreFault};
use super::leading::Leading;
use super::lease::LeaseChange;
use super::placement::PlacementOutcome;
use crate::configuration::Configuration;

impl Coordinator {
    /// Changes the state by an event. Returns the demand that is to be answered.
    pub(super) fn take_in(
        &mut self,
        event: CoordinatorEvent,
        now: Timestamp,
        configuration: &Configuration,
        actions: &mut Vec<CoordinatorAction>,
    ) -> Option<Asked> {
        // What only confirms what is known calls for no new plan.
        self.changed |= matches!(
            event,
            CoordinatorEvent::PlacementRead(_)
                | CoordinatorEvent::PlacementWritten(_)
                | CoordinatorEvent::QuotasRead(_)
                | CoordinatorEvent::QuotaWritten(..)
                | CoordinatorEvent::OrderAnswered { .. }
                | CoordinatorEvent::GatewayGone(_)
        );
        match event {
            CoordinatorEvent::Tick => {
                let expired = self.shared.demands.expire(now, &self.shared.settings);
                self.touch(expired);
            }
            CoordinatorEvent::Rank(rank) => self.shared.lease.set_rank(rank),
            CoordinatorEvent::Stop => {
                self.shared.lease.stop(now);
                self.resign(actions);
            }
            CoordinatorEvent::Machines(machines) => {
                if let Some(leading) = &mut self.leading {
                    leading.apply_machines(&machines, now);
                }
                self.changed |= self.machines.as_ref() != Some(&machines);
                self.machines = Some(machines);
            }
            CoordinatorEvent::Demanded(gateway, demand) => {
                return Some(self.demanded(gateway, demand, now));
            }
            CoordinatorEvent::GatewayGone(gateway) => {
                let forgotten = self.shared.demands.forget_gateway(&gateway);
                self.touch(forgotten);
                if let Some(leading) = &mut self.leading {
                    leading.answers.forget_gateway(&gateway);
                }
            }
            CoordinatorEvent::LeaseRead(result) => {
                self.note_probe(result.as_ref().err().copied(), now);
                let change = self
                    .shared
                    .lease
                    .on_read(result, now, &self.shared.settings);
                self.lease_changed(change, now, actions);
            }
            CoordinatorEvent::LeaseWritten(result) => {
                self.note_probe(result.as_ref().err().copied(), now);
                let change = self
                    .shared
                    .lease
                    .on_written(result, now, &self.shared.settings);
                self.lease_changed(change, now, actions);
            }
            store @ (CoordinatorEvent::PlacementRead(_)
            | CoordinatorEvent::PlacementWritten(_)
            | CoordinatorEvent::QuotasRead(_)
            | CoordinatorEvent::QuotaChanged(..)
            | CoordinatorEvent::QuotaWritten(..)) => self.take_in_record(store, now, actions),
            runner @ (CoordinatorEvent::OrderAnswered { .. }
            | CoordinatorEvent::InventoryRead { .. }
            | CoordinatorEvent::LoadReported(..)
            | CoordinatorEvent::InventoryHolds(..)
            | CoordinatorEvent::RunnerSilent(..)) => {
                self.take_in_runner(runner, now, configuration);
            }
        }
        None
    }

    pub(super) fn demanded(
        &mut self,
        gateway: DaemonName,
        demand: Demand,
        now: Timestamp,
    ) -> Asked {
        let artifact = demand.artifact.clone();
        let known = demand.known;
        if self.shared.demands.is_running(&artifact) {
            // Demand of running requests is renewed rarely, so a pause in it is no idle time.
            self.shared.keep_alive.record_use(&artifact, now);
            self.shared.keep_alive.record_use(&artifact.base(), now);
        }
        if demand.waiting > 0 || demand.running > 0 || demand.arrivals > 0 {
            // An adapter keeps its base in use as well.
            let keep_alive = &mut self.shared.keep_alive;
            keep_alive.record_arrival(&artifact, now);
            keep_alive.record_arrival(&artifact.base(), now);
        }
        let change = self.shared.demands.put(gateway.clone(), demand, now);
        if change != DemandChange::None {
            self.touch([artifact.clone()]);
        }
        self.changed |= change == DemandChange::Urgent;
        Asked {
            gateway,
            artifact,
            known,
        }
    }

    /// Has the next plan look at some artifacts.
    fn touch(&mut self, artifacts: impl IntoIterator<Item = ArtifactId>) {
        if let Some(leading) = &mut self.leading {
            leading.touched.extend(artifacts);
        }
    }

    /// Takes in an answer of the store about placement or quotas.
    pub(super) fn take_in_record(
        &mut self,
        event: CoordinatorEvent,
        now: Timestamp,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let placement_answer = matches!(
            event,
            CoordinatorEvent::PlacementRead(_) | CoordinatorEvent::PlacementWritten(_)
        );
        if placement_answer && std::mem::take(&mut self.stray_placement) {
            return;
        }
        if let CoordinatorEvent::QuotaWritten(subject, _) = &event
            && let Some(position) = self.stray_quotas.iter().position(|stray| stray == subject)
        {
            self.stray_quotas.swap_remove(position);
            if let Some(leading) = &mut self.leading {
                leading.quotas.earlier_term_write_answered(subject);
            }
            return;
        }
        let settings = self.shared.settings.clone();
        let fault = match &event {
            CoordinatorEvent::PlacementRead(result) => result.as_ref().err().copied(),
            CoordinatorEvent::PlacementWritten(result)
            | CoordinatorEvent::QuotaWritten(_, result) => result.as_ref().err().copied(),
            CoordinatorEvent::QuotasRead(result) => result.as_ref().err().copied(),
            _ => None,
        };
        if fault.is_some_and(StoreFault::is_failure) {
            self.shared.store.failed(now);
        } else {
            self.shared.store.answered(now);
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        let change = match event {
            CoordinatorEvent::PlacementRead(result) => {
                leading.placement.on_read(result, now, &settings)
            }
            CoordinatorEvent::PlacementWritten(result) => {
                leading.placement.on_written(result, now, &settings)
            }
            CoordinatorEvent::QuotasRead(result) => {
                leading.quotas.on_read_all(result, now, &settings);
                PlacementOutcome::None
            }
            CoordinatorEvent::QuotaChanged(revision, quota) => {
                self.changed |= leading.quotas.on_changed(revision, quota);
                PlacementOutcome::None
            }
            CoordinatorEvent::QuotaWritten(subject, result) => {
                leading.quotas.on_written(&subject, result, now, &settings);
                PlacementOutcome::None
            }
            _ => PlacementOutcome::None,
        };
        match change {
            PlacementOutcome::None => {}
            PlacementOutcome::Superseded(term) => leading.note_term(term),
            PlacementOutcome::Fenced => actions.push(CoordinatorAction::Lead(leading.term)),
        }
    }

    /// Takes in what a runner or its observer says.
    pub(super) fn take_in_runner(
        &mut self,
        event: CoordinatorEvent,
        now: Timestamp,
        configuration: &Configuration,
    ) {
        let context = self.shared.context(now, configuration);
        let Some(leading) = &mut self.leading else {
            return;
        };
        match event {
            CoordinatorEvent::OrderAnswered {
                runner,
                order,
                answer,
            } => leading.apply_answer(&runner, order, answer, &context),
            CoordinatorEvent::InventoryRead { runner, inventory } => {
                self.changed |= leading.apply_inventory(&runner, inventory, now);
            }
            CoordinatorEvent::LoadReported(runner, report) => {
                if let Some(runner) = leading.runners.get_mut(&runner) {
                    runner.report = report;
                }
            }
            CoordinatorEvent::InventoryHolds(runner, version) => {
                if let Some(runner) = leading.runners.get_mut(&runner) {
                    runner.observed(version, now);
                }
            }
            CoordinatorEvent::RunnerSilent(runner) => {
                if let Some(runner) = leading.runners.get_mut(&runner) {
                    runner.doubt();
                }
            }
            _ => {}
        }
    }

    /// Notes what the end of an operation on the lease says about the store.
    fn note_probe(&mut self, fault: Option<StoreFault>, now: Timestamp) {
        if fault.is_some_and(StoreFault::is_failure) {
            self.shared.store.probe_failed(now);
        } else {
            self.shared.store.probe_answered(now);
        }
    }

    pub(super) fn lease_changed(
        &mut self,
        change: LeaseChange,
        now: Timestamp,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        match change {
            LeaseChange::None => {}
            LeaseChange::Lost => self.resign(actions),
            LeaseChange::Taken(term) => {
                self.resign(actions);
                let generator = ChaCha8Rng::seed_from_u64(self.generator.random());
                let mut leading = Leading::new(
                    term,
                    &self.shared.zone,
                    &self.shared.settings,
                    self.shared.weakness,
                    now,
                    generator,
                );
                leading.quotas.await_earlier_term_writes(&self.stray_quotas);
                if let Some(machines) = &self.machines {
                    leading.apply_machines(machines, now);
                }
                self.leading = Some(leading);
            }
        }
    }

    pub(super) fn resign(&mut self, actions: &mut Vec<CoordinatorAction>) {
        let Some(leading) = self.leading.take() else {
            return;
        };
        self.stray_placement |= leading.placement.is_busy();
        self.stray_quotas.extend(leading.quotas.outstanding());
        if leading.placement.fenced() {
            actions.push(CoordinatorAction::Resign);
        }
    }
}
