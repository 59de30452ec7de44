//! Messages between daemons and their encoding (postcard).
//!
//! Every message is idempotent and is sent again until it no longer matters, so that datagrams may
//! be lost, doubled or reordered. A message too long for a datagram goes over TCP.

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]

mod message;

pub use message::{
    ConfigurationChange, ConfigurationDelta, ConfigurationSnapshot, Envelope, InventoryNews,
    MachineSnapshot, MemberState, MemberUpdate, Message, Peer, RunnerMark, RunnerReport, View,
    ZoneHead,
};

use serde::Serialize;
use thiserror::Error;

/// First byte of every encoded envelope; raised when the encoding changes incompatibly.
pub const WIRE_VERSION: u8 = 2;

/// Longest encoding sent as a datagram, in bytes; fits an Ethernet frame with IP and UDP headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Longest encoding accepted over TCP, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Why bytes are not an envelope.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// No bytes at all.
    #[error("the message is empty")]
    Empty,
    /// Another version of the encoding.
    #[error("the message has wire version {0}, expected {WIRE_VERSION}")]
    Version(u8),
    /// The bytes do not decode.
    #[error("the message cannot be decoded: {0}")]
    Decode(#[from] postcard::Error),
    /// The envelope decodes and bytes remain.
    #[error("{0} bytes follow the message")]
    Trailing(usize),
}

/// Encodes an envelope.
///
/// # Panics
/// Never: every message type can be encoded into memory.
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    let buffer = vec![WIRE_VERSION];
    postcard::to_extend(envelope, buffer).expect("messages encode into memory")
}

/// Bytes that a part of an envelope takes when encoded, so that senders can fill a datagram.
///
/// # Panics
/// Never: every message type can be encoded into memory.
pub fn encoded_size<Part: Serialize>(part: &Part) -> usize {
    postcard::experimental::serialized_size(part).expect("messages encode into memory")
}

/// Decodes an envelope.
///
/// # Errors
/// Fails on another wire version, on bytes that do not decode and on bytes left over.
pub fn decode(bytes: &[u8]) -> Result<Envelope, WireError> {
    let (&version, body) = bytes.split_first().ok_or(WireError::Empty)?;
    if version != WIRE_VERSION {
        return Err(WireError::Version(version));
    }
    let (envelope, rest) = postcard::take_from_bytes(body)?;
    if !rest.is_empty() {
        return Err(WireError::Trailing(rest.len()));
    }
    Ok(envelope)
}
