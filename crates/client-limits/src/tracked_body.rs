//! Response bodies that tell whether the client or the daemon has to act next.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use http_body::{Body, Frame, SizeHint};
use tokio::time::Instant;

use crate::activity::ClientActivity;

/// A response body whose reads by the server are recorded as the activity of its client. The server reads on only while
/// the client takes in what was read before.
#[derive(Debug)]
pub struct TrackedBody<B> {
    inner: B,
    client: Arc<ClientActivity>,
}

impl<B> TrackedBody<B> {
    /// Wraps the body of a response to a client.
    pub fn new(inner: B, client: Arc<ClientActivity>) -> Self {
        client.await_client(Instant::now());
        Self { inner, client }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
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

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.client.await_client(Instant::now());
    }
}
