//! The operators' command language: parsing, validation and planning. This crate does no I/O.
//!
//! [`parse`] turns text into a typed [`Command`] or a [`SyntaxError`] with the error position.
//! [`plan`] validates a change against the configuration and returns the writes it needs. The
//! `Display` form of every command parses back to the same command. `docs/OPERATORS.md` describes
//! the language.

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]

mod command;
mod error;
mod parser;
mod plan;
mod print;
mod rules;
mod settings;
mod split;
mod table;
mod token;

pub use command::{
    Change, Command, Comparison, Condition, Edit, Operator, Order, ReplicaScope, Show, Value,
};
pub use error::{Position, SyntaxError};
pub use parser::parse;
pub use plan::{Current, Rejection, Step, Write, plan};
pub use print::{describe, print_key, print_size};
pub use settings::{
    AdapterSetting, DEFAULT_PRIORITY, DEFAULT_QUEUE_LIMIT, ModelSetting, PolicySetting,
    ServiceSetting, VersionSetting,
};
pub use split::split;
pub use table::{Field, FieldKind, Table};
