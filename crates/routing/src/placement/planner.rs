//! Decides which order goes to which runner.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::homes::Requirement;
use crate::names::{RunnerId, ServiceName, Unit};

use super::candidates::PlanResources;
use super::demand::WantedUnit;
use super::runner_record::{DeferredLoad, RunnerRecord, WeightSource};
use super::saturation::LOW_UTILIZATION;
use super::store_link::StoreLink;
use super::victims::Room;
use super::{Action, Operation, Order, Placement, Reason, UNLOAD_TIME};

/// Request rate per second from which a model counts as busy and keeps several copies.
pub(super) const BUSY_RATE: f64 = 0.7;
/// Maximum number of concurrent report requests; each takes a connection.
const MAX_CONCURRENT_REPORTS: usize = 64;
/// Maximum number of adapters being loaded on one runner.
const MAX_PENDING_ADAPTERS: usize = 3;
/// Share of the store load rate that is available for copies without waiting requests.
const REPLICA_SHARE: f64 = 0.5;
/// Maximum eviction cost for a copy without waiting requests, in ms.
const MAX_REPLICA_COST_MS: f64 = 700.0;

impl Placement {
    /// Decides on the actions to take now.
    pub fn plan(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = self.due_reports(now);
        if now < self.orders_from {
            return actions;
        }
        self.demands.refresh(now);
        for record in self.records.values_mut() {
            record.update_cold_end(now);
        }
        self.settle_expected(now);
        self.resume_deferred_loads(now);
        self.update_store_links(now);
        let awaited = self.models_of_awaited_adapters();
        let mut resources = PlanResources::new(awaited, self.free_store_loads());
        self.relieve_saturated(&mut resources, now);
        for wanted in self.demands.wanted().to_vec() {
            self.place_wanted(&wanted, &mut resources, now);
        }
        self.add_replicas(&mut resources, now);
        actions.extend(self.due_orders(now));
        actions
    }

    /// Updates the number of loads in flight on the store links.
    fn update_store_links(&mut self, now: Timestamp) {
        for service in self.engines.keys() {
            let records = self.records.values();
            let records = records.filter(|it| it.runner.service == *service);
            let in_flight = records.filter(|it| it.may_load_from_store()).count();
            let link = self.store_links.entry(service.clone());
            let link = link.or_insert_with(|| StoreLink::new(now));
            link.set_in_flight(in_flight, now);
            link.note_overdue(now);
        }
    }

    /// Loads from the weight store that may be started now, by service.
    fn free_store_loads(&self) -> BTreeMap<ServiceName, usize> {
        let free = |(service, link): (&ServiceName, &StoreLink)| {
            let records = self.records.values();
            let records = records.filter(|it| it.runner.service == *service);
            let taken = records.filter(|it| it.may_load_from_store() || it.defers_store_load());
            (service.clone(), link.limit().saturating_sub(taken.count()))
        };
        self.store_links.iter().map(free).collect()
    }

    /// The weight memory of the runners that can take an order for a model.
    pub(super) fn rooms(
        &self,
        awaited: &HashSet<Requirement>,
        now: Timestamp,
    ) -> BTreeMap<RunnerId, Room> {
        let free = self.records.values();
        let free = free.filter(|record| record.is_free(now) && record.deferred_load.is_none());
        let free = free.filter(|record| !self.is_reserved_for_adapters(record, awaited, now));
        let room = |record: &RunnerRecord| {
            let engine = self.engines.get(&record.runner.service)?;
            Some((record.runner.id.clone(), self.room(record, engine, now)))
        };
        free.filter_map(room).collect()
    }

    /// Models of adapters that requests wait for and that are not being loaded.
    fn models_of_awaited_adapters(&self) -> HashSet<Requirement> {
        let wanted = self.demands.wanted().iter();
        wanted
            .map(|wanted| &wanted.requirement)
            .filter(|wanted| wanted.unit.adapter.is_some())
            .filter(|wanted| !self.copies.is_offered(wanted) && !self.copies.is_pending(wanted))
            .map(Requirement::base)
            .collect()
    }

