//! Headers read from callers and sent to back ends.

use std::time::Duration;

use flaxward_types::{Refusal, ResultCode};
use salvo::http::header::{CONTENT_LENGTH, HOST};
use salvo::http::{HeaderMap, HeaderName, HeaderValue, Method};

use crate::answer::bad_request;
use crate::settings::GatewaySettings;

/// Caller: time within which the answer (for a stream, its first token) is due, such as `30s`.
pub(crate) const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-flaxward-deadline");
/// Caller and back end: priority from 0 to 9; higher goes first.
pub(crate) const PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-flaxward-priority");
/// Caller: whether the request may safely run more than once.
pub(crate) const REPEATABLE_HEADER: HeaderName = HeaderName::from_static("x-flaxward-repeatable");
/// Caller: a request with the same key runs at most once.
pub(crate) const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Caller, back end and answer: identifies the request in logs.
pub(crate) const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// Back end: id of the attempt.
pub(crate) const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("x-flaxward-attempt");
/// Back end: index of the token at which the stream resumes.
pub(crate) const RESUME_HEADER: HeaderName = HeaderName::from_static("x-flaxward-resume-from");
/// Answer of a back end: the request was refused before it ran.
pub(crate) const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("x-flaxward-not-run");
/// Prefix of all headers defined by flaxward.
const OWN_PREFIX: &str = "x-flaxward-";

const MAX_PRIORITY: u8 = 9;
/// Priority of a request that sets none.
const DEFAULT_PRIORITY: u8 = 5;
/// Maximum number of headers added to the forwarded ones.
const ADDED_HEADERS: usize = 5;
/// Maximum length of a request id or idempotency key, in bytes.
const MAX_TOKEN_BYTES: usize = 255;

/// Hop-by-hop headers (RFC 9110, section 7.6.1), which are not forwarded.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// The parsed headers of a caller.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    /// Identifies the request in logs.
    pub request_id: String,
    /// Time within which the answer is due.
    pub deadline: Duration,
    /// Priority from 0 to 9; higher goes first.
    pub priority: u8,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether the request may safely run more than once, if the caller states it.
    pub repeatable: Option<bool>,
}

/// The request id of the caller, or a generated one if it is missing or invalid.
pub(crate) fn request_id(headers: &HeaderMap) -> String {
    match printable_value(headers, &REQUEST_ID_HEADER) {
        Ok(Some(id)) => id,
        _ => format!("{:032x}", rand::random::<u128>()),
    }
}

/// Parses and validates the headers of a caller.
pub(crate) fn read_head(
    headers: &HeaderMap,
    request_id: String,
    settings: &GatewaySettings,
) -> Result<RequestHead, Refusal> {
    check_length(headers, settings.header_limit)?;
    printable_value(headers, &REQUEST_ID_HEADER)?;
    Ok(RequestHead {
        request_id,
        deadline: deadline(headers, settings)?,
        priority: priority(headers)?,
        key: printable_value(headers, &IDEMPOTENCY_HEADER)?,
        repeatable: repeatable(headers)?,
    })
}

fn check_length(headers: &HeaderMap, limit: usize) -> Result<(), Refusal> {
    let length: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if length > limit {
        return Err(Refusal::new(ResultCode::HeadersTooLong));
    }
    Ok(())
}

/// The value of a header that may be given at most once, as text.
fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_request(
            ResultCode::BadHeader,
            format!("{name} is given twice"),
        ));
    }
    let text = value.to_str().map(str::trim);
    text.map(Some)
        .map_err(|_| bad_request(ResultCode::BadHeader, format!("{name} is not plain text")))
}

fn printable_value(headers: &HeaderMap, name: &HeaderName) -> Result<Option<String>, Refusal> {
    let Some(text) = single_value(headers, name)? else {
        return Ok(None);
    };
    let is_printable = text
        .bytes()
        .all(|byte| byte.is_ascii_graphic() || byte == b' ');
    if text.is_empty() || text.len() > MAX_TOKEN_BYTES || !is_printable {
        let detail = format!("{name} must have 1 to {MAX_TOKEN_BYTES} printable characters");
        return Err(bad_request(ResultCode::BadHeader, detail));
    }
    Ok(Some(text.to_owned()))
}

fn deadline(headers: &HeaderMap, settings: &GatewaySettings) -> Result<Duration, Refusal> {
    let Some(text) = single_value(headers, &DEADLINE_HEADER)? else {
        return Ok(settings.default_deadline);
    };
    let duration = humantime::parse_duration(text).map_err(|_| {
        let detail = format!("{DEADLINE_HEADER} must be a duration such as 30s");
        bad_request(ResultCode::BadHeader, detail)
    })?;
    Ok(duration.min(settings.max_deadline))
}

fn priority(headers: &HeaderMap) -> Result<u8, Refusal> {
    let Some(text) = single_value(headers, &PRIORITY_HEADER)? else {
        return Ok(DEFAULT_PRIORITY);
    };
    match text.parse::<u8>() {
        Ok(priority) if priority <= MAX_PRIORITY => Ok(priority),
        _ => Err(bad_request(
            ResultCode::BadHeader,
            format!("{PRIORITY_HEADER} must be a number from 0 to {MAX_PRIORITY}"),
        )),
    }
}

fn repeatable(headers: &HeaderMap) -> Result<Option<bool>, Refusal> {
    let Some(text) = single_value(headers, &REPEATABLE_HEADER)? else {
        return Ok(None);
    };
    text.parse::<bool>().map(Some).map_err(|_| {
        let detail = format!("{REPEATABLE_HEADER} must be true or false");
        bad_request(ResultCode::BadHeader, detail)
    })
}

/// Whether a method is safe (RFC 9110, section 9.2.1). Requests with a safe method may be retried
/// unless the caller states otherwise.
pub(crate) fn is_safe(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}

/// The headers of an answer that are forwarded. The answer to `HEAD` has no body from which its
/// length could be derived, so it keeps its `Content-Length`.
pub(crate) fn answer_headers(headers: &HeaderMap, method: &Method) -> HeaderMap {
    let mut forwarded = forwarded_headers(headers);
    if *method == Method::HEAD
        && let Some(length) = headers.get(CONTENT_LENGTH)
    {
        forwarded.insert(CONTENT_LENGTH, length.clone());
    }
    forwarded
}

/// The headers that are forwarded: all except hop-by-hop headers, those defined by flaxward, and
/// those set anew for each message.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let named_by_connection = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect::<Vec<_>>();
    let mut forwarded = HeaderMap::with_capacity(headers.len() + ADDED_HEADERS);
    for (name, value) in headers {
        let is_named = named_by_connection
            .iter()
            .any(|named| named == name.as_str());
        if is_forwarded(name) && !is_named {
            forwarded.append(name, value.clone());
        }
    }
    forwarded
}

fn is_forwarded(name: &HeaderName) -> bool {
    let text = name.as_str();
    !HOP_BY_HOP.contains(&text)
        && !text.starts_with(OWN_PREFIX)
        && ![HOST, CONTENT_LENGTH, REQUEST_ID_HEADER].contains(name)
}

/// The headers for back ends: the forwarded headers of the caller and those common to all attempts.
/// They are built once per request.
pub(crate) fn back_end_headers(headers: &HeaderMap, head: &RequestHead) -> HeaderMap {
    let mut headers = forwarded_headers(headers);
    headers.insert(PRIORITY_HEADER, u16::from(head.priority).into());
    // A request id is printable ASCII, so it is always a valid header value.
    if let Ok(id) = HeaderValue::from_str(&head.request_id) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    headers
}
