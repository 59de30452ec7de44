//! What fails and comes back, and what operators change.

use flaxward_control::node::NodeEvent;
use flaxward_types::configuration::DrainSpec;
use flaxward_types::{ConfigurationItem, ItemKey};
use rand::RngExt;

use super::http;
use super::shape::{daemon_address, daemon_name};
use super::world::{Happening, Process, World};

/// Time from the notice that a runner leaves to its end, in milliseconds.
const NOTICE: u64 = 30_000;
/// Time that a restarted machine is away, in milliseconds.
const AWAY: u64 = 20_000;
/// Time after which a dead machine is taken off the machine list, in milliseconds.
const DEAD_LISTED: u64 = 60_000;
/// Time after which a machine that replaces a dead one is there, in milliseconds.
const REPLACEMENT: u64 = 120_000;
/// Time from the beginning of a planned stop until the gateway has no request left, in milliseconds.
const DRAIN_TIME: u64 = 5_000;
/// Longest time that a planned stop of a daemon may take, in milliseconds.
const STOP_TIME: u64 = 10_000;

/// Something that happens to machines, zones, regions or the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A random machine, a daemon's or a runner, restarts or is replaced as planned.
    Restart,
    /// A random machine fails and is replaced later.
    Failure,
    /// A runner that was given notice goes; its successor has its name or a new one.
    RunnerGoes(usize, bool),
    /// A runner that went comes back with an empty memory.
    RunnerReturns(usize),
    /// A runner is taken off the machine list.
    RunnerUnlisted(usize),
    /// A new runner joins a zone.
    RunnerJoins(usize),
    /// The daemon at a place is ended, whether it has stopped or not, and starts again later under
    /// its own name or a new one.
    DaemonGoes(Process, bool, u64),
    /// The gateway of a daemon that stops has no request left.
    DaemonDrained(Process),
    /// All machines of a zone fail at once.
    ZoneLost(usize),
    /// All machines of a zone come back.
    ZoneBack(usize),
    /// No region reaches another.
    RegionsCut,
    /// All regions reach each other again.
    RegionsJoined,
    /// The store and the machine list do not answer.
    StoreDown,
    /// The store and the machine list answer again.
    StoreUp,
}

impl World {
    pub(super) fn fail(&mut self, fault: Fault) {
        match fault {
            Fault::Restart => self.restart_machine(),
            Fault::Failure => self.fail_machine(),
            Fault::RunnerGoes(engine, replaced) => self.runner_goes(engine, replaced),
            Fault::RunnerReturns(engine) => self.runner_returns(engine),
            Fault::RunnerUnlisted(engine) => {
                self.engines[engine].listed = false;
                self.refresh_machine_list();
            }
            Fault::RunnerJoins(zone) => {
                self.add_engine(zone);
                self.refresh_machine_list();
            }
            Fault::DaemonGoes(process, replaced, away) => {
                if self.is_running(process) {
                    self.end_daemon(process, replaced, away);
                }
            }
            Fault::DaemonDrained(process) => {
                let purpose = super::tally::Purpose::Membership;
                self.drive(process, purpose, NodeEvent::Drained);
            }
            Fault::ZoneLost(zone) => self.lose_zone(zone),
            Fault::ZoneBack(zone) => self.return_zone(zone),
            Fault::RegionsCut => {
                self.network.cut_all(self.shape.regions);
                self.break_watches();
            }
            Fault::RegionsJoined => self.network.join_all(),
            Fault::StoreDown => {
                self.store_is_down = true;
                self.break_watches();
            }
            Fault::StoreUp => self.store_is_down = false,
        }
    }

    /// A random machine among all daemons and runners: a daemon's place or a runner's.
    fn random_machine(&mut self) -> Result<usize, usize> {
        let daemons = self.daemons.len();
        let chosen = self.random.random_range(0..daemons + self.engines.len());
        if chosen < daemons {
            Ok(chosen)
        } else {
            Err(chosen - daemons)
        }
    }

    fn restart_machine(&mut self) {
        let replaced = self.random.random_bool(0.5);
        match self.random_machine() {
            Ok(place) => self.stop_daemon(place, replaced),
            Err(engine) => {
                if self.engines[engine].alive && self.engines[engine].listed {
                    self.engines[engine].machine.leaving = true;
                    self.refresh_machine_list();
                    let fault = Fault::RunnerGoes(engine, replaced);
                    self.add_fault(self.now + NOTICE, fault);
                }
            }
        }
    }

    fn fail_machine(&mut self) {
        match self.random_machine() {
            Ok(place) => {
                let process = self.process(place);
                if self.is_running(process) {
                    self.end_daemon(process, true, REPLACEMENT);
                }
            }
            Err(engine) => {
                if !self.engines[engine].alive {
                    return;
                }
                self.engines[engine].alive = false;
                let unlisted = Fault::RunnerUnlisted(engine);
                self.add_fault(self.now + DEAD_LISTED, unlisted);
                let zone = self.engines[engine].zone;
                self.add_fault(self.now + REPLACEMENT, Fault::RunnerJoins(zone));
            }
        }
    }

