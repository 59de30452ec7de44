//! The messages.

use std::net::SocketAddr;

use flaxward_types::engine::{Inventory, InventoryVersion, LoadReport, Machine};
use flaxward_types::routing::{Demand, HeldAnswers, RouteAnswer};
use flaxward_types::{
    ConfigurationItem, DaemonName, ItemKey, ModelName, Revision, RunnerName, Term, ZoneName,
};
use serde::{Deserialize, Serialize};

/// A daemon and where it listens for other daemons.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub name: DaemonName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its address for daemons, UDP and TCP alike. An IPv6 scope is not sent.
    pub address: SocketAddr,
}

/// What travels: one sender, one message, and facts that ride along.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Who sends it, and where to answer.
    pub from: Peer,
    /// Configuration revision in force at the sender.
    pub configuration: Revision,
    /// Facts about members that ride along.
    pub members: Vec<MemberUpdate>,
    /// Coordinators of zones that ride along.
    pub heads: Vec<ZoneHead>,
    /// Marks on runners that ride along.
    pub marks: Vec<RunnerMark>,
    /// The message.
    pub message: Message,
}

/// Messages between daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Failure detection: are you there?
    Probe {
        /// Comes back in the answer.
        sequence: u64,
    },
    /// Failure detection: ask another member on my behalf.
    ProbeFor {
        /// Comes back in the answer.
        sequence: u64,
        /// Whom to ask.
        target: Peer,
    },
    /// Failure detection: yes.
    Alive {
        /// The sequence of the probe.
        sequence: u64,
        /// Who is alive.
        target: DaemonName,
    },
    /// A daemon has just started, or has heard of nobody for long: tell me the members.
    Join,
    /// The members, in answer to a join.
    Members {
        /// All members known.
        members: Vec<MemberUpdate>,
    },
    /// Rides alone: nothing but the facts in the envelope.
    Facts,
    /// Changes of configuration, sent on by whoever applies them.
    Configuration(ConfigurationDelta),
    /// I have this revision in force; send me what is newer.
    ConfigurationWanted {
        /// The revision in force.
        have: Revision,
    },
    /// A whole configuration.
    Snapshot(ConfigurationSnapshot),
    /// What a gateway wants, to the coordinator of a zone.
    Demands(Vec<Demand>),
    /// The coordinator's answers.
    Routes(Vec<RouteAnswer>),
    /// Answers that the gateway holds and that still hold, in place of sending them again.
    RoutesHeld(HeldAnswers),
    /// What an observer saw of runners, to the coordinator of the zone.
    Reports(Vec<RunnerReport>),
    /// The machine list of the region, from a coordinator to the members of its zone.
    Machines(MachineSnapshot),
    /// Please answer with one view of what you know, for an operator's question.
    ViewWanted {
        /// Comes back in the answer.
        sequence: u64,
        /// Which view.
        view: View,
    },
    /// One view, as JSON.
    ViewRows {
        /// The sequence of the question.
        sequence: u64,
        /// A JSON value, shaped by the view.
        rows: String,
    },
}

/// What a daemon can be asked about itself, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum View {
    /// The daemon itself, its zone if it coordinates one, and the members it knows.
    Daemon,
    /// Replicas and what waits for them, of a coordinator.
    Artifacts,
    /// Runners, of a coordinator.
    Runners,
    /// Requests waiting and running at this daemon.
    Requests,
    /// The decisions that a coordinator has recorded about a model.
    Decisions(ModelName),
}

/// Machines that take work, as a coordinator read them from the machine list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineSnapshot {
    /// Term of the coordinator; a snapshot of a lower term is ignored.
    pub term: Term,
    /// Rises within a term.
    pub sequence: u64,
    /// The machines that run plain services, in every zone.
    pub services: Vec<Machine>,
    /// The engines of the zone, for the members that observe them.
    pub engines: Vec<Machine>,
}

/// State of a member, as in SWIM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Did not answer; may refute this with a higher incarnation.
    Suspect,
    /// Is stopping as planned.
    Left,
    /// Did not answer nor refute.
    Dead,
}

/// One fact about a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub peer: Peer,
    /// Raised only by the member itself, to refute a suspicion or after a restart.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
}

/// Which daemon coordinates a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneHead {
    /// The zone.
    pub zone: ZoneName,
    /// The term; a head with a higher term replaces one with a lower.
    pub term: Term,
    /// The coordinator.
    pub coordinator: Peer,
}

/// A mark on a runner, spread to every gateway that may send work there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerMark {
    /// The runner.
    pub runner: RunnerName,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Rises with each change of mind about this runner; the higher one holds.
    pub epoch: u64,
}

/// What an observer saw of a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerReport {
    /// The runner.
    pub runner: RunnerName,
    /// Its load; `None` if it did not answer.
    pub load: Option<LoadReport>,
    /// Its inventory.
    pub inventory: InventoryNews,
}

/// What an observer tells of a runner's inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InventoryNews {
    /// It was not read this time.
    Unread,
    /// It is as last told.
    Same(InventoryVersion),
    /// It has changed since the observer last told it.
    Changed(Inventory),
}

/// One change of configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    /// Revision of the change.
    pub revision: Revision,
    /// What changed.
    pub key: ItemKey,
    /// Its new content, or `None` if it was removed.
    pub item: Option<ConfigurationItem>,
}

/// All changes of configuration after `from` and up to `to`, in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationDelta {
    /// The changes follow this revision.
    pub from: Revision,
    /// Nothing else changed up to this revision.
    pub to: Revision,
    /// The changes.
    pub changes: Vec<ConfigurationChange>,
}

/// A whole configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationSnapshot {
    /// The revision.
    pub revision: Revision,
    /// Each item, with the revision of its last change.
    pub items: Vec<(ItemKey, Revision, ConfigurationItem)>,
}
