//! One attempt: sending a request to a back end and reading the head and body of its answer.

use std::time::Duration;

use bytes::Bytes;
use flaxward_answers::is_answer_status;
use flaxward_client_limits::Reservation;
use flaxward_control::attempt::AttemptEnd;
use flaxward_control::stream::{StreamEnd, finish_body};
use flaxward_types::AttemptId;
use reqwest::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use reqwest::{Request, Url};
use tokio::time::Instant;

use crate::call::{Call, CallKind};
use crate::head::{ATTEMPT_HEADER, NOT_RUN_HEADER, RESUME_HEADER};
use crate::scheduler::BackEnd;

/// Timeout of the request that cancels an attempt at an engine.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits on buffering the body of an answer.
pub(crate) struct BufferLimits<'a> {
    /// Maximum bytes buffered for this body.
    pub limit: usize,
    /// Memory that the request has reserved so far.
    pub reservation: &'a mut Reservation,
}

/// The body of an answer, as far as it is buffered.
pub(crate) struct Collected {
    /// The chunks received so far.
    pub chunks: Vec<Bytes>,
    /// The rest, if the body exceeds the buffer limits.
    pub rest: Option<reqwest::Response>,
}

/// Sends a request and waits for the head of the answer.
pub(crate) async fn send(
    http: &reqwest::Client,
    call: &Call,
    back_end: &BackEnd,
    attempt: AttemptId,
    resume_from: Option<u64>,
    until: Instant,
) -> Result<reqwest::Response, AttemptEnd> {
    let request = request_for(call, back_end, attempt, resume_from).ok_or(AttemptEnd::NotSent)?;
    let response = match tokio::time::timeout_at(until, http.execute(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.is_connect() || error.is_builder() => {
            return Err(AttemptEnd::NotSent);
        }
        Ok(Err(_)) => return Err(AttemptEnd::BrokenBeforeHead),
        Err(_) => return Err(AttemptEnd::TimedOut),
    };
    if !is_answer_status(response.status()) {
        return Err(AttemptEnd::BrokenBeforeHead);
    }
    if refused_before_running(response.headers()) {
        return Err(AttemptEnd::RefusedBeforeRunning);
    }
    Ok(response)
}

/// Builds the request of one attempt. `None` if the address of the back end is invalid.
fn request_for(
    call: &Call,
    back_end: &BackEnd,
    attempt: AttemptId,
    resume_from: Option<u64>,
) -> Option<Request> {
    let url = format!("http://{}{}", back_end.address, call.path_and_query);
    let mut request = Request::new(call.method.clone(), Url::parse(&url).ok()?);
    *request.headers_mut() = call.headers.clone();
    let headers = request.headers_mut();
    let attempt = HeaderValue::try_from(attempt.to_string()).ok()?;
    headers.insert(ATTEMPT_HEADER, attempt);
    if let Some(index) = resume_from {
        headers.insert(RESUME_HEADER, index.into());
    }
    *request.body_mut() = Some(call.body.clone().into());
    Some(request)
}

fn refused_before_running(headers: &HeaderMap) -> bool {
    headers
        .get(NOT_RUN_HEADER)
        .is_some_and(|value| value.as_bytes() == b"true")
}

/// Reads the body of an answer to its end, or until the buffer limits are exceeded.
pub(crate) async fn collect(
    mut response: reqwest::Response,
    limits: BufferLimits<'_>,
    until: Instant,
) -> Result<Collected, AttemptEnd> {
    let has_stated_length = states_length(&response);
    let mut chunks = Vec::new();
    let mut length = 0;
    let mut has_memory;
    loop {
        let Ok(chunk) = tokio::time::timeout_at(until, response.chunk()).await else {
            return Err(AttemptEnd::TimedOut);
        };
        match chunk {
            Ok(Some(chunk)) => {
                length += chunk.len();
                has_memory = limits.reservation.raise_if_spare(chunk.len());
                chunks.push(chunk);
            }
            Ok(None) => return finish(chunks, finish_body(false, has_stated_length)),
            Err(_) => return finish(chunks, finish_body(true, has_stated_length)),
        }
        if length > limits.limit || !has_memory {
            let rest = Some(response);
            return Ok(Collected { chunks, rest });
        }
    }
}

fn finish(chunks: Vec<Bytes>, end: StreamEnd) -> Result<Collected, AttemptEnd> {
    match end {
        StreamEnd::Complete => Ok(Collected { chunks, rest: None }),
        StreamEnd::Truncated | StreamEnd::Stale => Err(AttemptEnd::Truncated),
    }
}

/// Whether the framing of the body distinguishes its end from a broken connection.
fn states_length(response: &reqwest::Response) -> bool {
    let status = response.status().as_u16();
    let has_no_body = matches!(status, 204 | 304);
    let headers = response.headers();
    has_no_body || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Cancels an attempt at its engine when dropped, unless the attempt has ended before.
pub(crate) struct CancelGuard {
    http: reqwest::Client,
    /// The attempt and the address of its engine, while the attempt runs.
    running: Option<(AttemptId, String)>,
}

impl CancelGuard {
    /// Creates a guard for an attempt that is about to be sent.
    pub fn new(
        http: &reqwest::Client,
        call: &Call,
        back_end: &BackEnd,
        attempt: AttemptId,
    ) -> Self {
        let running = match call.kind {
            CallKind::Engine => Some((attempt, back_end.address.clone())),
            CallKind::Service => None,
        };
        Self {
            http: http.clone(),
            running,
        }
    }

    /// Disarms the guard because the attempt has ended at the engine.
    pub fn disarm(&mut self) {
        self.running = None;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let Some((attempt, address)) = self.running.take() else {
            return;
        };
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let url = format!("http://{address}/engine/streams/{attempt}");
        let request = self.http.delete(url).timeout(CANCEL_TIMEOUT);
        runtime.spawn(async move {
            // If this request fails, the engine still sees the closed connection.
            let _ = request.send().await;
        });
    }
}
