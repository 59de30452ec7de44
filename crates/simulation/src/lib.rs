//! A whole region in virtual time in one process.
//!
//! Real daemons without sockets ([`flaxward_control::node::Node`], and the pure machines that the
//! HTTP gateway drives) run against a simulated network, platform, engines, services, callers and
//! operators. Everything follows from one seed. What must always hold is checked at each step from
//! the records of the engines, the store, the services and the callers, never from what a daemon
//! believes. `docs/design/simulation.md` says what is simulated and what is not.

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]
#![allow(
    clippy::cast_precision_loss,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc,
    clippy::needless_pass_by_value,
    clippy::struct_excessive_bools,
    clippy::too_many_lines,
    clippy::unused_self,
    reason = "a simulation for proofs; its events are taken by value and its faults are flags"
)]

pub mod caller;
pub mod engine;
pub mod gateway;
pub mod happening;
pub mod invariant;
pub mod network;
pub mod process;
pub mod region;
pub mod settings;
pub mod store;
pub mod time;
pub mod weakness;

pub use caller::{CallerRequest, Outcome, RequestRecord, Target};
pub use happening::{Happening, Schedule};
pub use invariant::{Invariant, Violation};
pub use process::ProcessId;
pub use region::Region;
pub use settings::RegionSettings;
pub use time::VirtualTime;
pub use weakness::DaemonWeakness;
