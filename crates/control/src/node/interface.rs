//! Events and actions of a node.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use flaxward_types::engine::Machine;
use flaxward_types::routing::{Demand, HeldAnswers, RouteAnswer};
use flaxward_types::{RunnerName, Term, ZoneName};
use flaxward_wire::{
    ConfigurationDelta, ConfigurationSnapshot, Envelope, Peer, RunnerReport, View,
};

use crate::configuration::Configuration;
use crate::coordinator::{CoordinatorAction, CoordinatorEvent, Decision};

/// An input of a node.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeEvent {
    /// Time has passed; sent at least every 50 ms.
    Tick,
    /// An envelope from another daemon was received.
    Received(Box<Envelope>),
    /// The platform answered an operation of [`NodeAction::Platform`].
    Answered(CoordinatorEvent),
    /// The gateway has demands for a zone's coordinator.
    Demands(ZoneName, Vec<Demand>),
    /// A watch of the store delivered configuration changes.
    Watched(ConfigurationDelta),
    /// The configuration was listed from the store.
    Listed(ConfigurationSnapshot),
    /// The machine list was read.
    Machines(Vec<Machine>),
    /// The observer of this daemon has reports on runners.
    Observed(Vec<RunnerReport>),
    /// A planned stop begins: the gateway accepts no new requests and finishes those in progress.
    Stop,
    /// The gateway has no requests left.
    Drained,
}

/// An output of a node.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeAction {
    /// Send an envelope to another daemon.
    Send(SocketAddr, Envelope),
    /// Carry out an operation on the object API or on a runner.
    Platform(CoordinatorAction),
    /// Send routes of artifacts to the gateway.
    Routes(Vec<RouteAnswer>),
    /// Confirm to the gateway that routes which it has are still valid.
    RoutesHeld(HeldAnswers),
    /// Tell the gateway which zones have a reachable coordinator.
    Heads(BTreeSet<ZoneName>),
    /// Tell the gateway which runners take no new work.
    Leaving(BTreeSet<RunnerName>),
    /// Tell the gateway which machines run plain services.
    Services(Vec<Machine>),
    /// Another configuration is in force.
    Configuration(Arc<Configuration>),
    /// Start or stop reading the platform's lists.
    Reading(bool),
    /// Observe these runners.
    Observe(Vec<Machine>),
    /// List the configuration again: changes are missing.
    Relist,
    /// This daemon coordinates its zone from now on.
    Lead(Term),
    /// This daemon no longer coordinates its zone.
    Resign,
    /// The gateway is drained and the lease released: the daemon may exit.
    Stopped,
    /// Record a decision in the log.
    Record(Decision),
    /// Another daemon requested a view; reply with this sequence number.
    ViewWanted(Peer, u64, View),
    /// Another daemon replied to a view request.
    ViewRows(Peer, u64, String),
}
