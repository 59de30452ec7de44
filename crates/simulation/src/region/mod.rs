//! The region: everything that runs in it, and the loop that lets time pass.

mod back_ends;
mod checks;
mod daemons;
mod engines;
mod faults;
mod machines;
mod platform;
mod services;
mod stops;
mod store_calls;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use flaxward_types::engine::{Machine, MachineRole};
use flaxward_types::{BootId, DaemonName, RunnerName, ZoneName};
use flaxward_wire::Peer;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::caller::{CallerRequest, RequestRecord};
use crate::engine::Engine;
use crate::happening::{Happening, Schedule};
use crate::invariant::{Invariant, Violation};
use crate::network::{Network, Place, between};
use crate::process::{Daemon, Input, ProcessId, StoreCall};
use crate::settings::RegionSettings;
use crate::store::{Key, Request, Store};
use crate::time::{EventQueue, VirtualTime};

use back_ends::BackEndCall;
use checks::Checks;
use engines::EngineTimer;
use faults::RegionFaults;
use platform::Watcher;
use services::ServiceMachine;

/// Events in one second of virtual time above which something goes round in circles.
const MOST_EVENTS: u64 = 200_000;
/// Time between two looks for requests that are overdue.
const SWEEP: Duration = Duration::from_millis(500);

/// What is to happen.
#[derive(Debug)]
enum Event {
    /// Something comes in at a process.
    Input(ProcessId, Input),
    /// A pause of a daemon may be over.
    Resume(usize),
    /// A daemon starts.
    Start(usize),
    /// A request reaches the store; whether its answer gets back.
    AtStore(Box<StoreCall>, bool),
    /// Something reaches an engine or a service.
    AtBackEnd(RunnerName, Box<BackEndCall>),
    /// Something ends at an engine.
    Engine(RunnerName, BootId, EngineTimer),
    /// A service has done its work.
    ServiceDone(RunnerName, u64, flaxward_types::AttemptId),
    /// The machine list shows a machine, or no longer.
    Listed(RunnerName, Option<Machine>),
    /// A machine is taken away.
    MachineGone(RunnerName),
    /// A stopped engine or service runs again.
    BackEndUp(RunnerName),
    /// Something happens from outside.
    Happening(Happening),
    /// A caller sends a request to a daemon.
    Caller(usize, Arc<CallerRequest>),
    /// A change must be in force by now.
    InForce(flaxward_types::Revision, VirtualTime),
    /// An operator writes.
    Operator(Request),
    /// Look for overdue requests.
    Sweep,
}

/// A region in virtual time.
#[derive(Debug)]
pub struct Region {
    settings: RegionSettings,
    now: VirtualTime,
    events: EventQueue<Event>,
    random: ChaCha8Rng,
    /// The network, with its counters.
    pub network: Network,
    /// The object API.
    pub store: Store,
    faults: RegionFaults,
    listed: BTreeMap<RunnerName, Machine>,
    /// Machines that the machine list shows no longer.
    delisted: BTreeSet<RunnerName>,
    watchers: Vec<Watcher>,
    engines: BTreeMap<RunnerName, Engine>,
    services: BTreeMap<RunnerName, ServiceMachine>,
    machines_made: usize,
    /// When the last of what a connection brings arrives.
    arrivals: BTreeMap<flaxward_types::AttemptId, VirtualTime>,
    remote_loads: u32,
    daemons: Vec<Daemon>,
    starts: u64,
    /// A second of virtual time and the events in it.
    busy: (u64, u64),
    requests: BTreeMap<u64, Arc<CallerRequest>>,
    records: BTreeMap<u64, RequestRecord>,
    open: BTreeSet<u64>,
    checks: Checks,
    violation: Option<Violation>,
}

