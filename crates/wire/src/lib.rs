//! Messages between daemons and their encoding (postcard).
//!
//! Every message is idempotent and is retransmitted for as long as it is relevant, so datagrams may
//! be lost, duplicated or reordered. A message too long for a datagram is sent over TCP.

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]

mod message;

pub use message::{
    ConfigurationChange, ConfigurationDelta, ConfigurationSnapshot, Envelope, InventoryUpdate,
    MachineSnapshot, MemberState, MemberUpdate, Message, Peer, RunnerMark, RunnerReport, View,
    ZoneHead,
};

use serde::Serialize;
use thiserror::Error;

/// First byte of every encoded envelope; incremented when the encoding changes incompatibly.
pub const WIRE_VERSION: u8 = 2;

/// Maximum size of an envelope sent as a datagram, in bytes. Fits an Ethernet frame together with
/// the IP and UDP headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Maximum size of an envelope accepted over TCP, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Error returned by [`decode`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// The input is empty.
    #[error("the message is empty")]
    Empty,
    /// The wire version is not supported.
    #[error("the message has wire version {0}, expected {WIRE_VERSION}")]
    Version(u8),
    /// The envelope is malformed.
    #[error("the message cannot be decoded: {0}")]
    Decode(#[from] postcard::Error),
    /// Bytes remain after the envelope.
    #[error("{0} bytes follow the message")]
    Trailing(usize),
}

/// Encodes an envelope.
///
/// # Panics
/// Never: all message types can be encoded into memory.
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    let buffer = vec![WIRE_VERSION];
    postcard::to_extend(envelope, buffer).expect("messages can always be encoded")
}

/// Encoded size in bytes of a part of an envelope. Senders use it to fill a datagram up to its limit.
///
/// # Panics
/// Never: all message types can be encoded into memory.
pub fn encoded_size<Part: Serialize>(part: &Part) -> usize {
    postcard::experimental::serialized_size(part).expect("messages can always be encoded")
}

/// Decodes an envelope.
///
/// # Errors
/// Fails on an unsupported wire version, malformed input and trailing bytes.
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
