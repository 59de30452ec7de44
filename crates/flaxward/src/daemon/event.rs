//! What the core of a daemon is told.

use flaxward_control::coordinator::CoordinatorEvent;
use flaxward_control::node::NodeEvent;

use super::core::Core;

/// Asks the core something from outside its task.
pub type Question = Box<dyn FnOnce(&mut Core) + Send>;

/// One event of the core's queue.
pub enum CoreEvent {
    /// Something for the state machine.
    Node(NodeEvent),
    /// Somebody asks something.
    Question(Question),
}

impl From<NodeEvent> for CoreEvent {
    fn from(event: NodeEvent) -> Self {
        Self::Node(event)
    }
}

impl From<CoordinatorEvent> for CoreEvent {
    fn from(event: CoordinatorEvent) -> Self {
        Self::Node(NodeEvent::Answered(event))
    }
}
