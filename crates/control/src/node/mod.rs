//! One daemon without its sockets: connects gossip and the candidate for coordinator.
//!
//! Daemons, property tests and the simulated fleet all run this state machine.

mod assignment;
mod interface;
mod machines;
mod replies;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use flaxward_types::engine::{LoadReport, Machine};
use flaxward_types::routing::Demand;
use flaxward_types::{DaemonName, RunnerName, Term, Timestamp, ZoneName};
use flaxward_wire::{InventoryUpdate, MemberState, MemberUpdate, Message, Peer, RunnerReport};

use crate::configuration::Configuration;
use crate::coordinator::{Coordinator, CoordinatorAction, CoordinatorEvent};
use crate::gossip::{Gossip, GossipAction, GossipEvent};

pub use assignment::assigned_runners;
pub use interface::{NodeAction, NodeEvent};
pub use machines::Machines;

use replies::Replies;

/// Time between two sends of an unchanged machine snapshot.
const MACHINE_SNAPSHOT_INTERVAL: Duration = Duration::from_secs(10);

/// Daemons with a rank below this read the platform's lists, since they are next in line for the
/// lease. The coordinator reads them at any rank.
const LIST_READER_RANKS: usize = 2;

/// A daemon without its sockets.
#[derive(Debug)]
pub struct Node {
    me: Peer,
    gossip: Gossip,
    coordinator: Coordinator,
    machines: Machines,
    peers: BTreeMap<DaemonName, Peer>,
    replies: Replies,
    /// Runners whose engines report that they are leaving.
    leaving_engines: BTreeSet<RunnerName>,
    machines_sequence: u64,
    machines_sent_at: Option<Timestamp>,
    published: Published,
    stop: StopProgress,
    actions: Vec<NodeAction>,
    now: Timestamp,
}

/// The outputs last published, so that only changes are published.
#[derive(Debug, Default)]
struct Published {
    started: bool,
    reading: bool,
    heads: BTreeSet<ZoneName>,
    leaving: BTreeSet<RunnerName>,
    assigned: Vec<Machine>,
}

/// Progress of a planned stop.
#[derive(Debug, Default)]
struct StopProgress {
    /// The coordinator was asked to release its lease.
    releasing_lease: bool,
    /// The lease is released, or was not held.
    lease_released: bool,
    /// The gateway has no requests left.
    drained: bool,
}