    /// Whether a runner is kept free of model orders because adapters that could be placed there
    /// have waiting requests. An adapter takes some ms; a model order would delay it until the
    /// requests of the evicted models have ended and the model is loaded.
    fn is_reserved_for_adapters(
        &self,
        record: &RunnerRecord,
        awaited: &HashSet<Requirement>,
        now: Timestamp,
    ) -> bool {
        let could_serve =
            |model: &Requirement| record.offers(&model.unit) && self.is_allowed(record, model);
        if !awaited.iter().any(could_serve) {
            return false;
        }
        let slots = self.engines.get(&record.runner.service);
        let slots = slots.map_or(0, |engine| engine.adapter_slots);
        record.adapters().len() < slots || self.adapter_victim(record, now).is_some()
    }

    /// The reports to read now. A new coordinator reads those of all runners, a few at a time:
    /// first of runners that have not failed to answer, and among these of runners with unknown
    /// holdings.
    fn due_reports(&mut self, now: Timestamp) -> Vec<Action> {
        let asked = self.records.values();
        let asked = asked.filter(|record| record.report_asked_at.is_some());
        let free_slots = MAX_CONCURRENT_REPORTS.saturating_sub(asked.count());
        let pacing = &mut self.call_pacing;
        let due = self.records.values_mut();
        let due = due.filter(|record| pacing.may_call(&record.runner.id, now));
        let mut due: Vec<&mut RunnerRecord> =
            due.filter(|record| record.report_is_due(now)).collect();
        due.sort_by_key(|record| {
            (
                record.unanswered_reports(),
                record.has_only_assumed_holdings(),
            )
        });
        let ask = |record: &mut RunnerRecord| {
            pacing.note_call(&record.runner.id, now);
            record.report_asked_at = Some(now);
            Action::Report {
                runner: record.runner.id.clone(),
                address: record.runner.address,
            }
        };
        due.into_iter().take(free_slots).map(ask).collect()
    }

    fn due_orders(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        for record in self.records.values_mut() {
            if !self.call_pacing.may_call(&record.runner.id, now) {
                continue;
            }
            let Some((order, expected_count, reason)) = record.due_order(now) else {
                continue;
            };
            self.call_pacing.note_call(&record.runner.id, now);
            let source = record.order_state().and_then(|state| state.source);
            if source == Some(WeightSource::Store) {
                let loads = self.store_loads.entry(record.runner.service.clone());
                let loads = loads.or_default();
                loads.retain(|&at| now.since(at) <= self.settings.load_window);
                loads.push_back(now);
            }
            actions.push(Action::Order {
                runner: record.runner.id.clone(),
                address: record.runner.address,
                order,
                expected_count,
                reason,
            });
        }
        actions
    }

    /// Settles orders that are assumed to be done without a report.
    fn settle_expected(&mut self, now: Timestamp) {
        let due = self.records.iter();
        let due = due.filter(|(_, record)| record.expected_at().is_some_and(|at| now >= at));
        let due: Vec<RunnerId> = due.map(|(id, _)| id.clone()).collect();
        for runner in due {
            self.change(&runner, |record| record.settle_expected(now));
        }
    }

    /// Resumes loads for which room was being made.
    fn resume_deferred_loads(&mut self, now: Timestamp) {
        let ready: Vec<(RunnerId, DeferredLoad)> = self
            .records
            .iter()
            .filter(|(_, record)| record.is_free(now))
            .filter_map(|(id, record)| Some((id.clone(), record.deferred_load.clone()?)))
            .collect();
        for (runner, deferred_load) in ready {
            let is_served = self.copies.is_offered(&deferred_load.requirement);
            self.change(&runner, |record| record.deferred_load = None);
            if !is_served || deferred_load.reason == Reason::Replica {
                self.load_at(
                    &runner,
                    &deferred_load.requirement,
                    deferred_load.reason,
                    now,
                );
            }
        }
    }

