//! The control logic of flaxward as pure state machines: `(state, event, now) -> actions`.
//!
//! No module here reads a clock, opens a socket or depends on tokio. Randomness comes from a seed
//! given at construction. The same code therefore runs in a daemon, in a property test in virtual
//! time, and as many instances in one simulation process.

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]

pub mod admission;
pub mod attempt;
pub mod claims;
pub mod configuration;
pub mod coordinator;
pub mod gossip;
pub mod heads;
pub mod keep_alive;
pub mod marks;
pub mod membership;
pub mod node;
pub mod observation;
mod rotation;
pub mod router;
pub mod rumors;
pub mod stream;