impl Node {
    /// A daemon that has just started.
    pub fn new(me: Peer, gossip: Gossip, coordinator: Coordinator) -> Self {
        Self {
            me,
            gossip,
            coordinator,
            machines: Machines::default(),
            peers: BTreeMap::new(),
            replies: Replies::default(),
            leaving_engines: BTreeSet::new(),
            machines_sequence: 0,
            machines_sent_at: None,
            published: Published::default(),
            stop: StopProgress::default(),
            actions: Vec::new(),
            now: Timestamp::ZERO,
        }
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(&mut self, event: NodeEvent, now: Timestamp) -> Vec<NodeAction> {
        self.now = now;
        if !self.published.started {
            // A daemon that is alone in its zone gets no change of members.
            self.published.started = true;
            self.members_changed();
        }
        match event {
            NodeEvent::Tick => self.tick(),
            NodeEvent::Received(envelope) => {
                self.peers
                    .insert(envelope.from.name.clone(), envelope.from.clone());
                self.step_gossip(GossipEvent::Received(*envelope));
            }
            NodeEvent::Answered(event) => self.step_coordinator(event),
            NodeEvent::Demands(zone, demands) => self.forward_demands(&zone, demands),
            NodeEvent::Watched(delta) => self.step_gossip(GossipEvent::Watched(delta)),
            NodeEvent::Listed(snapshot) => self.step_gossip(GossipEvent::Listed(snapshot)),
            NodeEvent::Machines(machines) => self.machines_read(machines),
            NodeEvent::Observed(reports) => self.forward_reports(reports),
            NodeEvent::Stop => self.stop(),
            NodeEvent::Drained => self.drained(),
        }
        self.send_replies();
        std::mem::take(&mut self.actions)
    }

    /// Begins a planned stop. With another member in the zone the lease is released immediately;
    /// without one, this daemon keeps coordinating for its own waiting requests.
    fn stop(&mut self) {
        if !self.gossip.membership().others().is_empty() {
            self.release_lease();
        }
    }

    /// Ends a planned stop. Only now is the leave announced, because other daemons discard the demands
    /// of a gateway that has left.
    fn drained(&mut self) {
        self.stop.drained = true;
        self.release_lease();
        self.step_gossip(GossipEvent::Leave);
        self.finish_stop();
    }

    fn release_lease(&mut self) {
        if !self.stop.releasing_lease {
            self.stop.releasing_lease = true;
            self.step_coordinator(CoordinatorEvent::Stop);
        }
    }

    fn finish_stop(&mut self) {
        if self.stop.drained && self.stop.lease_released {
            self.actions.push(NodeAction::Stopped);
        }
    }

    /// This daemon.
    pub fn me(&self) -> &Peer {
        &self.me
    }

    /// Members, configuration, coordinators and marks.
    pub fn gossip_state(&self) -> &Gossip {
        &self.gossip
    }

    /// The candidate for coordinator.
    pub fn coordinator(&self) -> &Coordinator {
        &self.coordinator
    }

    /// The machines known.
    pub fn machines(&self) -> &Machines {
        &self.machines
    }

    /// The term, while this daemon coordinates its zone.
    pub fn leading(&self) -> Option<Term> {
        self.coordinator.leading()
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Arc<Configuration> {
        self.gossip.configuration()
    }

    /// The coordinators of all zones that have one.
    pub fn coordinators(&self) -> Vec<Peer> {
        let zones = self.gossip.heads().iter().map(|head| &head.zone);
        zones
            .filter_map(|zone| self.gossip.coordinator(zone))
            .collect()
    }

    /// Wraps a message for another daemon in an envelope with piggybacked facts.
    pub fn wrap(&mut self, to: &Peer, message: Message) -> NodeAction {
        NodeAction::Send(to.address, self.gossip.wrap(to, message))
    }

    fn send(&mut self, to: &Peer, message: Message) {
        let action = self.wrap(to, message);
        self.actions.push(action);
    }

    fn tick(&mut self) {
        self.step_gossip(GossipEvent::Tick);
        self.step_coordinator(CoordinatorEvent::Tick);
        self.send_machine_snapshot();
    }

    /// Passes an event to gossip and carries out its actions.
    fn step_gossip(&mut self, event: GossipEvent) {
        for action in self.gossip.handle(event, self.now) {
            match action {
                GossipAction::Send(to, envelope) => {
                    self.actions.push(NodeAction::Send(to, envelope));
                }
                GossipAction::Deliver(peer, message) => self.handle_message(&peer, message),
                GossipAction::ConfigurationChanged => {
                    self.actions
                        .push(NodeAction::Configuration(self.configuration()));
                    self.leaving_changed();
                }
                GossipAction::ConfigurationIncomplete => self.actions.push(NodeAction::Relist),
                GossipAction::MembersChanged => self.members_changed(),
                GossipAction::MarksChanged => self.leaving_changed(),
                GossipAction::HeadsChanged => self.heads_changed(),
            }
        }
    }

    fn handle_message(&mut self, from: &Peer, message: Message) {
        match message {
            Message::Demands(demands) => {
                for demand in demands {
                    self.step_coordinator(CoordinatorEvent::Demanded(from.name.clone(), demand));
                }
            }
            Message::Routes(answers) => self.actions.push(NodeAction::Routes(answers)),
            Message::RoutesHeld(held) => self.actions.push(NodeAction::RoutesHeld(held)),
            Message::Machines(snapshot) => {
                let is_wanted = from.zone == self.me.zone && self.leading().is_none();
                if is_wanted && self.machines.receive(snapshot) {
                    self.machines_changed();
                }
            }
            Message::Reports(reports) => self.apply_reports(reports),
            Message::ViewWanted { sequence, view } => {
                self.actions
                    .push(NodeAction::ViewWanted(from.clone(), sequence, view));
            }
            Message::ViewRows { sequence, rows } => {
                self.actions
                    .push(NodeAction::ViewRows(from.clone(), sequence, rows));
            }
            // Gossip handles all other messages.
            _ => {}
        }
    }

    /// Starts or stops reading the platform's lists. A coordinator keeps leading, and so reading, when
    /// daemons that rank before it join later.
    fn update_list_reading(&mut self) {
        let rank = self.gossip.membership().rank();
        let reading = rank < LIST_READER_RANKS || self.leading().is_some();
        if self.published.reading != reading {
            self.published.reading = reading;
            self.actions.push(NodeAction::Reading(reading));
        }
    }

    fn members_changed(&mut self) {
        self.step_coordinator(CoordinatorEvent::Rank(self.gossip.membership().rank()));
        self.update_list_reading();
        for gone in self.gone_members() {
            self.step_coordinator(CoordinatorEvent::GatewayGone(gone));
        }
        self.heads_changed();
        self.update_assignment();
        self.machines_sent_at = None;
    }

    fn gone_members(&self) -> Vec<DaemonName> {
        let is_gone =
            |update: &&MemberUpdate| matches!(update.state, MemberState::Dead | MemberState::Left);
        let members = self.gossip.membership().members();
        members
            .filter(is_gone)
            .map(|update| update.peer.name.clone())
            .collect()
    }

    fn heads_changed(&mut self) {
        let zones: BTreeSet<ZoneName> = self
            .coordinators()
            .into_iter()
            .map(|coordinator| coordinator.zone)
            .collect();
        if self.published.heads != zones {
            self.published.heads.clone_from(&zones);
            self.actions.push(NodeAction::Heads(zones));
        }
    }

    /// Recomputes which runners this daemon observes.
    fn update_assignment(&mut self) {
        let members = self.gossip.membership().alive();
        let assigned = assigned_runners(&self.me.name, &members, self.machines.engines());
        if self.published.assigned != assigned {
            self.published.assigned.clone_from(&assigned);
            self.actions.push(NodeAction::Observe(assigned));
        }
    }

    /// Forwards this daemon's runner reports to the coordinator of its zone.
    fn forward_reports(&mut self, reports: Vec<RunnerReport>) {
        let zone = self.me.zone.clone();
        match self.gossip.coordinator(&zone) {
            Some(coordinator) if coordinator.name == self.me.name => self.apply_reports(reports),
            Some(coordinator) => self.send(&coordinator, Message::Reports(reports)),
            // Dropped: the observer sends reports again.
            None => {}
        }
    }

    fn apply_reports(&mut self, reports: Vec<RunnerReport>) {
        for report in reports {
            let RunnerReport {
                runner,
                load,
                inventory,
            } = report;
            match load {
                Some(load) => self.apply_load_report(runner.clone(), load),
                None => self.step_coordinator(CoordinatorEvent::RunnerUnanswered(runner.clone())),
            }
            match inventory {
                InventoryUpdate::Unread => {}
                InventoryUpdate::Same(version) => {
                    self.step_coordinator(CoordinatorEvent::InventoryUnchanged(runner, version));
                }
                InventoryUpdate::Changed(inventory) => {
                    let inventory = Ok(inventory);
                    self.step_coordinator(CoordinatorEvent::InventoryRead { runner, inventory });
                }
            }
        }
    }

    fn apply_load_report(&mut self, runner: RunnerName, load: LoadReport) {
        if load.leaving {
            // Loads are read more often than inventories. Only an inventory can clear this, since load
            // reports may arrive out of order.
            self.set_engine_leaving(runner.clone(), true);
        }
        self.step_coordinator(CoordinatorEvent::LoadReported(runner, load));
    }

    /// Passes an event to the coordinator and carries out its actions.
    fn step_coordinator(&mut self, event: CoordinatorEvent) {
        if let CoordinatorEvent::InventoryRead {
            runner,
            inventory: Ok(inventory),
        } = &event
        {
            self.set_engine_leaving(runner.clone(), inventory.leaving);
        }
        let configuration = self.configuration();
        for action in self.coordinator.handle(event, self.now, &configuration) {
            self.apply_coordinator_action(action);
        }
    }

    fn apply_coordinator_action(&mut self, action: CoordinatorAction) {
        match action {
            CoordinatorAction::Answer(daemon, answer) => {
                self.replies.answer(daemon, answer);
            }
            CoordinatorAction::Confirm(daemon, version) => {
                self.replies.confirm(daemon, version);
            }
            CoordinatorAction::Lead(term) => self.become_coordinator(term),
            CoordinatorAction::Resign => {
                self.step_gossip(GossipEvent::Resign);
                self.actions.push(NodeAction::Resign);
                self.update_list_reading();
            }
            CoordinatorAction::Stopped => {
                self.stop.lease_released = true;
                self.finish_stop();
            }
            CoordinatorAction::Record(decision) => {
                self.actions.push(NodeAction::Record(decision));
            }
            operation => self.actions.push(NodeAction::Platform(operation)),
        }
    }

    fn become_coordinator(&mut self, term: Term) {
        self.actions.push(NodeAction::Lead(term));
        self.update_list_reading();
        self.step_gossip(GossipEvent::Lead(term));
        self.machines_sent_at = None;
        self.leaving_changed();
    }

    fn forward_demands(&mut self, zone: &ZoneName, demands: Vec<Demand>) {
        let Some(coordinator) = self.gossip.coordinator(zone) else {
            // The gateway retries, and refuses its requests after a timeout.
            return;
        };
        if coordinator.name != self.me.name {
            self.send(&coordinator, Message::Demands(demands));
            return;
        }
        for demand in demands {
            self.step_coordinator(CoordinatorEvent::Demanded(coordinator.name.clone(), demand));
        }
    }

    fn machines_read(&mut self, machines: Vec<Machine>) {
        let zone = self.me.zone.clone();
        if self.machines.replace(&zone, machines) {
            self.machines_sent_at = None;
            self.machines_changed();
        }
        self.step_gossip(GossipEvent::Machines(self.machines.names()));
        if self.leading().is_some() {
            self.mark_all_machines();
        }
        let engines = self.machines.engines().to_vec();
        self.step_coordinator(CoordinatorEvent::Machines(engines));
    }

    fn machines_changed(&mut self) {
        let services = self.machines.services().to_vec();
        self.actions.push(NodeAction::Services(services));
        let known = self.machines.names();
        self.leaving_engines.retain(|runner| known.contains(runner));
        self.update_assignment();
        self.leaving_changed();
    }

    fn set_engine_leaving(&mut self, runner: RunnerName, leaving: bool) {
        let changed = if leaving {
            self.leaving_engines.insert(runner)
        } else {
            self.leaving_engines.remove(&runner)
        };
        if changed {
            self.leaving_changed();
        }
    }

    /// Recomputes which runners take no new work, and publishes them to the gateway and, as the
    /// coordinator, to the other daemons.
    fn leaving_changed(&mut self) {
        let mut leaving = self.observed_leaving();
        if self.leading().is_some() {
            self.update_marks(&leaving);
        }
        leaving.extend(self.configuration().drained());
        leaving.extend(self.gossip.marks().leaving());
        if self.published.leaving != leaving {
            self.published.leaving.clone_from(&leaving);
            self.actions.push(NodeAction::Leaving(leaving));
        }
    }

    /// As coordinator, records for every machine of this zone whether it is leaving. This also takes
    /// over the marks of a coordinator that has died.
    fn mark_all_machines(&mut self) {
        let leaving = self.observed_leaving();
        for runner in self.machines.names() {
            let leaving = leaving.contains(&runner);
            self.step_gossip(GossipEvent::Runner { runner, leaving });
        }
    }

    /// Runners that are leaving according to the machine list or their engines. Drained runners are
    /// not included: every daemon knows them from the configuration, and a mark could outlive its
    /// drain if all daemons of its zone were down when the drain ended.
    fn observed_leaving(&self) -> BTreeSet<RunnerName> {
        let mut leaving = self.machines.leaving();
        leaving.extend(self.leaving_engines.iter().cloned());
        leaving
    }

    /// As coordinator, sets and clears the marks of this zone.
    fn update_marks(&mut self, leaving: &BTreeSet<RunnerName>) {
        let marked = self.gossip.marks().leaving();
        for runner in leaving.difference(&marked) {
            self.step_gossip(GossipEvent::Runner {
                runner: runner.clone(),
                leaving: true,
            });
        }
        for runner in marked.difference(leaving) {
            if self.machines.is_known(runner) {
                self.step_gossip(GossipEvent::Runner {
                    runner: runner.clone(),
                    leaving: false,
                });
            }
        }
    }

    /// As coordinator, sends the machine list to the members of the zone when it is due.
    fn send_machine_snapshot(&mut self) {
        let sent = self.machines_sent_at;
        let is_due = sent.is_none_or(|sent| self.now.since(sent) >= MACHINE_SNAPSHOT_INTERVAL);
        let Some(term) = self.leading().filter(|_| is_due) else {
            return;
        };
        self.machines_sent_at = Some(self.now);
        self.machines_sequence += 1;
        let snapshot = self.machines.snapshot(term, self.machines_sequence);
        let members = self.gossip.membership().others().clone();
        for member in members {
            self.send(&member, Message::Machines(snapshot.clone()));
        }
    }
}
