//! Messages about the origins of streams.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{OriginKnowledge, StreamKey, StreamOrigin};
use crate::names::ServiceName;

/// Maximum number of streams in one message, so that it fits a datagram.
pub(super) const MAX_STREAMS_PER_MESSAGE: usize = 96;

/// Origins of streams that a daemon relays.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOriginRecords {
    /// The different origins; there are few.
    pub origins: Vec<StreamOrigin>,
    /// The streams.
    pub streams: Vec<StreamRecord>,
}

/// Origin of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The stream.
    pub key: StreamKey,
    /// Position of its origin in [`StreamOriginRecords::origins`].
    pub origin: u8,
    /// Time for which its client may take it up, in s.
    pub seconds_left: u8,
}

/// Asks a keeper for the origins of streams that clients take up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuestions {
    /// Address to which the answers are sent.
    pub from: SocketAddr,
    /// The streams.
    pub requests: Vec<OriginQuestion>,
}

/// Asks for the origin of one stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuestion {
    /// Number that the asking daemon has given to the request.
    pub number: u64,
    /// The stream; `None` if the client does not name it.
    pub key: Option<StreamKey>,
    /// The service to which the request is sent.
    pub service: ServiceName,
    /// Longest time since which the stream may have begun, in ms.
    pub window_ms: u32,
}

/// From a keeper: its answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswers {
    /// The answers.
    pub answers: Vec<OriginAnswer>,
}

/// What a keeper knows of the origin of one stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// Number that the asking daemon has given to the request.
    pub number: u64,
    /// What the keeper knows.
    pub knowledge: OriginKnowledge,
}
