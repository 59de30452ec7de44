//! What the coordinator is told and what it asks for.

use std::time::Duration;

use flaxward_types::engine::{
    Inventory, InventoryVersion, LoadReport, Machine, Order, OrderAnswer,
};
use flaxward_types::records::{Quota, QuotaSubject, ZoneLease, ZonePlacement};
use flaxward_types::routing::{AnswerVersion, Demand, RouteAnswer};
use flaxward_types::{ArtifactId, DaemonName, OrderId, ResultCode, Revision, RunnerName, Term};

/// What steers a coordinator. The defaults of durations and speeds are those of the settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatorSettings {
    /// How long a renewal of the zone lease holds.
    pub lease_duration: Duration,
    /// Time between renewals.
    pub lease_renewal: Duration,
    /// How much earlier the holder stops recording decisions, for clocks that drift.
    pub clock_drift: Duration,
    /// Time after which an order or inventory read without an answer is sent again.
    pub order_retry: Duration,
    /// Time between reads of a sealed runner's inventory while an order is in progress there.
    pub inventory_poll: Duration,
    /// Time between reads of an idle runner's inventory, by its observer.
    pub inventory_refresh: Duration,
    /// Time after which a load counts as stuck and is tried elsewhere.
    pub load_timeout: Duration,
    /// Machines tried for one artifact before its waiting requests are refused.
    pub load_tries: u32,
    /// First pause after all tries failed; doubles with each further failure.
    pub load_backoff: Duration,
    /// Time after which a demand of requests that wait is forgotten if it is not renewed.
    pub demand_expiry: Duration,
    /// The same while requests run and none waits; such a demand is renewed rarely.
    pub running_demand_expiry: Duration,
    /// Assumed speed of a load from the weight store, in bytes a second, until one is measured.
    pub remote_bytes_per_second: u64,
    /// Assumed speed of a load from a machine's disk, in bytes a second, until one is measured.
    pub disk_bytes_per_second: u64,
    /// Assumed speed of a load from main memory, in bytes a second, until one is measured.
    pub memory_bytes_per_second: u64,
    /// Things of one kind that a plan or a round of housekeeping looks at besides what events have
    /// touched, at least.
    pub least_slice: usize,
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
            least_slice: 8,
        }
    }
}

/// Why a read or write of the store gave no plain result. A driver settles a lost answer by the
/// operation id first, and reports [`StoreFault::Unknown`] only if that fails as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// Certainly not carried out: the store is down or refused.
    Unavailable,
    /// The object has changed (or exists already): read it again.
    Conflict,
    /// May have been carried out: read it again before acting on it.
    Unknown,
}

impl StoreFault {
    /// Whether the store gave no answer at all; a conflict is an answer.
    #[must_use]
    pub fn is_failure(self) -> bool {
        self != Self::Conflict
    }
}

/// Why a runner gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineFault {
    /// It certainly saw nothing.
    Unreachable,
    /// It may have acted.
    Unknown,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorEvent {
    /// Time has passed; sent at least every 50 ms.
    Tick,
    /// This daemon's place among the live members of the zone: 0 takes the lease when it is free,
    /// 1 stands by, others leave the store alone.
    Rank(usize),
    /// The lease was read; `None` if there is none yet.
    LeaseRead(Result<Option<(Revision, ZoneLease)>, StoreFault>),
    /// The lease was written at this revision.
    LeaseWritten(Result<Revision, StoreFault>),
    /// The slots were read; `None` if there is no record yet.
    PlacementRead(Result<Option<(Revision, ZonePlacement)>, StoreFault>),
    /// The slots were written at this revision.
    PlacementWritten(Result<Revision, StoreFault>),
    /// All quotas were read.
    QuotasRead(Result<Vec<(Revision, Quota)>, StoreFault>),
    /// A quota was changed by someone, or read again.
    QuotaChanged(Revision, Quota),
    /// A quota was written at this revision.
    QuotaWritten(QuotaSubject, Result<Revision, StoreFault>),
    /// The machine list of this zone. A machine that is missing is gone for good.
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
        /// What it holds.
        inventory: Result<Inventory, EngineFault>,
    },
    /// A runner's load report was read.
    LoadReported(RunnerName, LoadReport),
    /// A runner's observer has read its inventory again and found it as last told.
    InventoryHolds(RunnerName, InventoryVersion),
    /// A runner did not answer its observer.
    RunnerSilent(RunnerName),
    /// A gateway wants something.
    Demanded(DaemonName, Demand),
    /// A gateway is gone; its demand is forgotten.
    GatewayGone(DaemonName),
    /// This daemon is stopping: hand the lease back.
    Stop,
}

/// What to do. Answers come back as events; at most one operation on the lease and one on the
/// placement is outstanding at a time.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorAction {
    /// Read the lease.
    ReadLease,
    /// Write the lease if it still has this version, or create it if `None`.
    WriteLease(Option<Revision>, ZoneLease),
    /// Read the slots.
    ReadPlacement,
    /// Write the slots if they still have this version, or create the record if `None`.
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
    /// Tell a gateway how an artifact stands.
    Answer(DaemonName, RouteAnswer),
    /// Tell a gateway that an answer which it holds still holds.
    Confirm(DaemonName, AnswerVersion),
    /// This daemon coordinates the zone under this term from now on.
    Lead(Term),
    /// This daemon no longer coordinates the zone.
    Resign,
    /// The lease is handed back, or was never held: the daemon may exit.
    Stopped,
    /// Note a decision for `explain` and for the log.
    Record(Decision),
}

/// One recorded decision about an artifact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// About what.
    pub artifact: ArtifactId,
    /// What was decided.
    pub kind: DecisionKind,
}

/// What was decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecisionKind {
    /// To load it on a runner, with the time expected in milliseconds.
    Load {
        /// Where.
        runner: RunnerName,
        /// Time to ready expected, in milliseconds.
        estimate_ms: u64,
    },
    /// It is ready on a runner, after this many milliseconds.
    Ready {
        /// Where.
        runner: RunnerName,
        /// Time since the decision to load it, in milliseconds.
        took_ms: u64,
    },
    /// To unload it from a runner.
    Unload {
        /// Where.
        runner: RunnerName,
        /// Why.
        reason: UnloadReason,
    },
    /// It is confirmed gone from a runner.
    Unloaded {
        /// Where.
        runner: RunnerName,
    },
    /// A load failed or is stuck.
    LoadFailed {
        /// Where.
        runner: RunnerName,
    },
    /// Not to load it now.
    Refuse(ResultCode),
}

/// Why an artifact is unloaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnloadReason {
    /// Idle for longer than its keep-alive.
    Idle,
    /// Its memory is needed for something wanted more.
    Evicted,
    /// The rule for copies allows fewer now, or it is no longer configured.
    Rule,
    /// Its runner is leaving.
    Leaving,
    /// It is on a runner without a slot, such as after a change of zone.
    NoSlot,
}
