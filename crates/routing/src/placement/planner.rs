//! Which order goes to which runner.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::homes::Requirement;
use crate::names::{RunnerId, ServiceName, Unit};

use super::candidates::Openings;
use super::demand::WantedUnit;
use super::ledger::{Intent, Ledger, WeightSource};
use super::pressure::ROOMY;
use super::store_link::StoreLink;
use super::victims::Room;
use super::{Action, Operation, Order, Placement, Reason, UNLOAD_TIME};

/// Requests a second from which a model is busy and keeps several copies.
pub(super) const BUSY_RATE: f64 = 0.7;
/// Reports that are read at one time; each takes a connection.
const REPORTS_AT_ONCE: usize = 64;
/// Adapters on their way to one runner at most.
const PENDING_ADAPTERS: usize = 3;
/// Part of the ceiling of loads that is used for copies which nobody waits for.
const REPLICA_SHARE: f64 = 0.5;
/// Highest price of what is dropped for a copy that nobody waits for, in ms.
const REPLICA_PRICE_MS: f64 = 700.0;

impl Placement {
    /// Decides and returns what is to be done now.
    pub fn plan(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = self.due_reports(now);
        if now < self.orders_from {
            return actions;
        }
        self.demands.refresh(now);
        for ledger in self.ledgers.values_mut() {
            ledger.note_cold(now);
        }
        self.settle_expected(now);
        self.follow_intents(now);
        self.watch_store_links(now);
        let awaited = self.models_of_awaited_adapters();
        let mut openings = Openings::new(awaited, self.free_store_loads());
        self.relieve_pressed(&mut openings, now);
        for wanted in self.demands.wanted().to_vec() {
            self.serve(&wanted, &mut openings, now);
        }
        self.add_replicas(&mut openings, now);
        actions.extend(self.due_orders(now));
        actions
    }

    /// Tells the links to the weight store how many loads are in flight.
    fn watch_store_links(&mut self, now: Timestamp) {
        for service in self.engines.keys() {
            let ledgers = self.ledgers.values();
            let ledgers = ledgers.filter(|it| it.runner.service == *service);
            let in_flight = ledgers.filter(|it| it.may_load_from_store()).count();
            let link = self.store_links.entry(service.clone());
            let link = link.or_insert_with(|| StoreLink::new(now));
            link.set_in_flight(in_flight, now);
            link.note_overdue(now);
        }
    }

    /// Loads from the weight store that may be begun now, by service.
    fn free_store_loads(&self) -> BTreeMap<ServiceName, usize> {
        let free = |(service, link): (&ServiceName, &StoreLink)| {
            let ledgers = self.ledgers.values();
            let ledgers = ledgers.filter(|it| it.runner.service == *service);
            let taken = ledgers.filter(|it| it.may_load_from_store() || it.intends_store_load());
            (service.clone(), link.limit().saturating_sub(taken.count()))
        };
        self.store_links.iter().map(free).collect()
    }

    /// The rooms of the runners that can be given an order for a model.
    pub(super) fn rooms(
        &self,
        awaited: &HashSet<Requirement>,
        now: Timestamp,
    ) -> BTreeMap<RunnerId, Room> {
        let free = self.ledgers.values();
        let free = free.filter(|ledger| ledger.is_free(now) && ledger.intent.is_none());
        let free = free.filter(|ledger| !self.is_kept_for_adapters(ledger, awaited, now));
        let room = |ledger: &Ledger| {
            let engine = self.engines.get(&ledger.runner.service)?;
            Some((ledger.runner.id.clone(), self.room(ledger, engine, now)))
        };
        free.filter_map(room).collect()
    }

    /// Models of adapters that requests wait for and that are not on their way.
    fn models_of_awaited_adapters(&self) -> HashSet<Requirement> {
        let wanted = self.demands.wanted().iter();
        wanted
            .map(|wanted| &wanted.requirement)
            .filter(|wanted| wanted.unit.adapter.is_some())
            .filter(|wanted| !self.copies.is_offered(wanted) && !self.copies.is_coming(wanted))
            .map(Requirement::base)
            .collect()
    }

