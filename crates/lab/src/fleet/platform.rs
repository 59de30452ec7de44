//! Calls of daemons to the store, the machine list and engines.

use std::time::Duration;

use flaxward_control::coordinator::{CoordinatorAction, CoordinatorEvent, EngineFault};
use flaxward_control::node::NodeEvent;
use flaxward_types::engine::{HeldState, Inventory, Machine, MachineRole, OrderAnswer};
use flaxward_types::records::Quota;
use flaxward_types::time::millis;
use flaxward_types::{ArtifactId, BootId, Revision};
use flaxward_wire::{ConfigurationDelta, ConfigurationSnapshot};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::catalogue::{RUNNER_MEMORY, Records};
use super::engine::{Effect, HollowEngine};
use super::http;
use super::shape::{engine_address, runner_name};
use super::store;
use super::tally::{Purpose, Side};
use super::world::{EngineWork, Happening, Process, World};

/// Zone in which the object API and the machine list stand.
const PLATFORM_ZONE: usize = 0;
/// Time that the store takes for an operation, in milliseconds.
const STORE_TIME: u64 = 3;
/// Time that an engine takes for an answer, in milliseconds.
const ENGINE_TIME: u64 = 1;
/// Time allowed for a call, in milliseconds, as in the settings.
const CALL_TIMEOUT: u64 = 2_000;
/// Pause before a broken watch is set up again, in milliseconds, as in the daemon.
const FOLLOW_PAUSE: u64 = 500;
/// Time between reads of the machine list, in milliseconds, as in the settings.
const MACHINE_LIST_INTERVAL: u64 = 1_000;
/// Time between bookmarks of a watch, in milliseconds.
const BOOKMARK_INTERVAL: u64 = 10_000;
/// Longest silence of a watch before it counts as broken, in milliseconds, as in the client.
const WATCH_SILENCE: u64 = 30_000;
/// Time that an unload takes, in milliseconds.
const UNLOAD_TIME: u64 = 500;

impl World {
    pub(super) fn set_up_engines(&mut self, records: &Records) {
        for (zone, zone_shape) in self.shape.zones.clone().iter().enumerate() {
            for _ in 0..zone_shape.runners {
                self.add_engine(zone);
            }
        }
        for (runner, artifact, bytes) in &records.preloaded {
            self.engines[*runner].preload(artifact, *bytes);
        }
        for (place, slot) in records
            .placements
            .values()
            .flat_map(|placement| &placement.slots)
            .enumerate()
        {
            let number = slot.runner.as_str().trim_start_matches("runner-");
            let Some(engine) = number
                .parse::<usize>()
                .ok()
                .and_then(|number| self.engines.get_mut(number))
            else {
                continue;
            };
            // Checkpoints are cached unevenly: in memory, on disk or only in the weight store.
            match place % 5 {
                0 => engine.store_in_memory(&slot.artifact),
                1 | 2 => engine.store_on_disk(&slot.artifact),
                _ => {}
            }
        }
        self.refresh_machine_list();
    }

    /// Adds a runner to a zone. Returns its place.
    pub(super) fn add_engine(&mut self, zone: usize) -> usize {
        let number = self.next_engine;
        self.next_engine += 1;
        let machine = Machine {
            name: runner_name(number),
            zone: self.shape.zones[zone].name.clone(),
            address: engine_address(number),
            role: MachineRole::Engine,
            leaving: false,
        };
        let boot = self.next_boot();
        let place = self.engines.len();
        self.engine_by_address
            .insert(machine.address.clone(), place);
        self.engines
            .push(HollowEngine::new(machine, zone, boot, RUNNER_MEMORY));
        place
    }

    pub(super) fn next_boot(&mut self) -> BootId {
        self.next_boot += 1;
        BootId(self.next_boot)
    }

    /// Takes over the machines that are listed into the machine list.
    pub(super) fn refresh_machine_list(&mut self) {
        let listed = self.engines.iter().filter(|engine| engine.listed);
        self.list.machines = listed.map(|engine| engine.machine.clone()).collect();
        self.list.length = self.list.machines.iter().map(http::machine_length).sum();
        self.list.version += 1;
    }

    /// One way between a daemon and the platform, or `None` if it cannot be reached.
    fn way_to_platform(&self, place: usize) -> Option<u64> {
        let daemon = &self.daemons[place];
        let region = self.shape.zones[PLATFORM_ZONE].region;
        let connected = self.network.connects(daemon.region, region);
        let way = self
            .network
            .delay((daemon.zone, daemon.region), (PLATFORM_ZONE, region));
        connected.then_some(way)
    }

