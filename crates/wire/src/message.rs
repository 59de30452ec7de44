//! Envelope and message types.

use std::net::SocketAddr;

use flaxward_types::engine::{Inventory, InventoryVersion, LoadReport, Machine};
use flaxward_types::routing::{Demand, HeldAnswers, RouteAnswer};
use flaxward_types::{
    ConfigurationItem, DaemonName, ItemKey, ModelName, Revision, RunnerName, Term, ZoneName,
};
use serde::{Deserialize, Serialize};

/// A daemon and its address for peer traffic.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the daemon.
    pub name: DaemonName,
    /// Zone of the daemon.
    pub zone: ZoneName,
    /// Address for peer traffic, the same for UDP and TCP. An IPv6 scope is not transmitted.
    pub address: SocketAddr,
}

/// Unit of transmission: one message from one sender, with piggybacked gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender, and the address for replies.
    pub from: Peer,
    /// Configuration revision applied at the sender.
    pub configuration: Revision,
    /// Piggybacked membership updates.
    pub members: Vec<MemberUpdate>,
    /// Piggybacked zone coordinators.
    pub heads: Vec<ZoneHead>,
    /// Piggybacked runner marks.
    pub marks: Vec<RunnerMark>,
    /// Message of the envelope.
    pub message: Message,
}

/// Messages between daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Failure detection: direct probe.
    Probe {
        /// Echoed in the reply.
        sequence: u64,
    },
    /// Failure detection: indirect probe, which asks the receiver to probe another member.
    ProbeFor {
        /// Echoed in the reply.
        sequence: u64,
        /// Member to probe.
        target: Peer,
    },
    /// Failure detection: acknowledges a probe.
    Alive {
        /// Sequence number of the probe.
        sequence: u64,
        /// Member that responded.
        target: DaemonName,
    },
    /// Requests the member list, sent by a daemon that has just started or has received no update from
    /// any member for a long time.
    Join,
    /// Member list, in reply to a join.
    Members {
        /// All members known to the sender.
        members: Vec<MemberUpdate>,
    },
    /// Carries no payload of its own, only the gossip of the envelope.
    Facts,
    /// Configuration changes, forwarded by each daemon that applies them.
    Configuration(ConfigurationDelta),
    /// Requests all configuration changes after the revision applied at the sender.
    ConfigurationWanted {
        /// Revision applied at the sender.
        have: Revision,
    },
    /// Full configuration.
    Snapshot(ConfigurationSnapshot),
    /// Demand of a gateway, sent to the coordinator of a zone.
    Demands(Vec<Demand>),
    /// Route answers of the coordinator.
    Routes(Vec<RouteAnswer>),
    /// Identifies answers already held by the gateway that are still valid, instead of resending them.
    RoutesHeld(HeldAnswers),
    /// Runner observations, sent to the coordinator of the zone.
    Reports(Vec<RunnerReport>),
    /// Machine list of the region, sent by a coordinator to the members of its zone.
    Machines(MachineSnapshot),
    /// Requests one view of the receiver's state for an operator query.
    ViewWanted {
        /// Echoed in the reply.
        sequence: u64,
        /// Requested view.
        view: View,
    },
    /// One view, encoded as JSON.
    ViewRows {
        /// Sequence number of the request.
        sequence: u64,
        /// JSON value whose schema depends on the view.
        rows: String,
    },
}

/// Part of a daemon's state that operators can query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum View {
    /// The daemon itself, the zone it coordinates (if any) and the members known to it.
    Daemon,
    /// Replicas and the demand waiting for them, from a coordinator.
    Artifacts,
    /// Runners, from a coordinator.
    Runners,
    /// Waiting and running requests at this daemon.
    Requests,
    /// Decisions recorded by a coordinator for a model.
    Decisions(ModelName),
}

/// Machines that accept work, as read from the machine list by a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineSnapshot {
    /// Term of the coordinator; a snapshot of a lower term is ignored.
    pub term: Term,
    /// Increases within a term.
    pub sequence: u64,
    /// Machines that run plain services, in all zones.
    pub services: Vec<Machine>,
    /// Engines of the zone, for the members that observe them.
    pub engines: Vec<Machine>,
}

/// State of a member, as in SWIM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Responds to probes.
    Alive,
    /// Did not respond; may refute the suspicion with a higher incarnation.
    Suspect,
    /// Shutting down as planned.
    Left,
    /// Did not respond and did not refute the suspicion.
    Dead,
}

/// Membership update for one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Member concerned.
    pub peer: Peer,
    /// Incremented only by the member itself, to refute a suspicion or after a restart.
    pub incarnation: u64,
    /// State of the member.
    pub state: MemberState,
}

/// Coordinator of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneHead {
    /// Coordinated zone.
    pub zone: ZoneName,
    /// Term of the coordinator; the entry with the higher term takes precedence.
    pub term: Term,
    /// Daemon that coordinates the zone.
    pub coordinator: Peer,
}

/// Mark on a runner, disseminated to every gateway that may send work to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerMark {
    /// Runner concerned.
    pub runner: RunnerName,
    /// Whether the runner accepts no new work.
    pub leaving: bool,
    /// Increases with each change of the mark; the highest epoch takes precedence.
    pub epoch: u64,
}

/// Observation of one runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerReport {
    /// Runner concerned.
    pub runner: RunnerName,
    /// Load of the runner; `None` if it did not respond.
    pub load: Option<LoadReport>,
    /// Inventory of the runner, relative to the previous report.
    pub inventory: InventoryUpdate,
}

/// Inventory part of a runner report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InventoryUpdate {
    /// Not read for this report.
    Unread,
    /// Unchanged since the last report.
    Same(InventoryVersion),
    /// Changed since the observer last reported it.
    Changed(Inventory),
}

/// One configuration change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    /// Revision of the change.
    pub revision: Revision,
    /// Key of the changed item.
    pub key: ItemKey,
    /// New content, or `None` if the item was removed.
    pub item: Option<ConfigurationItem>,
}

/// All configuration changes after `from` and up to `to`, in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationDelta {
    /// Revision that the changes apply to.
    pub from: Revision,
    /// Revision reached by the changes; there are no others up to it.
    pub to: Revision,
    /// Changes in order of revision.
    pub changes: Vec<ConfigurationChange>,
}

/// Full configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationSnapshot {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Items, each with the revision of its last change.
    pub items: Vec<(ItemKey, Revision, ConfigurationItem)>,
}
