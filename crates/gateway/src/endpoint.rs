//! Common handling of all endpoints of the API for callers.

use std::sync::Arc;

use flaxward_client_limits::{ClientActivity, TrackedBody};
use flaxward_types::{Refusal, Timestamp};
use http_body_util::BodyExt;
use salvo::http::ResBody;
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use tokio::time::Instant;

use crate::answer::{write_refusal, write_request_id};
use crate::body::discard_body;
use crate::gateway::{Admitted, Gateway};
use crate::head::{RequestHead, read_head, request_id};

/// An endpoint of the API for callers.
pub(crate) trait Endpoint: Send + Sync + 'static {
    /// Writes the answer to a request, or returns the refusal.
    fn answer(
        &self,
        gateway: &Arc<Gateway>,
        request: &mut Request,
        response: &mut Response,
        request_id: &str,
    ) -> impl Future<Output = Result<(), Refusal>> + Send;
}

/// Handler of an endpoint. Adds the request id to every answer and writes refusals as errors.
pub(crate) struct EndpointHandler<E> {
    pub gateway: Arc<Gateway>,
    pub endpoint: E,
}

#[async_trait]
impl<E: Endpoint> Handler for EndpointHandler<E> {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let request_id = request_id(request.headers());
        let answering = self
            .endpoint
            .answer(&self.gateway, request, response, &request_id);
        match answering.await {
            Ok(()) => write_request_id(response, &request_id),
            Err(refusal) => {
                let refusal = self.gateway.with_retry_after(refusal);
                discard_body(request, &self.gateway);
                write_refusal(response, &refusal, &request_id);
            }
        }
        if let Some(caller) = self.gateway.connections.activity(request) {
            track_body(response, caller);
        }
    }
}

/// Records whether the caller takes in its answer.
fn track_body(response: &mut Response, caller: Arc<ClientActivity>) {
    let body = response.take_body();
    if body.is_none() {
        caller.await_client(Instant::now());
        return;
    }
    let body = TrackedBody::new(body, caller);
    response.body(ResBody::Boxed(Box::pin(body.map_err(Into::into))));
}

/// A request for a back end, after admission and with its headers parsed.
pub(crate) struct IncomingRequest {
    /// Counts it among the requests in progress.
    pub admitted: Admitted,
    /// The parsed headers.
    pub head: RequestHead,
    /// When the answer is due.
    pub deadline: Timestamp,
}

impl IncomingRequest {
    /// Admits a request and parses its headers.
    pub fn new(gateway: &Gateway, request: &Request, request_id: &str) -> Result<Self, Refusal> {
        let admitted = gateway.admit()?;
        let head = read_head(request.headers(), request_id.to_owned(), &gateway.settings)?;
        let deadline = gateway.clock.now() + head.deadline;
        Ok(Self {
            admitted,
            head,
            deadline,
        })
    }
}
