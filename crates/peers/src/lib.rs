//! Carries envelopes between daemons: by UDP if they fit a datagram, else by TCP on the same port
//! number.
//!
//! Nothing here waits, retries or answers: a message that cannot be sent now is counted and dropped,
//! as a lost datagram would be, and whoever sent it sends again if it still matters. What comes in
//! is counted and dropped when it does not decode, is too long or comes too slowly.

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]

pub mod counters;
mod datagrams;
mod socket;
mod streams;

pub use socket::PeerSocket;

use std::net::SocketAddr;

use flaxward_wire::Envelope;

/// An envelope and the address of the socket that it came from.
pub type Incoming = (SocketAddr, Envelope);
