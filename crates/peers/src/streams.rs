//! Long messages by TCP: one connection, one message, preceded by its length.

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
    DropReason, STREAM_BYTES_RECEIVED, STREAM_BYTES_SENT, STREAMS_RECEIVED, STREAMS_SENT, dropped,
    passed,
};
use crate::datagrams::deliver;

/// Time for one message, from the connection to its last byte.
pub(crate) const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Connections read at one time; bounds the memory that senders can make a daemon take.
const MAX_RECEIVING: usize = 16;

/// Messages being sent at one time.
pub(crate) const MAX_SENDING: usize = 32;

/// Pause after an error of the listener, so that a lasting one does not take a whole core.
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
        Ok(Ok(())) => passed(STREAMS_SENT, STREAM_BYTES_SENT, length),
        Ok(Err(_)) => dropped(DropReason::SystemError),
        Err(_) => dropped(DropReason::TooSlow),
    }
}

async fn write(to: SocketAddr, bytes: Bytes) -> io::Result<()> {
    let stream = TcpStream::connect(to).await?;
    let mut framed = Framed::new(stream, codec());
    framed.send(bytes).await?;
    SinkExt::<Bytes>::close(&mut framed).await
}

/// Accepts connections until the receiver of the queue is gone. When too many are open, further
/// ones are closed at once.
pub(crate) async fn receive(listener: TcpListener, queue: mpsc::Sender<Incoming>) {
    let permits = Arc::new(Semaphore::new(MAX_RECEIVING));
    while !queue.is_closed() {
        let Ok((stream, from)) = listener.accept().await else {
            dropped(DropReason::SystemError);
            tokio::time::sleep(ERROR_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            dropped(DropReason::TooMany);
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
        Ok(Some(Ok(bytes))) => take_in(&bytes, from, queue),
        Ok(Some(Err(error))) if error.kind() == io::ErrorKind::InvalidData => {
            dropped(DropReason::TooLong);
        }
        Ok(Some(Err(_))) => dropped(DropReason::SystemError),
        Ok(None) => dropped(DropReason::Undecodable),
        Err(_) => dropped(DropReason::TooSlow),
    }
}

fn take_in(bytes: &[u8], from: SocketAddr, queue: &mpsc::Sender<Incoming>) {
    passed(STREAMS_RECEIVED, STREAM_BYTES_RECEIVED, bytes.len());
    match decode(bytes) {
        Ok(envelope) => deliver(queue, (from, envelope)),
        Err(_) => dropped(DropReason::Undecodable),
    }
}
