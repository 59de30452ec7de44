//! A request in the form sent to back ends.

use std::sync::OnceLock;

use bytes::Bytes;
use flaxward_control::attempt::RequestPolicy;
use flaxward_routing::fingerprint::{RequestContent, RequestFingerprint};
use flaxward_types::{AttemptId, Timestamp};
use reqwest::Method;
use reqwest::header::HeaderMap;

/// The kind of back end that serves a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// A model engine, whose attempts can be cancelled.
    Engine,
    /// A plain service.
    Service,
}

/// A request in the form sent to back ends.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The kind of back end.
    pub kind: CallKind,
    /// The service, or the artifact in its text form.
    pub target: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query, with the leading slash.
    pub path_and_query: String,
    /// Headers that are forwarded.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Identifies the request in logs.
    pub request_id: String,
    /// Priority from 0 to 9; higher goes first.
    pub priority: u8,
    /// When the answer, or the first token of a stream, is due.
    pub deadline: Timestamp,
    /// The id of the first attempt, which is recorded in the claim.
    pub first_attempt: AttemptId,
    /// The retry policy.
    pub policy: RequestPolicy,
    /// The fingerprint, computed on first use.
    pub fingerprint: OnceLock<RequestFingerprint>,
}

impl Call {
    /// The fingerprint, which is the same for every retry by the caller. The service or artifact is
    /// used in place of the host, which has no effect here.
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

/// Generates an attempt id.
pub(crate) fn new_attempt() -> AttemptId {
    AttemptId(rand::random())
}