    /// Whether a runner is kept free of orders for models: adapters that could be placed there are waited
    /// for. They take some ms each; an order for a model would hold them up until the requests of what it
    /// drops have ended and it is loaded.
    fn is_kept_for_adapters(
        &self,
        ledger: &Ledger,
        awaited: &HashSet<Requirement>,
        now: Timestamp,
    ) -> bool {
        let could_serve = |model: &Requirement| {
            ledger.offers(&model.unit) && self.is_at_home(ledger, &model.homes)
        };
        if !awaited.iter().any(could_serve) {
            return false;
        }
        let slots = self.engines.get(&ledger.runner.service);
        let slots = slots.map_or(0, |engine| engine.adapter_slots);
        ledger.adapters().len() < slots || self.adapter_victim(ledger, now).is_some()
    }

    /// The reports to read now. A new coordinator reads those of all runners, a few at a time: first of those that have
    /// not failed to answer, and among these of those of which it knows nothing.
    fn due_reports(&mut self, now: Timestamp) -> Vec<Action> {
        let asked = self.ledgers.values();
        let asked = asked.filter(|ledger| ledger.report_asked_at.is_some());
        let places = REPORTS_AT_ONCE.saturating_sub(asked.count());
        let pacing = &mut self.call_pacing;
        let due = self.ledgers.values_mut();
        let due = due.filter(|ledger| pacing.may_call(&ledger.runner.id, now));
        let mut due: Vec<&mut Ledger> = due.filter(|ledger| ledger.report_is_due(now)).collect();
        due.sort_by_key(|ledger| (ledger.unanswered_reports(), ledger.is_only_believed()));
        let ask = |ledger: &mut Ledger| {
            pacing.note_call(&ledger.runner.id, now);
            ledger.report_asked_at = Some(now);
            Action::Report {
                runner: ledger.runner.id.clone(),
                address: ledger.runner.address,
            }
        };
        due.into_iter().take(places).map(ask).collect()
    }

    fn due_orders(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        for ledger in self.ledgers.values_mut() {
            if !self.call_pacing.may_call(&ledger.runner.id, now) {
                continue;
            }
            let Some((order, expected_count, reason)) = ledger.due_order(now) else {
                continue;
            };
            self.call_pacing.note_call(&ledger.runner.id, now);
            let source = ledger.order_state().and_then(|state| state.source);
            if source == Some(WeightSource::Store) {
                let loads = self.store_loads.entry(ledger.runner.service.clone());
                let loads = loads.or_default();
                loads.retain(|&at| now.since(at) <= self.settings.load_window);
                loads.push_back(now);
            }
            actions.push(Action::Order {
                runner: ledger.runner.id.clone(),
                address: ledger.runner.address,
                order,
                expected_count,
                reason,
            });
        }
        actions
    }

    /// Believes that quick orders are done.
    fn settle_expected(&mut self, now: Timestamp) {
        let due = self.ledgers.iter();
        let due = due.filter(|(_, ledger)| ledger.expected_at().is_some_and(|at| now >= at));
        let due: Vec<RunnerId> = due.map(|(id, _)| id.clone()).collect();
        for runner in due {
            self.change(&runner, |ledger| ledger.settle_expected(now));
        }
    }

    /// Goes on with loads for which room was being made.
    fn follow_intents(&mut self, now: Timestamp) {
        let ready: Vec<(RunnerId, Intent)> = self
            .ledgers
            .iter()
            .filter(|(_, ledger)| ledger.is_free(now))
            .filter_map(|(id, ledger)| Some((id.clone(), ledger.intent.clone()?)))
            .collect();
        for (runner, intent) in ready {
            let is_served = self.copies.is_offered(&intent.requirement);
            self.change(&runner, |ledger| ledger.intent = None);
            if !is_served || intent.reason == Reason::Replica {
                self.load_at(&runner, &intent.requirement, intent.reason, now);
            }
        }
    }

    /// Sees to it that a unit which requests wait for gets ready somewhere.
    fn serve(&mut self, wanted: &WantedUnit, openings: &mut Openings, now: Timestamp) {
        let requirement = &wanted.requirement;
        if self.copies.is_coming(requirement) {
            return;
        }
        if self.copies.is_offered(requirement) {
            self.relieve_scarce(wanted, openings, now);
            return;
        }
        if requirement.unit.adapter.is_some() {
            self.serve_adapter(requirement, openings, now);
        } else {
            self.serve_model(requirement, openings, now);
        }
    }

    fn serve_model(&mut self, model: &Requirement, openings: &mut Openings, now: Timestamp) {
        if let Some(candidate) = self.best_candidate(model, openings, now) {
            openings.take(&candidate, &model.unit.service);
            self.load_at(&candidate.runner, model, Reason::Demand, now);
        }
    }

