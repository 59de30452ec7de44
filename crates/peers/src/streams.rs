//! Transport of long messages over TCP: one length-prefixed message per connection.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flaxward_wire::{MAX_MESSAGE_BYTES, decode};
use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::Incoming;
use crate::counters::{
    DropReason, STREAM_BYTES_RECEIVED, STREAM_BYTES_SENT, STREAMS_RECEIVED, STREAMS_SENT,
    count_dropped, count_message,
};
use crate::datagrams::enqueue;

/// Time limit for one message, from opening the connection to its last byte.
pub(crate) const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of connections read concurrently; bounds the memory that remote senders can make
/// a daemon allocate.
const MAX_CONCURRENT_RECEIVES: usize = 16;

/// Maximum number of messages sent concurrently.
pub(crate) const MAX_CONCURRENT_SENDS: usize = 32;

/// Pause after a listener error, so that a persistent error does not occupy a whole core.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec()
}

/// Sends one message and closes the connection.
pub(crate) async fn send(to: SocketAddr, bytes: Bytes) {
    let length = bytes.len();
    match timeout(MESSAGE_TIMEOUT, write(to, bytes)).await {
        Ok(Ok(())) => count_message(STREAMS_SENT, STREAM_BYTES_SENT, length),
        Ok(Err(_)) => count_dropped(DropReason::SystemError),
        Err(_) => count_dropped(DropReason::TooSlow),
    }
}

async fn write(to: SocketAddr, bytes: Bytes) -> io::Result<()> {
    let stream = TcpStream::connect(to).await?;
    let mut framed = Framed::new(stream, codec());
    framed.send(bytes).await?;
    SinkExt::<Bytes>::close(&mut framed).await
}

/// Accepts connections until the receiver of the queue is dropped. Connections over the limit are
/// closed immediately.
pub(crate) async fn receive(listener: TcpListener, queue: mpsc::Sender<Incoming>) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_RECEIVES));
    while !queue.is_closed() {
        let Ok((stream, from)) = listener.accept().await else {
            count_dropped(DropReason::SystemError);
            tokio::time::sleep(ERROR_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            count_dropped(DropReason::TooMany);
            continue;
        };
        let queue = queue.clone();
        tokio::spawn(async move {
            read(stream, from, &queue).await;
            drop(permit);
        });
    }
}

async fn read(stream: TcpStream, from: SocketAddr, queue: &mpsc::Sender<Incoming>) {
    let mut framed = Framed::new(stream, codec());
    match timeout(MESSAGE_TIMEOUT, framed.next()).await {
        Ok(Some(Ok(bytes))) => process_message(&bytes, from, queue),
        Ok(Some(Err(error))) if error.kind() == io::ErrorKind::InvalidData => {
            count_dropped(DropReason::TooLong);
        }
        Ok(Some(Err(_))) => count_dropped(DropReason::SystemError),
        Ok(None) => count_dropped(DropReason::Undecodable),
        Err(_) => count_dropped(DropReason::TooSlow),
    }
}

fn process_message(bytes: &[u8], from: SocketAddr, queue: &mpsc::Sender<Incoming>) {
    count_message(STREAMS_RECEIVED, STREAM_BYTES_RECEIVED, bytes.len());
    match decode(bytes) {
        Ok(envelope) => enqueue(queue, (from, envelope)),
        Err(_) => count_dropped(DropReason::Undecodable),
    }
}