    /// Places a unit that requests wait for, unless it is already being loaded.
    fn place_wanted(&mut self, wanted: &WantedUnit, resources: &mut PlanResources, now: Timestamp) {
        let requirement = &wanted.requirement;
        if self.copies.is_pending(requirement) {
            return;
        }
        if self.copies.is_offered(requirement) {
            self.relieve_limited_copies(wanted, resources, now);
            return;
        }
        if requirement.unit.adapter.is_some() {
            self.place_wanted_adapter(requirement, resources, now);
        } else {
            self.place_model(requirement, resources, now);
        }
    }

    fn place_model(&mut self, model: &Requirement, resources: &mut PlanResources, now: Timestamp) {
        if let Some(candidate) = self.best_candidate(model, resources, now) {
            resources.reserve(&candidate, &model.unit.service);
            self.load_at(&candidate.runner, model, Reason::Demand, now);
        }
    }

    fn place_wanted_adapter(
        &mut self,
        wanted: &Requirement,
        resources: &mut PlanResources,
        now: Timestamp,
    ) {
        let base = wanted.base();
        if !self.copies.is_offered(&base) {
            if !self.copies.is_pending(&base) {
                self.place_model(&base, resources, now);
            }
            return;
        }
        self.place_adapter(wanted, resources, now);
    }

    /// Loads an adapter on the runner with the fewest adapters within its homes that offers its
    /// model, preferably one without a capacity limit and with low utilization; evicts another
    /// adapter first if there is no room.
    pub(super) fn place_adapter(
        &mut self,
        wanted: &Requirement,
        resources: &mut PlanResources,
        now: Timestamp,
    ) {
        let unit = &wanted.unit;
        let Some(engine) = self.engines.get(&unit.service) else {
            return;
        };
        let base = unit.base();
        let slots = engine.slots;
        let offering = self.copies.offered_at(&base);
        let best = offering
            .filter_map(|runner| self.records.get(runner))
            .filter(|record| record.offers(&base) && !record.has(unit) && record.is_free(now))
            .filter(|record| self.is_allowed(record, wanted))
            .filter(|record| record.pending_adapter_count() < MAX_PENDING_ADAPTERS)
            .min_by_key(|record| {
                let has_low_utilization = self.utilization(record, slots) < LOW_UTILIZATION;
                let is_limited = !record.limited_for(now).is_zero();
                (is_limited, !has_low_utilization, record.adapters().len())
            });
        let Some(record) = best else {
            return;
        };
        let has_slot = record.adapters().len() < engine.adapter_slots;
        let size = engine.models.get(&unit.model).map_or(0.0, |m| m.adapter_mb);
        let has_room = record.free_mb(engine) >= size;
        let runner = record.runner.id.clone();
        resources.remove_runner(&runner);
        if has_slot && has_room {
            self.begin(&runner, Operation::Load, unit.clone(), Reason::Demand, now);
        } else if let Some(victim) = self.adapter_victim(record, now) {
            self.begin(&runner, Operation::Unload, victim, Reason::Room, now);
        }
    }

    /// Loads another copy of a model within some homes, if the eviction cost does not exceed a
    /// maximum.
    pub(super) fn replicate(
        &mut self,
        model: &Requirement,
        max_cost_ms: f64,
        resources: &mut PlanResources,
        now: Timestamp,
    ) {
        let Some(candidate) = self.best_candidate(model, resources, now) else {
            return;
        };
        if candidate.victims.cost_ms <= max_cost_ms {
            resources.reserve(&candidate, &model.unit.service);
            self.load_at(&candidate.runner, model, Reason::Replica, now);
        }
    }

