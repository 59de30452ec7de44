//! The callers' HTTP interface of a daemon: completions, models and plain services.
//!
//! A request is checked, waits until [`flaxward_control::admission`] finds it a back end, is sent
//! under an attempt id, and its answer is relayed. What happens after a failed attempt is decided
//! by [`flaxward_control::attempt`]; requests with an idempotency key are claimed first, see
//! [`flaxward_control::claims`].

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]

mod answer;
mod attempt;
mod body;
mod bytes_budget;
mod call;
mod claims;
mod clock;
mod completions;
mod counters;
mod crashes;
mod endpoint;
mod gateway;
mod head;
mod models;
mod place;
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
