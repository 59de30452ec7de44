//! Answers that the ingress makes itself, and the body type of all answers.

use std::time::Duration;

use bytes::Bytes;
use flaxward_types::refusal::Refusal;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use crate::relay::RelayError;

/// Body of an answer.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, RelayError>;

/// A body that is whole.
pub(crate) fn whole(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// The answer that tells a refusal, and when to come back where that helps.
pub(crate) fn refusal(refusal: &Refusal) -> Response<AnswerBody> {
    let text = format!(
        "{{\"code\":{},\"error\":\"{}\"}}\n",
        refusal.code.number(),
        refusal.code.text()
    );
    let mut response = Response::new(whole(Bytes::from(text)));
    let status = StatusCode::from_u16(refusal.code.http_status());
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(value) = refusal.retry_after.and_then(retry_after) {
        headers.insert(RETRY_AFTER, value);
    }
    response
}

/// The value of `Retry-After`, in seconds with a fraction.
fn retry_after(after: Duration) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("{:.2}", after.as_secs_f64())).ok()
}
