//! Callers: what they ask, what they are told, and the record of both.

use std::time::Duration;

use flaxward_types::{ModelRef, Refusal, ResultCode, ServiceName};

use crate::process::ProcessId;
use crate::time::VirtualTime;

/// What a request goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A model, adapter or version.
    Model(ModelRef),
    /// A plain service.
    Service(ServiceName),
}

/// One request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// Number within the region.
    pub number: u64,
    /// What it goes to.
    pub target: Target,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Tokens of the answer.
    pub tokens: u64,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
    /// Idempotency key.
    pub key: Option<String>,
    /// Rank.
    pub priority: u8,
    /// Time in which the answer, or the first token of a stream, must come.
    pub deadline: Duration,
}

impl CallerRequest {
    /// The answer that belongs to this request, and to every other with the same key.
    pub fn answer(&self) -> String {
        match &self.key {
            Some(key) => format!("answer to key {key}"),
            None => format!("answer to request {}", self.number),
        }
    }

    /// The content of one frame of the answer.
    pub fn frame(&self, index: u64) -> Frame {
        Frame {
            request: self.number,
            index,
        }
    }
}

/// One token on its way, with what it really is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The request that the engine answers.
    pub request: u64,
    /// Place in the answer.
    pub index: u64,
}

/// What a caller receives.
#[derive(Clone, Debug, PartialEq)]
pub enum Delivery {
    /// One token of a stream.
    Frame(Frame),
    /// The end of a stream that is whole.
    StreamEnd,
    /// A whole answer.
    Answer(u16, String),
    /// A refusal, or a stated error in the middle of a stream.
    Refusal(Refusal),
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a whole answer.
    Answered,
    /// Refused before any part of an answer.
    Refused(ResultCode),
    /// With a stated error after part of an answer.
    BrokenOff(ResultCode),
    /// The daemon that the caller was connected to died.
    ConnectionLost,
}

/// What is recorded of one request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Which daemon it was sent to.
    pub process: ProcessId,
    /// When.
    pub arrived: VirtualTime,
    /// Frames received.
    pub frames: u64,
    /// When the first part of the answer came.
    pub first: Option<VirtualTime>,
    /// How and when it ended.
    pub ended: Option<(VirtualTime, Outcome)>,
    /// Executions at engines and services.
    pub executions: u32,
}
