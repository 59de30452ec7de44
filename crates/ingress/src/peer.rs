//! UDP socket for messages between daemons.

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

/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// A received datagram that is not a message known to this build.
#[derive(Debug)]
pub(crate) struct UndecodableMessage {
    /// The daemon that sent or forwarded it.
    pub source: SocketAddr,
    pub error: MessageError,
}

/// Sends and receives messages over UDP. Daemons that cannot be reached directly are reached through relays. Delivery
/// is not guaranteed.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    buffer: Vec<u8>,
    clock: Clock,
    hops: NextHops,
}

impl PeerSocket {
    /// Binds the socket to an address.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub(crate) async fn bind(address: SocketAddr, clock: Clock) -> anyhow::Result<Self> {
        let socket = UdpSocket::bind(address)
            .await
            .with_context(|| format!("cannot bind the peer socket to {address}"))?;
        let own = socket.local_addr()?;
        Ok(Self {
            socket,
            buffer: vec![0; MAX_DATAGRAM_BYTES],
            clock,
            hops: NextHops::new(own),
        })
    }

    /// The local address of the socket.
    ///
    /// # Errors
    /// Fails if the operating system does not report the local address.
    pub(crate) fn address(&self) -> anyhow::Result<SocketAddr> {
        Ok(self.socket.local_addr()?)
    }

    /// The relays to daemons that cannot be reached directly.
    pub(crate) fn hops(&mut self) -> &mut NextHops {
        &mut self.hops
    }

    /// Sends a message without blocking. Counts it as not sent if the socket does not accept it.
    pub(crate) fn send(&self, to: SocketAddr, message: &Message) {
        for (address, datagram) in self.hops.datagrams(to, message, self.clock.now()) {
            let length = u64::try_from(datagram.len()).unwrap_or(u64::MAX);
            metrics::counter!(MESSAGE_BYTES.name, "kind" => message.kind()).increment(length);
            self.send_datagram(address, &datagram);
        }
    }

    /// Forwards a message on behalf of another daemon; `queued_for` is how long it was queued here.
    pub(crate) fn forward(&self, forwarded: Forwarded, queued_for: Duration) {
        metrics::counter!(MESSAGES_FORWARDED.name).increment(1);
        let (address, datagram) = forwarded.pass_on(queued_for);
        self.send_datagram(address, &datagram);
    }

    fn send_datagram(&self, to: SocketAddr, datagram: &[u8]) {
        if self.socket.try_send_to(datagram, to).is_err() {
            metrics::counter!(MESSAGES_NOT_SENT.name).increment(1);
        }
    }

    /// Returns whether the socket's receive buffer is empty. Peeks at the socket itself, because the runtime's
    /// readiness state may be as old as its last poll.
    pub(crate) fn is_empty(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.socket).peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Receives the next message. Returns `None` if the socket reported an error instead.
    ///
    /// # Errors
    /// Fails if the datagram cannot be decoded as a message.
    pub(crate) async fn receive(&mut self) -> Result<Option<Received>, UndecodableMessage> {
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
            UndecodableMessage { source, error }
        })
    }
}
