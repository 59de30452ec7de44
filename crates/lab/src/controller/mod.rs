//! What decides in an experiment: flaxward's coordinators, or a simple planner with some rule for
//! keeping replicas, as a baseline.

use flaxward_control::coordinator::{Decision, EngineFault};
use flaxward_types::engine::{Inventory, Machine, Order, OrderAnswer};
use flaxward_types::routing::{Demand, RouteAnswer};
use flaxward_types::{DaemonName, OrderId, RunnerName, Timestamp, ZoneName};

pub mod choice;
pub mod coordinators;
mod pace;
pub mod planner;
pub mod retention;
pub mod store;

/// What a controller is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The machine list.
    Machines(Vec<Machine>),
    /// A gateway wants something of a zone.
    Demanded(ZoneName, DaemonName, Demand),
    /// A runner answered an order.
    OrderAnswered(RunnerName, OrderId, Result<OrderAnswer, EngineFault>),
    /// A runner's inventory was read.
    InventoryRead(RunnerName, Result<Inventory, EngineFault>),
}

/// What a controller asks for.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send an order to a runner.
    Order(RunnerName, Order),
    /// Read a runner's inventory.
    ReadInventory(RunnerName),
    /// Tell a gateway how an artifact stands.
    Answer(DaemonName, RouteAnswer),
    /// Note a decision.
    Decided(Decision),
}

/// Decides what is loaded where in the whole region.
pub trait Controller {
    /// Takes in what happened and returns what to do.
    fn handle(&mut self, input: Input, now: Timestamp) -> Vec<Command>;

    /// When it wants the next [`Input::Tick`].
    fn next_tick(&self, now: Timestamp) -> Timestamp;
}