    /// Begins an operation that a state machine asks for.
    pub(super) fn operate(&mut self, process: Process, action: CoordinatorAction) {
        match &action {
            CoordinatorAction::SendOrder { .. } | CoordinatorAction::ReadInventory { .. } => {
                let at = self.now + ENGINE_TIME;
                self.queue
                    .add(at, Happening::Engine(process, Box::new(action)));
            }
            _ => match self.way_to_platform(process.place) {
                Some(way) => {
                    let at = self.now + way;
                    self.queue
                        .add(at, Happening::Store(process, Box::new(action)));
                }
                None => self.fail_store_call(process, &action, CALL_TIMEOUT),
            },
        }
    }

    fn fail_store_call(&mut self, process: Process, action: &CoordinatorAction, after: u64) {
        self.counts.failed_calls += 1;
        let bytes = if after >= CALL_TIMEOUT {
            http::unanswered_call()
        } else {
            http::refused_call()
        };
        self.spend_call(process, Purpose::Records, Side::Store, bytes);
        if let Some(event) = store::failure(action) {
            let answer = Happening::Answer(process, Purpose::Records, Box::new(event));
            self.queue.add(self.now + after, answer);
        }
    }

    pub(super) fn spend_call(
        &mut self,
        process: Process,
        purpose: Purpose,
        side: Side,
        bytes: super::network::WireBytes,
    ) {
        let spending = &mut self.daemons[process.place].spending;
        spending.called(purpose, side, bytes);
    }

    pub(super) fn reach_store(&mut self, process: Process, action: &CoordinatorAction) {
        let way = self.way_to_platform(process.place);
        let Some(way) = way.filter(|_| !self.store_is_down) else {
            let after = way.unwrap_or(CALL_TIMEOUT);
            self.fail_store_call(process, action, after);
            return;
        };
        let zone = self.daemons[process.place].peer.zone.clone();
        let outcome = self.store.carry_out(&zone, action);
        self.spend_call(process, Purpose::Records, Side::Store, outcome.bytes);
        if let Some((revision, quota)) = outcome.written {
            self.show_quota(revision, &quota);
        }
        if let Some(event) = outcome.event {
            let answer = Happening::Answer(process, Purpose::Records, Box::new(event));
            self.queue.add(self.now + STORE_TIME + way, answer);
        }
    }

    /// Shows a written quota to every watch.
    fn show_quota(&mut self, revision: Revision, quota: &Quota) {
        let line = http::watch_line(store::quota_length(quota));
        for place in 0..self.daemons.len() {
            let process = self.process(place);
            let Some(way) = self.watch_way(place) else {
                continue;
            };
            let spending = &mut self.daemons[place].spending;
            spending.pushed(Purpose::Records, Side::Store, line);
            let event = CoordinatorEvent::QuotaChanged(revision, isolated(quota));
            let answer = Happening::Answer(process, Purpose::Records, Box::new(event));
            self.queue.add(self.now + way, answer);
        }
    }

    /// One way from the store to a daemon whose watches are open.
    fn watch_way(&self, place: usize) -> Option<u64> {
        let running = self.daemons[place].running.as_ref()?;
        let is_open = running.watching && !self.store_is_down;
        self.way_to_platform(place).filter(|_| is_open)
    }

    pub(super) fn set_reading(&mut self, process: Process, reading: bool) {
        let Some(running) = self.daemons[process.place].running.as_mut() else {
            return;
        };
        if running.reading == reading {
            return;
        }
        running.reading = reading;
        running.watching = false;
        if reading {
            self.queue.add(self.now, Happening::Follow(process));
            self.queue.add(self.now, Happening::ReadMachines(process));
        }
    }

    fn is_reading(&self, process: Process) -> bool {
        let running = self.daemons[process.place].running.as_ref();
        self.is_running(process) && running.is_some_and(|running| running.reading)
    }

    pub(super) fn read_machines(&mut self, process: Process) {
        if !self.is_reading(process) {
            return;
        }
        let next = self.now + MACHINE_LIST_INTERVAL;
        self.queue.add(next, Happening::ReadMachines(process));
        if self.way_to_platform(process.place).is_none() || self.store_is_down {
            self.counts.failed_calls += 1;
            let bytes = http::unanswered_call();
            self.spend_call(process, Purpose::Machines, Side::MachineList, bytes);
            return;
        }
        let Some(running) = self.daemons[process.place].running.as_mut() else {
            return;
        };
        let changed = running.machine_list.0 != self.list.version;
        if changed {
            running.machine_list = (self.list.version, isolated(&self.list.machines));
        }
        let machines = running.machine_list.1.clone();
        let bytes = http::conditional_read(self.list.length, changed);
        self.spend_call(process, Purpose::Machines, Side::MachineList, bytes);
        self.drive(process, Purpose::Machines, NodeEvent::Machines(machines));
    }

