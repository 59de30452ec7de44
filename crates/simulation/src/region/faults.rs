//! Carries out what happens to the region from outside.

use std::sync::Arc;
use std::time::Duration;

use flaxward_types::configuration::DrainSpec;
use flaxward_types::engine::Machine;
use flaxward_types::{ConfigurationItem, ItemKey, ModelName, ModelRef, RunnerName};

use super::{Event, Region};
use crate::caller::{CallerRequest, Target};
use crate::happening::{Happening, OperatorChange};
use crate::network::{Place, Weather, between};
use crate::process::Input;
use crate::store::{Key, Record, Request};
use crate::time::VirtualTime;

/// Longest time between two callers of a burst.
const BURST: Duration = Duration::from_millis(200);
/// Time that a caller gives a request that may not be repeated.
const ORDER_DEADLINE: Duration = Duration::from_secs(20);
/// Tokens of a model's answer to such a request.
const ORDER_TOKENS: u64 = 5;

/// Faults of the platform and until when they last.
#[derive(Clone, Debug, Default)]
pub(super) struct RegionFaults {
    pub store_down_until: VirtualTime,
    pub store_slow: (VirtualTime, Duration),
    pub store_loses: (VirtualTime, u8),
    pub machine_list_down_until: VirtualTime,
    pub back_ends_lose: (VirtualTime, u8),
    pub weight_store_slow: (VirtualTime, u32),
}

impl Region {
    /// Ends all faults. What was killed starts again by itself; engines that hang go on.
    pub fn heal(&mut self) {
        self.network.heal();
        self.faults = RegionFaults::default();
        for engine in self.engines.values_mut() {
            engine.faults = crate::engine::EngineFaults::default();
        }
        for index in 0..self.daemons.len() {
            self.daemons[index].paused_until = self.now;
            self.after(Duration::ZERO, Event::Resume(index));
        }
    }

    /// Writes the configuration of the start again, and ends all drains.
    pub fn restore(&mut self) {
        let present = self.store.items_at(self.store.revision());
        for (key, item) in self.settings.items.clone() {
            let known = present.get(&key);
            if known.is_some_and(|(_, known)| *known == item) {
                continue;
            }
            let seen = known.map(|(revision, _)| *revision);
            self.write(Request::Put(Key::Item(key), seen, Record::Item(item)));
        }
        for (key, (seen, _)) in present {
            if matches!(key, ItemKey::Drain(_)) {
                self.write(Request::Delete(Key::Item(key), seen));
            }
        }
    }

    pub(super) fn apply(&mut self, happening: &Happening) {
        let now = self.now;
        match happening.clone() {
            Happening::Burst {
                artifact,
                requests,
                tokens,
                stream,
                deadline,
            } => self.burst(artifact, requests, tokens, stream, deadline),
            Happening::Order {
                daemon,
                to_model,
                repeats,
                pause,
                has_key,
            } => self.order(daemon, to_model, repeats, pause, has_key),
            Happening::Kill { daemon, down } => {
                self.disturb(now + down);
                self.end_daemon(daemon, down, false);
            }
            Happening::Stop { daemon, down } => self.end_daemon(daemon, down, true),
            Happening::Pause { daemon, duration } => self.pause(daemon, duration),
            Happening::CutZones {
                first,
                second,
                duration,
            } => self.cut_zones(first, second, duration),
            Happening::CutPlatform { zone, duration } => {
                self.disturb(now + duration);
                let zone = self.zone(zone);
                self.network.cut(&zone, &Place::Platform, now + duration);
                self.break_watches_of(&zone);
            }
            Happening::Weather {
                loss,
                doubling,
                delay,
                duration,
            } => {
                self.disturb(now + duration);
                let weather = Weather {
                    loss,
                    doubling,
                    delay,
                };
                self.network.set_weather(weather, now + duration);
            }
            Happening::StoreDown { duration } => {
                self.disturb(now + duration);
                self.faults.store_down_until = now + duration;
                self.break_watches(|_| true);
            }
            Happening::StoreSlow { delay, duration } => {
                self.disturb(now + duration);
                self.faults.store_slow = (now + duration, delay);
            }
            Happening::StoreLoses { percent, duration } => {
                self.disturb(now + duration);
                self.faults.store_loses = (now + duration, percent);
            }
            Happening::MachineListDown { duration } => {
                self.disturb(now + duration);
                self.faults.machine_list_down_until = now + duration;
            }
            Happening::BackEndsLose { percent, duration } => {
                self.disturb(now + duration);
                self.faults.back_ends_lose = (now + duration, percent);
            }
            Happening::WeightStoreSlow { factor, duration } => {
                self.faults.weight_store_slow = (now + duration, u32::from(factor).max(1));
            }
            Happening::FailLoads {
                engine,
                failing,
                stuck,
            } => self.with_engine(engine, |engine| {
                engine.faults.failing_loads = failing;
                engine.faults.stuck_loads = stuck;
            }),
            Happening::CutEngine { engine, duration } => {
                self.disturb(now + duration);
                self.with_engine(engine, |engine| engine.faults.cut_until = now + duration);
            }
            Happening::Unwell {
                engine,
                hung,
                duration,
            } => {
                self.disturb_answers(now + duration);
                self.with_engine(engine, |engine| {
                    let faults = &mut engine.faults;
                    let fault = if hung {
                        &mut faults.hung_until
                    } else {
                        &mut faults.garbled_until
                    };
                    *fault = now + duration;
                });
            }
            Happening::Restart { machine, down } => {
                self.disturb_answers(now + down);
                if let Some(machine) = self.machine(machine) {
                    self.back_end_down(&machine.name);
                    self.after(down, Event::BackEndUp(machine.name));
                }
            }
            Happening::Reclaim {
                machine,
                notice,
                is_listed,
                is_told,
            } => self.reclaim(machine, notice, is_listed, is_told),
            Happening::Operators { change, thinking } => self.race(change, thinking),
        }
    }