impl Region {
    /// A region whose daemons start within the first second.
    pub fn new(settings: RegionSettings, seed: u64) -> Self {
        let mut region = Self {
            now: VirtualTime::default(),
            events: EventQueue::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            network: Network::default(),
            store: Store::default(),
            faults: RegionFaults::default(),
            listed: BTreeMap::new(),
            delisted: BTreeSet::new(),
            watchers: Vec::new(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            machines_made: 0,
            arrivals: BTreeMap::new(),
            remote_loads: 0,
            daemons: Vec::new(),
            starts: 0,
            busy: (0, 0),
            requests: BTreeMap::new(),
            records: BTreeMap::new(),
            open: BTreeSet::new(),
            checks: Checks::default(),
            violation: None,
            settings,
        };
        for (key, item) in region.settings.items.clone() {
            let record = crate::store::Record::Item(item);
            region.write(Request::Put(Key::Item(key), None, record));
        }
        for zone in region.settings.zones.clone() {
            for _ in 0..zone.engines {
                region.add_machine(&zone.name, MachineRole::Engine, Duration::ZERO);
            }
            for service in region.settings.services.clone() {
                for _ in 0..zone.services {
                    let role = MachineRole::Service(service.clone());
                    region.add_machine(&zone.name, role, Duration::ZERO);
                }
            }
            for number in 0..zone.daemons {
                region.add_daemon(&zone.name, number);
            }
        }
        region.after(SWEEP, Event::Sweep);
        region
    }

    fn add_daemon(&mut self, zone: &ZoneName, number: usize) {
        let place = u8::try_from(self.daemons.len() % 250).unwrap_or(0);
        let block = u8::try_from(self.daemons.len() / 250).unwrap_or(u8::MAX);
        let peer = Peer {
            name: DaemonName::literal(&format!("{zone}-{number}")),
            zone: zone.clone(),
            address: SocketAddr::from((Ipv4Addr::new(10, 0, block, place + 1), 7000)),
        };
        let index = self.daemons.len();
        self.daemons.push(Daemon {
            peer,
            process: None,
            paused_until: VirtualTime::default(),
            backlog: Vec::new(),
            starts_at: VirtualTime::default(),
        });
        let delay = between(Duration::ZERO, Duration::from_secs(1), &mut self.random);
        self.after(delay, Event::Start(index));
    }

    /// Adds a machine, which the machine list shows after a lag.
    fn add_machine(&mut self, zone: &ZoneName, role: MachineRole, lag: Duration) {
        self.machines_made += 1;
        let number = self.machines_made;
        let kind = match &role {
            MachineRole::Engine => "engine",
            MachineRole::Service(_) => "service",
        };
        let machine = Machine {
            name: RunnerName::literal(&format!("{kind}-{zone}-{number}")),
            zone: zone.clone(),
            address: format!("10.1.{}.{}:8000", number / 250, number % 250 + 1),
            role,
            leaving: false,
        };
        let name = machine.name.clone();
        if machine.role == MachineRole::Engine {
            let boot = BootId(self.random.random());
            let engine = Engine::new(machine.clone(), boot, self.settings.engine_memory);
            self.engines.insert(name.clone(), engine);
        } else {
            let service = ServiceMachine::new(machine.clone());
            self.services.insert(name.clone(), service);
        }
        self.after(lag, Event::Listed(name, Some(machine)));
    }

    /// Prints what happens, if that is wanted.
    fn trace(&self, text: impl FnOnce() -> String) {
        if self.settings.traces {
            println!("{:>10.3} {}", self.now.0 as f64 / 1e6, text());
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.events.push(self.now + delay, event);
    }

    /// Plans what happens, from now on.
    pub fn plan(&mut self, schedule: &Schedule) {
        for (delay, happening) in schedule {
            self.after(*delay, Event::Happening(happening.clone()));
        }
    }

    /// Lets time pass, or stops early at the first broken invariant.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.violation.is_none() {
            let Some((at, event)) = self.events.pop_until(end) else {
                break;
            };
            self.now = at;
            self.count_event(at);
            self.happen(event);
        }
        if self.violation.is_none() {
            self.now = end;
        }
    }

    fn count_event(&mut self, at: VirtualTime) {
        let (second, count) = self.busy;
        let present = at.0 / 1_000_000;
        let count = if second == present { count + 1 } else { 1 };
        self.busy = (present, count);
        if count > MOST_EVENTS {
            self.violate(
                Invariant::BoundedWork,
                format!("{count} events in a second"),
            );
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Input(process, input) => self.input(process, input),
            Event::Resume(daemon) => self.resume(daemon),
            Event::Start(daemon) => self.start(daemon),
            Event::AtStore(call, answers) => self.at_store(*call, answers),
            Event::AtBackEnd(runner, call) => self.at_back_end(&runner, *call),
            Event::Engine(runner, boot, timer) => self.engine_timer(&runner, boot, timer),
            Event::ServiceDone(runner, start, attempt) => {
                self.service_done(&runner, start, attempt);
            }
            Event::Listed(name, machine) => self.list_machine(name, machine),
            Event::MachineGone(name) => self.take_machine(&name),
            Event::BackEndUp(name) => self.back_end_up(&name),
            Event::Happening(happening) => {
                self.trace(|| format!("{happening:?}"));
                self.apply(&happening);
            }
            Event::Caller(daemon, request) => self.call(daemon, request),
            Event::InForce(revision, since) => self.check_in_force(revision, since),
            Event::Operator(request) => {
                if self.now >= self.faults.store_down_until {
                    self.write(request);
                }
            }
            Event::Sweep => {
                self.sweep();
                self.after(SWEEP, Event::Sweep);
            }
        }
    }

    /// Sends a request of a caller to a daemon now. Returns its number.
    pub fn submit(&mut self, daemon: usize, request: CallerRequest) -> u64 {
        self.submit_later(Duration::ZERO, daemon, request)
    }

    /// What is recorded of a request; none if no daemon took it.
    pub fn record(&self, number: u64) -> Option<&RequestRecord> {
        self.records.get(&number)
    }

    /// Every request that a daemon took.
    pub fn records(&self) -> impl Iterator<Item = (&CallerRequest, &RequestRecord)> {
        self.records
            .iter()
            .map(|(number, record)| (self.requests[number].as_ref(), record))
    }

    /// The first invariant that was broken.
    pub fn violation(&self) -> Option<&Violation> {
        self.violation.as_ref()
    }

    /// Virtual time.
    pub fn now(&self) -> VirtualTime {
        self.now
    }

    /// Events so far.
    pub fn events(&self) -> u64 {
        self.events.pushed()
    }

    /// The daemons.
    pub fn daemons(&self) -> &[Daemon] {
        &self.daemons
    }

    /// The engines on machines that are not gone.
    pub fn engines(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values().filter(|engine| !engine.gone)
    }

    fn zone_of(&self, process: ProcessId) -> Place {
        Place::Zone(self.daemons[process.daemon].peer.zone.clone())
    }

    /// Something comes in at a process, if it runs by then.
    fn tell(&mut self, delay: Duration, process: ProcessId, input: Input) {
        self.after(delay, Event::Input(process, input));
    }
}