    /// Sets up the watches of the configuration and the quotas, each with a list before it.
    pub(super) fn follow(&mut self, process: Process) {
        if !self.is_reading(process) {
            return;
        }
        if let Some(running) = self.daemons[process.place].running.as_mut() {
            running.watching = false;
        }
        let way = self.way_to_platform(process.place);
        let Some(way) = way.filter(|_| !self.store_is_down) else {
            self.counts.failed_calls += 1;
            let bytes = http::refused_call();
            self.spend_call(process, Purpose::Configuration, Side::Store, bytes);
            let pause = way.unwrap_or(CALL_TIMEOUT) + FOLLOW_PAUSE;
            self.queue.add(self.now + pause, Happening::Follow(process));
            return;
        };
        let items = self.store.item_list_bytes();
        self.spend_call(process, Purpose::Configuration, Side::Store, items);
        let quotas = self.store.quota_list_bytes();
        self.spend_call(process, Purpose::Records, Side::Store, quotas);
        let at = self.now + 2 * way + STORE_TIME;
        self.queue.add(at, Happening::Followed(process));
    }

    /// The lists arrive, and the watches go on from them.
    pub(super) fn followed(&mut self, process: Process) {
        if !self.is_reading(process) {
            return;
        }
        let snapshot = self.snapshot();
        if let Some(running) = self.daemons[process.place].running.as_mut() {
            running.watching = true;
            running.seen = snapshot.revision;
        }
        let event = NodeEvent::Listed(snapshot);
        self.drive(process, Purpose::Configuration, event);
        for (revision, quota) in self.store.quotas() {
            let event = CoordinatorEvent::QuotaChanged(revision, isolated(&quota));
            self.drive(process, Purpose::Records, NodeEvent::Answered(event));
        }
    }

    /// The configuration as the store lists it, with memory of its own.
    fn snapshot(&mut self) -> ConfigurationSnapshot {
        let revision = self.store.revision().0;
        if self.snapshot.0 != revision {
            let bytes = postcard::to_stdvec(&self.store.snapshot()).unwrap_or_default();
            self.snapshot = (revision, bytes.into());
        }
        postcard::from_bytes(&self.snapshot.1).unwrap_or_default()
    }

    /// A change of configuration was written: every watch sees it.
    pub(super) fn show_change(&mut self, change: &flaxward_wire::ConfigurationChange, length: u64) {
        for place in 0..self.daemons.len() {
            let process = self.process(place);
            let Some(way) = self.watch_way(place) else {
                continue;
            };
            let spending = &mut self.daemons[place].spending;
            spending.pushed(
                Purpose::Configuration,
                Side::Store,
                http::watch_line(length),
            );
            let Some(running) = self.daemons[place].running.as_mut() else {
                continue;
            };
            let delta = ConfigurationDelta {
                from: running.seen,
                to: change.revision,
                changes: vec![isolated(change)],
            };
            running.seen = change.revision;
            let watched = Happening::Watched(process, Box::new(delta));
            self.queue.add(self.now + way, watched);
        }
    }

    pub(super) fn watched(&mut self, process: Process, delta: ConfigurationDelta) {
        let event = NodeEvent::Learnt(delta);
        self.drive(process, Purpose::Configuration, event);
    }

    pub(super) fn bookmarks(&mut self) {
        let next = self.now + BOOKMARK_INTERVAL;
        self.queue.add(next, Happening::Bookmarks);
        for place in 0..self.daemons.len() {
            if self.watch_way(place).is_none() {
                continue;
            }
            let spending = &mut self.daemons[place].spending;
            spending.pushed(Purpose::Configuration, Side::Store, http::bookmark());
            spending.pushed(Purpose::Records, Side::Store, http::bookmark());
        }
    }

    /// Breaks the watches of daemons that cannot reach the store any more.
    pub(super) fn break_watches(&mut self) {
        for place in 0..self.daemons.len() {
            let process = self.process(place);
            if !self.is_reading(process) || self.watch_way(place).is_some() {
                continue;
            }
            let after = if self.way_to_platform(place).is_some() {
                FOLLOW_PAUSE
            } else {
                WATCH_SILENCE
            };
            self.queue.add(self.now + after, Happening::Follow(process));
        }
    }

