//! Messages that daemons exchange about runners and loads; [`crate::encoding`] serializes them.
//!
//! Members report demand and usage to the coordinator; the coordinator sends them the location of runners and models.
//! Messages carry absolute values instead of deltas, so datagrams may be lost, duplicated or reordered.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::concurrency::limits::RejectionLimitNews;
use crate::concurrency::{ConcurrencyAnswers, ConcurrencyQuestions, ConcurrencyReport};
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
use crate::stream_origins::messages::{OriginAnswers, OriginQuestions, StreamOriginRecords};
use crate::strength::MachineStrength;

/// A message between two daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From a member to the coordinator: the full demand and usage of its requests.
    Usage(Usage),
    /// From a member to the coordinator, sent immediately when a request starts to wait.
    Waiting(WaitNotice),
    /// From the coordinator to a member: cluster state.
    Direction(Box<Direction>),
    /// From a former coordinator to the standbys.
    LeaseEnded {
        /// The term that has ended.
        term: u64,
    },
    /// From a standby to all members while the coordinator does not report the state of the store.
    StoreNews(StoreNews),
    /// From any daemon to the quota keepers.
    UseReport(UseReport),
    /// From a quota keeper to all daemons.
    QuotaNews(QuotaNews),
    /// From any daemon to its assigned quota keeper.
    QuotaQuestions(QuotaQuestions),
    /// Reply to [`Message::QuotaQuestions`].
    QuotaAnswers(QuotaAnswers),
    /// Request for a newer configuration, sent to the daemon that announced it.
    ConfigurationWanted(ConfigurationWanted),
    /// Reply to [`Message::ConfigurationWanted`], one chunk per message.
    ConfigurationChunk(ConfigurationChunk),
    /// From a member to a coordinator from which it has not received runner holdings yet.
    HoldingsSummary(HoldingsSummary),
    /// From a daemon to the keepers: outcomes of runs, which show the requests that crash runners.
    RunReports(Vec<RunReport>),
    /// From any daemon to one whose set of quarantined requests differs, or from a keeper to all daemons.
    QuarantineNews(QuarantineNews),
    /// From any daemon to a relay, or from the relay to the destination.
    Forwarded(Forwarded),
    /// From any daemon to the coordinator: requests for permits to send to cold runners.
    PermitQuestions(PermitQuestions),
    /// Reply to [`Message::PermitQuestions`].
    PermitAnswers(PermitAnswers),
    /// From any daemon to the coordinator, which distributes it to all others.
    RunnerNotices(RunnerNotices),
    /// From any daemon to the keepers of stream origins.
    StreamOrigins(StreamOriginRecords),
    /// From any daemon to the keepers of stream origins.
    OriginQuestions(OriginQuestions),
    /// Reply to [`Message::OriginQuestions`].
    OriginAnswers(OriginAnswers),
    /// From any daemon to the coordinator: runners at whose ports nothing listens.
    RunnersDown(Vec<RunnerId>),
    /// From any daemon to the coordinator: requests for permits to send to brittle runners.
    ConcurrencyQuestions(ConcurrencyQuestions),
    /// Reply to [`Message::ConcurrencyQuestions`].
    ConcurrencyAnswers(ConcurrencyAnswers),
    /// From any daemon to the coordinator: what has become of its permits.
    ConcurrencyReport(ConcurrencyReport),
    /// From any daemon to the coordinator, and from the coordinator to all others.
    RejectionLimits(RejectionLimitNews),
}

/// A request for a newer configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationWanted {
    /// Address to which the reply is sent.
    pub from: SocketAddr,
    /// Lowest version that satisfies the request.
    pub version: u64,
    /// Digests of the parts that the requester already has; see [`crate::configuration_transfer`].
    pub parts: Vec<u64>,
}

/// Runner holdings known to a member before it receives them from the coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingsSummary {
    /// Name of the daemon.
    pub from: String,
    /// Term of the coordinator.
    pub term: u64,
    /// Digests of the holdings that it knows.
    pub digests: HoldingsDigests,
}

/// State of the store as reported by a standby.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreNews {
    /// Address on which the standby listens.
    pub from: SocketAddr,
    /// State of the store as seen by the standby.
    pub state: StoreState,
    /// Latest runner changes, if any.
    pub membership: Option<MembershipUpdate>,
    /// Evacuated zones known to the standby.
    pub evacuations: Evacuations,
    /// Digest of its quarantine entries; see [`crate::quarantine::Quarantine::digest`].
    pub quarantine_digest: u64,
}

/// State of the store as seen by a daemon that watches it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreState {
    /// Version of the configuration.
    pub configuration_version: u64,
    /// Store revision at which a runner was last added or removed, or started draining.
    pub membership_revision: u64,
    /// Time since the last response from the store, in ms.
    pub silence_ms: u32,
    /// Time since the configuration was last confirmed to be the newest, in ms; `u32::MAX` if it never was.
    pub configuration_age_ms: u32,
}

/// State already known to a member; the coordinator sends it only what is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownState {
    /// Term of the coordinator to which `holdings_version` refers.
    pub term: u64,
    /// Version of the holdings.
    pub holdings_version: u64,
    /// Number of members; see [`Direction::members`].
    pub members: u32,
    /// Store revision up to which it knows all runner changes; see [`Direction::membership`].
    pub runners_revision: u64,
    /// Digest of its runner table; see [`crate::runners::RunnerTable::digest`].
    pub runners_digest: u64,
    /// Software versions of runners are missing, since they came from a coordinator that does not send them. It is sent
    /// in an extension ([`crate::encoding`]).
    #[serde(skip)]
    pub lacks_software_versions: bool,
}

