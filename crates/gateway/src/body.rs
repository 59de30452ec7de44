//! Reads the body of a request within the size limit and the timeout.

use bytes::{Bytes, BytesMut};
use flaxward_types::{Refusal, ResultCode};
use futures::StreamExt;
use salvo::http::ReqBody;
use salvo::prelude::Request;

use crate::answer::bad_request;
use crate::bytes_budget::ReservedBytes;
use crate::gateway::Gateway;

/// Reads the whole body of a request.
pub(crate) async fn read_body(
    request: &mut Request,
    gateway: &Gateway,
    reserved: &mut ReservedBytes,
) -> Result<Bytes, Refusal> {
    let settings = &gateway.settings;
    let limit = settings.body_limit;
    if stated_length(request).is_some_and(|length| length > limit as u64) {
        return Err(Refusal::new(ResultCode::BodyTooLong));
    }
    let body = request.take_body();
    let reading = read(body, limit, |length| {
        gateway.byte_budget.reserve(reserved, length)
    });
    tokio::time::timeout(settings.body_timeout, reading)
        .await
        .unwrap_or_else(|_| Err(Refusal::new(ResultCode::SlowSender)))
}

fn stated_length(request: &Request) -> Option<u64> {
    let value = request.headers().get("content-length")?;
    value.to_str().ok()?.parse().ok()
}

/// Reads to the end. Bytes are reserved as they arrive, so that a caller that states a large length
/// and sends nothing uses none of the shared budget.
async fn read(
    mut body: ReqBody,
    limit: usize,
    mut reserve: impl FnMut(usize) -> bool,
) -> Result<Bytes, Refusal> {
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = body.next().await {
        let frame = frame.map_err(|_| bad_request(ResultCode::BadBody, "the body broke off"))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if first.len() + rest.len() + data.len() > limit {
            return Err(Refusal::new(ResultCode::BodyTooLong));
        }
        if !reserve(data.len()) {
            return Err(Refusal::new(ResultCode::Overloaded));
        }
        if first.is_empty() {
            first = data;
        } else {
            rest.extend_from_slice(&data);
        }
    }
    if rest.is_empty() {
        return Ok(first);
    }
    let mut joined = BytesMut::with_capacity(first.len() + rest.len());
    joined.extend_from_slice(&first);
    joined.extend_from_slice(&rest);
    Ok(joined.freeze())
}
