//! Responses that are collected before they are sent to a client.

use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;

use crate::activity::ClientActivity;
use crate::body::BodyError;
use crate::body_pool::BodyPool;
use crate::pooled_buffer::PooledBuffer;

/// Bytes that are handed to the client's connection at a time.
const FRAME_BYTES: usize = 16 * 1_024;

/// A complete response body. It is handed out in short frames, so that the daemon sees whether its client reads.
#[derive(Debug)]
pub struct BufferedResponse {
    rest: Bytes,
}

impl BufferedResponse {
    /// Collects a body of at most `max_bytes`. Waits until the pool has memory for it. The memory counts toward the pool until
    /// all bytes are written; meanwhile the daemon may give up on the client if it reads nothing.
    ///
    /// # Errors
    /// Fails if the body is too long or breaks off.
    pub async fn collect<B>(
        body: B,
        pool: &BodyPool,
        client: Arc<ClientActivity>,
        max_bytes: usize,
    ) -> Result<Self, BodyError>
    where
        B: Body<Data = Bytes>,
    {
        let mut body = pin!(body);
        let announced = body.size_hint().exact();
        let announced = announced.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        if announced.is_some_and(|bytes| bytes > max_bytes) {
            return Err(BodyError::TooLong);
        }
        let mut buffer = PooledBuffer::new(pool.open(client));
        // All at once if possible: a response that waits for memory does not keep any from others then.
        if let Some(bytes) = announced {
            buffer.reservation.raise_when_free(bytes).await;
            buffer.grow_to(bytes);
        }
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Broken)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if buffer.len() + data.len() > max_bytes {
                return Err(BodyError::TooLong);
            }
            if let Some(capacity) = buffer.growth(data.len(), max_bytes) {
                buffer.reservation.raise_when_free(capacity).await;
                buffer.grow_to(capacity);
            }
            buffer.append(&data);
        }
        Ok(Self {
            rest: buffer.into_bytes(),
        })
    }
}

impl Body for BufferedResponse {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(FRAME_BYTES);
        let frame = self.rest.split_to(length);
        Poll::Ready(Some(Ok(Frame::data(frame))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
