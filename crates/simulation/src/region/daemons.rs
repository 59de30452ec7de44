//! Processes of daemons: starts, inputs, pauses, and what their state machines ask for.

use std::sync::Arc;
use std::time::Duration;

use flaxward_control::claims::ClaimWrite;
use flaxward_control::coordinator::Coordinator;
use flaxward_control::gossip::Gossip;
use flaxward_control::node::{Node, NodeAction, NodeEvent};
use flaxward_types::ZoneName;
use flaxward_wire::{Envelope, decode, encode};
use rand::RngExt;

use super::Region;
use crate::gateway::{Gateway, GatewayAction, GatewayEvent};
use crate::network::{Place, between};
use crate::process::{Asker, Input, Operation, Process, ProcessId};
use crate::store::{Key, Listing, Record, Request};
use crate::time::{ProcessClock, VirtualTime};
use crate::weakness::DaemonWeakness;

/// Time between ticks of a daemon.
const TICK: Duration = Duration::from_millis(50);
/// Time between two reads of the runners that a daemon observes.
const OBSERVATION: Duration = Duration::from_secs(2);
/// Time between two reads of the machine list.
const MACHINE_LIST: Duration = Duration::from_secs(1);
/// Longest time that something decided takes to leave a process.
const DEPARTURE: Duration = Duration::from_millis(1);
/// Largest origin of a clock, in milliseconds.
const LATEST_ORIGIN: u64 = 1_000_000_000;
/// Seconds by which a wall clock is late, at most.
const WALL_CLOCK_LATE: u64 = 5;

impl Region {
    /// A daemon starts, and remembers nothing of an earlier start.
    pub(super) fn start(&mut self, daemon: usize) {
        if self.daemons[daemon].process.is_some() || self.now < self.daemons[daemon].starts_at {
            return;
        }
        self.starts += 1;
        let id = ProcessId {
            daemon,
            start: self.starts,
        };
        let drift = self.settings.clock_drift;
        let clock = ProcessClock {
            started: self.now,
            origin: self.random.random_range(0..LATEST_ORIGIN),
            drift: self.random.random_range(-drift..=drift),
        };
        let node = self.new_node(daemon);
        let me = &self.daemons[daemon].peer;
        let gateway = Gateway::new(
            self.settings.gateway.clone(),
            me.name.clone(),
            self.zones_from(&me.zone),
            self.random.random(),
            clock.read(self.now),
        );
        let process = Process {
            id,
            clock,
            wall_clock_late: self.random.random_range(0..=WALL_CLOCK_LATE),
            node,
            gateway,
            reading: false,
            rounds: std::collections::BTreeMap::new(),
            seen: flaxward_types::Revision(0),
            share: Vec::new(),
            stopping_since: None,
            hands_over: false,
            node_stopped: false,
            former: None,
        };
        let place = &mut self.daemons[daemon];
        place.process = Some(process);
        self.trace(|| format!("{} starts", self.name_of(id)));
        let place = &mut self.daemons[daemon];
        place.paused_until = VirtualTime::default();
        place.backlog.clear();
        let phase = between(Duration::ZERO, TICK, &mut self.random);
        self.tell(phase, id, Input::Tick);
        let phase = between(Duration::ZERO, OBSERVATION, &mut self.random);
        self.tell(phase, id, Input::Observe);
    }

    fn new_node(&mut self, daemon: usize) -> Node {
        let me = self.daemons[daemon].peer.clone();
        let seeds = self.seeds();
        let incarnation = self.now.0 / 1_000 + 1;
        let gossip = self.settings.gossip.clone();
        let gossip = Gossip::new(gossip, me.clone(), seeds, incarnation, self.random.random());
        let zones = self.settings.zones.iter().map(|zone| zone.name.clone());
        let coordinator = Coordinator::with_weakness(
            self.settings.coordinator.clone(),
            me.name.clone(),
            me.zone.clone(),
            zones.collect(),
            self.random.random(),
            self.settings.weakness,
        );
        Node::new(me, gossip, coordinator)
    }

    /// The first two daemons of each zone.
    fn seeds(&self) -> Vec<std::net::SocketAddr> {
        let zones = self.settings.zones.iter();
        zones
            .flat_map(|zone| {
                let of_zone = self.daemons.iter();
                of_zone
                    .filter(|daemon| daemon.peer.zone == zone.name)
                    .take(2)
            })
            .map(|daemon| daemon.peer.address)
            .collect()
    }

    /// All zones, this one first.
    fn zones_from(&self, own: &ZoneName) -> Vec<ZoneName> {
        let others = self.settings.zones.iter().map(|zone| &zone.name);
        std::iter::once(own)
            .chain(others.filter(|zone| *zone != own))
            .cloned()
            .collect()
    }

