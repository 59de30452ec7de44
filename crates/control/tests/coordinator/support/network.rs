//! Requests of daemons to the store and to the engines, delayed or lost at the current loss rate.

use flaxward_control::coordinator::{CoordinatorAction, CoordinatorEvent, EngineFault, StoreFault};
use flaxward_types::engine::Order;
use flaxward_types::{BootId, DaemonName, RunnerName};
use rand::RngExt;

use super::engine::Effect;
use super::simulation::{GIGABYTE, Reply, Simulation, SimulationEvent};
use super::store::Store;

const DRIVER_TIMEOUT: u64 = 1_500;
/// Time for which a driver tries to determine the outcome of an unanswered operation.
const RESOLUTION_TIMEOUT: u64 = 6_500;
const MAX_DELAY: u64 = 9_000;

impl Simulation {
    pub(super) fn execute(
        &mut self,
        name: &DaemonName,
        incarnation: u64,
        action: CoordinatorAction,
    ) {
        match action {
            CoordinatorAction::SendOrder { runner, order, .. } => {
                self.send_to_runner(name, incarnation, runner, Some(order));
            }
            CoordinatorAction::ReadInventory { runner, .. } => {
                self.send_to_runner(name, incarnation, runner, None);
            }
            CoordinatorAction::Answer(gateway, answer) => {
                let time = self.now + self.latency();
                if !self.draw_loss() {
                    self.schedule(
                        time,
                        SimulationEvent::DeliverAnswer(gateway, Box::new(answer)),
                    );
                }
            }
            CoordinatorAction::Stopped => {
                if let Some(daemon) = self.daemons.get_mut(name) {
                    daemon.coordinator = None;
                    daemon.incarnation += 1;
                }
                self.schedule(self.now + 2_000, SimulationEvent::Start(name.clone()));
            }
            CoordinatorAction::Confirm(..)
            | CoordinatorAction::Lead(_)
            | CoordinatorAction::Resign
            | CoordinatorAction::Record(_) => {}
            operation => self.send_to_store(name, incarnation, operation),
        }
    }

    pub(super) fn send_to_store(
        &mut self,
        name: &DaemonName,
        incarnation: u64,
        action: CoordinatorAction,
    ) {
        let time = self.now + self.latency();
        if self.store_silent_until > self.now {
            // The driver keeps trying to determine the outcome, so that an operation can outlast a
            // lease.
            let answered = self.store_silent_until + DRIVER_TIMEOUT;
            let given_up = answered.min(self.now + RESOLUTION_TIMEOUT);
            if let Some(event) = Store::failure(&action, StoreFault::Unknown) {
                self.deliver_at(given_up, name.clone(), incarnation, event);
            }
            return;
        }
        let action = Box::new(action);
        if !self.draw_loss() {
            self.schedule(
                time,
                SimulationEvent::StoreRequest(name.clone(), incarnation, action, Reply::Delivered),
            );
            return;
        }
        // The answer is lost, and the operation itself is delayed or lost.
        if let Some(event) = Store::failure(&action, StoreFault::Unknown) {
            self.deliver_at(self.now + DRIVER_TIMEOUT, name.clone(), incarnation, event);
        }
        let late = self.now + self.generator.random_range(1..MAX_DELAY);
        if self.generator.random_range(0..4) > 0 {
            self.schedule(
                late,
                SimulationEvent::StoreRequest(name.clone(), incarnation, action, Reply::Lost),
            );
        }
    }

    /// Lets an order of a daemon arrive at a given time; its answer is discarded.
    pub fn send_delayed_order(
        &mut self,
        daemon: &str,
        runner: RunnerName,
        order: Order,
        time: u64,
    ) {
        let name = DaemonName::literal(daemon);
        let order = Some(Box::new(order));
        self.schedule(
            time,
            SimulationEvent::RunnerRequest(name, 0, runner, order, Reply::Lost),
        );
    }

    /// Lets a store operation of a daemon arrive at a given time; its answer is discarded.
    pub fn send_delayed_operation(&mut self, daemon: &str, action: CoordinatorAction, time: u64) {
        let name = DaemonName::literal(daemon);
        let event = SimulationEvent::StoreRequest(name, 0, Box::new(action), Reply::Lost);
        self.schedule(time, event);
    }

    pub(super) fn execute_at_store(
        &mut self,
        name: &DaemonName,
        incarnation: u64,
        action: &CoordinatorAction,
        reply: Reply,
    ) {
        let time = self.now + self.latency();
        let is_unreachable = self.daemons[name].store_unreachable_until > self.now;
        let event = if is_unreachable || self.store_down_until > self.now {
            Store::failure(action, StoreFault::Unavailable)
        } else if let CoordinatorAction::ReadQuota(subject) = action {
            let found = self.store.quota(subject);
            found.map(|(revision, quota)| CoordinatorEvent::QuotaChanged(revision, quota))
        } else {
            if *action == CoordinatorAction::ReadQuotas {
                self.daemons.get_mut(name).expect("a known daemon").watching = true;
            }
            let zone = self.daemons[name].zone.clone();
            let event = self.store.execute(&zone, action);
            self.notify_watchers(&event);
            self.check_store();
            Some(event)
        };
        if let Some(event) = event.filter(|_| reply == Reply::Delivered) {
            self.deliver_at(time, name.clone(), incarnation, event);
        }
    }

