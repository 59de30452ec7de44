//! One request as it goes to back ends.

use bytes::Bytes;
use flaxward_control::attempt::RequestPolicy;
use flaxward_types::{AttemptId, Timestamp};
use reqwest::Method;
use reqwest::header::HeaderMap;

/// What kind of back end a request goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// A model engine, whose attempts can be cancelled.
    Engine,
    /// A plain service.
    Service,
}

/// One request as it goes to back ends.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// What kind of back end it goes to.
    pub kind: CallKind,
    /// HTTP method.
    pub method: Method,
    /// Path and query, with the leading slash.
    pub path_and_query: String,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Names the request in logs.
    pub request_id: String,
    /// Rank.
    pub priority: u8,
    /// When the answer, or the first token of a stream, must have come.
    pub deadline: Timestamp,
    /// The first attempt, which a claim names.
    pub first_attempt: AttemptId,
    /// What is known of it before it is sent.
    pub policy: RequestPolicy,
}

/// A new attempt id.
pub(crate) fn new_attempt() -> AttemptId {
    AttemptId(rand::random())
}