/// Units for which a member's requests are waiting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitNotice {
    /// Name of the daemon.
    pub from: String,
    /// State that it already knows.
    pub known: KnownState,
    /// It received an update whose predecessor is missing, so a message was lost.
    pub has_gap: bool,
    /// Units for which its requests are waiting.
    pub waiting: Vec<WaitingUnit>,
}

/// Demand and usage of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Name of the daemon.
    pub from: String,
    /// Address on which it receives messages from the coordinator.
    pub address: SocketAddr,
    /// Zone of the daemon.
    pub zone: Zone,
    /// Capacity of its machine.
    pub strength: MachineStrength,
    /// It is shutting down and must not be chosen as a standby.
    pub is_stopping: bool,
    /// State that it already knows.
    pub known: KnownState,
    /// Units for which its requests are waiting.
    pub waiting: Vec<WaitingUnit>,
    /// Units used recently by its requests.
    pub used: Vec<UsedUnit>,
    /// Its requests in progress, by runner and model.
    pub running: Vec<RunningUnit>,
}

/// Requests waiting for a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingUnit {
    /// The unit, restricted to the home regions of the requests.
    pub requirement: Requirement,
    /// Number of requests.
    pub requests: u32,
    /// Number of these requests that would miss their target even if a load started now.
    pub late: u32,
    /// Highest priority among them (lowest number).
    pub priority: u8,
}

/// Recent requests for a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsedUnit {
    /// The unit, restricted to the home regions of the requests.
    pub requirement: Requirement,
    /// Number of requests within the last [`USE_WINDOW_SECONDS`] seconds.
    pub requests: u32,
}

/// Length of the window of [`UsedUnit`], in seconds.
pub const USE_WINDOW_SECONDS: u32 = 5;

/// Requests in progress for one unit on one runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningUnit {
    /// The runner.
    pub runner: RunnerId,
    /// The unit.
    pub unit: Unit,
    /// Number of requests.
    pub requests: u32,
}

/// State update from the coordinator to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Direction {
    /// Term of the coordinator.
    pub term: u64,
    /// Lease of the coordinator.
    pub lease: LeaseHeartbeat,
    /// Address on which the coordinator receives messages from members.
    pub address: SocketAddr,
    /// Number of daemons it has heard from recently, including itself.
    pub daemons: u32,
    /// Capacity of the strongest machine among these daemons.
    pub strongest: MachineStrength,
    /// Position of the receiver in the order of standbys.
    pub standby: StandbyPlace,
    /// State of the store as seen by the coordinator.
    pub store: StoreState,
    /// Current quota state.
    pub quota: QuotaNews,
    /// Evacuated zones known to the coordinator.
    pub evacuations: Evacuations,
    /// Digest of the coordinator's quarantine entries; see [`crate::quarantine::Quarantine::digest`].
    pub quarantine_digest: u64,
    /// Runner changes that the receiver is missing, or a part of them.
    pub membership: Option<MembershipUpdate>,
    /// Addresses of all members, sent if the receiver is a standby that knows a different number of members.
    /// They let a successor reach members that cannot read the lease.
    pub members: Option<Vec<SocketAddr>>,
    /// Daemons through which members can relay messages when the coordinator is unreachable; `None` if not resent.
    pub relays: Option<Vec<SocketAddr>>,
    /// Version on which the update in `holdings` is based.
    pub holdings_after: u64,
    /// Version of a member that knew `holdings_after`, after it has applied `holdings`.
    pub holdings_version: u64,
    /// Runners whose holdings have changed since `holdings_after`.
    pub holdings: Vec<RunnerHoldings>,
    /// Estimated readiness of the units for which the member's requests are waiting.
    pub outlooks: Vec<UnitOutlook>,
    /// Requests in progress, summed over all daemons, on runners close to capacity; `None` if not resent.
    pub loads: Option<Vec<RunnerLoad>>,
    /// Limits on concurrent loads from the weight store, by service; `None` if not resent. Members keep them in case
    /// they become coordinator.
    pub store_limits: Option<Vec<StoreLimit>>,
}

impl Direction {
    /// A message without updates of runners, members or zones; it carries only the coordinator's lease and address and
    /// the state of the store and the quotas.
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

/// Limit on concurrent loads from the weight store for one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreLimit {
    /// The service.
    pub service: ServiceName,
    /// Maximum number of concurrent loads.
    pub loads: u32,
    /// The limit was measured: more concurrent loads slowed each other down.
    pub is_measured: bool,
}

/// Number of requests in progress on a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerLoad {
    /// The runner.
    pub runner: RunnerId,
    /// Number of requests.
    pub requests: u32,
}

/// Estimated readiness of a unit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitOutlook {
    /// The unit, restricted to the home regions of the requests.
    pub requirement: Requirement,
    /// Time until the unit is ready, in ms.
    pub ready_in_ms: u32,
}

impl Message {
    /// Label for metrics. A [`Direction`] is labelled by the largest kind of content that it carries.
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
            Self::StreamOrigins(_) => "stream-origins",
            Self::OriginQuestions(_) => "origin-questions",
            Self::OriginAnswers(_) => "origin-answers",
            Self::RunnersDown(_) => "runners-down",
            Self::ConcurrencyQuestions(_) => "concurrency-questions",
            Self::ConcurrencyAnswers(_) => "concurrency-answers",
            Self::ConcurrencyReport(_) => "concurrency-report",
            Self::RejectionLimits(_) => "rejection-limits",
        }
    }
}
