//! HTTP API of a daemon for callers: completions, models and plain services.
//!
//! A request is validated, queued until [`flaxward_control::admission`] assigns it a back end, and
//! sent under an attempt id; its answer is relayed to the caller. [`flaxward_control::attempt`]
//! decides whether a failed attempt is retried. Requests with an idempotency key are claimed first,
//! see [`flaxward_control::claims`].

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]

mod answer;
mod attempt;
mod back_end_ticket;
mod body;
mod call;
mod claims;
mod clock;
mod completions;
mod connections;
mod counters;
mod crashes;
mod endpoint;
mod gateway;
mod head;
mod models;
mod registry;
mod relay;
mod remainder;
mod run;
mod scheduler;
mod server_sent_events;
mod service_pool;
mod services;
mod settings;
mod unknown_path;

pub use counters::METRICS;
pub use gateway::Gateway;
pub use registry::RequestView;
pub use server_sent_events::{Event, EventError, EventScanner};
pub use settings::{GatewaySettings, back_end_client, listen};
