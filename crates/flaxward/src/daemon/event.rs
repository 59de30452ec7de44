//! What the core of a daemon is told.

use flaxward_control::coordinator::CoordinatorEvent;
use flaxward_types::ZoneName;
use flaxward_types::engine::Machine;
use flaxward_types::routing::Demand;
use flaxward_wire::{ConfigurationDelta, ConfigurationSnapshot, Envelope, RunnerReport};

use super::core::Core;

/// Asks the core something from outside its task.
pub type Question = Box<dyn FnOnce(&mut Core) + Send>;

/// One event of the core's queue.
pub enum CoreEvent {
    /// Another daemon sent something.
    Received(Box<Envelope>),
    /// A driver answers the coordinator.
    Coordinator(CoordinatorEvent),
    /// The gateway wants something of a zone's coordinator.
    Demands(ZoneName, Vec<Demand>),
    /// The watch of the store saw changes of configuration.
    Learnt(ConfigurationDelta),
    /// The watch listed the whole configuration.
    Listed(ConfigurationSnapshot),
    /// The machine list was read.
    Machines(Vec<Machine>),
    /// This daemon's observer has news of runners.
    Observed(Vec<RunnerReport>),
    /// Somebody asks something.
    Question(Question),
    /// A planned stop begins.
    Stop,
}
