//! The core of a daemon: one task that owns the state machines and hands their actions to drivers.
//!
//! Everything that decides runs here, one event after the other, so no decision ever sees half of
//! another. Drivers run beside it and answer with events.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use flaxward_control::configuration::Configuration;
use flaxward_control::coordinator::{Coordinator, CoordinatorAction, CoordinatorEvent};
use flaxward_control::gossip::{Gossip, GossipAction, GossipEvent};
use flaxward_gateway::Gateway;
use flaxward_peers::PeerSocket;
use flaxward_types::engine::Machine;
use flaxward_types::routing::{Demand, RouteAnswer};
use flaxward_types::{DaemonName, RunnerName, Term, Timestamp, ZoneName};
use flaxward_wire::{Envelope, MemberState, MemberUpdate, Message, Peer, RunnerReport};
use tokio::sync::{Notify, mpsc, watch};

use super::event::CoreEvent;
use super::machines::Machines;
use super::observer;
use super::runner_driver::RunnerDriver;
use super::store_driver::StoreDriver;
use super::views::Views;

/// Time between ticks of the state machines.
const TICK: Duration = Duration::from_millis(50);

/// Time between two sendings of the machine snapshot that nothing has changed.
const MACHINES_RENEWAL: Duration = Duration::from_secs(10);

/// What the core is made of.
pub struct Parts {
    /// This daemon.
    pub me: Peer,
    /// Membership, configuration, marks and heads.
    pub gossip: Gossip,
    /// The candidate for the zone's coordinator.
    pub coordinator: Coordinator,
    /// The callers' side.
    pub gateway: Arc<Gateway>,
    /// The socket to other daemons.
    pub peers: Arc<PeerSocket>,
    /// Operations on the object API.
    pub store: StoreDriver,
    /// Orders to runners.
    pub runners: RunnerDriver,
    /// The configuration in force, for the gateway.
    pub configuration: watch::Sender<Arc<Configuration>>,
    /// Whether this daemon reads the platform's lists.
    pub reading: watch::Sender<bool>,
    /// The runners that this daemon observes.
    pub share: watch::Sender<Vec<Machine>>,
    /// Asks for the configuration to be listed again.
    pub relist: Arc<Notify>,
    /// Whether the daemon takes requests.
    pub ready: watch::Sender<bool>,
}

/// The state of a daemon.
pub struct Core {
    pub(super) parts: Parts,
    pub(super) machines: Machines,
    pub(super) views: Views,
    started: std::time::Instant,
    peers: BTreeMap<DaemonName, Peer>,
    routes: BTreeMap<DaemonName, Vec<RouteAnswer>>,
    leaving: BTreeSet<RunnerName>,
    engine_reports: BTreeSet<RunnerName>,
    machines_sequence: u64,
    machines_sent: Option<Timestamp>,
    stopped: bool,
}

impl Core {
    /// Makes a core; its clock starts now.
    pub fn new(parts: Parts) -> Self {
        Self {
            parts,
            machines: Machines::default(),
            views: Views::default(),
            started: std::time::Instant::now(),
            peers: BTreeMap::new(),
            routes: BTreeMap::new(),
            leaving: BTreeSet::new(),
            engine_reports: BTreeSet::new(),
            machines_sequence: 0,
            machines_sent: None,
            stopped: false,
        }
    }

