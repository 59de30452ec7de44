//! Metrics of the API for callers.

use std::time::Duration;

use flaxward_types::{Metric, ResultCode};

/// Metrics of this crate.
pub const METRICS: [Metric; 10] = [
    REFUSED,
    ANSWERED,
    ATTEMPTS,
    WAITING,
    RUNNING,
    FIRST_TOKEN,
    TOKENS,
    BACK_END_CRASHES,
    REQUESTS_QUARANTINED,
    CONNECTIONS_GIVEN_UP,
];

const REFUSED: Metric = Metric::counter(
    "flaxward_gateway_refused_total",
    "Requests refused, by `code`, the result code.",
);
const ANSWERED: Metric = Metric::counter(
    "flaxward_gateway_answered_total",
    "Requests answered by a back end, by `status`, the class of the HTTP status.",
);
const ATTEMPTS: Metric = Metric::counter(
    "flaxward_gateway_attempts_total",
    "Attempts begun at back ends.",
);
const WAITING: Metric = Metric::gauge(
    "flaxward_gateway_waiting",
    "Requests that wait for a back end.",
);
const RUNNING: Metric = Metric::gauge(
    "flaxward_gateway_running",
    "Requests that run at a back end.",
);
const FIRST_TOKEN: Metric = Metric::histogram(
    "flaxward_gateway_first_token_seconds",
    "Seconds from the arrival of a streamed request to its first event.",
);
const TOKENS: Metric = Metric::counter(
    "flaxward_gateway_tokens_total",
    "Events passed on in streams.",
);

const BACK_END_CRASHES: Metric = Metric::counter(
    "flaxward_gateway_back_end_crashes_total",
    "Requests that broke off at back ends at whose port nothing listens any more.",
);
const REQUESTS_QUARANTINED: Metric = Metric::counter(
    "flaxward_gateway_requests_quarantined_total",
    "Requests put in quarantine because back ends have crashed under them.",
);

const CONNECTIONS_GIVEN_UP: Metric = Metric::counter(
    "flaxward_gateway_connections_given_up_total",
    "Connections of stalled callers that were closed because too many were open.",
);

/// Counts a connection that was closed in favour of others.
pub(crate) fn count_connection_given_up() {
    metrics::counter!(CONNECTIONS_GIVEN_UP.name).increment(1);
}

/// Counts a request that was cut off by a crash of its back end.
pub(crate) fn count_back_end_crash() {
    metrics::counter!(BACK_END_CRASHES.name).increment(1);
}

/// Counts a request that is put in quarantine.
pub(crate) fn count_quarantine() {
    metrics::counter!(REQUESTS_QUARANTINED.name).increment(1);
}

/// Counts a refusal.
pub(crate) fn count_refusal(code: ResultCode) {
    metrics::counter!(REFUSED.name, "code" => code.number().to_string()).increment(1);
}

/// Counts an answer of a back end.
pub(crate) fn count_answer(status: u16) {
    let class = match status / 100 {
        2 => "2xx",
        3 => "3xx",
        4 => "4xx",
        _ => "5xx",
    };
    metrics::counter!(ANSWERED.name, "status" => class).increment(1);
}

/// Counts an attempt.
pub(crate) fn count_attempt() {
    metrics::counter!(ATTEMPTS.name).increment(1);
}

/// Sets the numbers of waiting and running requests.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub(crate) fn set_occupancy(waiting: usize, running: usize) {
    metrics::gauge!(WAITING.name).set(waiting as f64);
    metrics::gauge!(RUNNING.name).set(running as f64);
}

/// Records the time to the first event of a stream.
pub(crate) fn record_first_token(after: Duration) {
    metrics::histogram!(FIRST_TOKEN.name).record(after.as_secs_f64());
}

/// Counts the events of an ended stream.
pub(crate) fn count_stream_events(events: u64) {
    metrics::counter!(TOKENS.name).increment(events);
}
