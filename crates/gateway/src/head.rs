//! The headers that flaxward reads from callers and sends to back ends.

use std::time::Duration;

use flaxward_types::{Refusal, ResultCode};
use salvo::http::header::{CONTENT_LENGTH, HOST};
use salvo::http::{HeaderMap, HeaderName, HeaderValue, Method};

use crate::answer::bad;
use crate::settings::GatewaySettings;

/// Caller: time in which the answer (for a stream, its first token) must come, such as `30s`.
pub(crate) const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-flaxward-deadline");
/// Caller and back end: rank from 0 to 9; higher goes first.
pub(crate) const PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-flaxward-priority");
/// Caller: whether running the request twice does no harm.
pub(crate) const REPEATABLE_HEADER: HeaderName = HeaderName::from_static("x-flaxward-repeatable");
/// Caller: a request with the same key runs at most once.
pub(crate) const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Caller, back end and answer: names the request in logs.
pub(crate) const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// Back end: the attempt.
pub(crate) const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("x-flaxward-attempt");
/// Back end: index of the first token wanted.
pub(crate) const RESUME_HEADER: HeaderName = HeaderName::from_static("x-flaxward-resume-from");
/// Answer of a back end: it refused before running.
pub(crate) const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("x-flaxward-not-run");
/// Start of all headers that are flaxward's own.
const OWN_PREFIX: &str = "x-flaxward-";

/// Highest rank of a request.
const MAX_PRIORITY: u8 = 9;
/// Rank of a request that names none.
const DEFAULT_PRIORITY: u8 = 5;
/// Headers that are added to those passed on, at most.
const ADDED_HEADERS: usize = 5;
/// Longest request id or idempotency key, in bytes.
const MAX_TOKEN_BYTES: usize = 255;

/// Headers that concern one connection only (RFC 9110, section 7.6.1) and are not passed on.
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

/// What a caller's headers say.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    /// Names the request in logs.
    pub request_id: String,
    /// Time allowed.
    pub deadline: Duration,
    /// Rank.
    pub priority: u8,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether running it twice does no harm, if the caller says so.
    pub repeatable: Option<bool>,
}

/// The caller's request id, or a new one if there is none or it cannot be used.
pub(crate) fn request_id(headers: &HeaderMap) -> String {
    match token(headers, &REQUEST_ID_HEADER) {
        Ok(Some(id)) => id,
        _ => format!("{:032x}", rand::random::<u128>()),
    }
}

/// Reads a caller's headers.
pub(crate) fn read_head(
    headers: &HeaderMap,
    request_id: String,
    settings: &GatewaySettings,
) -> Result<RequestHead, Refusal> {
    check_length(headers, settings.header_limit)?;
    token(headers, &REQUEST_ID_HEADER)?;
    Ok(RequestHead {
        request_id,
        deadline: deadline(headers, settings)?,
        priority: priority(headers)?,
        key: token(headers, &IDEMPOTENCY_HEADER)?,
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

/// The one value of a header as text.
fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad(ResultCode::BadHeader, format!("{name} is given twice")));
    }
    let text = value.to_str().map(str::trim);
    text.map(Some)
        .map_err(|_| bad(ResultCode::BadHeader, format!("{name} is not plain text")))
}

fn token(headers: &HeaderMap, name: &HeaderName) -> Result<Option<String>, Refusal> {
    let Some(text) = text(headers, name)? else {
        return Ok(None);
    };
    let is_printable = text
        .bytes()
        .all(|byte| byte.is_ascii_graphic() || byte == b' ');
    if text.is_empty() || text.len() > MAX_TOKEN_BYTES || !is_printable {
        let detail = format!("{name} must have 1 to {MAX_TOKEN_BYTES} printable characters");
        return Err(bad(ResultCode::BadHeader, detail));
    }
    Ok(Some(text.to_owned()))
}

fn deadline(headers: &HeaderMap, settings: &GatewaySettings) -> Result<Duration, Refusal> {
    let Some(text) = text(headers, &DEADLINE_HEADER)? else {
        return Ok(settings.default_deadline);
    };
    let duration = humantime::parse_duration(text).map_err(|_| {
        let detail = format!("{DEADLINE_HEADER} must be a duration such as 30s");
        bad(ResultCode::BadHeader, detail)
    })?;
    Ok(duration.min(settings.max_deadline))
}

fn priority(headers: &HeaderMap) -> Result<u8, Refusal> {
    let Some(text) = text(headers, &PRIORITY_HEADER)? else {
        return Ok(DEFAULT_PRIORITY);
    };
    match text.parse::<u8>() {
        Ok(priority) if priority <= MAX_PRIORITY => Ok(priority),
        _ => Err(bad(
            ResultCode::BadHeader,
            format!("{PRIORITY_HEADER} must be a number from 0 to {MAX_PRIORITY}"),
        )),
    }
}

fn repeatable(headers: &HeaderMap) -> Result<Option<bool>, Refusal> {
    let Some(text) = text(headers, &REPEATABLE_HEADER)? else {
        return Ok(None);
    };
    text.parse::<bool>().map(Some).map_err(|_| {
        let detail = format!("{REPEATABLE_HEADER} must be true or false");
        bad(ResultCode::BadHeader, detail)
    })
}

/// Whether a method is safe to repeat if the caller does not say (RFC 9110, section 9.2.1).
pub(crate) fn is_safe(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}

/// The headers of an answer that are passed on. The answer to `HEAD` has no body by which its
/// length would be found out again.
pub(crate) fn answer_headers(headers: &HeaderMap, method: &Method) -> HeaderMap {
    let mut passed = passed_on(headers);
    if *method == Method::HEAD
        && let Some(length) = headers.get(CONTENT_LENGTH)
    {
        passed.insert(CONTENT_LENGTH, length.clone());
    }
    passed
}

/// The headers that are passed on: neither those of one connection nor flaxward's own.
pub(crate) fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let named_by_connection = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect::<Vec<_>>();
    let mut passed = HeaderMap::with_capacity(headers.len() + ADDED_HEADERS);
    for (name, value) in headers {
        let is_named = named_by_connection
            .iter()
            .any(|named| named == name.as_str());
        if may_be_passed_on(name) && !is_named {
            passed.append(name, value.clone());
        }
    }
    passed
}

fn may_be_passed_on(name: &HeaderName) -> bool {
    let text = name.as_str();
    !HOP_BY_HOP.contains(&text)
        && !text.starts_with(OWN_PREFIX)
        && ![HOST, CONTENT_LENGTH, REQUEST_ID_HEADER].contains(name)
}

/// The headers for back ends: what is passed on of the caller's, and what every attempt says. They are
/// put together once for each request.
pub(crate) fn back_end_headers(headers: &HeaderMap, head: &RequestHead) -> HeaderMap {
    let mut headers = passed_on(headers);
    headers.insert(PRIORITY_HEADER, u16::from(head.priority).into());
    // A request id is printable text, which every header can carry.
    if let Ok(id) = HeaderValue::from_str(&head.request_id) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    headers
}
