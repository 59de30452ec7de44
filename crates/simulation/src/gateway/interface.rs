//! What the gateway of a daemon is told and what it asks for.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use flaxward_control::admission::AdmissionSettings;
use flaxward_control::attempt::{AttemptSettings, RetryBudgetSettings};
use flaxward_control::claims::{ClaimFault, ClaimSettings, ClaimWrite};
use flaxward_control::configuration::Configuration;
use flaxward_types::engine::Machine;
use flaxward_types::routing::{Demand, HeldAnswers, RouteAnswer};
use flaxward_types::{ArtifactId, AttemptId, Revision, RunnerName, ZoneName};

use crate::caller::{CallerRequest, Delivery, Frame};
use crate::weakness::DaemonWeakness;

/// Durations and limits, as in the settings of the HTTP gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Longest silence of a back end in the middle of a stream.
    pub stream_idle: Duration,
    /// How long a broken stream waits for another replica.
    pub stream_resume_wait: Duration,
    /// Longest stream.
    pub stream_limit: Duration,
    /// Waiting and demand.
    pub admission: AdmissionSettings,
    /// Attempts of one request.
    pub attempts: AttemptSettings,
    /// Retries of all requests together.
    pub retries: RetryBudgetSettings,
    /// Idempotency keys.
    pub claims: ClaimSettings,
    /// A rule left out on purpose.
    pub weakness: DaemonWeakness,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            stream_idle: Duration::from_secs(30),
            stream_resume_wait: Duration::from_secs(30),
            stream_limit: Duration::from_hours(1),
            admission: AdmissionSettings::default(),
            attempts: AttemptSettings::default(),
            retries: RetryBudgetSettings::default(),
            claims: ClaimSettings::default(),
            weakness: DaemonWeakness::None,
        }
    }
}

/// What a back end has brought for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// No connection could be made.
    NotSent,
    /// It refused before running.
    NotRun,
    /// The head of a stream or of a whole answer.
    Head,
    /// One token, under the index that the engine gave it.
    Token(u64, Frame),
    /// The end mark of a stream.
    Terminator,
    /// A whole answer.
    Body(u16, String),
    /// The connection broke.
    Broken,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum GatewayEvent {
    /// A caller asks.
    Arrive(Arc<CallerRequest>),
    /// A back end has brought something.
    News(AttemptId, News),
    /// The claim of a request was written.
    ClaimWritten(u64, Result<Revision, ClaimFault>),
    /// Answers of coordinators.
    Routes(Vec<RouteAnswer>),
    /// Answers that the gateway holds still hold.
    RoutesHeld(HeldAnswers),
    /// The zones whose coordinator is known.
    Heads(BTreeSet<ZoneName>),
    /// The runners that take no new work.
    Leaving(BTreeSet<RunnerName>),
    /// The machines of plain services.
    Services(Vec<Machine>),
    /// This configuration is in force.
    Configuration(Arc<Configuration>),
    /// Time has passed.
    Tick,
    /// A planned stop begins.
    Stop,
}

/// One attempt to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Its id.
    pub id: AttemptId,
    /// To which machine.
    pub runner: RunnerName,
    /// The request.
    pub request: Arc<CallerRequest>,
    /// The artifact, unless it goes to a service.
    pub artifact: Option<ArtifactId>,
    /// First token wanted.
    pub resume_from: Option<u64>,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayAction {
    /// Tell a coordinator what is wanted.
    Demands(ZoneName, Vec<Demand>),
    /// Send an attempt.
    Send(Attempt),
    /// Tell a back end that an attempt is given up.
    Cancel(AttemptId, RunnerName),
    /// Write a claim under this name, after a pause.
    WriteClaim(u64, String, Duration, ClaimWrite),
    /// Tell a caller something.
    Deliver(u64, Delivery),
}
