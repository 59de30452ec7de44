//! One daemon without its sockets: gossip, the candidate for coordinator, and what joins them.
//!
//! A daemon, a property test and the hollow fleet all run this same machine.

mod interface;
mod machines;
mod replies;
mod share;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use flaxward_types::engine::{LoadReport, Machine};
use flaxward_types::routing::Demand;
use flaxward_types::{DaemonName, RunnerName, Term, Timestamp, ZoneName};
use flaxward_wire::{InventoryNews, MemberState, MemberUpdate, Message, Peer, RunnerReport};

use crate::configuration::Configuration;
use crate::coordinator::{Coordinator, CoordinatorAction, CoordinatorEvent};
use crate::gossip::{Gossip, GossipAction, GossipEvent};

pub use interface::{NodeAction, NodeEvent};
pub use machines::Machines;
pub use share::share;

use replies::Replies;

/// Time between two sendings of a machine snapshot that has not changed.
const MACHINES_RENEWAL: Duration = Duration::from_secs(10);

/// Daemons that rank below this read the platform's lists, as the coordinator does at any rank: they
/// take the lease next.
const READING_RANKS: usize = 2;

/// A daemon without its sockets.
#[derive(Debug)]
pub struct Node {
    me: Peer,
    gossip: Gossip,
    coordinator: Coordinator,
    machines: Machines,
    peers: BTreeMap<DaemonName, Peer>,
    replies: Replies,
    /// Runners whose engines say that they are leaving.
    engine_reports: BTreeSet<RunnerName>,
    machines_sequence: u64,
    machines_sent: Option<Timestamp>,
    told: Told,
    stop: Stop,
    actions: Vec<NodeAction>,
    now: Timestamp,
}

/// What was last told to the outside, so that only changes are told.
#[derive(Debug, Default)]
struct Told {
    started: bool,
    reading: bool,
    heads: BTreeSet<ZoneName>,
    leaving: BTreeSet<RunnerName>,
    share: Vec<Machine>,
}

