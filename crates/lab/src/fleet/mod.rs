//! A hollow fleet: hundreds of real state machines in one process and in virtual time, to measure
//! what control costs at sizes that one machine cannot run for real.

mod callers;
mod catalogue;
mod command;
mod daemon;
mod engine;
mod faults;
mod gateway;
mod http;
mod limits;
mod memory;
mod network;
mod observing;
mod platform;
mod queue;
mod report;
mod run;
mod shape;
mod spread;
mod store;
mod tally;
mod world;

pub use command::{FleetArguments, fleet};
pub use faults::Fault;
pub use limits::{Line, MEMORY_LIMIT, NETWORK_LIMIT, PROCESSOR_LIMIT, Usage, Verdict};
pub use run::{Measurement, Plan, RoleMeasure, Traffic, run};
pub use shape::Shape;
pub use spread::SpreadSummary;
pub use tally::{Exchange, PURPOSES, Purpose, ROLES, Role, SIDES, Side, Spending};
pub use world::{Counts, Rates, World};