    pub(super) fn name_of(&self, id: ProcessId) -> &flaxward_types::DaemonName {
        &self.daemons[id.daemon].peer.name
    }

    /// The process, if it is the one meant and still runs.
    pub(super) fn process(&mut self, id: ProcessId) -> Option<&mut Process> {
        let process = self.daemons[id.daemon].process.as_mut()?;
        (process.id == id).then_some(process)
    }

    pub(super) fn input(&mut self, id: ProcessId, input: Input) {
        if self.process(id).is_none() {
            return;
        }
        let now = self.now;
        let daemon = &mut self.daemons[id.daemon];
        if now < daemon.paused_until {
            daemon.backlog.push(input);
            return;
        }
        self.take_in(id, input);
        self.carry_on_stop(id);
    }

    /// A paused process goes on: its timers fire late and what was queued comes in.
    pub(super) fn resume(&mut self, daemon: usize) {
        let place = &mut self.daemons[daemon];
        let Some(process) = &place.process else {
            return;
        };
        let id = process.id;
        if self.now < place.paused_until {
            return;
        }
        let mut backlog = std::mem::take(&mut place.backlog);
        // The timer may fire before or after any of what is queued.
        if let Some(tick) = backlog
            .iter()
            .position(|input| matches!(input, Input::Tick))
        {
            let tick = backlog.remove(tick);
            let position = self.random.random_range(0..=backlog.len());
            backlog.insert(position, tick);
        }
        for input in backlog {
            self.input(id, input);
        }
    }

    fn take_in(&mut self, id: ProcessId, input: Input) {
        match input {
            Input::Tick => {
                self.tell_node(id, NodeEvent::Tick);
                self.tell_gateway(id, GatewayEvent::Tick);
                self.tell(TICK, id, Input::Tick);
            }
            Input::Envelope(envelope) => self.tell_node(id, NodeEvent::Received(envelope)),
            Input::Node(event) => self.tell_node(id, event),
            Input::Depart(operation) => self.depart(id, *operation),
            Input::StoreAnswered(call, result) => self.store_answered(id, &call, result),
            Input::StoreSilent(call) => self.store_silent(*call),
            Input::Watched(listing, round, change) => {
                let process = self
                    .process(id)
                    .filter(|process| process.follows(listing, round));
                if let Some(event) = process.and_then(|process| process.watched(&change)) {
                    self.tell_node(id, event);
                }
            }
            Input::Follow(listing, round) => self.follow(id, listing, round),
            Input::ReadMachines => {
                if self.process(id).is_some_and(|process| process.reading) {
                    self.send(id, Operation::ReadMachines);
                    self.tell(MACHINE_LIST, id, Input::ReadMachines);
                }
            }
            Input::Observe => {
                let share = self.process(id).map(|process| process.share.clone());
                for machine in share.unwrap_or_default() {
                    self.send(id, Operation::ReadLoad(machine.name));
                }
                self.tell(OBSERVATION, id, Input::Observe);
            }
            Input::Request(request) => self.tell_gateway(id, GatewayEvent::Arrive(request)),
            Input::News(attempt, news) => self.tell_gateway(id, GatewayEvent::News(attempt, news)),
            Input::Stop => self.stop(id),
        }
    }

    pub(super) fn tell_node(&mut self, id: ProcessId, event: NodeEvent) {
        let now = self.now;
        let Some(process) = self.process(id) else {
            return;
        };
        if process.node_stopped {
            // The task that runs the node has ended.
            return;
        }
        let clock = process.now(now);
        for action in process.node.handle(event, clock) {
            self.act(id, action);
        }
    }

    pub(super) fn tell_gateway(&mut self, id: ProcessId, event: GatewayEvent) {
        let now = self.now;
        let Some(process) = self.process(id) else {
            return;
        };
        let (clock, unix) = (process.now(now), process.unix(now));
        for action in process.gateway.handle(event, clock, unix) {
            self.act_for_gateway(id, action);
        }
    }

