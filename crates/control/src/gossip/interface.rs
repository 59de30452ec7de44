//! Events, actions and settings of the gossip state machine.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::{RunnerName, Term};
use flaxward_wire::{ConfigurationDelta, ConfigurationSnapshot, Envelope, Message, Peer};

use crate::configuration::ReplicatorSettings;
use crate::membership::MembershipSettings;

/// Durations and sizes that configure gossip. The defaults are those of the settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipSettings {
    /// Membership of the zone.
    pub membership: MembershipSettings,
    /// Dissemination of configuration.
    pub configuration: ReplicatorSettings,
    /// Time between two sends of dedicated rumor messages.
    pub rumor_interval: Duration,
    /// Members that each round of rumor messages is sent to.
    pub rumor_fanout: usize,
    /// A fact is sent this many times the logarithm of the group's size.
    pub rumor_factor: u32,
    /// Maximum number of bytes of facts piggybacked on a message.
    pub piggyback_bytes: usize,
    /// Time between two sends of rumors by a coordinator to other zones.
    pub cross_zone_rumor_interval: Duration,
    /// Time between two periodic exchanges of a coordinator with another zone, with or without
    /// pending rumors.
    pub exchange_interval: Duration,
}

impl Default for GossipSettings {
    fn default() -> Self {
        Self {
            membership: MembershipSettings::default(),
            configuration: ReplicatorSettings::default(),
            rumor_interval: Duration::from_millis(200),
            rumor_fanout: 3,
            rumor_factor: 3,
            piggyback_bytes: 600,
            cross_zone_rumor_interval: Duration::from_millis(500),
            exchange_interval: Duration::from_secs(2),
        }
    }
}

/// An input of the gossip state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipEvent {
    /// Time has passed; sent at least every 100 ms.
    Tick,
    /// An envelope was received.
    Received(Envelope),
    /// A watch of the store delivered configuration changes.
    Watched(ConfigurationDelta),
    /// The configuration was listed from the store.
    Listed(ConfigurationSnapshot),
    /// This daemon's own view of a runner, combined from all its sources.
    Runner {
        /// The runner.
        runner: RunnerName,
        /// Whether it takes no new work.
        leaving: bool,
    },
    /// Names of all machines in the machine list known to this daemon.
    Machines(BTreeSet<RunnerName>),
    /// This daemon coordinates its zone from now on.
    Lead(Term),
    /// This daemon no longer coordinates its zone.
    Resign,
    /// This daemon is stopping as planned.
    Leave,
}

/// An output of the gossip state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipAction {
    /// Send an envelope.
    Send(SocketAddr, Envelope),
    /// Another configuration is in force.
    ConfigurationChanged,
    /// Changes of configuration are missing: list the store again.
    ConfigurationIncomplete,
    /// Members joined, left or changed their state.
    MembersChanged,
    /// Marks on runners changed.
    MarksChanged,
    /// Coordinators of zones changed.
    HeadsChanged,
    /// A message for another component of the daemon was received.
    Deliver(Peer, Message),
}
