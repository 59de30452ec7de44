//! The socket for messages between daemons.

use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;

use anyhow::Context;
use flaxward_routing::messages::Message;
use socket2::SockRef;
use tokio::net::UdpSocket;

use crate::counters::{MESSAGE_BYTES, MESSAGES_MALFORMED, MESSAGES_NOT_SENT};

/// Longest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Sends and receives messages by UDP. A message may be lost.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    buffer: Vec<u8>,
}

impl PeerSocket {
    /// Listens at an address.
    ///
    /// # Errors
    /// Fails if the address cannot be listened at.
    pub(crate) async fn bind(address: SocketAddr) -> anyhow::Result<Self> {
        let socket = UdpSocket::bind(address)
            .await
            .with_context(|| format!("cannot listen for daemons at {address}"))?;
        Ok(Self {
            socket,
            buffer: vec![0; MAX_DATAGRAM_BYTES],
        })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// Fails if the socket has no address.
    pub(crate) fn address(&self) -> anyhow::Result<SocketAddr> {
        Ok(self.socket.local_addr()?)
    }

    /// Sends a message, without waiting.
    pub(crate) fn send(&self, to: SocketAddr, message: &Message) {
        let bytes = message.encode();
        let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        metrics::counter!(MESSAGE_BYTES.name, "kind" => message.kind()).increment(length);
        if self.socket.try_send_to(&bytes, to).is_err() {
            metrics::counter!(MESSAGES_NOT_SENT.name).increment(1);
        }
    }

    /// Whether no message has come that was not received yet. Asks the kernel: what the runtime knows of the socket
    /// may be as old as its last wait.
    pub(crate) fn is_empty(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.socket).peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// The next message; `None` if something else came.
    pub(crate) async fn receive(&mut self) -> Option<Message> {
        let (length, _) = self.socket.recv_from(&mut self.buffer).await.ok()?;
        let message = Message::decode(&self.buffer[..length]);
        if message.is_err() {
            metrics::counter!(MESSAGES_MALFORMED.name).increment(1);
        }
        message.ok()
    }
}
