//! What daemons send to the store and to the engines, late or lost if the world is lossy.

use flaxward_control::coordinator::{CoordinatorAction, CoordinatorEvent, EngineFault, StoreFault};
use flaxward_types::engine::Order;
use flaxward_types::{BootId, DaemonName, RunnerName};
use rand::RngExt;

use super::engine::Effect;
use super::store::Store;
use super::world::{GIGABYTE, Happening, Reply, World};

const DRIVER_TIMEOUT: u64 = 1_500;
/// Time for which a driver tries to settle an operation without an answer.
const SETTLING: u64 = 6_500;
const LATEST: u64 = 9_000;

impl World {
    pub(super) fn carry_out(&mut self, name: &DaemonName, start: u64, action: CoordinatorAction) {
        match action {
            CoordinatorAction::SendOrder { runner, order, .. } => {
                self.send_to_runner(name, start, runner, Some(order));
            }
            CoordinatorAction::ReadInventory { runner, .. } => {
                self.send_to_runner(name, start, runner, None);
            }
            CoordinatorAction::Answer(gateway, answer) => {
                let time = self.now + self.latency();
                if !self.is_lossy() {
                    self.at(time, Happening::Answer(gateway, Box::new(answer)));
                }
            }
            CoordinatorAction::Stopped => {
                if let Some(daemon) = self.daemons.get_mut(name) {
                    daemon.coordinator = None;
                    daemon.start += 1;
                }
                self.at(self.now + 2_000, Happening::Start(name.clone()));
            }
            CoordinatorAction::Confirm(..)
            | CoordinatorAction::Lead(_)
            | CoordinatorAction::Resign
            | CoordinatorAction::Record(_) => {}
            operation => self.send_to_store(name, start, operation),
        }
    }

    pub(super) fn send_to_store(
        &mut self,
        name: &DaemonName,
        start: u64,
        action: CoordinatorAction,
    ) {
        let time = self.now + self.latency();
        if self.store_silent_until > self.now {
            // The driver goes on settling, so that an operation lasts longer than a lease.
            let answered = self.store_silent_until + DRIVER_TIMEOUT;
            let given_up = answered.min(self.now + SETTLING);
            if let Some(event) = Store::failure(&action, StoreFault::Unknown) {
                self.tell_at(given_up, name.clone(), start, event);
            }
            return;
        }
        let action = Box::new(action);
        if !self.is_lossy() {
            self.at(
                time,
                Happening::AtStore(name.clone(), start, action, Reply::Kept),
            );
            return;
        }
        // The answer is lost, and the operation is late or lost itself.
        if let Some(event) = Store::failure(&action, StoreFault::Unknown) {
            self.tell_at(self.now + DRIVER_TIMEOUT, name.clone(), start, event);
        }
        let late = self.now + self.generator.random_range(1..LATEST);
        if self.generator.random_range(0..4) > 0 {
            self.at(
                late,
                Happening::AtStore(name.clone(), start, action, Reply::Lost),
            );
        }
    }

    /// An order of a daemon arrives late; nobody waits for its answer.
    pub fn send_late_order(&mut self, daemon: &str, runner: RunnerName, order: Order, time: u64) {
        let name = DaemonName::literal(daemon);
        let order = Some(Box::new(order));
        self.at(
            time,
            Happening::AtRunner(name, 0, runner, order, Reply::Lost),
        );
    }

    /// An operation of a daemon arrives late; nobody waits for its answer.
    pub fn send_late(&mut self, daemon: &str, action: CoordinatorAction, time: u64) {
        let name = DaemonName::literal(daemon);
        let happening = Happening::AtStore(name, 0, Box::new(action), Reply::Lost);
        self.at(time, happening);
    }

    pub(super) fn at_store(
        &mut self,
        name: &DaemonName,
        start: u64,
        action: &CoordinatorAction,
        reply: Reply,
    ) {
        let time = self.now + self.latency();
        let cut = self.daemons[name].cut_until > self.now;
        let event = if cut || self.store_down_until > self.now {
            Store::failure(action, StoreFault::Unavailable)
        } else if let CoordinatorAction::ReadQuota(subject) = action {
            let found = self.store.quota(subject);
            found.map(|(revision, quota)| CoordinatorEvent::QuotaChanged(revision, quota))
        } else {
            if *action == CoordinatorAction::ReadQuotas {
                self.daemons.get_mut(name).expect("a known daemon").watching = true;
            }
            let zone = self.daemons[name].zone.clone();
            let event = self.store.carry_out(&zone, action);
            self.tell_watchers(&event);
            self.check_store();
            Some(event)
        };
        if let Some(event) = event.filter(|_| reply == Reply::Kept) {
            self.tell_at(time, name.clone(), start, event);
        }
    }

