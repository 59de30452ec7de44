//! A small world in virtual time in which several coordinators per zone work and fail.
//!
//! The invariants are checked from the records of the engines and of the store, never from what a
//! coordinator believes.

pub mod checks;
pub mod engine;
pub mod faults;
pub mod gateways;
pub mod models;
pub mod network;
pub mod observers;
pub mod schedule;
pub mod store;
pub mod world;