    fn serve_adapter(&mut self, wanted: &Requirement, openings: &mut Openings, now: Timestamp) {
        let base = wanted.base();
        if !self.copies.is_offered(&base) {
            if !self.copies.is_coming(&base) {
                self.serve_model(&base, openings, now);
            }
            return;
        }
        self.place_adapter(wanted, openings, now);
    }

    /// Loads an adapter at the least filled runner within its homes that offers its model and bears all, or first makes room
    /// for it there.
    pub(super) fn place_adapter(
        &mut self,
        wanted: &Requirement,
        openings: &mut Openings,
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
            .filter_map(|runner| self.ledgers.get(runner))
            .filter(|ledger| ledger.offers(&base) && !ledger.has(unit) && ledger.is_free(now))
            .filter(|ledger| self.is_at_home(ledger, &wanted.homes))
            .filter(|ledger| ledger.pending_adapter_count() < PENDING_ADAPTERS)
            .min_by_key(|ledger| {
                let is_roomy = self.filled(ledger, slots) < ROOMY;
                let is_scarce = !ledger.bears_little_for(now).is_zero();
                (is_scarce, !is_roomy, ledger.adapters().len())
            });
        let Some(ledger) = best else {
            return;
        };
        let has_slot = ledger.adapters().len() < engine.adapter_slots;
        let size = engine.models.get(&unit.model).map_or(0.0, |m| m.adapter_mb);
        let has_room = ledger.free_mb(engine) >= size;
        let runner = ledger.runner.id.clone();
        openings.close(&runner);
        if has_slot && has_room {
            self.begin(&runner, Operation::Load, unit.clone(), Reason::Demand, now);
        } else if let Some(victim) = self.adapter_victim(ledger, now) {
            self.begin(&runner, Operation::Unload, victim, Reason::Room, now);
        }
    }

    /// Loads a further copy of a model within some homes, if making room for it costs no more than a price.
    pub(super) fn replicate(
        &mut self,
        model: &Requirement,
        highest_price_ms: f64,
        openings: &mut Openings,
        now: Timestamp,
    ) {
        let Some(candidate) = self.best_candidate(model, openings, now) else {
            return;
        };
        if candidate.victims.price_ms <= highest_price_ms {
            openings.take(&candidate, &model.unit.service);
            self.load_at(&candidate.runner, model, Reason::Replica, now);
        }
    }

    /// Gives busy models the copies that they should have at their rate, with a part of the ceiling, where what
    /// would be dropped is worth little.
    fn add_replicas(&mut self, openings: &mut Openings, now: Timestamp) {
        for (model, rate) in self.demands.busy_models(BUSY_RATE) {
            let unit = &model.unit;
            let engine = self.engines.get(&unit.service);
            let is_known = engine.is_some_and(|engine| engine.models.contains_key(&unit.model));
            let has_enough = self.copies.count(&model) >= self.wanted_copies(&model, rate);
            if !is_known || has_enough || self.copies.is_coming(&model) {
                continue;
            }
            if !self.has_ceiling(&unit.service, REPLICA_SHARE, now) {
                continue;
            }
            self.replicate(&model, REPLICA_PRICE_MS, openings, now);
        }
    }

    /// Loads a model at a runner, or first makes room for it.
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
        let Some(ledger) = self.ledgers.get(runner) else {
            return;
        };
        if ledger.has(unit) {
            return;
        }
        let Some(specification) = engine.models.get(&unit.model) else {
            return;
        };
        let room = self.room(ledger, engine, now);
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
        let intent = Intent {
            requirement: requirement.clone(),
            reason,
        };
        self.change(runner, |ledger| ledger.intent = Some(intent));
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
        let Some(ledger) = self.ledgers.get(runner) else {
            return;
        };
        let expected = match operation {
            Operation::Load => self.expected_load_time(ledger, &unit),
            Operation::Unload => Some(UNLOAD_TIME),
        };
        let ready_at = now + expected.unwrap_or_default();
        let order = Order { operation, unit };
        self.change(runner, |ledger| ledger.begin(order, reason, ready_at));
    }

    /// Whether a further load from the weight store stays under a share of the ceiling. A new
    /// coordinator does not know the loads of the one before it and counts half of them as done.
    pub(super) fn has_ceiling(&self, service: &ServiceName, share: f64, now: Timestamp) -> bool {
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

    /// Time until the ceiling allows a further load.
    pub(super) fn ceiling_wait(&self, service: &ServiceName, now: Timestamp) -> Duration {
        if self.has_ceiling(service, 1.0, now) {
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
