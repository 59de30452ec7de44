//! The core of a daemon: one task that owns the state machine and hands its actions to drivers.
//!
//! Everything that decides runs here, one event after the other, so no decision ever sees half of
//! another. Drivers run beside it and answer with events.

use std::sync::Arc;
use std::time::Duration;

use flaxward_control::configuration::Configuration;
use flaxward_control::coordinator::CoordinatorAction;
use flaxward_control::node::{Node, NodeAction, NodeEvent};
use flaxward_gateway::Gateway;
use flaxward_peers::PeerSocket;
use flaxward_settings::logs::state_change;
use flaxward_types::Timestamp;
use flaxward_types::engine::Machine;
use flaxward_wire::{Message, Peer};
use tokio::sync::{Notify, mpsc, watch};

use super::counters;
use super::decisions::{self, DecisionText};
use super::event::CoreEvent;
use super::runner_driver::RunnerDriver;
use super::store_driver::StoreDriver;
use super::views::Views;

/// Time between ticks of the state machine.
const TICK: Duration = Duration::from_millis(50);

/// What the core is made of.
pub struct Parts {
    /// The state machine.
    pub node: Node,
    /// The callers' side.
    pub gateway: Arc<Gateway>,
    /// The socket to other daemons.
    pub peers: PeerSocket,
    /// Operations on the object API.
    pub store: StoreDriver,
    /// Orders to runners.
    pub runners: RunnerDriver,
    /// Takes the configuration in force.
    pub configuration: watch::Sender<Arc<Configuration>>,
    /// Takes whether this daemon reads the platform's lists.
    pub reading: watch::Sender<bool>,
    /// Takes the runners that this daemon observes.
    pub share: watch::Sender<Vec<Machine>>,
    /// Takes whether this daemon coordinates its zone.
    pub leading: watch::Sender<bool>,
    /// Asks for the configuration to be listed again.
    pub relist: Arc<Notify>,
    /// Takes whether the daemon takes requests.
    pub ready: watch::Sender<bool>,
}

/// A daemon's state machine with its drivers.
pub struct Core {
    pub(super) parts: Parts,
    pub(super) views: Views,
    started: std::time::Instant,
    stopped: bool,
}

impl Core {
    /// Makes a core; its clock starts now.
    pub fn new(parts: Parts) -> Self {
        Self {
            parts,
            views: Views::default(),
            started: std::time::Instant::now(),
            stopped: false,
        }
    }

    /// Runs until the coordinator has handed over after a planned stop.
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<CoreEvent>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !self.stopped {
            tokio::select! {
                event = events.recv() => match event {
                    Some(CoreEvent::Node(event)) => self.handle(event),
                    Some(CoreEvent::Question(question)) => question(&mut self),
                    None => break,
                },
                _ = ticks.tick() => {
                    self.handle(NodeEvent::Tick);
                    self.views.expire(self.now());
                }
            }
        }
    }

    /// Time on this daemon's clock.
    pub(super) fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.started.elapsed()
    }

    fn handle(&mut self, event: NodeEvent) {
        let now = self.now();
        for action in self.parts.node.handle(event, now) {
            self.act(action);
        }
    }

    fn act(&mut self, action: NodeAction) {
        let parts = &self.parts;
        match action {
            NodeAction::Send(to, envelope) => parts.peers.send(to, &envelope),
            NodeAction::Platform(operation) => self.operate(operation),
            NodeAction::Routes(answers) => parts.gateway.on_routes(answers),
            NodeAction::RoutesHeld(held) => parts.gateway.on_routes_confirmed(held),
            NodeAction::Heads(zones) => parts.gateway.on_known_coordinators(zones),
            NodeAction::Leaving(leaving) => {
                counters::leaving(leaving.len());
                state_change("leaving-changed", &[("runners", &leaving.len())]);
                parts.gateway.on_leaving(leaving);
            }
            NodeAction::Services(machines) => parts.gateway.on_machines(&machines),
            NodeAction::Configuration(configuration) => {
                counters::in_force(configuration.revision());
                parts.configuration.send_replace(configuration);
                parts
                    .ready
                    .send_if_modified(|ready| !std::mem::replace(ready, true));
            }
            NodeAction::Reading(reading) => {
                parts.reading.send_replace(reading);
            }
            NodeAction::Observe(share) => {
                parts.share.send_replace(share);
            }
            NodeAction::Relist => parts.relist.notify_one(),
            NodeAction::Lead(term) => {
                counters::leads(true);
                parts.leading.send_replace(true);
                state_change("lead", &[("zone", &parts.node.me().zone), ("term", &term)]);
            }
            NodeAction::Resign => {
                counters::leads(false);
                parts.leading.send_replace(false);
                state_change("resign", &[("zone", &parts.node.me().zone)]);
            }
            NodeAction::Stopped => self.stopped = true,
            NodeAction::Record(decision) => {
                counters::decided(DecisionText::new(&decision.kind).decision);
                decisions::log(&decision);
            }
            NodeAction::ViewWanted(from, sequence, view) => {
                let rows = self.view_rows(&view);
                self.send(&from, Message::ViewRows { sequence, rows });
            }
            NodeAction::ViewRows(from, sequence, rows) => {
                self.views.received(sequence, &from, rows);
            }
        }
    }

    fn operate(&self, operation: CoordinatorAction) {
        let Parts { store, runners, .. } = &self.parts;
        match operation {
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
                runners.order(runner, address, order);
            }
            CoordinatorAction::ReadInventory { runner, address } => {
                runners.inventory(runner, address);
            }
            // The node keeps the others to itself.
            CoordinatorAction::Answer(..)
            | CoordinatorAction::Confirm(..)
            | CoordinatorAction::Lead(_)
            | CoordinatorAction::Resign
            | CoordinatorAction::Stopped
            | CoordinatorAction::Record(_) => {}
        }
    }

    pub(super) fn send(&mut self, to: &Peer, message: Message) {
        let action = self.parts.node.wrap(to, message);
        self.act(action);
    }
}
