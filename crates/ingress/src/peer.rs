//! The socket for messages between daemons.

use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use flaxward_clock::Clock;
use flaxward_routing::encoding::MessageError;
use flaxward_routing::messages::Message;
use flaxward_routing::next_hop::{Forwarded, NextHops, Received};
use socket2::SockRef;
use tokio::net::UdpSocket;

use crate::counters::{
    LEGACY_MESSAGES, MESSAGE_BYTES, MESSAGES_FORWARDED, MESSAGES_MALFORMED, MESSAGES_NOT_SENT,
};

/// Longest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Something that came which is no message of a kind that this build knows.
#[derive(Debug)]
pub(crate) struct NotUnderstood {
    /// Who has sent it, or passed it on.
    pub source: SocketAddr,
    pub error: MessageError,
}

/// Sends and receives messages by UDP, to daemons that are not reached directly through others. A message may be lost.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    buffer: Vec<u8>,
    clock: Clock,
    hops: NextHops,
}

impl PeerSocket {
    /// Listens at an address.
    ///
    /// # Errors
    /// Fails if the address cannot be listened at.
    pub(crate) async fn bind(address: SocketAddr, clock: Clock) -> anyhow::Result<Self> {
        let socket = UdpSocket::bind(address)
            .await
            .with_context(|| format!("cannot listen for daemons at {address}"))?;
        let own = socket.local_addr()?;
        Ok(Self {
            socket,
            buffer: vec![0; MAX_DATAGRAM_BYTES],
            clock,
            hops: NextHops::new(own),
        })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// Fails if the socket has no address.
    pub(crate) fn address(&self) -> anyhow::Result<SocketAddr> {
        Ok(self.socket.local_addr()?)
    }

    /// The ways to daemons that are not reached directly.
    pub(crate) fn hops(&mut self) -> &mut NextHops {
        &mut self.hops
    }

    /// Sends a message, without waiting.
    pub(crate) fn send(&self, to: SocketAddr, message: &Message) {
        for (address, datagram) in self.hops.datagrams(to, message, self.clock.now()) {
            let length = u64::try_from(datagram.len()).unwrap_or(u64::MAX);
            metrics::counter!(MESSAGE_BYTES.name, "kind" => message.kind()).increment(length);
            self.send_datagram(address, &datagram);
        }
    }

    /// Passes a message on that may have lain here for a time.
    pub(crate) fn pass_on(&self, forwarded: Forwarded, held: Duration) {
        metrics::counter!(MESSAGES_FORWARDED.name).increment(1);
        let (address, datagram) = forwarded.pass_on(held);
        self.send_datagram(address, &datagram);
    }

    fn send_datagram(&self, to: SocketAddr, datagram: &[u8]) {
        if self.socket.try_send_to(datagram, to).is_err() {
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

    /// The next message; `None` if the socket told of something else.
    ///
    /// # Errors
    /// Fails if something else than a message has come.
    pub(crate) async fn receive(&mut self) -> Result<Option<Received>, NotUnderstood> {
        let Ok((length, source)) = self.socket.recv_from(&mut self.buffer).await else {
            return Ok(None);
        };
        let now = self.clock.now();
        let received = self.hops.received(source, &self.buffer[..length], now);
        if let Ok(Received::Arrival(arrival)) = &received
            && arrival.is_from_earlier_build
        {
            metrics::counter!(LEGACY_MESSAGES.name).increment(1);
        }
        received.map(Some).map_err(|error| {
            metrics::counter!(MESSAGES_MALFORMED.name).increment(1);
            NotUnderstood { source, error }
        })
    }
}
