//! Reads request bodies into memory of a pool, and discards what is not read.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use thiserror::Error;
use tokio::time::{Instant, timeout, timeout_at};

use crate::activity::ClientActivity;
use crate::body_pool::BodyPool;
use crate::pooled_buffer::PooledBuffer;

/// Bytes that a client must send so that it counts as not having stalled.
const PROGRESS_BYTES: usize = 16 * 1_024;
/// Maximum number of bytes that are discarded of a body, as a multiple of the longest legal one.
const DISCARDED_BODIES: usize = 2;
/// Maximum time for which a body is discarded.
const DISCARD_TIME: Duration = Duration::from_secs(5);

/// Why a body is not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// It is longer than allowed.
    #[error("the body is longer than allowed")]
    TooLong,
    /// It broke off or is malformed.
    #[error("the body broke off")]
    Broken,
    /// It did not arrive in time.
    #[error("the body did not arrive in time")]
    TimedOut,
    /// There is no memory for it.
    #[error("there is no memory for the body")]
    NoMemory,
}

/// Reads a body of at most `max_bytes` until `deadline`, and records in `client` whether it is the client's turn. The bytes
/// count toward the pool until the last clone of the result is dropped.
///
/// # Errors
/// Fails if the body is too long, broken or late, or if there is no memory for it. A body whose announced length is too
/// long is not read at all.
pub async fn read_body<B>(
    body: &mut B,
    pool: &BodyPool,
    client: &Arc<ClientActivity>,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let announced = body.size_hint().upper();
    let announced = announced.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if announced.is_some_and(|bytes| bytes > max_bytes) {
        return Err(BodyError::TooLong);
    }
    let reader = Reader {
        buffer: PooledBuffer::new(pool.open(Arc::clone(client))),
        max_bytes: announced.unwrap_or(max_bytes),
        client: Arc::clone(client),
    };
    let reading = timeout_at(deadline, reader.read(body));
    tokio::select! {
        biased;
        () = client.given_up() => Err(BodyError::NoMemory),
        read = reading => read.unwrap_or(Err(BodyError::TimedOut)),
    }
}

struct Reader {
    buffer: PooledBuffer,
    max_bytes: usize,
    client: Arc<ClientActivity>,
}

impl Reader {
    async fn read<B>(mut self, body: &mut B) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut advanced_at = Instant::now();
        let mut advanced_bytes = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Broken)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.client.await_daemon();
            self.append(&data).await?;
            if self.buffer.len() - advanced_bytes >= PROGRESS_BYTES {
                advanced_bytes = self.buffer.len();
                advanced_at = Instant::now();
            }
            self.client.await_client(advanced_at);
        }
        self.buffer.seal();
        Ok(self.buffer.into_bytes())
    }

    async fn append(&mut self, data: &[u8]) -> Result<(), BodyError> {
        if self.buffer.len() + data.len() > self.max_bytes {
            return Err(BodyError::TooLong);
        }
        if let Some(capacity) = self.buffer.growth(data.len(), self.max_bytes) {
            let raised = self.buffer.reservation.raise(capacity).await;
            raised.map_err(|_| BodyError::NoMemory)?;
            self.buffer.grow_to(capacity);
        }
        self.buffer.append(data);
        Ok(())
    }
}

/// Reads and discards the rest of a body, within bounds. If a connection is closed while its client still sends, the client
/// may see a reset in place of the response.
pub async fn discard_rest<B>(body: B, max_body_bytes: usize)
where
    B: Body<Data = Bytes>,
{
    let mut body = pin!(body);
    let mut left = max_body_bytes.saturating_mul(DISCARDED_BODIES);
    let discarding = async {
        while let Some(Ok(frame)) = body.frame().await {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            if bytes > left {
                break;
            }
            left -= bytes;
        }
    };
    // A client that is slower than that has had time to see the response.
    let _ = timeout(DISCARD_TIME, discarding).await;
}
