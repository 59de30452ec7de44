//! Carries out what the coordinator asks of runners.

use std::sync::Arc;

use flaxward_backends::{EngineApi, EngineError};
use flaxward_control::coordinator::{CoordinatorEvent, EngineFault};
use flaxward_types::RunnerName;
use flaxward_types::engine::Order;
use tokio::sync::mpsc::UnboundedSender;

use super::counters::{self, EngineCall};
use super::event::CoreEvent;

/// Runs the coordinator's orders and reads.
#[derive(Clone)]
pub struct RunnerDriver {
    engines: Arc<dyn EngineApi>,
    events: UnboundedSender<CoreEvent>,
}

impl RunnerDriver {
    /// Makes a driver whose answers go to `events`.
    pub fn new(engines: Arc<dyn EngineApi>, events: UnboundedSender<CoreEvent>) -> Self {
        Self { engines, events }
    }

    /// Sends an order.
    pub fn order(&self, runner: RunnerName, address: String, order: Order) {
        let driver = self.clone();
        tokio::spawn(async move {
            let answer = driver.engines.order(&address, &order).await;
            let answer = answer.map_err(|error| fault(&error));
            counters::called(EngineCall::Order, &answer);
            driver.report(CoordinatorEvent::OrderAnswered {
                runner,
                order: order.id,
                answer,
            });
        });
    }

    /// Reads an inventory.
    pub fn inventory(&self, runner: RunnerName, address: String) {
        let driver = self.clone();
        tokio::spawn(async move {
            let inventory = driver.engines.inventory(&address).await;
            let inventory = inventory.map_err(|error| fault(&error));
            counters::called(EngineCall::Inventory, &inventory);
            driver.report(CoordinatorEvent::InventoryRead { runner, inventory });
        });
    }

    fn report(&self, event: CoordinatorEvent) {
        // The core is gone only when the daemon exits, and then nobody needs the answer.
        let _ = self.events.send(event.into());
    }
}

fn fault(error: &EngineError) -> EngineFault {
    match error {
        EngineError::Unreachable(_) => EngineFault::Unreachable,
        EngineError::OutcomeUnknown(_) | EngineError::UnknownStream => EngineFault::Unknown,
    }
}
