//! The machine list: live and leaving machines, with a lag.

use async_trait::async_trait;
use flaxward_types::engine::Machine;
use thiserror::Error;

/// Error of reading the machine list.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("cannot read the machine list: {0}")]
pub struct MachineListError(pub String);

/// Source of the machine list.
#[async_trait]
pub trait MachineList: Send + Sync {
    /// Reads all machines. A machine missing from the list was removed permanently; its name
    /// is never reused.
    async fn machines(&self) -> Result<Vec<Machine>, MachineListError>;
}
