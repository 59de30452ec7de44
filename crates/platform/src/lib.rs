//! Everything outside flaxward, behind narrow traits: the object API, the machine list, the model
//! engines and plain services. Another surface of the same platform is another implementation of a
//! trait here and no change elsewhere.

#![warn(clippy::pedantic)]
#![allow(clippy::module_name_repetitions, clippy::must_use_candidate)]

pub mod engine;
pub mod machines;
pub mod objects;

pub use engine::{EngineApi, EngineError};
pub use machines::{MachineList, MachineListError};
pub use objects::{Collection, Object, ObjectApi, ObjectList, StoreError, WatchEvent};
