//! What gossip is told and what it asks for.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::{RunnerName, Term};
use flaxward_wire::{ConfigurationDelta, ConfigurationSnapshot, Envelope, Message, Peer};

use crate::configuration::KeeperSettings;
use crate::membership::MembershipSettings;

/// Durations and sizes that steer gossip. The defaults are those of the settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipSettings {
    /// Membership of the zone.
    pub membership: MembershipSettings,
    /// Spread of configuration.
    pub configuration: KeeperSettings,
    /// Time between two sends of news for its own sake.
    pub rumor_interval: Duration,
    /// Members that news is sent to each time.
    pub rumor_fanout: usize,
    /// A fact is sent this many times the logarithm of the group's size.
    pub rumor_factor: u32,
    /// Bytes of facts that ride on a message, at most.
    pub piggyback_bytes: usize,
    /// Time between two sends of news by a coordinator to other zones.
    pub outside_rumor_interval: Duration,
    /// Time between two messages of a coordinator to another zone, news or not.
    pub exchange_interval: Duration,
}

impl Default for GossipSettings {
    fn default() -> Self {
        Self {
            membership: MembershipSettings::default(),
            configuration: KeeperSettings::default(),
            rumor_interval: Duration::from_millis(200),
            rumor_fanout: 3,
            rumor_factor: 3,
            piggyback_bytes: 600,
            outside_rumor_interval: Duration::from_millis(500),
            exchange_interval: Duration::from_secs(2),
        }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipEvent {
    /// Time has passed; sent at least every 100 ms.
    Tick,
    /// An envelope came in.
    Received(Envelope),
    /// A watch of the store has shown changes of configuration.
    Learnt(ConfigurationDelta),
    /// The configuration was listed from the store.
    Listed(ConfigurationSnapshot),
    /// This daemon's own view of a runner, all its sources together.
    Runner {
        /// The runner.
        runner: RunnerName,
        /// Whether it takes no new work.
        leaving: bool,
    },
    /// Names of all machines in the machine list known here.
    Machines(BTreeSet<RunnerName>),
    /// This daemon coordinates its zone from now on.
    Lead(Term),
    /// This daemon no longer coordinates its zone.
    Resign,
    /// This daemon is stopping as planned.
    Leave,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipAction {
    /// Send an envelope.
    Send(SocketAddr, Envelope),
    /// Another configuration is in force.
    ConfigurationChanged,
    /// Changes of configuration are missing: list the store again.
    ConfigurationIncomplete,
    /// Members came, went or are suspected.
    MembersChanged,
    /// Marks on runners changed.
    MarksChanged,
    /// Coordinators of zones changed.
    HeadsChanged,
    /// A message that is not about gossip came in.
    Deliver(Peer, Message),
}