    fn runner_goes(&mut self, engine: usize, replaced: bool) {
        self.engines[engine].alive = false;
        if replaced {
            self.engines[engine].listed = false;
            self.refresh_machine_list();
            let zone = self.engines[engine].zone;
            self.add_fault(self.now + AWAY, Fault::RunnerJoins(zone));
        } else {
            self.add_fault(self.now + AWAY, Fault::RunnerReturns(engine));
        }
    }

    fn runner_returns(&mut self, engine: usize) {
        let boot = self.next_boot();
        let engine = &mut self.engines[engine];
        engine.machine.leaving = false;
        engine.restart(boot);
        self.refresh_machine_list();
    }

    /// Begins a planned stop.
    fn stop_daemon(&mut self, place: usize, replaced: bool) {
        let process = self.process(place);
        if !self.is_running(process) {
            return;
        }
        if let Some(running) = self.daemons[place].running.as_mut() {
            running.stopping = true;
        }
        let purpose = super::tally::Purpose::Membership;
        self.drive(process, purpose, NodeEvent::Stop);
        self.add_fault(self.now + DRAIN_TIME, Fault::DaemonDrained(process));
        let end = Fault::DaemonGoes(process, replaced, AWAY);
        self.add_fault(self.now + STOP_TIME, end);
    }

    /// A daemon has handed its lease back; it lives on until the end of its stop, so that the news
    /// of its leaving spreads.
    pub(super) fn stopped(&mut self, process: Process) {
        if let Some(running) = self.daemons[process.place].running.as_mut() {
            running.stopping = true;
        }
    }

    fn end_daemon(&mut self, process: Process, replaced: bool, away: u64) {
        let place = process.place;
        self.spread.gone(self.daemons[place].in_force());
        if self.counting {
            let now = self.now;
            let daemon = &mut self.daemons[place];
            daemon.spending.alive += now - daemon.started;
        }
        self.daemons[place].end();
        if replaced {
            let number = self.next_daemon;
            self.next_daemon += 1;
            let old = self.daemons[place].peer.address;
            self.by_address.remove(&old);
            self.daemons[place].peer.name = daemon_name(number);
            self.daemons[place].peer.address = daemon_address(number);
            self.by_address.insert(daemon_address(number), place);
        }
        self.queue.add(self.now + away, Happening::Start(place));
    }

    fn lose_zone(&mut self, zone: usize) {
        for place in 0..self.daemons.len() {
            let process = self.process(place);
            if self.daemons[place].zone == zone && self.is_running(process) {
                // It comes back with its zone.
                self.end_daemon(process, false, u64::MAX / 2);
            }
        }
        for engine in &mut self.engines {
            if engine.zone == zone {
                engine.alive = false;
            }
        }
    }

    fn return_zone(&mut self, zone: usize) {
        for place in 0..self.daemons.len() {
            if self.daemons[place].zone == zone {
                let at = self.now + self.random.random_range(0..10_000);
                self.queue.add(at, Happening::Start(place));
            }
        }
        for place in 0..self.engines.len() {
            if self.engines[place].zone == zone && self.engines[place].listed {
                let boot = self.next_boot();
                self.engines[place].restart(boot);
            }
        }
        self.refresh_machine_list();
    }

    /// Plans the next change of configuration.
    pub(super) fn add_change(&mut self) {
        let rate = self.rates.changes * self.scale;
        if rate > 0.0 {
            let at = self.now + self.pause_at(rate);
            self.queue.add(at, Happening::Change);
        }
    }

    /// An operator changes something, if the store takes it.
    pub(super) fn change_configuration(&mut self) {
        self.add_change();
        if self.store_is_down {
            return;
        }
        let Some((key, item)) = self.random_change() else {
            return;
        };
        let length = item
            .as_ref()
            .map_or(300, |item| http::document_length(&key.to_string(), item));
        let change = self.store.put_item(key, item);
        let running = self.daemons.iter();
        let running = running.filter(|daemon| daemon.running.is_some()).count();
        self.counts.changes += 1;
        self.spread.begin(change.revision, self.now, running);
        self.show_change(&change, length);
    }

    /// Mostly another checkpoint of an adapter; sometimes a rule for copies or a drain.
    fn random_change(&mut self) -> Option<(ItemKey, Option<ConfigurationItem>)> {
        let draw = self.random.random_range(0..100);
        if draw < 3 {
            let engine = self.random.random_range(0..self.engines.len());
            let key = ItemKey::Drain(self.engines[engine].machine.name.clone());
            let is_drained = self.store.item(&key).is_some();
            let drain = DrainSpec {
                reason: "repair".to_owned(),
            };
            return Some((
                key,
                (!is_drained).then_some(ConfigurationItem::Drain(drain)),
            ));
        }
        let place = self.random.random_range(0..self.catalogue.items.len());
        let (key, _) = self.catalogue.items.get(place)?.clone();
        let item = match self.store.item(&key)?.clone() {
            ConfigurationItem::Adapter(mut spec) => {
                spec.checkpoint = format!("{}/{}", key, self.now);
                ConfigurationItem::Adapter(spec)
            }
            ConfigurationItem::Model(mut spec) => {
                spec.queue_limit = 1_000 + draw;
                ConfigurationItem::Model(spec)
            }
            other => other,
        };
        Some((key, Some(item)))
    }
}
