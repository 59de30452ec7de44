//! Proofs of the coordinator: properties over random schedules, and named faults.

mod cases;
mod outages;
mod properties;
mod support;
