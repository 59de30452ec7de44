//! Common parts of the HTTP adapters: a client with timeouts, and the classification of failures by
//! whether the request may have been sent.

use std::time::Duration;

use flaxward_answers::read_body;
use reqwest::header::{ETAG, HeaderValue};
use reqwest::{Client, RequestBuilder, Response};

/// Maximum length of an answer that is read as a whole; the longest are lists of all objects of a kind, and caches that
/// engines export.
const MAX_ANSWER_BYTES: usize = 32 * 1_024 * 1_024;

/// Timeouts of an HTTP adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Timeout for opening a connection.
    pub connect: Duration,
    /// Timeout for a whole call including its response; does not apply to watches.
    pub call: Duration,
    /// Time without data after which a watch counts as broken.
    pub idle: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(2),
            call: Duration::from_secs(10),
            idle: Duration::from_secs(30),
        }
    }
}

/// Creates a client with these timeouts.
///
/// # Errors
/// Fails if the HTTP library cannot be set up.
pub fn client(limits: Timeouts) -> Result<Client, reqwest::Error> {
    Client::builder()
        .no_proxy()
        .connect_timeout(limits.connect)
        .build()
}

/// Failure of a call, by whether the request may have been sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No connection was made, so nothing was sent.
    NotSent(String),
    /// The request may have been sent, but no complete response arrived.
    Unknown(String),
}

/// Sends a request and reads the complete response within the call timeout.
pub(crate) async fn call(request: RequestBuilder, limits: Timeouts) -> Result<Answer, CallError> {
    let response = request
        .timeout(limits.call)
        .send()
        .await
        .map_err(|error| call_error(&error))?;
    Answer::read(response).await
}

/// A complete response.
pub(crate) struct Answer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Entity tag of the body, if the server sent one.
    pub(crate) entity_tag: Option<HeaderValue>,
    pub(crate) body: bytes::Bytes,
}

impl Answer {
    async fn read(response: Response) -> Result<Self, CallError> {
        let status = response.status().as_u16();
        let entity_tag = response.headers().get(ETAG).cloned();
        let body = read_body(response, MAX_ANSWER_BYTES).await;
        let body = body.map_err(|error| CallError::Unknown(text_of(&error)))?;
        Ok(Self {
            status,
            entity_tag,
            body,
        })
    }

    /// The status and the start of the body, for error messages.
    pub(crate) fn text(&self) -> String {
        const SHOWN_BYTES: usize = 200;
        let shown = &self.body[..self.body.len().min(SHOWN_BYTES)];
        format!("status {}: {}", self.status, String::from_utf8_lossy(shown))
    }
}

/// Classifies a failure to send a request or to receive its response.
pub(crate) fn call_error(error: &reqwest::Error) -> CallError {
    let text = text_of(error);
    if error.is_connect() || error.is_builder() {
        CallError::NotSent(text)
    } else {
        CallError::Unknown(text)
    }
}

/// Formats an error with its chain of causes, for error messages.
pub(crate) fn text_of(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
