//! The one socket of a daemon for other daemons.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use bytes::Bytes;
use flaxward_wire::{Envelope, MAX_DATAGRAM_BYTES, MAX_MESSAGE_BYTES, encode};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;

use crate::counters::{DropReason, dropped};
use crate::{Incoming, datagrams, streams};

/// Messages that wait for the daemon; more are dropped.
const QUEUE_LENGTH: usize = 1_024;

/// Tries to find a port that is free for both UDP and TCP, when any port will do.
const BIND_TRIES: usize = 16;

/// Sends and receives envelopes. Must be made and used within a tokio runtime. Receiving ends when
/// it is dropped.
#[derive(Debug)]
pub struct PeerSocket {
    address: SocketAddr,
    datagrams: std::net::UdpSocket,
    sending: Arc<Semaphore>,
    _receiving: JoinSet<()>,
}

impl PeerSocket {
    /// Listens at an address by UDP and TCP. Port 0 takes any port that is free for both.
    ///
    /// # Errors
    /// Fails if the address cannot be listened at.
    pub async fn bind(address: SocketAddr) -> anyhow::Result<(Self, mpsc::Receiver<Incoming>)> {
        let (datagrams, listener) = bind_both(address)
            .await
            .with_context(|| format!("cannot listen for daemons at {address}"))?;
        let address = datagrams.local_addr()?;
        let receiving_half = UdpSocket::from_std(datagrams.try_clone()?)?;
        let (queue, received) = mpsc::channel(QUEUE_LENGTH);
        let mut receiving = JoinSet::new();
        receiving.spawn(datagrams::receive(receiving_half, queue.clone()));
        receiving.spawn(streams::receive(listener, queue));
        let socket = Self {
            address,
            datagrams,
            sending: Arc::new(Semaphore::new(streams::MAX_SENDING)),
            _receiving: receiving,
        };
        Ok((socket, received))
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends an envelope, without waiting and without a promise that it arrives.
    pub fn send(&self, to: SocketAddr, envelope: &Envelope) {
        let bytes = encode(envelope);
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            datagrams::send(&self.datagrams, to, &bytes);
        } else {
            self.send_by_stream(to, bytes.into());
        }
    }

    fn send_by_stream(&self, to: SocketAddr, bytes: Bytes) {
        if bytes.len() > MAX_MESSAGE_BYTES {
            dropped(DropReason::TooLong);
            return;
        }
        let Ok(permit) = Arc::clone(&self.sending).try_acquire_owned() else {
            dropped(DropReason::TooMany);
            return;
        };
        tokio::spawn(async move {
            streams::send(to, bytes).await;
            drop(permit);
        });
    }
}

async fn bind_both(address: SocketAddr) -> io::Result<(std::net::UdpSocket, TcpListener)> {
    let mut tries = if address.port() == 0 { BIND_TRIES } else { 1 };
    loop {
        tries -= 1;
        let datagrams = std::net::UdpSocket::bind(address)?;
        datagrams.set_nonblocking(true)?;
        match TcpListener::bind(datagrams.local_addr()?).await {
            Ok(listener) => return Ok((datagrams, listener)),
            Err(error) if tries == 0 => return Err(error),
            Err(_) => {}
        }
    }
}