    pub(super) fn tell_watchers(&mut self, event: &CoordinatorEvent) {
        let CoordinatorEvent::QuotaWritten(subject, Ok(_)) = event else {
            return;
        };
        let Some((revision, quota)) = self.store.quota(subject) else {
            return;
        };
        let watching = self
            .daemons
            .iter()
            .filter(|(_, daemon)| daemon.watching && daemon.cut_until <= self.now);
        let names: Vec<(DaemonName, u64)> = watching
            .map(|(name, daemon)| (name.clone(), daemon.start))
            .collect();
        for (name, start) in names {
            let event = CoordinatorEvent::QuotaChanged(revision, quota.clone());
            let time = self.now + self.latency() * 3;
            self.tell_at(time, name, start, event);
        }
    }

    pub(super) fn send_to_runner(
        &mut self,
        name: &DaemonName,
        start: u64,
        runner: RunnerName,
        order: Option<Order>,
    ) {
        let time = self.now + self.latency();
        let boxed = order.clone().map(Box::new);
        if !self.is_lossy() {
            let happening = Happening::AtRunner(name.clone(), start, runner, boxed, Reply::Kept);
            self.at(time, happening);
            return;
        }
        let event = no_answer(&runner, order.as_ref(), EngineFault::Unknown);
        self.tell_at(self.now + DRIVER_TIMEOUT, name.clone(), start, event);
        let late = self.now + self.generator.random_range(1..LATEST);
        if self.generator.random_range(0..4) > 0 {
            let happening = Happening::AtRunner(name.clone(), start, runner, boxed, Reply::Lost);
            self.at(late, happening);
        }
    }

    pub(super) fn at_runner(
        &mut self,
        name: &DaemonName,
        start: u64,
        runner: &RunnerName,
        order: Option<&Order>,
        reply: Reply,
    ) {
        let mut time = self.now + self.latency();
        let cut = self
            .cut_runners
            .get(runner)
            .is_some_and(|until| *until > self.now);
        let Some(engine) = self
            .engines
            .get_mut(runner)
            .filter(|engine| engine.alive && !cut)
        else {
            let event = no_answer(runner, order, EngineFault::Unreachable);
            if reply == Reply::Kept {
                self.tell_at(time, name.clone(), start, event);
            }
            return;
        };
        let event = match order {
            None => CoordinatorEvent::InventoryRead {
                runner: runner.clone(),
                inventory: Ok(engine.inventory()),
            },
            Some(order) => {
                let (answer, effect) = engine.order(order);
                let boot = engine.boot;
                self.check_answer(runner, order, &answer);
                self.set_going(runner, boot, effect);
                CoordinatorEvent::OrderAnswered {
                    runner: runner.clone(),
                    order: order.id,
                    answer: Ok(answer),
                }
            }
        };
        if self.is_lossy() {
            time += self.generator.random_range(0..LATEST);
        }
        if reply == Reply::Kept {
            self.tell_at(time, name.clone(), start, event);
        }
    }

    pub(super) fn set_going(&mut self, runner: &RunnerName, boot: BootId, effect: Effect) {
        match effect {
            Effect::None => {}
            Effect::Loading(artifact, bytes) => {
                self.check_load(runner, &artifact);
                let on_disk = self.engines[runner].on_disk.contains(&artifact);
                let millis = bytes / (GIGABYTE / if on_disk { 125 } else { 500 });
                let time = self.now + millis + self.generator.random_range(0..500);
                self.at(time, Happening::Loaded(runner.clone(), boot, artifact));
            }
            Effect::Unloading(artifact) => {
                let time = self.now + self.generator.random_range(50..1_500);
                self.at(time, Happening::Unloaded(runner.clone(), boot, artifact));
            }
        }
    }
}

fn no_answer(runner: &RunnerName, order: Option<&Order>, fault: EngineFault) -> CoordinatorEvent {
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
