//! Events, actions and settings of the coordinator.

use std::time::Duration;

use flaxward_types::engine::{
    Inventory, InventoryVersion, LoadReport, Machine, Order, OrderAnswer,
};
use flaxward_types::records::{Quota, QuotaSubject, ZoneLease, ZonePlacement};
use flaxward_types::routing::{AnswerVersion, Demand, RouteAnswer};
use flaxward_types::{ArtifactId, DaemonName, OrderId, ResultCode, Revision, RunnerName, Term};

/// Settings of a coordinator. The defaults of durations and speeds are those of the settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatorSettings {
    /// How long the zone lease is valid after a renewal.
    pub lease_duration: Duration,
    /// Time between renewals.
    pub lease_renewal: Duration,
    /// How much earlier than its expiry the holder stops writing records, to allow for clock drift.
    pub clock_drift: Duration,
    /// Time after which an order or inventory read without an answer is sent again.
    pub order_retry: Duration,
    /// Interval between reads of a sealed runner's inventory while an order is in progress there.
    pub inventory_poll: Duration,
    /// Interval at which a runner's observer reads its inventory while the runner is idle.
    pub inventory_refresh: Duration,
    /// Time after which a load counts as stuck and is tried on another runner.
    pub load_timeout: Duration,
    /// Machines tried for one artifact before its waiting requests are refused.
    pub load_tries: u32,
    /// First backoff after all tries failed; doubles with each further failure.
    pub load_backoff: Duration,
    /// Time after which the demand of waiting requests expires if it is not renewed.
    pub demand_expiry: Duration,
    /// The same while requests run and none waits: such a demand is renewed less often.
    pub running_demand_expiry: Duration,
    /// Assumed speed of a load from the weight store, in bytes a second, until one is measured.
    pub remote_bytes_per_second: u64,
    /// Assumed speed of a load from a machine's disk, in bytes a second, until one is measured.
    pub disk_bytes_per_second: u64,
    /// Assumed speed of a load from main memory, in bytes a second, until one is measured.
    pub memory_bytes_per_second: u64,
    /// Minimum number of items of one kind that a plan or a housekeeping round examines in addition
    /// to those that events have touched.
    pub min_slice: usize,
}

impl Default for CoordinatorSettings {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_secs(6),
            lease_renewal: Duration::from_secs(2),
            clock_drift: Duration::from_millis(500),
            order_retry: Duration::from_secs(1),
            inventory_poll: Duration::from_millis(100),
            inventory_refresh: Duration::from_secs(15),
            load_timeout: Duration::from_mins(5),
            load_tries: 3,
            load_backoff: Duration::from_secs(5),
            demand_expiry: Duration::from_secs(5),
            running_demand_expiry: Duration::from_secs(50),
            remote_bytes_per_second: 1 << 30,
            disk_bytes_per_second: 4 << 30,
            memory_bytes_per_second: 16 << 30,
            min_slice: 8,
        }
    }
}

/// Why a read or write of the store gave no definite result. A driver settles a lost answer by the
/// operation id first, and reports [`StoreFault::Unknown`] only if that fails as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// Not carried out: the store is down or refused.
    Unavailable,
    /// The object has changed or exists already, and must be read again.
    Conflict,
    /// May have been carried out; the object must be read again before acting on it.
    Unknown,
}

impl StoreFault {
    /// Whether the store did not answer; a conflict is an answer.
    #[must_use]
    pub fn is_failure(self) -> bool {
        self != Self::Conflict
    }
}

/// Why a runner gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineFault {
    /// The request did not reach it.
    Unreachable,
    /// The request may have been carried out.
    Unknown,
}

