//! Simulation tests of the coordinator: properties over random schedules, and single faults.

mod cases;
mod outages;
mod properties;
mod support;
