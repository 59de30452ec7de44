//! Deterministic simulation in virtual time of zones with several coordinators each, under faults.
//!
//! The invariants are checked against the state of the engines and of the store, never against the
//! state of a coordinator.

pub mod checks;
pub mod engine;
pub mod faults;
pub mod gateways;
pub mod models;
pub mod network;
pub mod observers;
pub mod schedule;
pub mod simulation;
pub mod store;
