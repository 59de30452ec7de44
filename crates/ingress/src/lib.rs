//! The ingress: accepts client requests, forwards them to runners along the operators' routes, and
//! takes part in deciding which models are loaded where.
//!
//! Decision logic lives in `flaxward-routing`; this crate does the network I/O. External interfaces
//! of the daemon are behind the traits of [`interfaces`].

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]

mod access;
mod cold_periods;
mod concurrency;
mod connector;
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
pub mod network;
mod notices;
mod peer;
mod permits;
mod pool;
mod refused;
mod rejections;
mod relay;
mod responses;
mod server;
pub mod settings;
mod state;
mod store_era;
mod store_report;
mod stream_origins;
mod tunnel;
mod tunnel_server;
mod unreadable;
mod usage;
mod version_check;
mod waiting;
mod watches;

pub use counters::METRICS;
pub use daemon::Ingress;
pub use settings::IngressSettings;
