//! Messages between daemons about runners and loads; [`crate::encoding`] turns them into bytes.
//!
//! Members tell the coordinator what they need and use; it tells them what is where. Every message
//! holds whole values and no differences, so that datagrams may be lost, doubled or reordered.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::configuration_transfer::ConfigurationChunk;
use crate::evacuation::Evacuations;
use crate::holdings_digests::HoldingsDigests;
use crate::homes::Requirement;
use crate::lease::LeaseHeartbeat;
use crate::membership::MembershipUpdate;
use crate::names::{RunnerId, ServiceName, Unit, Zone};
use crate::next_hop::Forwarded;
use crate::notices::RunnerNotices;
use crate::permits::{PermitAnswers, PermitQuestions};
use crate::quarantine::RunReport;
use crate::quarantine::exchange::QuarantineNews;
use crate::quota::{QuotaAnswers, QuotaNews, QuotaQuestions, UseReport};
use crate::runners::RunnerHoldings;
use crate::standby::StandbyPlace;
use crate::strength::MachineStrength;

/// A message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From a member to the coordinator: all that its requests need and use.
    Usage(Usage),
    /// From a member to the coordinator, at once when a request begins to wait.
    Waiting(WaitNotice),
    /// From the coordinator to a member.
    Direction(Box<Direction>),
    /// From a daemon that coordinates no longer to the standbys.
    LeaseEnded {
        /// The term that has ended.
        term: u64,
    },
    /// From a standby to all members while the coordinator does not tell of the store.
    StoreNews(StoreNews),
    /// From any daemon to the keepers of the quotas.
    UseReport(UseReport),
    /// From a keeper of the quotas to all daemons.
    QuotaNews(QuotaNews),
    /// From any daemon to the keeper that it was told of.
    QuotaQuestions(QuotaQuestions),
    /// The answer to that.
    QuotaAnswers(QuotaAnswers),
    /// From a daemon that was told of a newer configuration to the one that told it.
    ConfigurationWanted(ConfigurationWanted),
    /// The answer to that, in parts.
    ConfigurationChunk(ConfigurationChunk),
    /// From a member to a coordinator that has not told it what runners hold.
    HoldingsSummary(HoldingsSummary),
    /// From a daemon whose requests show which ones crash runners to the keepers.
    RunReports(Vec<RunReport>),
    /// From any daemon to one that holds other requests in quarantine, or from a keeper to all daemons.
    QuarantineNews(QuarantineNews),
    /// From any daemon to one that passes it on, or from that one to the daemon for which it is meant.
    Forwarded(Forwarded),
    /// From any daemon to the coordinator: which requests for cold runners it would send.
    PermitQuestions(PermitQuestions),
    /// The answer to that.
    PermitAnswers(PermitAnswers),
    /// From any daemon to the coordinator, and from that one to all others.
    RunnerNotices(RunnerNotices),
}

/// A request for a newer configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationWanted {
    /// Where the answer goes.
    pub from: SocketAddr,
    /// The oldest version that helps.
    pub version: u64,
    /// Digests of the parts that the daemon has; see [`crate::configuration_transfer`].
    pub parts: Vec<u64>,
}

/// What a member knows of what runners hold before a coordinator has told it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingsSummary {
    /// Name of the daemon.
    pub from: String,
    /// Term of the coordinator.
    pub term: u64,
    /// Digests of what it knows.
    pub digests: HoldingsDigests,
}

/// What a standby tells of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreNews {
    /// Where the standby listens.
    pub from: SocketAddr,
    /// What it knows of the store.
    pub state: StoreState,
    /// The last changes of runners, if there were any.
    pub membership: Option<MembershipUpdate>,
    /// The evacuated zones that it knows.
    pub evacuations: Evacuations,
    /// Digest of what it holds in quarantine; see [`crate::quarantine::Quarantine::digest`].
    pub quarantine_digest: u64,
}

/// What a daemon that watches the store knows of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreState {
    /// Version of the configuration.
    pub configuration_version: u64,
    /// The store's revision at which a runner last came, went, or began to drain.
    pub membership_revision: u64,
    /// Time since the store last answered, in ms.
    pub silence_ms: u32,
    /// Time since the configuration was surely the newest, in ms; the largest number if it never was.
    pub configuration_age_ms: u32,
}

/// What a member knows, so that the coordinator tells it only what is new.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownState {
    /// Term of the coordinator that the next field is about.
    pub term: u64,
    /// Version of the holdings.
    pub holdings_version: u64,
    /// Number of members; see [`Direction::members`].
    pub members: u32,
    /// The store's revision up to which it knows all changes of runners; see [`Direction::membership`].
    pub runners_revision: u64,
    /// Digest of the runners that it knows; see [`crate::runners::RunnerTable::digest`].
    pub runners_digest: u64,
}

/// What a member's requests wait for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitNotice {
    /// Name of the daemon.
    pub from: String,
    /// What it knows.
    pub known: KnownState,
    /// It was told something that follows what it does not know: a message was lost.
    pub has_gap: bool,
    /// What its requests wait for.
    pub waiting: Vec<WaitingUnit>,
}

/// What a member needs and uses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Name of the daemon.
    pub from: String,
    /// Where it hears the coordinator.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Its machine.
    pub strength: MachineStrength,
    /// It stops, and so stands by for nothing.
    pub is_stopping: bool,
    /// What it knows.
    pub known: KnownState,
    /// What its requests wait for.
    pub waiting: Vec<WaitingUnit>,
    /// What its requests have used lately.
    pub used: Vec<UsedUnit>,
    /// Its requests in progress, by runner and model.
    pub running: Vec<RunningUnit>,
}