/// How far a planned stop is.
#[derive(Debug, Default)]
struct Stop {
    /// The coordinator was told to hand its lease back.
    handing_back: bool,
    /// The lease is handed back, or was not held.
    handed_back: bool,
    /// The gateway has no request left.
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
            engine_reports: BTreeSet::new(),
            machines_sequence: 0,
            machines_sent: None,
            told: Told::default(),
            stop: Stop::default(),
            actions: Vec::new(),
            now: Timestamp::ZERO,
        }
    }

    /// Takes in one event and returns what to do.
    pub fn handle(&mut self, event: NodeEvent, now: Timestamp) -> Vec<NodeAction> {
        self.now = now;
        if !self.told.started {
            // A daemon that is alone in its zone hears of no change of members.
            self.told.started = true;
            self.members_changed();
        }
        match event {
            NodeEvent::Tick => self.tick(),
            NodeEvent::Received(envelope) => {
                self.peers
                    .insert(envelope.from.name.clone(), envelope.from.clone());
                self.gossip(GossipEvent::Received(*envelope));
            }
            NodeEvent::Answered(event) => self.coordinate(event),
            NodeEvent::Demands(zone, demands) => self.demand(&zone, demands),
            NodeEvent::Learnt(delta) => self.gossip(GossipEvent::Learnt(delta)),
            NodeEvent::Listed(snapshot) => self.gossip(GossipEvent::Listed(snapshot)),
            NodeEvent::Machines(machines) => self.machines_read(machines),
            NodeEvent::Observed(reports) => self.observed(reports),
            NodeEvent::Stop => self.stop(),
            NodeEvent::Drained => self.drained(),
        }
        self.send_replies();
        std::mem::take(&mut self.actions)
    }

    /// Begins a planned stop. With another member in the zone the lease is handed over at once;
    /// without one, this daemon goes on coordinating for its own waiting requests.
    fn stop(&mut self) {
        if !self.gossip.membership().others().is_empty() {
            self.hand_back();
        }
    }

    /// Ends a planned stop. The others hear only now that this daemon leaves: they forget the
    /// demand of a gateway that has left.
    fn drained(&mut self) {
        self.stop.drained = true;
        self.hand_back();
        self.gossip(GossipEvent::Leave);
        self.finish_stop();
    }

    fn hand_back(&mut self) {
        if !self.stop.handing_back {
            self.stop.handing_back = true;
            self.coordinate(CoordinatorEvent::Stop);
        }
    }

    fn finish_stop(&mut self) {
        if self.stop.drained && self.stop.handed_back {
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

    /// An envelope with a message for another daemon and the facts that are news to it.
    pub fn wrap(&mut self, to: &Peer, message: Message) -> NodeAction {
        NodeAction::Send(to.address, self.gossip.wrap(to, message))
    }

    fn send(&mut self, to: &Peer, message: Message) {
        let action = self.wrap(to, message);
        self.actions.push(action);
    }

    fn tick(&mut self) {
        self.gossip(GossipEvent::Tick);
        self.coordinate(CoordinatorEvent::Tick);
        self.renew_machines();
    }

    /// Hands an event to gossip and carries out what it asks for.
    fn gossip(&mut self, event: GossipEvent) {
        for action in self.gossip.handle(event, self.now) {
            match action {
                GossipAction::Send(to, envelope) => {
                    self.actions.push(NodeAction::Send(to, envelope));
                }
                GossipAction::Deliver(peer, message) => self.delivered(&peer, message),
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

    fn delivered(&mut self, from: &Peer, message: Message) {
        match message {
            Message::Demands(demands) => {
                for demand in demands {
                    self.coordinate(CoordinatorEvent::Demanded(from.name.clone(), demand));
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
            Message::Reports(reports) => self.reported(reports),
            Message::ViewWanted { sequence, view } => {
                self.actions
                    .push(NodeAction::ViewWanted(from.clone(), sequence, view));
            }
            Message::ViewRows { sequence, rows } => {
                self.actions
                    .push(NodeAction::ViewRows(from.clone(), sequence, rows));
            }
            // Gossip has taken in all the others.
            _ => {}
        }
    }

    /// Reads the platform's lists or stops. A coordinator goes on to lead, and so to read, when daemons
    /// that rank before it join later.
    fn update_reading(&mut self) {
        let rank = self.gossip.membership().rank();
        let reading = rank < READING_RANKS || self.leading().is_some();
        if self.told.reading != reading {
            self.told.reading = reading;
            self.actions.push(NodeAction::Reading(reading));
        }
    }

    fn members_changed(&mut self) {
        self.coordinate(CoordinatorEvent::Rank(self.gossip.membership().rank()));
        self.update_reading();
        for gone in self.gone_members() {
            self.coordinate(CoordinatorEvent::GatewayGone(gone));
        }
        self.heads_changed();
        self.share_changed();
        self.machines_sent = None;
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
        if self.told.heads != zones {
            self.told.heads.clone_from(&zones);
            self.actions.push(NodeAction::Heads(zones));
        }
    }

    /// Works out which runners this daemon observes.
    fn share_changed(&mut self) {
        let members = self.gossip.membership().alive();
        let share = share(&self.me.name, &members, self.machines.engines());
        if self.told.share != share {
            self.told.share.clone_from(&share);
            self.actions.push(NodeAction::Observe(share));
        }
    }

    /// Passes on what this daemon observed to the coordinator of its zone.
    fn observed(&mut self, reports: Vec<RunnerReport>) {
        let zone = self.me.zone.clone();
        match self.gossip.coordinator(&zone) {
            Some(coordinator) if coordinator.name == self.me.name => self.reported(reports),
            Some(coordinator) => self.send(&coordinator, Message::Reports(reports)),
            // Reports are sent again.
            None => {}
        }
    }

    fn reported(&mut self, reports: Vec<RunnerReport>) {
        for report in reports {
            let RunnerReport {
                runner,
                load,
                inventory,
            } = report;
            match load {
                Some(load) => self.load_reported(runner.clone(), load),
                None => self.coordinate(CoordinatorEvent::RunnerUnanswered(runner.clone())),
            }
            match inventory {
                InventoryNews::Unread => {}
                InventoryNews::Same(version) => {
                    self.coordinate(CoordinatorEvent::InventoryUnchanged(runner, version));
                }
                InventoryNews::Changed(inventory) => {
                    let inventory = Ok(inventory);
                    self.coordinate(CoordinatorEvent::InventoryRead { runner, inventory });
                }
            }
        }
    }

    fn load_reported(&mut self, runner: RunnerName, load: LoadReport) {
        if load.leaving {
            // Read more often than the inventories, which alone can take it back: a report may have
            // been overtaken.
            self.engine_reported(runner.clone(), true);
        }
        self.coordinate(CoordinatorEvent::LoadReported(runner, load));
    }

    /// Hands an event to the coordinator and carries out what it asks for.
    fn coordinate(&mut self, event: CoordinatorEvent) {
        if let CoordinatorEvent::InventoryRead {
            runner,
            inventory: Ok(inventory),
        } = &event
        {
            self.engine_reported(runner.clone(), inventory.leaving);
        }
        let configuration = self.configuration();
        for action in self.coordinator.handle(event, self.now, &configuration) {
            self.act(action);
        }
    }

    fn act(&mut self, action: CoordinatorAction) {
        match action {
            CoordinatorAction::Answer(daemon, answer) => {
                self.replies.answer(daemon, answer);
            }
            CoordinatorAction::Confirm(daemon, version) => {
                self.replies.confirm(daemon, version);
            }
            CoordinatorAction::Lead(term) => self.lead(term),
            CoordinatorAction::Resign => {
                self.gossip(GossipEvent::Resign);
                self.actions.push(NodeAction::Resign);
                self.update_reading();
            }
            CoordinatorAction::Stopped => {
                self.stop.handed_back = true;
                self.finish_stop();
            }
            CoordinatorAction::Record(decision) => {
                self.actions.push(NodeAction::Record(decision));
            }
            operation => self.actions.push(NodeAction::Platform(operation)),
        }
    }

    fn lead(&mut self, term: Term) {
        self.actions.push(NodeAction::Lead(term));
        self.update_reading();
        self.gossip(GossipEvent::Lead(term));
        self.machines_sent = None;
        self.leaving_changed();
    }

    fn demand(&mut self, zone: &ZoneName, demands: Vec<Demand>) {
        let Some(coordinator) = self.gossip.coordinator(zone) else {
            // The gateway asks again, and refuses its requests after a while.
            return;
        };
        if coordinator.name != self.me.name {
            self.send(&coordinator, Message::Demands(demands));
            return;
        }
        for demand in demands {
            self.coordinate(CoordinatorEvent::Demanded(coordinator.name.clone(), demand));
        }
    }

    fn machines_read(&mut self, machines: Vec<Machine>) {
        let zone = self.me.zone.clone();
        if self.machines.replace(&zone, machines) {
            self.machines_sent = None;
            self.machines_changed();
        }
        self.gossip(GossipEvent::Machines(self.machines.names()));
        if self.leading().is_some() {
            self.mark_all();
        }
        let engines = self.machines.engines().to_vec();
        self.coordinate(CoordinatorEvent::Machines(engines));
    }

    fn machines_changed(&mut self) {
        let services = self.machines.services().to_vec();
        self.actions.push(NodeAction::Services(services));
        let known = self.machines.names();
        self.engine_reports.retain(|runner| known.contains(runner));
        self.share_changed();
        self.leaving_changed();
    }

    fn engine_reported(&mut self, runner: RunnerName, leaving: bool) {
        let changed = if leaving {
            self.engine_reports.insert(runner)
        } else {
            self.engine_reports.remove(&runner)
        };
        if changed {
            self.leaving_changed();
        }
    }

    /// Works out which runners take no new work, and tells the gateway and, as the coordinator,
    /// the other daemons.
    fn leaving_changed(&mut self) {
        let mut leaving = self.observed_leaving();
        if self.leading().is_some() {
            self.mark(&leaving);
        }
        leaving.extend(self.configuration().drained());
        leaving.extend(self.gossip.marks().leaving());
        if self.told.leaving != leaving {
            self.told.leaving.clone_from(&leaving);
            self.actions.push(NodeAction::Leaving(leaving));
        }
    }

    /// Says of every machine of this zone whether it leaves, as its coordinator, and so also takes
    /// over the marks of a coordinator that has died.
    fn mark_all(&mut self) {
        let leaving = self.observed_leaving();
        for runner in self.machines.names() {
            let leaving = leaving.contains(&runner);
            self.gossip(GossipEvent::Runner { runner, leaving });
        }
    }

    /// Runners that the machine list or their engines say are leaving. Drained ones are not among them:
    /// every daemon knows them from the configuration, and a mark could outlive its drain if all
    /// daemons of its zone were down when the drain ended.
    fn observed_leaving(&self) -> BTreeSet<RunnerName> {
        let mut leaving = self.machines.leaving();
        leaving.extend(self.engine_reports.iter().cloned());
        leaving
    }

    /// Spreads this zone's marks, as its coordinator.
    fn mark(&mut self, leaving: &BTreeSet<RunnerName>) {
        let marked = self.gossip.marks().leaving();
        for runner in leaving.difference(&marked) {
            self.gossip(GossipEvent::Runner {
                runner: runner.clone(),
                leaving: true,
            });
        }
        for runner in marked.difference(leaving) {
            if self.machines.is_known(runner) {
                self.gossip(GossipEvent::Runner {
                    runner: runner.clone(),
                    leaving: false,
                });
            }
        }
    }

    /// Passes the machine list on to the members of the zone.
    fn renew_machines(&mut self) {
        let sent = self.machines_sent;
        let is_due = sent.is_none_or(|sent| self.now.since(sent) >= MACHINES_RENEWAL);
        let Some(term) = self.leading().filter(|_| is_due) else {
            return;
        };
        self.machines_sent = Some(self.now);
        self.machines_sequence += 1;
        let snapshot = self.machines.snapshot(term, self.machines_sequence);
        let members = self.gossip.membership().others().clone();
        for member in members {
            self.send(&member, Message::Machines(snapshot.clone()));
        }
    }
}
