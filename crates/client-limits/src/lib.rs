//! Limits on what all clients of a daemon together may hold: memory for bodies, and connections.
//!
//! A limit is met by giving up on a client that the daemon waits for, never on one that waits for the daemon. Below the
//! limits nobody is given up, however slow.

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]

mod activity;
mod body;
mod body_pool;
mod buffered_response;
mod connections;
mod pooled_buffer;
mod tracked_body;

pub use activity::ClientActivity;
pub use body::{BodyError, discard_rest, read_body};
pub use body_pool::{BodyPool, Reservation, ReserveError};
pub use buffered_response::BufferedResponse;
pub use connections::{ConnectionSlot, ConnectionTable, RECEIVE_BUFFER_BYTES};
pub use tracked_body::TrackedBody;
