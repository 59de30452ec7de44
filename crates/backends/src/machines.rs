//! The machine list: live and leaving machines, with a lag.

use async_trait::async_trait;
use flaxward_types::engine::Machine;
use thiserror::Error;

/// Why the machine list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the machine list does not answer: {0}")]
pub struct MachineListError(pub String);

/// The machine list.
#[async_trait]
pub trait MachineList: Send + Sync {
    /// Reads all machines. A machine that is missing is gone for good; its name is never reused.
    async fn machines(&self) -> Result<Vec<Machine>, MachineListError>;
}
