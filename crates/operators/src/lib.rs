//! Operator commands: executes queries against the daemon's views and changes by compare-and-swap
//! in the object API, serves them over HTTP, and provides the client behind `flaxward query`.

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]

mod answer;
pub mod client;
mod error;
mod executor;
mod exit;
mod filter;
mod http;
mod render;
mod rows;
mod store;
mod views;

pub use answer::{Answer, Column, ColumnKind};
pub use error::{ErrorBody, ErrorDetail, OperatorError};
pub use executor::Executor;
pub use exit::{EXIT_OK, exit_code};
pub use http::{MAX_COMMAND_BYTES, QUERY_PATH, router};
pub use render::{render_json, render_table};
pub use rows::{
    AdapterRow, ConfigRow, DaemonRow, DaemonState, DecisionRow, DrainRow, ModelRow, ModelState,
    PolicyRow, QuotaRow, ReplicaRow, ReplicaState, RequestRow, RequestState, RunnerRow,
    RunnerState, ServiceRow, VersionRow, ZoneRow,
};
pub use views::Views;
