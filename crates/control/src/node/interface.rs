//! What a node is told and what it asks for.

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

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeEvent {
    /// Time has passed; sent at least every 50 ms.
    Tick,
    /// Another daemon sent something.
    Received(Box<Envelope>),
    /// The platform answered an operation of [`NodeAction::Platform`].
    Answered(CoordinatorEvent),
    /// The gateway wants something of a zone's coordinator.
    Demands(ZoneName, Vec<Demand>),
    /// A watch of the store has shown changes of configuration.
    Learnt(ConfigurationDelta),
    /// The configuration was listed from the store.
    Listed(ConfigurationSnapshot),
    /// The machine list was read.
    Machines(Vec<Machine>),
    /// The runners that this daemon observes have news.
    Observed(Vec<RunnerReport>),
    /// A planned stop begins: the gateway takes no new request and lets the others finish.
    Stop,
    /// The gateway has no request left.
    Drained,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeAction {
    /// Send an envelope to another daemon.
    Send(SocketAddr, Envelope),
    /// Carry out an operation on the object API or on a runner.
    Platform(CoordinatorAction),
    /// Tell the gateway how artifacts stand.
    Routes(Vec<RouteAnswer>),
    /// Tell the gateway that answers which it holds still hold.
    RoutesHeld(HeldAnswers),
    /// Tell the gateway which zones have a coordinator that can be asked.
    Heads(BTreeSet<ZoneName>),
    /// Tell the gateway which runners take no new work.
    Leaving(BTreeSet<RunnerName>),
    /// Tell the gateway which machines run plain services.
    Services(Vec<Machine>),
    /// This configuration is in force.
    Configuration(Arc<Configuration>),
    /// Read the platform's lists, or stop reading them.
    Reading(bool),
    /// Observe these runners.
    Observe(Vec<Machine>),
    /// List the configuration again: changes are missing.
    Relist,
    /// This daemon coordinates its zone from now on.
    Lead(Term),
    /// This daemon no longer coordinates its zone.
    Resign,
    /// The gateway is drained and the lease handed back: the daemon may exit.
    Stopped,
    /// Note a decision in the log.
    Record(Decision),
    /// Another daemon wants a view; answer it with this sequence.
    ViewWanted(Peer, u64, View),
    /// Another daemon has answered a view.
    ViewRows(Peer, u64, String),
}
