//! Counters of the callers' interface.

use std::time::Duration;

use flaxward_types::ResultCode;

/// Requests refused, by result code.
const REFUSED: &str = "flaxward_gateway_refused_total";
/// Requests answered by a back end, by status class.
const ANSWERED: &str = "flaxward_gateway_answered_total";
/// Attempts begun.
const ATTEMPTS: &str = "flaxward_gateway_attempts_total";
/// Requests that wait for a back end.
const WAITING: &str = "flaxward_gateway_waiting";
/// Requests that run at a back end.
const RUNNING: &str = "flaxward_gateway_running";
/// Seconds from the arrival of a streamed request to its first event.
const FIRST_TOKEN: &str = "flaxward_gateway_first_token_seconds";
/// Events passed on in streams.
const TOKENS: &str = "flaxward_gateway_tokens_total";

/// Counts a refusal.
pub(crate) fn refused(code: ResultCode) {
    metrics::counter!(REFUSED, "code" => code.number().to_string()).increment(1);
}

/// Counts an answer of a back end.
pub(crate) fn relayed(status: u16) {
    let class = match status / 100 {
        2 => "2xx",
        3 => "3xx",
        4 => "4xx",
        _ => "5xx",
    };
    metrics::counter!(ANSWERED, "status" => class).increment(1);
}

/// Counts an attempt.
pub(crate) fn attempted() {
    metrics::counter!(ATTEMPTS).increment(1);
}

/// Notes how many requests wait and run.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub(crate) fn occupancy(waiting: usize, running: usize) {
    metrics::gauge!(WAITING).set(waiting as f64);
    metrics::gauge!(RUNNING).set(running as f64);
}

/// Notes the time to the first event of a stream.
pub(crate) fn first_token(after: Duration) {
    metrics::histogram!(FIRST_TOKEN).record(after.as_secs_f64());
}

/// Counts the events of an ended stream.
pub(crate) fn streamed(events: u64) {
    metrics::counter!(TOKENS).increment(events);
}
