//! Interfaces to external systems behind narrow traits: the object API, the machine list, the model
//! engines and plain services. Supporting another platform API takes another implementation of a
//! trait in this crate and no change elsewhere.

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]

mod documents;
pub mod engine;
pub mod engine_http;
pub mod http_client;
pub mod machines;
pub mod machines_http;
pub mod objects;
pub mod objects_http;
pub mod resolving;

pub use engine::{EngineApi, EngineError};
pub use engine_http::EngineHttp;
pub use machines::{MachineList, MachineListError};
pub use machines_http::MachinesHttp;
pub use objects::{Collection, Object, ObjectApi, ObjectList, Selection, StoreError, WatchEvent};
pub use objects_http::ObjectsHttp;
pub use resolving::ResolvingStore;
