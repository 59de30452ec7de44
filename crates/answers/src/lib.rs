//! What counts as an answer of another server: its status, and the length of a body that is read as a whole.
//!
//! Servers in trouble send bytes that are no answer, also without end.

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use reqwest::Response;
use thiserror::Error;

/// Highest status of an answer; none is defined beyond it.
const MAX_STATUS: u16 = 599;

/// Why a body was not read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection broke off, or the time for the call has passed.
    #[error(transparent)]
    Broken(#[from] reqwest::Error),
    /// It is longer than allowed.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
}

/// Whether a final answer may have this status. HTTP libraries accept others: informational ones, of which `101 Switching
/// Protocols` counts as final although nobody has asked for it, and numbers without a meaning.
pub fn is_answer_status(status: StatusCode) -> bool {
    (StatusCode::OK.as_u16()..=MAX_STATUS).contains(&status.as_u16())
}

/// Reads the whole body of an answer.
///
/// # Errors
/// Fails if the body breaks off or is longer than `max_bytes`; the connection is then closed.
pub async fn read_body(mut response: Response, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await? {
        if body.len() + chunk.len() > max_bytes {
            return Err(BodyError::TooLong(max_bytes));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
