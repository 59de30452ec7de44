//! What admission is told and what it asks for.

use std::collections::BTreeSet;
use std::time::Duration;

use flaxward_types::routing::{Demand, HeldAnswers, RouteAnswer};
use flaxward_types::{ArtifactId, Refusal, RunnerName, Timestamp, ZoneName};

/// Number of a request within one daemon; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Limits and durations that steer admission. The defaults are those of the settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Requests waiting for all artifacts together, at most.
    pub total_limit: usize,
    /// How long a request waits for a coordinator that gives it any hope.
    pub coordinator_grace: Duration,
    /// How long one zone may leave a demand unanswered before the next zone is asked.
    pub zone_patience: Duration,
    /// Time after which a zone that left a demand unanswered is asked again.
    pub zone_recheck: Duration,
    /// Time between two demands for the same artifact to the same zone while anyone waits.
    pub demand_period: Duration,
    /// The same while requests run and nobody waits, if their number has changed by half or the
    /// last demand was not answered.
    pub running_demand_period: Duration,
    /// The same if there is nothing new; such a demand only keeps replicas alive.
    pub renewal_period: Duration,
    /// How long a request that a runner gave back is not sent to it again.
    pub avoid_period: Duration,
    /// How long a runner that could not be reached is left alone by all requests.
    pub unreachable_period: Duration,
    /// Time after which the routes of an artifact that nobody uses are forgotten.
    pub route_expiry: Duration,
    /// When to come back if nothing better is known.
    pub retry_after: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            total_limit: 4_096,
            coordinator_grace: Duration::from_secs(3),
            zone_patience: Duration::from_secs(1),
            zone_recheck: Duration::from_secs(10),
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

/// A request that wants an artifact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Its number.
    pub request: RequestId,
    /// What it wants.
    pub artifact: ArtifactId,
    /// Its rank; higher goes first.
    pub priority: u8,
    /// When it must have been sent to a back end.
    pub deadline: Timestamp,
    /// Requests waiting for the artifact, at most.
    pub queue_limit: usize,
    /// Digest of the start of its prompt, for the back ends' prefix caches.
    pub prefix: Option<u64>,
}

/// Why a back end gave a request back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackEndFault {
    /// It refused before running.
    Refused,
    /// No connection could be made; other requests avoid the runner for a while as well.
    Unreachable,
    /// It broke off; the request goes on elsewhere.
    Broken,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionEvent {
    /// A request has arrived.
    Arrive(Arrival),
    /// A coordinator has answered a demand.
    Routes(RouteAnswer),
    /// A coordinator says that answers of its still hold.
    RoutesHeld(HeldAnswers),
    /// A dispatched request has ended.
    Finished(RequestId),
    /// A dispatched request wants another back end; it waits again.
    Returned {
        /// The request.
        request: RequestId,
        /// Why.
        fault: BackEndFault,
        /// When it must have been sent to another one.
        deadline: Timestamp,
    },
    /// The caller of a waiting or dispatched request is gone.
    CallerGone(RequestId),
    /// The zones whose coordinator is known.
    Heads(BTreeSet<ZoneName>),
    /// The runners that take no new work.
    Leaving(BTreeSet<RunnerName>),
    /// Time has passed; sent at least every 50 ms.
    Tick,
}

/// What to do. Each arrival and each return is answered by exactly one [`Self::Dispatch`] or
/// [`Self::Refuse`], unless the caller goes first.
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
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// Tell the coordinator of a zone what is wanted.
    SendDemand {
        /// The zone.
        zone: ZoneName,
        /// What is wanted.
        demand: Demand,
    },
}

/// How one artifact stands, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArtifactView {
    /// The artifact.
    pub artifact: ArtifactId,
    /// Requests that wait for it.
    pub waiting: usize,
    /// Requests that run on it.
    pub running: usize,
    /// Highest priority among those waiting.
    pub priority: Option<u8>,
    /// Time left to the earliest deadline among those waiting.
    pub earliest_deadline: Option<Duration>,
    /// Time left until a replica is expected, while a load is in progress.
    pub expected: Option<Duration>,
    /// Replicas that take new work.
    pub replicas: usize,
}
