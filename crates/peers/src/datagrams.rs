//! Transport of short messages over UDP.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_wire::{MAX_DATAGRAM_BYTES, decode};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::Incoming;
use crate::counters::{
    DATAGRAM_BYTES_RECEIVED, DATAGRAM_BYTES_SENT, DATAGRAMS_RECEIVED, DATAGRAMS_SENT, DropReason,
    count_dropped, count_message,
};

/// Pause after a socket error, so that a persistent error does not occupy a whole core.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Sends a datagram immediately or drops it. Uses a non-blocking std socket because a tokio socket
/// refuses to send until the runtime has seen it ready once.
pub(crate) fn send(socket: &std::net::UdpSocket, to: SocketAddr, bytes: &[u8]) {
    match socket.send_to(bytes, to) {
        Ok(_) => count_message(DATAGRAMS_SENT, DATAGRAM_BYTES_SENT, bytes.len()),
        Err(_) => count_dropped(DropReason::SystemError),
    }
}

/// Receives datagrams until the receiver of the queue is dropped.
pub(crate) async fn receive(socket: UdpSocket, queue: mpsc::Sender<Incoming>) {
    // The extra byte makes datagrams over the limit detectable.
    let mut buffer = [0_u8; MAX_DATAGRAM_BYTES + 1];
    while !queue.is_closed() {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            count_dropped(DropReason::SystemError);
            tokio::time::sleep(ERROR_PAUSE).await;
            continue;
        };
        process_datagram(&buffer[..length], from, &queue);
    }
}

fn process_datagram(bytes: &[u8], from: SocketAddr, queue: &mpsc::Sender<Incoming>) {
    count_message(DATAGRAMS_RECEIVED, DATAGRAM_BYTES_RECEIVED, bytes.len());
    if bytes.len() > MAX_DATAGRAM_BYTES {
        count_dropped(DropReason::TooLong);
        return;
    }
    match decode(bytes) {
        Ok(envelope) => enqueue(queue, (from, envelope)),
        Err(_) => count_dropped(DropReason::Undecodable),
    }
}

/// Enqueues a message, or drops it if the queue is full.
pub(crate) fn enqueue(queue: &mpsc::Sender<Incoming>, incoming: Incoming) {
    if queue.try_send(incoming).is_err() {
        count_dropped(DropReason::QueueFull);
    }
}
