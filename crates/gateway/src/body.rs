//! Reads the body of a request within the limits of the daemon.

use bytes::Bytes;
use flaxward_client_limits::{BodyError, discard_rest, read_body};
use flaxward_types::{Refusal, ResultCode};
use salvo::http::header::EXPECT;
use salvo::prelude::Request;
use tokio::time::Instant;

use crate::answer::bad_request;
use crate::gateway::{Admitted, Gateway};

/// Reads the whole body of a request, which then takes a place among those in progress.
pub(crate) async fn read_request_body(
    request: &mut Request,
    gateway: &Gateway,
    admitted: &mut Admitted,
) -> Result<Bytes, Refusal> {
    let settings = &gateway.settings;
    let Some(slot) = gateway.unread_bodies.admit().await else {
        return Err(Refusal::new(ResultCode::Overloaded));
    };
    let body = read_body(
        request.body_mut(),
        &gateway.bodies,
        slot.activity(),
        settings.body_limit,
        Instant::now() + settings.body_timeout,
    )
    .await
    .map_err(refusal)?;
    gateway.take_place(admitted)?;
    if let Some(caller) = gateway.connections.activity(request) {
        caller.await_daemon();
    }
    Ok(body)
}

fn refusal(error: BodyError) -> Refusal {
    match error {
        BodyError::TooLong => Refusal::new(ResultCode::BodyTooLong),
        BodyError::Broken => bad_request(ResultCode::BadBody, "the body broke off"),
        BodyError::TimedOut => Refusal::new(ResultCode::SlowSender),
        BodyError::NoMemory => Refusal::new(ResultCode::Overloaded),
    }
}

/// Discards what is left of a refused request's body, so that its caller can read the refusal.
pub(crate) fn discard_body(request: &mut Request, gateway: &Gateway) {
    // A caller that expects to be told to continue has not sent its body.
    if request.headers().contains_key(EXPECT) {
        return;
    }
    let body = request.take_body();
    if !salvo::http::Body::is_end_stream(&body) {
        tokio::spawn(discard_rest(body, gateway.settings.body_limit));
    }
}
