//! What all paths of the callers' interface have in common.

use std::sync::Arc;

use flaxward_types::{Refusal, Timestamp};
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, async_trait};

use crate::answer::{write_refusal, write_request_id};
use crate::gateway::{Admitted, Gateway};
use crate::head::{RequestHead, read_head, request_id};

/// A path of the callers' interface.
pub(crate) trait Endpoint: Send + Sync + 'static {
    /// Writes the answer to a request, or says why there is none.
    fn answer(
        &self,
        gateway: &Arc<Gateway>,
        request: &mut Request,
        response: &mut Response,
        request_id: &str,
    ) -> impl Future<Output = Result<(), Refusal>> + Send;
}

/// Serves a path: every answer carries the id of its request, and every refusal its code.
pub(crate) struct Served<E> {
    /// The gateway.
    pub gateway: Arc<Gateway>,
    /// The path.
    pub endpoint: E,
}

#[async_trait]
impl<E: Endpoint> Handler for Served<E> {
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
                write_refusal(response, &refusal, &request_id);
            }
        }
    }
}

/// A request for a back end, taken in and with its headers read.
pub(crate) struct Received {
    /// Its place among the requests in progress.
    pub admitted: Admitted,
    /// What its headers say.
    pub head: RequestHead,
    /// When its answer must have come.
    pub deadline: Timestamp,
}

impl Received {
    /// Takes a request in and reads its headers.
    pub fn new(gateway: &Gateway, request: &Request, request_id: &str) -> Result<Self, Refusal> {
        let admitted = gateway.enter()?;
        let head = read_head(request.headers(), request_id.to_owned(), &gateway.settings)?;
        let deadline = gateway.clock.now() + head.deadline;
        Ok(Self {
            admitted,
            head,
            deadline,
        })
    }
}