    fn burst(&mut self, artifact: u8, requests: u8, tokens: u8, stream: bool, deadline: Duration) {
        let artifacts = self.artifacts();
        let reference = artifacts[usize::from(artifact) % artifacts.len()].clone();
        for daemon in 0..self.daemons.len() {
            for _ in 0..requests {
                let request = CallerRequest {
                    number: 0,
                    target: Target::Model(reference.clone()),
                    stream,
                    tokens: u64::from(tokens).max(1),
                    repeatable: true,
                    key: None,
                    priority: 5,
                    deadline,
                };
                let delay = between(Duration::ZERO, BURST, &mut self.random);
                self.submit_later(delay, daemon, request);
            }
        }
    }

    fn order(&mut self, daemon: u8, to_model: bool, repeats: u8, pause: Duration, has_key: bool) {
        let service = self.settings.services.first().cloned();
        let target = match service {
            Some(service) if !to_model => Target::Service(service),
            _ => Target::Model(self.artifacts()[0].clone()),
        };
        let key = has_key.then(|| format!("key-{}", self.requests.len()));
        let times = if has_key { repeats + 1 } else { 1 };
        for time in 0..times {
            let request = CallerRequest {
                number: 0,
                target: target.clone(),
                stream: false,
                tokens: ORDER_TOKENS,
                repeatable: false,
                key: key.clone(),
                priority: 7,
                deadline: ORDER_DEADLINE,
            };
            let daemon = usize::from(daemon.wrapping_add(time)) % self.daemons.len();
            self.submit_later(pause * u32::from(time), daemon, request);
        }
    }

    /// Sends a request of a caller to a daemon after a while. Returns its number.
    pub fn submit_later(
        &mut self,
        delay: Duration,
        daemon: usize,
        mut request: CallerRequest,
    ) -> u64 {
        let number = self.requests.len() as u64;
        request.number = number;
        let request = Arc::new(request);
        self.requests.insert(number, Arc::clone(&request));
        self.after(delay, Event::Caller(daemon, request));
        number
    }

    /// Everything that callers can ask for: the serving version of each model, its other versions
    /// and its adapters.
    pub fn artifacts(&self) -> Vec<ModelRef> {
        let items = self.store.items_at(self.store.revision());
        let keys = items.into_keys();
        keys.filter_map(|key| match key {
            ItemKey::Model(model) => Some(ModelRef {
                model,
                adapter: None,
                version: None,
            }),
            ItemKey::Version(model, version) => Some(ModelRef {
                model,
                adapter: None,
                version: Some(version),
            }),
            ItemKey::Adapter(model, adapter) => Some(ModelRef {
                model,
                adapter: Some(adapter),
                version: None,
            }),
            _ => None,
        })
        .collect()
    }

    fn end_daemon(&mut self, daemon: u8, down: Duration, is_planned: bool) {
        let index = usize::from(daemon) % self.daemons.len();
        let place = &mut self.daemons[index];
        let Some(id) = place.process.as_ref().map(|process| process.id) else {
            return;
        };
        place.starts_at = self.now + down;
        if is_planned {
            self.tell(Duration::ZERO, id, Input::Stop);
        } else {
            self.exit(id);
        }
    }

