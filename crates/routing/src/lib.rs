//! Decision logic of the ingress: route lookup, runner selection, retries, model placement and election of
//! the coordinator.
//!
//! The crate performs no I/O: time is passed as an argument, randomness comes from a seed, and no socket is
//! opened. `flaxward-ingress` drives these state machines.

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]

pub mod arrivals;
pub mod attempt;
pub mod availability;
pub mod balance;
pub mod budget;
pub mod cold;
pub mod concurrency;
pub mod configuration;
pub mod configuration_age;
pub mod configuration_transfer;
mod departures;
pub mod dissemination;
pub mod encoding;
pub mod evacuation;
pub mod events;
pub mod fingerprint;
pub mod health;
pub mod holdings_digests;
pub mod homes;
pub mod lease;
mod legacy_revisions;
pub mod locality;
pub mod membership;
pub mod messages;
pub mod names;
pub mod next_hop;
pub mod notices;
pub mod pacing;
pub mod permits;
pub mod placement;
pub mod quarantine;
pub mod quota;
pub mod rate_limit;
pub mod rejections;
pub mod request;
pub mod revision;
mod runner_id;
pub mod runner_paths;
pub mod runners;
mod software_versions;
pub mod split;
pub mod standby;
pub mod store_trust;
pub mod stream_origins;
pub mod strength;
pub mod tenants;

pub use configuration::{Configuration, Route, RouteKind, Service};
pub use homes::{Homes, Requirement};
pub use names::{AdapterName, ModelName, RouteName, RunnerId, ServiceName, TenantName, Unit, Zone};
pub use request::RequestProfile;
pub use runners::{Runner, RunnerTable};