    pub(super) fn notify_watchers(&mut self, event: &CoordinatorEvent) {
        let CoordinatorEvent::QuotaWritten(subject, Ok(_)) = event else {
            return;
        };
        let Some((revision, quota)) = self.store.quota(subject) else {
            return;
        };
        let watching = self
            .daemons
            .iter()
            .filter(|(_, daemon)| daemon.watching && daemon.store_unreachable_until <= self.now);
        let names: Vec<(DaemonName, u64)> = watching
            .map(|(name, daemon)| (name.clone(), daemon.incarnation))
            .collect();
        for (name, incarnation) in names {
            let event = CoordinatorEvent::QuotaChanged(revision, quota.clone());
            let time = self.now + self.latency() * 3;
            self.deliver_at(time, name, incarnation, event);
        }
    }

    pub(super) fn send_to_runner(
        &mut self,
        name: &DaemonName,
        incarnation: u64,
        runner: RunnerName,
        order: Option<Order>,
    ) {
        let time = self.now + self.latency();
        let boxed = order.clone().map(Box::new);
        if !self.draw_loss() {
            let event = SimulationEvent::RunnerRequest(
                name.clone(),
                incarnation,
                runner,
                boxed,
                Reply::Delivered,
            );
            self.schedule(time, event);
            return;
        }
        let event = failure_event(&runner, order.as_ref(), EngineFault::Unknown);
        self.deliver_at(self.now + DRIVER_TIMEOUT, name.clone(), incarnation, event);
        let late = self.now + self.generator.random_range(1..MAX_DELAY);
        if self.generator.random_range(0..4) > 0 {
            let event = SimulationEvent::RunnerRequest(
                name.clone(),
                incarnation,
                runner,
                boxed,
                Reply::Lost,
            );
            self.schedule(late, event);
        }
    }

    pub(super) fn execute_at_runner(
        &mut self,
        name: &DaemonName,
        incarnation: u64,
        runner: &RunnerName,
        order: Option<&Order>,
        reply: Reply,
    ) {
        let mut time = self.now + self.latency();
        let is_unreachable = self
            .unreachable_runners
            .get(runner)
            .is_some_and(|until| *until > self.now);
        let Some(engine) = self
            .engines
            .get_mut(runner)
            .filter(|engine| engine.is_running && !is_unreachable)
        else {
            let event = failure_event(runner, order, EngineFault::Unreachable);
            if reply == Reply::Delivered {
                self.deliver_at(time, name.clone(), incarnation, event);
            }
            return;
        };
        let event = match order {
            None => CoordinatorEvent::InventoryRead {
                runner: runner.clone(),
                inventory: Ok(engine.inventory()),
            },
            Some(order) => {
                let (answer, effect) = engine.handle_order(order);
                let boot = engine.boot;
                self.check_answer(runner, order, &answer);
                self.start_effect(runner, boot, effect);
                CoordinatorEvent::OrderAnswered {
                    runner: runner.clone(),
                    order: order.id,
                    answer: Ok(answer),
                }
            }
        };
        if self.draw_loss() {
            time += self.generator.random_range(0..MAX_DELAY);
        }
        if reply == Reply::Delivered {
            self.deliver_at(time, name.clone(), incarnation, event);
        }
    }

    pub(super) fn start_effect(&mut self, runner: &RunnerName, boot: BootId, effect: Effect) {
        match effect {
            Effect::None => {}
            Effect::Loading(artifact, bytes) => {
                self.check_load(runner, &artifact);
                let on_disk = self.engines[runner].on_disk.contains(&artifact);
                let millis = bytes / (GIGABYTE / if on_disk { 125 } else { 500 });
                let time = self.now + millis + self.generator.random_range(0..500);
                self.schedule(
                    time,
                    SimulationEvent::Loaded(runner.clone(), boot, artifact),
                );
            }
            Effect::Unloading(artifact) => {
                let time = self.now + self.generator.random_range(50..1_500);
                self.schedule(
                    time,
                    SimulationEvent::Unloaded(runner.clone(), boot, artifact),
                );
            }
        }
    }
}

fn failure_event(
    runner: &RunnerName,
    order: Option<&Order>,
    fault: EngineFault,
) -> CoordinatorEvent {
    let runner = runner.clone();
    match order {
        Some(order) => CoordinatorEvent::OrderAnswered {
            runner,
            order: order.id,
            answer: Err(fault),
        },
        None => CoordinatorEvent::InventoryRead {
            runner,
            inventory: Err(fault),
        },
    }
}
