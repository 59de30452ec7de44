//! Reading a caller's body, within a length and a time.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use flaxward_types::{Refusal, ResultCode};
use futures::StreamExt;
use salvo::http::ReqBody;
use salvo::prelude::Request;

use crate::answer::bad;
use crate::settings::GatewaySettings;

/// Takes the whole body of a request.
pub(crate) async fn read_body(
    request: &mut Request,
    settings: &GatewaySettings,
) -> Result<Bytes, Refusal> {
    let limit = settings.body_limit;
    if stated_length(request).is_some_and(|length| length > limit as u64) {
        return Err(Refusal::new(ResultCode::BodyTooLong));
    }
    let body = request.take_body();
    read_in_time(body, limit, settings.body_timeout).await
}

fn stated_length(request: &Request) -> Option<u64> {
    let value = request.headers().get("content-length")?;
    value.to_str().ok()?.parse().ok()
}

async fn read_in_time(body: ReqBody, limit: usize, timeout: Duration) -> Result<Bytes, Refusal> {
    tokio::time::timeout(timeout, read(body, limit))
        .await
        .unwrap_or_else(|_| Err(Refusal::new(ResultCode::SlowSender)))
}

async fn read(mut body: ReqBody, limit: usize) -> Result<Bytes, Refusal> {
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
