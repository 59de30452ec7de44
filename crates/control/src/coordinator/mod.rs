//! The coordinator of a zone: who may decide, what is loaded where, and what waits.

mod interface;

pub use interface::{
    CoordinatorAction, CoordinatorEvent, CoordinatorSettings, Decision, DecisionKind, EngineFault,
    StoreFault, UnloadReason,
};
