//! One request as it goes to back ends.

use std::sync::OnceLock;

use bytes::Bytes;
use flaxward_control::attempt::RequestPolicy;
use flaxward_routing::fingerprint::{RequestContent, RequestFingerprint};
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
    /// The service, or the artifact in its text form.
    pub target: String,
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
    /// What stays the same when the caller tries again, once it was asked for.
    pub fingerprint: OnceLock<RequestFingerprint>,
}

impl Call {
    /// What stays the same when the caller tries again. The service or artifact stands in place of the host, which
    /// decides nothing here.
    pub fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            RequestFingerprint::of(&RequestContent {
                method: self.method.as_str(),
                host: &self.target,
                target: &self.path_and_query,
                tenant: None,
                body: &self.body,
            })
        })
    }
}

/// A new attempt id.
pub(crate) fn new_attempt() -> AttemptId {
    AttemptId(rand::random())
}
