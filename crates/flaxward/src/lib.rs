//! The daemon of flaxward and what its program does besides.

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]

pub mod counters;
pub mod daemon;
pub mod dev;
pub mod explain;
pub mod metrics_page;
