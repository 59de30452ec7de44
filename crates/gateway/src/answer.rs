//! Answers to callers: relayed answers and errors.

use bytes::Bytes;
use flaxward_types::{Refusal, ResultCode};
use reqwest::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use salvo::http::{ResBody, StatusCode};
use salvo::prelude::Response;
use serde::Serialize;

use crate::counters;
use crate::head::REQUEST_ID_HEADER;
use crate::remainder::Remainder;

/// Content type of error answers.
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Body of an error answer.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorContent<'a>,
}

#[derive(Serialize)]
struct ErrorContent<'a> {
    code: u16,
    name: String,
    message: &'a str,
    not_run: bool,
    request_id: &'a str,
}

/// A complete answer, or its start and the stream of the rest.
pub(crate) struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// The buffered part of the body.
    pub body: Vec<Bytes>,
    /// The rest of the body, if it exceeds the buffer limits.
    pub rest: Option<Remainder>,
}

impl Answer {
    /// Writes the answer to the response.
    pub fn write(mut self, response: &mut Response) {
        counters::count_answer(self.status.as_u16());
        response.status_code(self.status);
        response.headers_mut().extend(self.headers);
        let body = match self.rest {
            Some(rest) => ResBody::stream(rest.into_stream(self.body)),
            None if self.body.len() == 1 => ResBody::Once(self.body.swap_remove(0)),
            None => ResBody::Chunks(self.body.into()),
        };
        response.body(body);
    }
}

/// JSON of an error, used as the body of an answer and as the data of an event.
pub(crate) fn error_json(refusal: &Refusal, request_id: &str) -> String {
    let body = ErrorBody {
        error: ErrorContent {
            code: refusal.code.number(),
            name: format!("{:?}", refusal.code),
            message: refusal.text(),
            not_run: refusal.code.not_run(),
            request_id,
        },
    };
    serde_json::to_string(&body).unwrap_or_default()
}

/// Writes an error answer.
pub(crate) fn write_refusal(response: &mut Response, refusal: &Refusal, request_id: &str) {
    counters::count_refusal(refusal.code);
    let status = StatusCode::from_u16(refusal.code.http_status());
    response.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    if let Some(retry_after) = refusal.retry_after {
        let seconds = retry_after.as_millis().div_ceil(1_000).max(1);
        let value = HeaderValue::from_str(&seconds.to_string());
        if let Ok(value) = value {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    write_request_id(response, request_id);
    response.body(ResBody::Once(error_json(refusal, request_id).into()));
}

/// Writes the request id, which the caller sent or the gateway generated.
pub(crate) fn write_request_id(response: &mut Response, request_id: &str) {
    if let Ok(value) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
}

/// A refusal of a malformed request.
pub(crate) fn bad_request(code: ResultCode, detail: impl Into<String>) -> Refusal {
    Refusal::new(code).with_detail(detail)
}
