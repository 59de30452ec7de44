//! Identifiers, specifications, result codes and revisions shared by every crate of flaxward.
//!
//! Nothing here does I/O, reads a clock or decides anything. Every type that is stored or sent is
//! serialisable with both JSON (object API, callers, operators) and postcard (between daemons), so
//! no type uses `skip_serializing_if`, `untagged` or internally tagged enums.

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]

pub mod code;
pub mod configuration;
pub mod engine;
pub mod ids;
pub mod metric;
pub mod records;
pub mod refusal;
pub mod routing;
pub mod time;

pub use code::ResultCode;
pub use configuration::{ConfigurationItem, ItemKey, ItemKind};
pub use ids::{
    AdapterName, ArtifactId, AttemptId, BootId, DaemonName, ModelName, ModelRef, OperationId,
    OrderId, Revision, RunnerName, ServiceName, Term, VersionName, ZoneName,
};
pub use metric::{Metric, MetricKind};
pub use refusal::Refusal;
pub use time::Timestamp;
