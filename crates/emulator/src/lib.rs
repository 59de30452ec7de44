//! Stand-ins for the platform and the engines, with faults that can be set while they run.
//!
//! Each stand-in starts from a configuration and listens on an address of its own, so that it can
//! share a process with others or have one for itself. It takes faults through `POST /faults` and
//! through a handle in the same process, and tells through `GET /record` what really happened: the
//! records are what the promises of flaxward are checked against.

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]

pub mod engine;
pub mod fault;
pub mod http;
pub mod machines;
pub mod objects;
pub mod platform;
pub mod service;
pub mod weights;

pub use engine::{Engine, EngineConfig, EngineFaults};
pub use machines::{MachineListConfig, MachineListFaults, MachineListServer};
pub use objects::{ObjectApiConfig, ObjectApiFaults, ObjectApiServer};
pub use platform::{Platform, PlatformConfig, ZoneConfig};
pub use service::{Service, ServiceConfig, ServiceFaults};
pub use weights::{WeightStore, WeightStoreConfig, WeightStoreFaults};
