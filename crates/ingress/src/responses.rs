//! Responses that the ingress generates itself, and the body type of all responses.

use std::time::Duration;

use bytes::Bytes;
use flaxward_types::refusal::Refusal;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use crate::relay::RelayError;

/// Body of a response to a client.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, RelayError>;

/// Wraps a complete body.
pub(crate) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Builds the response for a refusal, with `Retry-After` if the refusal has one.
pub(crate) fn refusal(refusal: &Refusal) -> Response<ResponseBody> {
    let text = format!(
        "{{\"code\":{},\"error\":\"{}\"}}\n",
        refusal.code.number(),
        refusal.code.text()
    );
    let mut response = Response::new(full_body(Bytes::from(text)));
    let status = StatusCode::from_u16(refusal.code.http_status());
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(value) = refusal.retry_after.and_then(retry_after) {
        headers.insert(RETRY_AFTER, value);
    }
    response
}

/// Formats the value of `Retry-After` in seconds with two decimals.
fn retry_after(after: Duration) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("{:.2}", after.as_secs_f64())).ok()
}
