//! Short messages by UDP.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_wire::{MAX_DATAGRAM_BYTES, decode};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::Incoming;
use crate::counters::{
    DATAGRAM_BYTES_RECEIVED, DATAGRAM_BYTES_SENT, DATAGRAMS_RECEIVED, DATAGRAMS_SENT, DropReason,
    dropped, passed,
};

/// Pause after an error of the socket, so that a lasting one does not take a whole core.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Sends a datagram now or never. The socket does not block; it is not tokio's own, which would
/// refuse to send until the runtime has once seen it ready.
pub(crate) fn send(socket: &std::net::UdpSocket, to: SocketAddr, bytes: &[u8]) {
    match socket.send_to(bytes, to) {
        Ok(_) => passed(DATAGRAMS_SENT, DATAGRAM_BYTES_SENT, bytes.len()),
        Err(_) => dropped(DropReason::SystemError),
    }
}

/// Receives datagrams until the receiver of the queue is gone.
pub(crate) async fn receive(socket: UdpSocket, queue: mpsc::Sender<Incoming>) {
    // One byte more than allowed shows that a datagram is too long.
    let mut buffer = [0_u8; MAX_DATAGRAM_BYTES + 1];
    while !queue.is_closed() {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            dropped(DropReason::SystemError);
            tokio::time::sleep(ERROR_PAUSE).await;
            continue;
        };
        take_in(&buffer[..length], from, &queue);
    }
}

fn take_in(bytes: &[u8], from: SocketAddr, queue: &mpsc::Sender<Incoming>) {
    passed(DATAGRAMS_RECEIVED, DATAGRAM_BYTES_RECEIVED, bytes.len());
    if bytes.len() > MAX_DATAGRAM_BYTES {
        dropped(DropReason::TooLong);
        return;
    }
    match decode(bytes) {
        Ok(envelope) => deliver(queue, (from, envelope)),
        Err(_) => dropped(DropReason::Undecodable),
    }
}

/// Puts a message into the queue, or drops it if the queue is full.
pub(crate) fn deliver(queue: &mpsc::Sender<Incoming>, incoming: Incoming) {
    if queue.try_send(incoming).is_err() {
        dropped(DropReason::QueueFull);
    }
}
