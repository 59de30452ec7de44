//! The ingress: takes requests of clients, passes them to runners by the routes of the operators, and
//! takes part in deciding what is loaded where.
//!
//! Decisions stand in `flaxward-routing`; this crate holds the sockets. What the daemon speaks to the
//! outside is behind the traits of [`interfaces`].

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]

mod access;
mod coordination;
mod counted_store;
pub mod counters;
mod crashes;
mod daemon;
mod decisions;
mod dispatch;
mod exchange;
mod handler;
pub mod interfaces;
mod keeper_client;
mod notices;
mod peer;
mod permits;
mod pool;
mod refused;
mod relay;
mod responses;
mod server;
pub mod settings;
mod spells;
mod state;
mod store_era;
mod store_word;
mod unreadable;
mod usage;
mod waiting;
mod watches;

pub use counters::METRICS;
pub use daemon::Ingress;
pub use settings::IngressSettings;