    /// Runs until the coordinator has handed over after a planned stop.
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<CoreEvent>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        // A daemon that is alone in its zone hears of no change of members.
        self.members_changed();
        while !self.stopped {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => break,
                },
                _ = ticks.tick() => self.tick(),
            }
            self.send_routes();
        }
    }

    /// Time on this daemon's clock.
    pub(super) fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.started.elapsed()
    }

    fn handle(&mut self, event: CoreEvent) {
        match event {
            CoreEvent::Received(envelope) => self.received(*envelope),
            CoreEvent::Coordinator(event) => self.coordinate(event),
            CoreEvent::Demands(zone, demands) => self.demand(&zone, demands),
            CoreEvent::Learnt(delta) => self.gossip(GossipEvent::Learnt(delta)),
            CoreEvent::Listed(snapshot) => self.gossip(GossipEvent::Listed(snapshot)),
            CoreEvent::Machines(machines) => self.machines_read(machines),
            CoreEvent::Observed(reports) => self.observed(reports),
            CoreEvent::Question(question) => question(self),
            CoreEvent::Stop => self.stop(),
        }
    }

    fn tick(&mut self) {
        self.gossip(GossipEvent::Tick);
        self.coordinate(CoordinatorEvent::Tick);
        let now = self.now();
        self.renew_machines(now);
        self.views.expire(now);
    }

    fn stop(&mut self) {
        self.coordinate(CoordinatorEvent::Stop);
        self.gossip(GossipEvent::Leave);
    }

    fn received(&mut self, envelope: Envelope) {
        self.peers
            .insert(envelope.from.name.clone(), envelope.from.clone());
        self.gossip(GossipEvent::Received(envelope));
    }

    /// Hands an event to gossip and carries out what it asks for.
    fn gossip(&mut self, event: GossipEvent) {
        let now = self.now();
        for action in self.parts.gossip.handle(event, now) {
            match action {
                GossipAction::Send(to, envelope) => self.parts.peers.send(to, &envelope),
                GossipAction::Deliver(peer, message) => self.delivered(&peer, message),
                GossipAction::ConfigurationChanged => self.configuration_changed(),
                GossipAction::MembersChanged => self.members_changed(),
                GossipAction::MarksChanged => self.leaving_changed(),
                GossipAction::HeadsChanged => self.heads_changed(),
                GossipAction::ConfigurationIncomplete => self.parts.relist.notify_one(),
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
            Message::Routes(answers) => self.parts.gateway.on_routes(answers),
            Message::Machines(snapshot) => {
                let same_zone = from.zone == self.parts.me.zone;
                if same_zone && self.leading().is_none() && self.machines.receive(snapshot) {
                    self.machines_changed();
                }
            }
            Message::Reports(reports) => self.reported(reports),
            Message::ViewWanted { sequence, view } => {
                let rows = self.view_rows(&view);
                self.send(from, Message::ViewRows { sequence, rows });
            }
            Message::ViewRows { sequence, rows } => self.views.received(sequence, from, rows),
            _ => {}
        }
    }

    fn configuration_changed(&mut self) {
        let configuration = self.parts.gossip.configuration();
        self.parts.configuration.send_replace(configuration);
        if !*self.parts.ready.borrow() {
            self.parts.ready.send_replace(true);
        }
        self.leaving_changed();
    }

    fn members_changed(&mut self) {
        let rank = self.parts.gossip.membership().rank();
        self.parts.reading.send_if_modified(|reading| {
            let wanted = rank <= 1;
            std::mem::replace(reading, wanted) != wanted
        });
        self.coordinate(CoordinatorEvent::Rank(rank));
        for gone in self.gone_members() {
            self.coordinate(CoordinatorEvent::GatewayGone(gone));
        }
        self.heads_changed();
        self.share_changed();
        self.machines_sent = None;
    }

    /// Works out which runners this daemon observes.
    fn share_changed(&self) {
        let members = self.parts.gossip.membership().alive();
        let share = observer::share(&self.parts.me.name, &members, self.machines.engines());
        self.parts.share.send_if_modified(|current| {
            let changed = *current != share;
            *current = share;
            changed
        });
    }

    /// Passes on what this daemon observed to the coordinator of its zone.
    fn observed(&mut self, reports: Vec<RunnerReport>) {
        let zone = self.parts.me.zone.clone();
        let Some(coordinator) = self.parts.gossip.coordinator(&zone) else {
            return;
        };
        if coordinator.name == self.parts.me.name {
            self.reported(reports);
        } else {
            self.send(&coordinator, Message::Reports(reports));
        }
    }

    fn reported(&mut self, reports: Vec<RunnerReport>) {
        for report in reports {
            self.coordinate(CoordinatorEvent::LoadReported(report.runner, report.load));
        }
    }

    fn gone_members(&self) -> Vec<DaemonName> {
        let gone =
            |update: &&MemberUpdate| matches!(update.state, MemberState::Dead | MemberState::Left);
        let members = self.parts.gossip.membership().members();
        members
            .filter(gone)
            .map(|update| update.peer.name.clone())
            .collect()
    }

    /// Tells the gateway which zones have a coordinator that it can ask.
    fn heads_changed(&mut self) {
        let gossip = &self.parts.gossip;
        let zones: BTreeSet<ZoneName> = gossip
            .heads()
            .iter()
            .map(|head| head.zone.clone())
            .filter(|zone| gossip.coordinator(zone).is_some())
            .collect();
        self.parts.gateway.on_heads(zones);
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
        let now = self.now();
        let configuration = self.parts.gossip.configuration();
        let actions = self.parts.coordinator.handle(event, now, &configuration);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: CoordinatorAction) {
        let store = &self.parts.store;
        match action {
            CoordinatorAction::ReadLease => store.read_lease(),
            CoordinatorAction::WriteLease(expected, lease) => store.write_lease(expected, lease),
            CoordinatorAction::ReadPlacement => store.read_placement(),
            CoordinatorAction::WritePlacement(expected, placement) => {
                store.write_placement(expected, placement);
            }
            CoordinatorAction::ReadQuotas => store.read_quotas(),
            CoordinatorAction::ReadQuota(subject) => store.read_quota(&subject),
            CoordinatorAction::WriteQuota(expected, quota) => store.write_quota(expected, quota),
            CoordinatorAction::SendOrder {
                runner,
                address,
                order,
            } => {
                self.parts.runners.order(runner, address, order);
            }
            CoordinatorAction::ReadInventory { runner, address } => {
                self.parts.runners.inventory(runner, address);
            }
            CoordinatorAction::Answer(daemon, answer) => {
                self.routes.entry(daemon).or_default().push(answer);
            }
            CoordinatorAction::Lead(term) => self.lead(term),
            CoordinatorAction::Resign => {
                spdlog::info!("event=resign zone={}", self.parts.me.zone);
                self.gossip(GossipEvent::Resign);
            }
            CoordinatorAction::Stopped => self.stopped = true,
            CoordinatorAction::Record(decision) => {
                spdlog::info!(
                    "event=decision artifact={} decision={:?}",
                    decision.artifact,
                    decision.kind
                );
            }
        }
    }

    fn lead(&mut self, term: Term) {
        spdlog::info!("event=lead zone={} term={term}", self.parts.me.zone);
        self.gossip(GossipEvent::Lead(term));
        self.machines_sent = None;
        self.leaving_changed();
    }

    /// The term, while this daemon coordinates its zone.
    pub(super) fn leading(&self) -> Option<Term> {
        self.parts.coordinator.leading()
    }

    fn demand(&mut self, zone: &ZoneName, demands: Vec<Demand>) {
        let Some(coordinator) = self.parts.gossip.coordinator(zone) else {
            return;
        };
        if coordinator.name != self.parts.me.name {
            self.send(&coordinator, Message::Demands(demands));
            return;
        }
        for demand in demands {
            self.coordinate(CoordinatorEvent::Demanded(coordinator.name.clone(), demand));
        }
    }

    /// Sends the coordinator's answers, one message for each gateway.
    fn send_routes(&mut self) {
        for (daemon, answers) in std::mem::take(&mut self.routes) {
            if daemon == self.parts.me.name {
                self.parts.gateway.on_routes(answers);
            } else if let Some(peer) = self.peers.get(&daemon).cloned() {
                self.send(&peer, Message::Routes(answers));
            }
        }
    }

    pub(super) fn send(&mut self, to: &Peer, message: Message) {
        let envelope = self.parts.gossip.wrap(to, message);
        self.parts.peers.send(to.address, &envelope);
    }

    fn machines_read(&mut self, machines: Vec<Machine>) {
        let zone = self.parts.me.zone.clone();
        let changed = self.machines.replace(&zone, machines);
        if changed {
            self.machines_sent = None;
            self.machines_changed();
        }
        self.gossip(GossipEvent::Machines(self.machines.names()));
        let engines = self.machines.engines().to_vec();
        self.coordinate(CoordinatorEvent::Machines(engines));
    }

    fn machines_changed(&mut self) {
        self.parts.gateway.on_machines(self.machines.services());
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
        let mut leaving = self.machines.leaving();
        leaving.extend(self.parts.gossip.configuration().drained());
        leaving.extend(self.engine_reports.iter().cloned());
        if self.leading().is_some() {
            self.mark(&leaving);
        }
        leaving.extend(self.parts.gossip.marks().leaving());
        if leaving != self.leaving {
            spdlog::info!("event=leaving-changed runners={leaving:?}");
            self.leaving.clone_from(&leaving);
            self.parts.gateway.on_leaving(leaving);
        }
    }

    /// Spreads this zone's marks, as its coordinator.
    fn mark(&mut self, leaving: &BTreeSet<RunnerName>) {
        let marked = self.parts.gossip.marks().leaving();
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
    fn renew_machines(&mut self, now: Timestamp) {
        let due = self
            .machines_sent
            .is_none_or(|sent| now.since(sent) >= MACHINES_RENEWAL);
        let Some(term) = self.leading().filter(|_| due) else {
            return;
        };
        self.machines_sent = Some(now);
        self.machines_sequence += 1;
        let snapshot = self.machines.snapshot(term, self.machines_sequence);
        for member in self.parts.gossip.membership().others() {
            self.send(&member, Message::Machines(snapshot.clone()));
        }
    }
}
