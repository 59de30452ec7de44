//! Applies events to the coordinator's state.

use flaxward_types::routing::Demand;
use flaxward_types::{ArtifactId, DaemonName, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Coordinator;
use super::answers::GatewayQuery;
use super::demand::DemandChange;
use super::interface::{CoordinatorAction, CoordinatorEvent, StoreFault};
use super::leading::Leading;
use super::lease::LeaseChange;
use super::placement::PlacementOutcome;
use crate::configuration::Configuration;

impl Coordinator {
    /// Applies an event to the state. Returns the gateway query to answer, if there is one.
    pub(super) fn apply_event(
        &mut self,
        event: CoordinatorEvent,
        now: Timestamp,
        configuration: &Configuration,
        actions: &mut Vec<CoordinatorAction>,
    ) -> Option<GatewayQuery> {
        // Events that only confirm the known state need no new plan.
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
                return Some(self.apply_demand(gateway, demand, now));
            }
            CoordinatorEvent::GatewayGone(gateway) => {
                let removed = self.shared.demands.forget_gateway(&gateway);
                self.touch(removed);
                if let Some(leading) = &mut self.leading {
                    leading.answers.remove_gateway(&gateway);
                }
            }
            CoordinatorEvent::LeaseRead(result) => {
                self.record_probe(result.as_ref().err().copied(), now);
                let change = self
                    .shared
                    .lease
                    .on_read(result, now, &self.shared.settings);
                self.apply_lease_change(change, now, actions);
            }
            CoordinatorEvent::LeaseWritten(result) => {
                self.record_probe(result.as_ref().err().copied(), now);
                let change = self
                    .shared
                    .lease
                    .on_written(result, now, &self.shared.settings);
                self.apply_lease_change(change, now, actions);
            }
            store @ (CoordinatorEvent::PlacementRead(_)
            | CoordinatorEvent::PlacementWritten(_)
            | CoordinatorEvent::QuotasRead(_)
            | CoordinatorEvent::QuotaChanged(..)
            | CoordinatorEvent::QuotaWritten(..)) => self.apply_store_event(store, now, actions),
            runner @ (CoordinatorEvent::OrderAnswered { .. }
            | CoordinatorEvent::InventoryRead { .. }
            | CoordinatorEvent::LoadReported(..)
            | CoordinatorEvent::InventoryUnchanged(..)
            | CoordinatorEvent::RunnerUnanswered(..)) => {
                self.apply_runner_event(runner, now, configuration);
            }
        }
        None
    }

    pub(super) fn apply_demand(
        &mut self,
        gateway: DaemonName,
        demand: Demand,
        now: Timestamp,
    ) -> GatewayQuery {
        let artifact = demand.artifact.clone();
        let known = demand.known;
        if self.shared.demands.is_running(&artifact) {
            // Demand of running requests is renewed rarely, so the time between renewals is not
            // idle time.
            self.shared.keep_alive.record_use(&artifact, now);
            self.shared.keep_alive.record_use(&artifact.base(), now);
        }
        if demand.waiting > 0 || demand.running > 0 || demand.arrivals > 0 {
            // Use of an adapter counts as use of its base.
            let keep_alive = &mut self.shared.keep_alive;
            keep_alive.record_arrival(&artifact, now);
            keep_alive.record_arrival(&artifact.base(), now);
        }
        let change = self.shared.demands.put(gateway.clone(), demand, now);
        if change != DemandChange::None {
            self.touch([artifact.clone()]);
        }
        self.changed |= change == DemandChange::Urgent;
        GatewayQuery {
            gateway,
            artifact,
            known,
        }
    }

    /// Marks artifacts for examination by the next plan.
    fn touch(&mut self, artifacts: impl IntoIterator<Item = ArtifactId>) {
        if let Some(leading) = &mut self.leading {
            leading.touched.extend(artifacts);
        }
    }

    /// Applies a store response about the placement or a quota.
    pub(super) fn apply_store_event(
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
            self.shared.store.record_failure(now);
        } else {
            self.shared.store.record_success(now);
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
            PlacementOutcome::Superseded(term) => leading.observe_term(term),
            PlacementOutcome::Fenced => actions.push(CoordinatorAction::Lead(leading.term)),
        }
    }

    /// Applies an event from a runner or its observer.
    pub(super) fn apply_runner_event(
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
            CoordinatorEvent::InventoryUnchanged(runner, version) => {
                if let Some(runner) = leading.runners.get_mut(&runner) {
                    runner.confirm_inventory(version, now);
                }
            }
            CoordinatorEvent::RunnerUnanswered(runner) => {
                if let Some(runner) = leading.runners.get_mut(&runner) {
                    runner.mark_unconfirmed();
                }
            }
            _ => {}
        }
    }

    /// Updates the store's health from the result of an operation on the lease.
    fn record_probe(&mut self, fault: Option<StoreFault>, now: Timestamp) {
        if fault.is_some_and(StoreFault::is_failure) {
            self.shared.store.probe_failed(now);
        } else {
            self.shared.store.probe_answered(now);
        }
    }

    pub(super) fn apply_lease_change(
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
