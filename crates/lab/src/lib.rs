//! Experiments in virtual time, load generation and stand-ins. No part of the
//! daemon.

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "figures of a measurement lie far within what the types hold"
)]

pub mod calls;
pub mod client;
pub mod controller;
pub mod experiment;
pub mod fleet_plan;
pub mod goals;
pub mod load;
pub mod plot;
pub mod relay_bench;
pub mod report;
pub mod scenario;
pub mod simulation;
pub mod stand_in;