    pub(super) fn reach_engine(&mut self, process: Process, action: &CoordinatorAction) {
        let (CoordinatorAction::SendOrder { address, .. }
        | CoordinatorAction::ReadInventory { address, .. }) = action
        else {
            return;
        };
        let engine = self.engine_by_address.get(address).copied();
        let Some(engine) = engine.filter(|engine| self.engines[*engine].alive) else {
            self.counts.failed_calls += 1;
            let bytes = http::unanswered_call();
            self.spend_call(process, Purpose::Orders, Side::Engines, bytes);
            let answer = Happening::Answer(process, Purpose::Orders, Box::new(unreachable(action)));
            self.queue.add(self.now + CALL_TIMEOUT, answer);
            return;
        };
        let event = match action {
            CoordinatorAction::SendOrder { runner, order, .. } => {
                let (answer, effect) = self.engines[engine].order(order);
                self.begin_work(engine, effect);
                let bytes = http::call(http::json_length(order), http::json_length(&answer));
                self.spend_call(process, Purpose::Orders, Side::Engines, bytes);
                CoordinatorEvent::OrderAnswered {
                    runner: runner.clone(),
                    order: order.id,
                    answer: Ok::<OrderAnswer, EngineFault>(isolated(&answer)),
                }
            }
            CoordinatorAction::ReadInventory { runner, .. } => {
                let inventory: Inventory = self.engines[engine].inventory();
                let bytes = http::call(0, http::json_length(&inventory));
                self.spend_call(process, Purpose::Orders, Side::Engines, bytes);
                CoordinatorEvent::InventoryRead {
                    runner: runner.clone(),
                    inventory: Ok(isolated(&inventory)),
                }
            }
            _ => return,
        };
        let answer = Happening::Answer(process, Purpose::Orders, Box::new(event));
        self.queue.add(self.now + ENGINE_TIME, answer);
    }

    fn begin_work(&mut self, engine: usize, effect: Effect) {
        let boot = self.engines[engine].boot;
        match effect {
            Effect::None => {}
            Effect::Loading(artifact, bytes) => {
                let speed = self.engines[engine].tier_bytes_per_second(&artifact);
                let seconds = Duration::from_secs_f64(bytes as f64 / speed as f64);
                let time = millis(seconds);
                let done = Happening::EngineDone(engine, boot, artifact, EngineWork::Load);
                self.queue.add(self.now + time.max(1), done);
            }
            Effect::Unloading(artifact) => {
                let done = Happening::EngineDone(engine, boot, artifact, EngineWork::Unload);
                self.queue.add(self.now + UNLOAD_TIME, done);
            }
        }
    }

    pub(super) fn engine_done(
        &mut self,
        engine: usize,
        boot: BootId,
        artifact: &ArtifactId,
        work: EngineWork,
    ) {
        let engine = &mut self.engines[engine];
        if engine.boot != boot || !engine.alive {
            return;
        }
        match work {
            EngineWork::Load => {
                engine.finish_load(artifact);
                self.counts.loads += 1;
            }
            EngineWork::Unload => {
                engine.finish_unload(artifact);
                self.counts.unloads += 1;
            }
        }
    }

    /// Number of artifacts in a state, on all runners that answer.
    pub fn held(&self, state: HeldState) -> usize {
        let engines = self.engines.iter().filter(|engine| engine.alive);
        engines.map(|engine| engine.count(state)).sum()
    }
}

fn unreachable(action: &CoordinatorAction) -> CoordinatorEvent {
    match action {
        CoordinatorAction::SendOrder { runner, order, .. } => CoordinatorEvent::OrderAnswered {
            runner: runner.clone(),
            order: order.id,
            answer: Err(EngineFault::Unreachable),
        },
        CoordinatorAction::ReadInventory { runner, .. } => CoordinatorEvent::InventoryRead {
            runner: runner.clone(),
            inventory: Err(EngineFault::Unreachable),
        },
        _ => CoordinatorEvent::Tick,
    }
}

/// A copy that shares no memory with the original, as if it had come over a socket.
pub(super) fn isolated<Value: Serialize + DeserializeOwned + Clone>(value: &Value) -> Value {
    let copy = postcard::to_stdvec(value)
        .ok()
        .and_then(|bytes| postcard::from_bytes(&bytes).ok());
    copy.unwrap_or_else(|| value.clone())
}