    fn act(&mut self, id: ProcessId, action: NodeAction) {
        if matches!(
            action,
            NodeAction::Lead(_) | NodeAction::Resign | NodeAction::Stopped | NodeAction::Record(_)
        ) {
            self.trace(|| format!("{} {action:?}", self.name_of(id)));
        }
        match action {
            NodeAction::Send(to, envelope) => self.send_envelope(id, to, envelope),
            NodeAction::Platform(action) => self.operate(id, action),
            NodeAction::Routes(answers) => self.tell_gateway(id, GatewayEvent::Routes(answers)),
            NodeAction::RoutesHeld(held) => {
                self.tell_gateway(id, GatewayEvent::RoutesHeld(held));
            }
            NodeAction::Heads(zones) => self.tell_gateway(id, GatewayEvent::Heads(zones)),
            NodeAction::Leaving(leaving) => {
                self.tell_gateway(id, GatewayEvent::Leaving(leaving));
            }
            NodeAction::Services(machines) => {
                self.tell_gateway(id, GatewayEvent::Services(machines));
            }
            NodeAction::Configuration(configuration) => self.configure(id, configuration),
            NodeAction::Reading(reading) => self.read_lists(id, reading),
            NodeAction::Observe(share) => {
                if let Some(process) = self.process(id) {
                    process.share = share;
                }
            }
            NodeAction::Relist => self.follow_later(id, Listing::Items),
            NodeAction::Stopped => {
                if let Some(process) = self.process(id) {
                    process.node_stopped = true;
                }
            }
            // Operators' views are not simulated.
            NodeAction::Lead(_)
            | NodeAction::Resign
            | NodeAction::Record(_)
            | NodeAction::ViewWanted(..)
            | NodeAction::ViewRows(..) => {}
        }
    }

    fn configure(
        &mut self,
        id: ProcessId,
        configuration: Arc<flaxward_control::configuration::Configuration>,
    ) {
        let weakness = self.settings.gateway.weakness;
        let Some(process) = self.process(id) else {
            return;
        };
        let former = process.former.replace(Arc::clone(&configuration));
        if weakness == DaemonWeakness::IgnoresChanges && former.is_some() {
            return;
        }
        self.check_configuration(id, &configuration);
        self.tell_gateway(id, GatewayEvent::Configuration(configuration));
        if let (DaemonWeakness::AppliesOlderConfiguration, Some(former)) = (weakness, former) {
            self.check_configuration(id, &former);
            self.tell_gateway(id, GatewayEvent::Configuration(former));
        }
    }

    fn read_lists(&mut self, id: ProcessId, reading: bool) {
        let Some(process) = self.process(id) else {
            return;
        };
        process.reading = reading;
        if reading {
            self.follow_later(id, Listing::Items);
            self.follow_later(id, Listing::Quotas);
            self.tell(Duration::ZERO, id, Input::ReadMachines);
        }
    }

    fn act_for_gateway(&mut self, id: ProcessId, action: GatewayAction) {
        match action {
            GatewayAction::Demands(zone, demands) => {
                self.tell(
                    Duration::ZERO,
                    id,
                    Input::Node(NodeEvent::Demands(zone, demands)),
                );
            }
            GatewayAction::Send(attempt) => self.send(id, Operation::Attempt(attempt)),
            GatewayAction::Cancel(attempt, runner) => {
                self.send(id, Operation::Cancel(attempt, runner));
            }
            GatewayAction::WriteClaim(number, name, after, write) => {
                let (expected, claim) = match write {
                    ClaimWrite::Create(claim) => (None, claim),
                    ClaimWrite::Replace(revision, claim) => (Some(revision), claim),
                };
                let request = Request::Put(Key::Claim(name), expected, Record::Claim(claim));
                let call = self.store_call(id, Asker::Claim(number), request);
                self.tell(after, id, Input::Depart(Box::new(Operation::Store(call))));
            }
            GatewayAction::Deliver(number, delivery) => self.deliver(number, delivery),
        }
    }

    /// A task sends something shortly; if the process is paused before, much later.
    pub(super) fn send(&mut self, id: ProcessId, operation: Operation) {
        let delay = between(Duration::ZERO, DEPARTURE, &mut self.random);
        self.tell(delay, id, Input::Depart(Box::new(operation)));
    }

    fn send_envelope(&mut self, id: ProcessId, to: std::net::SocketAddr, envelope: Envelope) {
        let receiver = self
            .daemons
            .iter()
            .position(|daemon| daemon.peer.address == to);
        let Some(receiver) = receiver else {
            return;
        };
        self.network.envelopes += 1;
        let envelope = if self.settings.encodes {
            let bytes = encode(&envelope);
            self.network.bytes += bytes.len() as u64;
            decode(&bytes).expect("an envelope decodes to itself")
        } else {
            envelope
        };
        let from = self.zone_of(id);
        let there = Place::Zone(self.daemons[receiver].peer.zone.clone());
        let Some(process) = &self.daemons[receiver].process else {
            return;
        };
        let receiver = process.id;
        for delay in self
            .network
            .datagram(&from, &there, self.now, &mut self.random)
        {
            self.tell(delay, receiver, Input::Envelope(Box::new(envelope.clone())));
        }
    }
}
