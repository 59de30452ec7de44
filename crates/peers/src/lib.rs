//! Transport of envelopes between daemons: UDP if they fit a datagram, otherwise TCP on the same
//! port number.
//!
//! The transport does not block, retry or acknowledge: a message that cannot be sent immediately is
//! counted and dropped, like a lost datagram, and the sender retransmits it if it is still relevant.
//! Incoming messages that are malformed, too long or not received in time are counted and dropped.

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]

pub mod counters;
mod datagrams;
mod socket;
mod streams;

pub use socket::PeerSocket;

use std::net::SocketAddr;

use flaxward_wire::Envelope;

/// Received envelope and the remote address of the socket that sent it.
pub type Incoming = (SocketAddr, Envelope);
