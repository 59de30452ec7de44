//! What gateways and coordinators tell each other about demand and replicas.

use serde::{Deserialize, Serialize};

use crate::code::ResultCode;
use crate::ids::{ArtifactId, RunnerName, Term, ZoneName};

/// What one gateway wants of one artifact, told to the coordinator that may load it and renewed
/// while anyone waits or runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// What is wanted.
    pub artifact: ArtifactId,
    /// Requests waiting for it.
    pub waiting: u32,
    /// Requests running on it.
    pub running: u32,
    /// Highest priority among those waiting.
    pub priority: u8,
    /// Time left to the earliest deadline among those waiting, in milliseconds.
    pub earliest_deadline_ms: u64,
    /// Requests begun since the last demand was sent.
    pub arrivals: u32,
    /// The answer of this zone that the gateway holds, so that it is not told the same again.
    pub known: Option<AnswerVersion>,
}

/// Names one answer of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AnswerVersion {
    /// Term of the coordinator that answered.
    pub term: Term,
    /// Its sequence within the term, the same for no two answers.
    pub sequence: u64,
}

/// The coordinator's answer to a demand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteAnswer {
    /// What was wanted.
    pub artifact: ArtifactId,
    /// Zone that answers.
    pub zone: ZoneName,
    /// Term of the coordinator that answers.
    pub term: Term,
    /// Rises with each change within a term; an answer older than the last applied is ignored.
    pub sequence: u64,
    /// Replicas that take new work: all of them, or the gateway's sample if there are many.
    pub ready: Vec<Replica>,
    /// What happens to requests that find no ready replica.
    pub outlook: Outlook,
}

impl RouteAnswer {
    /// What names this answer among those of its zone.
    pub fn version(&self) -> AnswerVersion {
        AnswerVersion {
            term: self.term,
            sequence: self.sequence,
        }
    }
}

/// Answers of one zone that a gateway holds and that still hold, so that none is sent again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldAnswers {
    /// The zone.
    pub zone: ZoneName,
    /// Term of the coordinator that answered.
    pub term: Term,
    /// Sequences of the answers.
    pub sequences: Vec<u64>,
}

/// One replica that takes work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// The machine.
    pub runner: RunnerName,
    /// Address of its engine, `ip:port`.
    pub address: String,
    /// Requests outstanding there as the coordinator last heard.
    pub outstanding: u32,
}

/// What a waiting request can expect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outlook {
    /// A replica is ready.
    Ready,
    /// A load is queued or running and should be done in this many milliseconds.
    Loading {
        /// Estimate, in milliseconds.
        estimate_ms: u64,
    },
    /// This zone has no quota for it; these zones have.
    Elsewhere {
        /// Zones with quota, best first.
        zones: Vec<ZoneName>,
    },
    /// It will not be loaded now.
    Refused {
        /// Why.
        code: ResultCode,
        /// When to ask again, in milliseconds.
        retry_after_ms: u64,
    },
}
