//! Permits for requests to runners that bear less than all daemons together may send them.
//!
//! A daemon sees its own requests only, so what all of them send can't be bounded by a preference of each. A daemon sends
//! nothing to such a runner without a permit of the keeper ([`keeper`]), which is the coordinator while its lease holds:
//! the lease makes it the only one at any time. A permit is for one request at one runner, and ends [`PERMIT_LIFE`] after
//! it was asked for by the asking daemon's clock, which counts suspension.

mod account;
pub mod keeper;

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::names::RunnerId;

/// Time from the question until a permit ends. A question and its answer take some 10 ms in a region and up to 80 ms at
/// a busy coordinator, a new connection to a runner some 5 ms; a longer life lengthens the time over which the keeper counts.
pub const PERMIT_LIFE: Duration = Duration::from_millis(200);

/// From a daemon to the keeper: for which requests it wants permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitQuestions {
    /// Where the answers go.
    pub from: SocketAddr,
    /// The requests.
    pub requests: Vec<PermitQuestion>,
}

/// Whether one request may be sent to a runner that needs permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitQuestion {
    /// The asking daemon's number of the request.
    pub number: u64,
    /// The runner.
    pub runner: RunnerId,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
}

/// From the keeper: its answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAnswers {
    /// The answers.
    pub answers: Vec<PermitAnswer>,
}

/// The keeper's answer for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// The asking daemon's number of the request.
    pub number: u64,
    /// What it decided.
    pub decision: PermitDecision,
}

/// A keeper's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitDecision {
    /// The request may be sent, within [`PERMIT_LIFE`] of the question.
    Given,
    /// It may not.
    Refused {
        /// Time until it may, if those refused before it are sent first, in ms.
        room_in_ms: u32,
    },
}
