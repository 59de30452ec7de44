//! Response bodies that tell whether the client or the daemon has to act next.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use flaxward_client_limits::ClientActivity;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::time::Instant;

use crate::relay::RelayError;
use crate::responses::ResponseBody;

/// A response body whose reads by the server are recorded as the activity of its client. The server reads on only while
/// the client takes in what was read before.
pub(crate) struct TrackedBody {
    inner: ResponseBody,
    client: Arc<ClientActivity>,
}

impl TrackedBody {
    /// Wraps the body of a response to a client.
    pub(crate) fn wrap(inner: ResponseBody, client: Arc<ClientActivity>) -> ResponseBody {
        client.await_client(Instant::now());
        Self { inner, client }.boxed_unsync()
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        if polled.is_pending() {
            self.client.await_daemon();
        } else {
            self.client.await_client(Instant::now());
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.client.await_client(Instant::now());
    }
}
