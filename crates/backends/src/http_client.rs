//! What the HTTP adapters share: a client with time limits, and what a failure proves.

use std::time::Duration;

use reqwest::header::{ETAG, HeaderValue};
use reqwest::{Client, RequestBuilder, Response};

/// Time limits of an HTTP adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLimits {
    /// To open a connection.
    pub connect: Duration,
    /// For a whole call, its answer included; does not apply to watches.
    pub call: Duration,
    /// Longest silence of a watch before it counts as broken.
    pub silence: Duration,
}

impl Default for TimeLimits {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(2),
            call: Duration::from_secs(10),
            silence: Duration::from_secs(30),
        }
    }
}

/// Makes a client with these limits.
///
/// # Errors
/// Fails if the HTTP library cannot be set up.
pub fn client(limits: TimeLimits) -> Result<Client, reqwest::Error> {
    Client::builder()
        .no_proxy()
        .connect_timeout(limits.connect)
        .build()
}

/// Why a call gave no answer, and what that proves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No connection was made: nothing was sent.
    NotSent(String),
    /// Something was sent, and no whole answer came.
    Unknown(String),
}

/// Sends a request and reads its answer whole, within the limit.
pub(crate) async fn call(request: RequestBuilder, limits: TimeLimits) -> Result<Answer, CallError> {
    let response = request
        .timeout(limits.call)
        .send()
        .await
        .map_err(|error| call_error(&error))?;
    Answer::read(response).await
}

/// A whole answer.
pub(crate) struct Answer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Entity tag of the body, if the server names one.
    pub(crate) entity_tag: Option<HeaderValue>,
    /// Body.
    pub(crate) body: bytes::Bytes,
}

impl Answer {
    async fn read(response: Response) -> Result<Self, CallError> {
        let status = response.status().as_u16();
        let entity_tag = response.headers().get(ETAG).cloned();
        let body = response.bytes().await;
        let body = body.map_err(|error| CallError::Unknown(text_of(&error)))?;
        Ok(Self {
            status,
            entity_tag,
            body,
        })
    }

    /// The status and the start of the body, for people.
    pub(crate) fn text(&self) -> String {
        const SHOWN_BYTES: usize = 200;
        let shown = &self.body[..self.body.len().min(SHOWN_BYTES)];
        format!("status {}: {}", self.status, String::from_utf8_lossy(shown))
    }
}

/// Says what a failure to send or to hear an answer proves.
pub(crate) fn call_error(error: &reqwest::Error) -> CallError {
    let text = text_of(error);
    if error.is_connect() || error.is_builder() {
        CallError::NotSent(text)
    } else {
        CallError::Unknown(text)
    }
}

/// An error with its causes, for people.
pub(crate) fn text_of(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