/// An event that the coordinator handles.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorEvent {
    /// Time has passed; sent at least every 50 ms.
    Tick,
    /// This daemon's rank among the live members of the zone: 0 acquires the lease when it is free,
    /// 1 is on standby, others do not access the lease.
    Rank(usize),
    /// The lease was read; `None` if there is none yet.
    LeaseRead(Result<Option<(Revision, ZoneLease)>, StoreFault>),
    /// The lease was written at this revision.
    LeaseWritten(Result<Revision, StoreFault>),
    /// The placement record was read; `None` if there is none yet.
    PlacementRead(Result<Option<(Revision, ZonePlacement)>, StoreFault>),
    /// The placement record was written at this revision.
    PlacementWritten(Result<Revision, StoreFault>),
    /// All quotas were read.
    QuotasRead(Result<Vec<(Revision, Quota)>, StoreFault>),
    /// A quota was changed by any writer, or read again.
    QuotaChanged(Revision, Quota),
    /// A quota was written at this revision.
    QuotaWritten(QuotaSubject, Result<Revision, StoreFault>),
    /// The machine list of this zone. A machine missing from it has been removed permanently.
    Machines(Vec<Machine>),
    /// A runner answered an order.
    OrderAnswered {
        /// The runner.
        runner: RunnerName,
        /// The order.
        order: OrderId,
        /// Its answer.
        answer: Result<OrderAnswer, EngineFault>,
    },
    /// A runner's inventory was read, by this daemon or by the runner's observer.
    InventoryRead {
        /// The runner.
        runner: RunnerName,
        /// The inventory, or why it could not be read.
        inventory: Result<Inventory, EngineFault>,
    },
    /// A runner's load report was read.
    LoadReported(RunnerName, LoadReport),
    /// A runner's observer has read its inventory again and found it unchanged since the last
    /// report.
    InventoryUnchanged(RunnerName, InventoryVersion),
    /// A runner did not answer its observer.
    RunnerUnanswered(RunnerName),
    /// A gateway reports its demand for an artifact.
    Demanded(DaemonName, Demand),
    /// A gateway has left; its demand is removed.
    GatewayGone(DaemonName),
    /// This daemon is stopping and must release the lease.
    Stop,
}

/// An action to carry out. Results come back as events; at most one operation on the lease and one
/// on the placement is outstanding at a time.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorAction {
    /// Read the lease.
    ReadLease,
    /// Write the lease if it still has this version, or create it if `None`.
    WriteLease(Option<Revision>, ZoneLease),
    /// Read the placement record.
    ReadPlacement,
    /// Write the placement record if it still has this version, or create it if `None`.
    WritePlacement(Option<Revision>, ZonePlacement),
    /// Read all quotas and then watch them.
    ReadQuotas,
    /// Read one quota again; answered by [`CoordinatorEvent::QuotaChanged`] if it exists.
    ReadQuota(QuotaSubject),
    /// Write a quota if it still has this version, or create it if `None`.
    WriteQuota(Option<Revision>, Quota),
    /// Send an order.
    SendOrder {
        /// The runner.
        runner: RunnerName,
        /// Its address.
        address: String,
        /// The order.
        order: Order,
    },
    /// Read a runner's inventory.
    ReadInventory {
        /// The runner.
        runner: RunnerName,
        /// Its address.
        address: String,
    },
    /// Send a gateway the current routes of an artifact.
    Answer(DaemonName, RouteAnswer),
    /// Confirm to a gateway that the answer it has is still valid.
    Confirm(DaemonName, AnswerVersion),
    /// This daemon coordinates the zone under this term from now on.
    Lead(Term),
    /// This daemon no longer coordinates the zone.
    Resign,
    /// The lease has been released or was not held: the daemon may exit.
    Stopped,
    /// Record a decision for `explain` and for the log.
    Record(Decision),
}

/// One recorded decision about an artifact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The artifact that it concerns.
    pub artifact: ArtifactId,
    /// What was decided.
    pub kind: DecisionKind,
}

/// Kinds of decisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecisionKind {
    /// The artifact is to be loaded on a runner.
    Load {
        /// The runner.
        runner: RunnerName,
        /// Expected time until it is ready, in milliseconds.
        estimate_ms: u64,
    },
    /// The artifact is ready on a runner.
    Ready {
        /// The runner.
        runner: RunnerName,
        /// Time since the decision to load it, in milliseconds.
        took_ms: u64,
    },
    /// The artifact is to be unloaded from a runner.
    Unload {
        /// The runner.
        runner: RunnerName,
        /// The reason.
        reason: UnloadReason,
    },
    /// The runner has confirmed that it no longer has the artifact.
    Unloaded {
        /// The runner.
        runner: RunnerName,
    },
    /// A load failed or is stuck.
    LoadFailed {
        /// The runner.
        runner: RunnerName,
    },
    /// The artifact is not loaded for now.
    Refuse(ResultCode),
}

/// Why an artifact is unloaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnloadReason {
    /// Idle for longer than its keep-alive.
    Idle,
    /// Its memory is needed for an artifact with higher demand.
    Evicted,
    /// The replica rule allows fewer replicas now, or it is no longer configured.
    Rule,
    /// Its runner is leaving.
    Leaving,
    /// It has no slot on its runner, for example after the runner has changed zone.
    NoSlot,
}
