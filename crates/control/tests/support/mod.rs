//! A small world in virtual time in which several coordinators per zone work and fail.
//!
//! The invariants are checked from the records of the runners and of the store, never from what a
//! coordinator believes.

pub mod engine;
pub mod schedule;
pub mod store;
pub mod world;
