//! Permits for requests to runners that sustain less than all daemons together may send.
//!
//! A daemon sees only its own requests, so the total cannot be bounded by local decisions. A daemon therefore sends
//! nothing to such a runner without a permit from the keeper ([`keeper`]), which is the coordinator while its lease is
//! valid; the lease guarantees that there is at most one keeper at any time. A permit covers one request to one runner
//! and expires [`PERMIT_LIFE`] after it was requested, measured on the requesting daemon's clock, which includes time
//! spent suspended.

pub mod keeper;
mod sliding_window;

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::names::RunnerId;

/// Time from the question until a permit expires. A question and its answer take about 10 ms within a region and up to
/// 80 ms with a busy coordinator; a new connection to a runner takes about 5 ms. A longer lifetime would lengthen the
/// interval over which the keeper counts permits.
pub const PERMIT_LIFE: Duration = Duration::from_millis(200);

/// From a daemon to the keeper: requests that need permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitQuestions {
    /// Address to which the answers are sent.
    pub from: SocketAddr,
    /// The requests.
    pub requests: Vec<PermitQuestion>,
}

/// Asks whether one request may be sent to a runner that needs permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitQuestion {
    /// Number that the asking daemon has given to the request.
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
    /// Number that the asking daemon has given to the request.
    pub number: u64,
    /// The decision.
    pub decision: PermitDecision,
}

/// A keeper's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitDecision {
    /// The request may be sent within [`PERMIT_LIFE`] of the question.
    Given,
    /// The request may not be sent.
    Refused {
        /// Time until a permit becomes available, assuming that earlier refused requests are sent first, in ms.
        room_in_ms: u32,
    },
}
