//! Socket for peer traffic, one per daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use bytes::Bytes;
use flaxward_wire::{Envelope, MAX_DATAGRAM_BYTES, MAX_MESSAGE_BYTES, encode};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;

use crate::counters::{DropReason, count_dropped};
use crate::{Incoming, datagrams, streams};

/// Maximum number of received messages waiting for the daemon; further ones are dropped.
const RECEIVE_QUEUE_CAPACITY: usize = 1_024;

/// Maximum number of attempts to find a port that is free for both UDP and TCP, if the port is 0.
const MAX_BIND_ATTEMPTS: usize = 16;

/// Sends and receives envelopes. Must be created and used within a tokio runtime. Dropping it stops
/// receiving.
#[derive(Debug)]
pub struct PeerSocket {
    address: SocketAddr,
    datagrams: std::net::UdpSocket,
    send_permits: Arc<Semaphore>,
    _receive_tasks: JoinSet<()>,
}

impl PeerSocket {
    /// Listens on an address over UDP and TCP. Port 0 selects any port that is free for both.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> anyhow::Result<(Self, mpsc::Receiver<Incoming>)> {
        let (datagrams, listener) = bind_both(address)
            .await
            .with_context(|| format!("cannot listen for daemons at {address}"))?;
        let address = datagrams.local_addr()?;
        let receive_datagrams = UdpSocket::from_std(datagrams.try_clone()?)?;
        let (queue, received) = mpsc::channel(RECEIVE_QUEUE_CAPACITY);
        let mut receive_tasks = JoinSet::new();
        receive_tasks.spawn(datagrams::receive(receive_datagrams, queue.clone()));
        receive_tasks.spawn(streams::receive(listener, queue));
        let socket = Self {
            address,
            datagrams,
            send_permits: Arc::new(Semaphore::new(streams::MAX_CONCURRENT_SENDS)),
            _receive_tasks: receive_tasks,
        };
        Ok((socket, received))
    }

    /// Local address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends an envelope without blocking and without a delivery guarantee.
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
            count_dropped(DropReason::TooLong);
            return;
        }
        let Ok(permit) = Arc::clone(&self.send_permits).try_acquire_owned() else {
            count_dropped(DropReason::TooMany);
            return;
        };
        tokio::spawn(async move {
            streams::send(to, bytes).await;
            drop(permit);
        });
    }
}

async fn bind_both(address: SocketAddr) -> io::Result<(std::net::UdpSocket, TcpListener)> {
    let mut attempts = if address.port() == 0 {
        MAX_BIND_ATTEMPTS
    } else {
        1
    };
    loop {
        attempts -= 1;
        let datagrams = std::net::UdpSocket::bind(address)?;
        datagrams.set_nonblocking(true)?;
        match TcpListener::bind(datagrams.local_addr()?).await {
            Ok(listener) => return Ok((datagrams, listener)),
            Err(error) if attempts == 0 => return Err(error),
            Err(_) => {}
        }
    }
}
