//! Settings of one daemon: read once at the start, from a TOML file with flags over it, into typed
//! values. Every default stands in [`sections`], every value is checked, and all faults are
//! reported at once with their result codes.
//!
//! [`logs`] sets up the log and gives its lines their stable field names.

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]

mod check_config;
mod checks;
mod control;
mod error;
mod flags;
pub mod ingress;
mod key;
pub mod logs;
mod reader;
pub mod sections;
mod source;
mod value;

pub use check_config::{CheckConfig, ReportFormat, check_config};
pub use error::{SettingError, SettingsErrors};
pub use flags::{Flags, Override};
pub use ingress::{IngressFile, MachineSection};
pub use key::{Key, Presence};
pub use sections::{DaemonSection, Settings};
pub use value::{Seed, Share};
