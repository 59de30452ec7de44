//! Events, actions and settings of admission control.

use std::collections::BTreeSet;
use std::time::Duration;

use flaxward_types::routing::{Demand, HeldAnswers, RouteAnswer};
use flaxward_types::{ArtifactId, Refusal, RunnerName, Timestamp, ZoneName};

/// Identifier of a request, unique within one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Limits and durations of admission control. The defaults are those of the settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Maximum number of requests waiting for all artifacts together.
    pub total_limit: usize,
    /// How long a request waits without any outlook from a coordinator before it is refused.
    pub coordinator_grace: Duration,
    /// Time for which a zone may leave a demand unanswered before the next zone is sent one.
    pub zone_timeout: Duration,
    /// Time after which a zone that left a demand unanswered is sent one again.
    pub zone_retry_interval: Duration,
    /// Minimum time between two demands for the same artifact to the same zone while requests wait.
    pub demand_period: Duration,
    /// The same while requests run and none waits, if their number has doubled or halved or the
    /// last demand was not answered.
    pub running_demand_period: Duration,
    /// The same if nothing has changed; such a demand only keeps replicas loaded.
    pub renewal_period: Duration,
    /// How long a request that a runner returned is not sent to that runner again.
    pub avoid_period: Duration,
    /// How long no request is sent to a runner that could not be reached.
    pub unreachable_period: Duration,
    /// Time after which the routes of an unused artifact are evicted.
    pub route_expiry: Duration,
    /// Default retry time of refusals for which no estimate is known.
    pub retry_after: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            total_limit: 4_096,
            coordinator_grace: Duration::from_secs(3),
            zone_timeout: Duration::from_secs(1),
            zone_retry_interval: Duration::from_secs(10),
            demand_period: Duration::from_secs(1),
            running_demand_period: Duration::from_secs(2),
            renewal_period: Duration::from_secs(20),
            avoid_period: Duration::from_millis(500),
            unreachable_period: Duration::from_secs(2),
            route_expiry: Duration::from_mins(10),
            retry_after: Duration::from_secs(5),
        }
    }
}

/// A request for an artifact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Its identifier.
    pub request: RequestId,
    /// The artifact requested.
    pub artifact: ArtifactId,
    /// Its priority; higher is served first.
    pub priority: u8,
    /// Time by which it must be dispatched to a back end.
    pub deadline: Timestamp,
    /// Maximum number of requests waiting for the artifact.
    pub queue_limit: usize,
    /// Digest of the prompt prefix, for affinity with the back ends' prefix caches.
    pub prefix: Option<u64>,
}

/// Why a request was returned from a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackEndFault {
    /// It refused before running.
    Refused,
    /// No connection could be made; no request is sent to the runner for
    /// [`AdmissionSettings::unreachable_period`].
    Unreachable,
    /// The connection broke during the request, which continues on another runner.
    Broken,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionEvent {
    /// A request arrived.
    Arrive(Arrival),
    /// A coordinator answered a demand.
    Routes(RouteAnswer),
    /// A coordinator confirmed that some of its answers are still valid.
    RoutesHeld(HeldAnswers),
    /// A dispatched request ended.
    Finished(RequestId),
    /// A dispatched request needs another back end and is queued again.
    Returned {
        /// The request.
        request: RequestId,
        /// Why it was returned.
        fault: BackEndFault,
        /// Time by which it must be dispatched to another one.
        deadline: Timestamp,
    },
    /// The caller of a waiting or dispatched request disconnected.
    CallerGone(RequestId),
    /// The zones whose coordinator is known.
    Heads(BTreeSet<ZoneName>),
    /// The runners that accept no new work.
    Leaving(BTreeSet<RunnerName>),
    /// Periodic timer; sent at least every 50 ms.
    Tick,
}

/// What to do. Each arrival and each return leads to exactly one [`Self::Dispatch`] or
/// [`Self::Refuse`], unless the caller disconnects first.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionAction {
    /// Send the request to a back end.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The back end.
        runner: RunnerName,
        /// Its address, `ip:port`.
        address: String,
    },
    /// Refuse the request; it has not run since its arrival or return.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why, and when to retry.
        refusal: Refusal,
    },
    /// Send a demand to the coordinator of a zone.
    SendDemand {
        /// The zone.
        zone: ZoneName,
        /// The demand.
        demand: Demand,
    },
}

/// Status of one artifact, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArtifactView {
    /// The artifact.
    pub artifact: ArtifactId,
    /// Requests waiting for it.
    pub waiting: usize,
    /// Requests running on its replicas.
    pub running: usize,
    /// Highest priority among the waiting requests.
    pub priority: Option<u8>,
    /// Time left to the earliest deadline among the waiting requests.
    pub earliest_deadline: Option<Duration>,
    /// Time left until a replica is expected, while a load is in progress.
    pub expected: Option<Duration>,
    /// Replicas that accept new work.
    pub replicas: usize,
}
