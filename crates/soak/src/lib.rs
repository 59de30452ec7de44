//! A fault soak: runs the real program as separate processes between stand-ins of the platform and callers,
//! injects faults from outside the processes, and checks what callers and runners see.
//!
//! Everything that is random comes from one seed. The processes interleave as they like, so that a seed
//! gives the same faults and requests, not always the same outcome.

pub mod caller_faults;
pub mod callers;
pub mod checks;
pub mod daemon;
pub mod disturbances;
pub mod faults;
mod fleet;
mod notice_checks;
pub mod ports;
pub mod proxy;
pub mod regions;
pub mod runner_faults;
pub mod settings;
mod setup;
pub mod soak;
mod store_checks;

pub use faults::FaultKind;
pub use soak::{Plan, Report, soak};
