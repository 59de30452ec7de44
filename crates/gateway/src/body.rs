//! Reading a caller's body, within a length and a time.

use bytes::{Bytes, BytesMut};
use flaxward_types::{Refusal, ResultCode};
use futures::StreamExt;
use salvo::http::ReqBody;
use salvo::prelude::Request;

use crate::answer::bad;
use crate::bytes_budget::HeldBytes;
use crate::gateway::Gateway;

/// Takes the whole body of a request.
pub(crate) async fn read_body(
    request: &mut Request,
    gateway: &Gateway,
    held: &mut HeldBytes,
) -> Result<Bytes, Refusal> {
    let settings = &gateway.settings;
    let limit = settings.body_limit;
    if stated_length(request).is_some_and(|length| length > limit as u64) {
        return Err(Refusal::new(ResultCode::BodyTooLong));
    }
    let body = request.take_body();
    let reading = read(body, limit, |length| gateway.bytes.hold(held, length));
    tokio::time::timeout(settings.body_timeout, reading)
        .await
        .unwrap_or_else(|_| Err(Refusal::new(ResultCode::SlowSender)))
}

fn stated_length(request: &Request) -> Option<u64> {
    let value = request.headers().get("content-length")?;
    value.to_str().ok()?.parse().ok()
}

/// Reads to the end. Bytes are held as they come, so that a caller that states a great length and
/// sends nothing takes nothing from others.
async fn read(
    mut body: ReqBody,
    limit: usize,
    mut hold: impl FnMut(usize) -> bool,
) -> Result<Bytes, Refusal> {
    let mut first = Bytes::new();
    let mut more = BytesMut::new();
    while let Some(frame) = body.next().await {
        let frame = frame.map_err(|_| bad(ResultCode::BadBody, "the body broke off"))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if first.len() + more.len() + data.len() > limit {
            return Err(Refusal::new(ResultCode::BodyTooLong));
        }
        if !hold(data.len()) {
            return Err(Refusal::new(ResultCode::Overloaded));
        }
        if first.is_empty() {
            first = data;
        } else {
            more.extend_from_slice(&data);
        }
    }
    if more.is_empty() {
        return Ok(first);
    }
    let mut whole = BytesMut::with_capacity(first.len() + more.len());
    whole.extend_from_slice(&first);
    whole.extend_from_slice(&more);
    Ok(whole.freeze())
}