/// Requests that wait for a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingUnit {
    /// The unit, within the homes of the requests.
    pub requirement: Requirement,
    /// How many.
    pub requests: u32,
    /// Those of them that would be late even if a load began now.
    pub late: u32,
    /// The most urgent rank among them.
    pub priority: u8,
}

/// Requests that have used a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsedUnit {
    /// The unit, within the homes of the requests.
    pub requirement: Requirement,
    /// Requests in the last seconds ([`USE_WINDOW_SECONDS`]).
    pub requests: u32,
}

/// Length of the window of [`UsedUnit`], in seconds.
pub const USE_WINDOW_SECONDS: u32 = 5;

/// Requests in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningUnit {
    /// The runner.
    pub runner: RunnerId,
    /// The unit.
    pub unit: Unit,
    /// How many.
    pub requests: u32,
}

/// What the coordinator tells a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Direction {
    /// Term of the coordinator.
    pub term: u64,
    /// Its lease.
    pub lease: LeaseHeartbeat,
    /// Where it hears members.
    pub address: SocketAddr,
    /// Daemons that it has heard of lately, itself included.
    pub daemons: u32,
    /// The strongest of their machines.
    pub strongest: MachineStrength,
    /// Place of the receiver among the standbys.
    pub standby: StandbyPlace,
    /// What the coordinator knows of the store.
    pub store: StoreState,
    /// What there is to be known of quotas.
    pub quota: QuotaNews,
    /// The evacuated zones that the coordinator knows.
    pub evacuations: Evacuations,
    /// Digest of what the coordinator holds in quarantine; see [`crate::quarantine::Quarantine::digest`].
    pub quarantine_digest: u64,
    /// Changes of runners that the receiver does not know, or a part of them.
    pub membership: Option<MembershipUpdate>,
    /// Where the members hear a new coordinator, if the receiver stands by and knows another number of them.
    /// So a successor reaches also those that cannot read the lease.
    pub members: Option<Vec<SocketAddr>>,
    /// Daemons through which members can send to the coordinator when they do not hear it, if they are told again.
    pub relays: Option<Vec<SocketAddr>>,
    /// The holdings below follow this version.
    pub holdings_after: u64,
    /// Version that a member has which knew `holdings_after` and takes in the holdings below.
    pub holdings_version: u64,
    /// Runners whose holdings have changed since.
    pub holdings: Vec<RunnerHoldings>,
    /// When units that the member's requests wait for are ready.
    pub outlooks: Vec<UnitOutlook>,
    /// Requests in progress at runners that are filling up, all daemons together, if they are told again.
    pub loads: Option<Vec<RunnerLoad>>,
    /// Loads from the weight store that may be in flight, by service, if they are told again. A member keeps
    /// them for the case that it coordinates later.
    pub store_limits: Option<Vec<StoreLimit>>,
}

impl Direction {
    /// What a coordinator tells that has nothing to tell of runners, members or zones: its lease, its address, the store
    /// and the quotas.
    pub fn heartbeat(
        lease: LeaseHeartbeat,
        address: SocketAddr,
        store: StoreState,
        quota: QuotaNews,
    ) -> Self {
        Self {
            term: lease.term,
            lease,
            address,
            daemons: quota.daemons,
            strongest: MachineStrength::default(),
            standby: StandbyPlace::Unsaid,
            store,
            quota,
            evacuations: Evacuations::default(),
            quarantine_digest: 0,
            membership: None,
            members: None,
            relays: None,
            holdings_after: 0,
            holdings_version: 0,
            holdings: Vec::new(),
            outlooks: Vec::new(),
            loads: None,
            store_limits: None,
        }
    }

    fn kind(&self) -> &'static str {
        let has_changes = |update: &MembershipUpdate| !update.changes.is_empty();
        if !self.holdings.is_empty() {
            "direction-holdings"
        } else if self.membership.as_ref().is_some_and(has_changes) {
            "direction-runners"
        } else if self.members.is_some() {
            "direction-members"
        } else if self.loads.as_ref().is_some_and(|loads| !loads.is_empty()) {
            "direction-loads"
        } else {
            "direction-heartbeat"
        }
    }
}

/// How many loads from the weight store may be in flight for a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreLimit {
    /// The service.
    pub service: ServiceName,
    /// Loads in flight at most.
    pub loads: u32,
    /// More loads were seen to slow each other.
    pub is_measured: bool,
}

/// Requests in progress at a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerLoad {
    /// The runner.
    pub runner: RunnerId,
    /// How many.
    pub requests: u32,
}

/// When a unit is ready.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitOutlook {
    /// The unit, within the homes of the requests.
    pub requirement: Requirement,
    /// Time until it is ready, in ms.
    pub ready_in_ms: u32,
}

impl Message {
    /// What it is, for the counters. What the coordinator tells a member counts by the largest part that it can have.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Usage(_) => "usage",
            Self::Waiting(_) => "waiting",
            Self::Direction(direction) => direction.kind(),
            Self::LeaseEnded { .. } => "lease-ended",
            Self::StoreNews(_) => "store-news",
            Self::UseReport(_) => "use-report",
            Self::QuotaNews(_) => "quota-news",
            Self::QuotaQuestions(_) => "quota-questions",
            Self::QuotaAnswers(_) => "quota-answers",
            Self::ConfigurationWanted(_) => "configuration-wanted",
            Self::ConfigurationChunk(_) => "configuration-chunk",
            Self::HoldingsSummary(_) => "holdings-summary",
            Self::RunReports(_) => "run-reports",
            Self::QuarantineNews(_) => "quarantine-news",
            Self::Forwarded(_) => "forwarded",
            Self::PermitQuestions(_) => "permit-questions",
            Self::PermitAnswers(_) => "permit-answers",
            Self::RunnerNotices(_) => "runner-notices",
        }
    }
}