    /// Adds copies of busy models up to the number for their rate, within a share of the store load
    /// rate, where evictions are cheap.
    fn add_replicas(&mut self, resources: &mut PlanResources, now: Timestamp) {
        for (model, rate) in self.demands.busy_models(BUSY_RATE) {
            let unit = &model.unit;
            let engine = self.engines.get(&unit.service);
            let is_known = engine.is_some_and(|engine| engine.models.contains_key(&unit.model));
            let has_enough = self.copies.count(&model) >= self.wanted_copies(&model, rate);
            if !is_known || has_enough || self.copies.is_pending(&model) {
                continue;
            }
            if !self.allows_store_load(&unit.service, REPLICA_SHARE, now) {
                continue;
            }
            self.replicate(&model, MAX_REPLICA_COST_MS, resources, now);
        }
    }

    /// Loads a model on a runner, or first evicts another one to make room.
    pub(super) fn load_at(
        &mut self,
        runner: &RunnerId,
        requirement: &Requirement,
        reason: Reason,
        now: Timestamp,
    ) {
        let unit = &requirement.unit;
        let Some(engine) = self.engines.get(&unit.service) else {
            return;
        };
        let Some(record) = self.records.get(runner) else {
            return;
        };
        if record.has(unit) {
            return;
        }
        let Some(specification) = engine.models.get(&unit.model) else {
            return;
        };
        let room = self.room(record, engine, now);
        let Some(victims) = room.victims(&unit.model, specification.weights_mb) else {
            return;
        };
        let Some(victim) = victims.models.first() else {
            self.begin(runner, Operation::Load, unit.clone(), reason, now);
            return;
        };
        let victim = Unit {
            model: victim.clone(),
            ..unit.base()
        };
        let deferred_load = DeferredLoad {
            requirement: requirement.clone(),
            reason,
        };
        self.change(runner, |record| record.deferred_load = Some(deferred_load));
        self.begin(runner, Operation::Unload, victim, Reason::Room, now);
    }

    fn begin(
        &mut self,
        runner: &RunnerId,
        operation: Operation,
        unit: Unit,
        reason: Reason,
        now: Timestamp,
    ) {
        let Some(record) = self.records.get(runner) else {
            return;
        };
        let expected = match operation {
            Operation::Load => self.expected_load_time(record, &unit),
            Operation::Unload => Some(UNLOAD_TIME),
        };
        let ready_at = now + expected.unwrap_or_default();
        let order = Order { operation, unit };
        self.change(runner, |record| record.begin(order, reason, ready_at));
    }

    /// Whether one more load from the weight store stays within a share of the store load rate. A
    /// new coordinator does not know the loads of the previous one and counts half of the rate as
    /// used.
    pub(super) fn allows_store_load(
        &self,
        service: &ServiceName,
        share: f64,
        now: Timestamp,
    ) -> bool {
        let Some(engine) = self.engines.get(service) else {
            return false;
        };
        let window = self.settings.load_window;
        let allowed = engine.loads_per_second * window.as_secs_f64() * share;
        let inherited = if now.since(self.started_at) < window {
            allowed / 2.0
        } else {
            0.0
        };
        let recent = self.recent_store_loads(service, now);
        (f64::from(recent) + inherited + 1.0).total_cmp(&allowed.max(1.0)) != Ordering::Greater
    }

    fn recent_store_loads(&self, service: &ServiceName, now: Timestamp) -> u32 {
        let start = now - self.settings.load_window;
        let loads = self.store_loads.get(service);
        let count = loads.map_or(0, |loads| loads.iter().filter(|&&at| at >= start).count());
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Time until the store load rate allows another load.
    pub(super) fn store_load_wait(&self, service: &ServiceName, now: Timestamp) -> Duration {
        if self.allows_store_load(service, 1.0, now) {
            return Duration::ZERO;
        }
        let start = now - self.settings.load_window;
        let oldest = self
            .store_loads
            .get(service)
            .and_then(|loads| loads.iter().find(|&&at| at >= start));
        oldest.map_or(Duration::ZERO, |&at| {
            (at + self.settings.load_window).since(now)
        })
    }
}