    fn pause(&mut self, daemon: u8, duration: Duration) {
        let index = usize::from(daemon) % self.daemons.len();
        let until = (self.now + duration).max(self.daemons[index].paused_until);
        self.disturb(until);
        self.note_pause(index, until);
        self.daemons[index].paused_until = until;
        self.events.push(until, Event::Resume(index));
    }

    fn cut_zones(&mut self, first: u8, second: u8, duration: Duration) {
        let first = self.zone(first);
        let second = self.zone(second);
        if first != second {
            self.disturb(self.now + duration);
            self.network.cut(&first, &second, self.now + duration);
        }
    }

    fn zone(&self, number: u8) -> Place {
        let zones = &self.settings.zones;
        Place::Zone(zones[usize::from(number) % zones.len()].name.clone())
    }

    fn with_engine(&mut self, number: u8, change: impl FnOnce(&mut crate::engine::Engine)) {
        let mut engines: Vec<_> = self
            .engines
            .values_mut()
            .filter(|engine| !engine.gone)
            .collect();
        let count = engines.len();
        if let Some(engine) = engines.get_mut(usize::from(number) % count.max(1)) {
            change(engine);
        }
    }

    /// One of the machines that are not gone, engines first.
    fn machine(&self, number: u8) -> Option<Machine> {
        let engines = self.engines.values().filter(|engine| !engine.gone);
        let services = self.services.values().filter(|service| !service.gone);
        let machines: Vec<&Machine> = engines
            .map(|engine| &engine.machine)
            .chain(services.map(|service| &service.machine))
            .collect();
        let machine = machines.get(usize::from(number) % machines.len().max(1))?;
        Some((*machine).clone())
    }

    fn reclaim(&mut self, machine: u8, notice: Duration, is_listed: bool, is_told: bool) {
        let Some(machine) = self.machine(machine) else {
            return;
        };
        let name = machine.name.clone();
        self.disturb_answers(self.now + notice);
        if is_listed {
            let lag = between(
                Duration::ZERO,
                self.settings.machine_list_lag,
                &mut self.random,
            );
            let leaving = Machine {
                leaving: true,
                ..machine
            };
            self.after(lag, Event::Listed(name.clone(), Some(leaving)));
        }
        if is_told && let Some(engine) = self.engines.get_mut(&name) {
            engine.set_leaving(true);
            self.note_leaving(&name);
        }
        self.after(notice, Event::MachineGone(name));
    }

    /// Two operators read the same, think, and write: the second one meets a conflict.
    fn race(&mut self, change: OperatorChange, thinking: Duration) {
        if self.now < self.faults.store_down_until {
            return;
        }
        let Some((key, item)) = self.wanted(change) else {
            return;
        };
        let seen = self
            .store
            .get(&Key::Item(key.clone()))
            .map(|object| object.version);
        let request = match (item, seen) {
            (Some(item), seen) => Request::Put(Key::Item(key), seen, Record::Item(item)),
            (None, Some(seen)) => Request::Delete(Key::Item(key), seen),
            (None, None) => return,
        };
        for factor in [1, 2] {
            self.after(thinking * factor, Event::Operator(request.clone()));
        }
    }

    fn wanted(&self, change: OperatorChange) -> Option<(ItemKey, Option<ConfigurationItem>)> {
        let items = self.store.items_at(self.store.revision());
        match change {
            OperatorChange::AtMost { model, at_most } => {
                let models: Vec<_> = items
                    .into_iter()
                    .filter_map(|(key, (_, item))| match item {
                        ConfigurationItem::Model(spec) => Some((key, spec)),
                        _ => None,
                    })
                    .collect();
                let (key, mut spec) = models.get(usize::from(model) % models.len())?.clone();
                spec.copies.at_most = u32::from(at_most % 4);
                spec.copies.at_least = spec.copies.at_least.min(spec.copies.at_most);
                Some((key, Some(ConfigurationItem::Model(spec))))
            }
            OperatorChange::Serve { second } => {
                let key = ItemKey::Model(ModelName::literal("four"));
                let (_, ConfigurationItem::Model(mut spec)) = items.get(&key)?.clone() else {
                    return None;
                };
                spec.serving = if second { "v2" } else { "v1" }.parse().ok()?;
                Some((key, Some(ConfigurationItem::Model(spec))))
            }
            OperatorChange::Drain { machine } => {
                let name: RunnerName = self.machine(machine)?.name;
                let key = ItemKey::Drain(name);
                let item = if items.contains_key(&key) {
                    None
                } else {
                    let reason = "a test".to_owned();
                    Some(ConfigurationItem::Drain(DrainSpec { reason }))
                };
                Some((key, item))
            }
        }
    }
}
