//! Concurrency limits for brittle runners, which fail if they have to reject too many requests in a second.
//!
//! A runner rejects what does not fit into its slots and its queue, and only the requests of all daemons together show
//! how full it is. Where there are more daemons than rejections that a runner tolerates, local shares do not bound the
//! sum. A daemon therefore asks the keeper ([`keeper`]), the coordinator while its lease is valid, before it sends a
//! request to a brittle runner. The keeper counts the permits in use at each runner, learns how many requests the runner
//! accepts at a time, and bounds how many could be rejected in any second.
//!
//! A permit covers one request, from the question until the response has ended; the daemon reports its end with the
//! outcome ([`ledger`]). Which runners are brittle is known per service ([`limits`]).

pub mod keeper;
pub mod ledger;
pub mod limits;

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::names::RunnerId;
use crate::rate_limit::RequestRate;

/// Time from the question until the request must have been sent. It holds a question, its answer and a new connection.
pub const PERMIT_LIFE: Duration = Duration::from_millis(100);
/// Time from a permit until the runner has accepted the request if no rejection was reported: the permit's life, a
/// round trip with one retransmission, and the report.
pub(crate) const CONFIRMATION_TIME: Duration = Duration::from_millis(320);
/// Interval between full reports of the permits in use, which repair lost messages and inform a new keeper.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which the keeper drops a permit that no report has confirmed: its daemon is gone or cut off.
pub(crate) const PERMIT_EXPIRY: Duration = Duration::from_secs(2);

/// From a daemon to the keeper: requests that need permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConcurrencyQuestions {
    /// Address to which the answers are sent.
    pub from: SocketAddr,
    /// The requests.
    pub requests: Vec<ConcurrencyQuestion>,
}

/// Asks whether a request may be sent to a brittle runner. It holds all that a new keeper needs to know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConcurrencyQuestion {
    /// Number that the asking daemon has given to the request.
    pub number: u64,
    /// The runner.
    pub runner: RunnerId,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Requests that the runner processes at a time, according to its entry.
    pub slots: u32,
    /// Rejections per second that the runner tolerates.
    pub limit: RequestRate,
    /// Number of runners that can serve the request, including this one.
    pub candidates: u32,
}

/// From the keeper: its answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConcurrencyAnswers {
    /// The answers.
    pub answers: Vec<ConcurrencyAnswer>,
}

/// The keeper's answer for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConcurrencyAnswer {
    /// Number that the asking daemon has given to the request.
    pub number: u64,
    /// The decision.
    pub decision: ConcurrencyDecision,
}

/// A keeper's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConcurrencyDecision {
    /// The request may be sent within [`PERMIT_LIFE`] of the question.
    Given {
        /// The runner is near its capacity, so that nothing may be sent there without a permit.
        is_busy: bool,
    },
    /// The request may not be sent now.
    Refused {
        /// Time until a permit may be available, in ms.
        retry_in_ms: u32,
    },
}

/// How a permit was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitOutcome {
    /// The request was not sent.
    Unused,
    /// The runner did not reject the request.
    Accepted,
    /// The runner rejected the request.
    Rejected,
}

/// A permit that is no longer in use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedPermit {
    /// Number of the request.
    pub number: u64,
    /// The runner.
    pub runner: RunnerId,
    /// How it was used.
    pub outcome: PermitOutcome,
}

/// All permits of a daemon in use at one runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldPermits {
    /// The runner.
    pub runner: RunnerId,
    /// Number of the last request that is decided; a permit up to it that is not listed is not in use.
    pub up_to: u64,
    /// Numbers of the requests.
    pub numbers: Vec<u64>,
}

/// From a daemon to the keeper: what has become of its permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConcurrencyReport {
    /// Address of the daemon.
    pub from: SocketAddr,
    /// Permits that have ended since the report before the last one: each is reported twice, since messages get lost.
    pub ended: Vec<EndedPermit>,
    /// The permits in use, in a full report.
    pub held: Vec<HeldPermits>,
}
