//! Orders to runners and the handling of their answers.

use flaxward_types::engine::{Inventory, Order, OrderAction, OrderAnswer};
use flaxward_types::records::Slot;
use flaxward_types::{ArtifactId, BootId, OrderId, RunnerName};
use rand::RngExt;

use super::interface::{DecisionKind, EngineFault, UnloadReason};
use super::leading::{Context, Leading, Unload, slot};
use super::loads::Stage;
use super::runner::{Phase, inventory_of};

impl Leading {
    /// Applies the answer to an order.
    pub(super) fn apply_answer(
        &mut self,
        name: &RunnerName,
        id: OrderId,
        answer: Result<OrderAnswer, EngineFault>,
        context: &Context,
    ) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        let answer = match answer {
            Ok(answer) => answer,
            Err(fault) => {
                if let Some(order) = runner.record_no_answer(id, fault, context.now) {
                    self.order_refused(name, &order, context);
                }
                return;
            }
        };
        let order = runner.settle_order(id);
        if let OrderAnswer::StaleTerm { highest } = answer {
            self.observe_term(highest);
        }
        if let Some(inventory) = inventory_of(&answer) {
            self.observe(name, inventory.clone(), context.now);
        }
        let Some(order) = order else {
            return;
        };
        match answer {
            OrderAnswer::Accepted(inventory) => self.order_accepted(name, &order, &inventory),
            OrderAnswer::OtherBoot { .. } => {
                // The order was not carried out, so this does not count as a failed load.
                if let OrderAction::Load { artifact, .. } = &order.action {
                    self.remove_load(&slot(artifact, name));
                }
                if let Some(runner) = self.runners.get_mut(name) {
                    runner.on_boot_mismatch(order.boot);
                }
            }
            OrderAnswer::StaleTerm { .. }
            | OrderAnswer::NoMemory { .. }
            | OrderAnswer::Refused { .. } => self.order_refused(name, &order, context),
        }
    }

    fn order_accepted(&mut self, name: &RunnerName, order: &Order, inventory: &Inventory) {
        match &order.action {
            OrderAction::Seal => {
                let accepted = inventory.boot == order.boot && inventory.term == self.term;
                if let Some(runner) = self.runners.get_mut(name)
                    && accepted
                    && runner.phase == (Phase::Sealing { boot: order.boot })
                {
                    runner.seal(order.boot);
                }
            }
            OrderAction::Load { artifact, .. } => {
                let slot = slot(artifact, name);
                if let Some(load) = self.loads.get_mut(&slot) {
                    load.stage = Stage::Loading;
                }
            }
            OrderAction::Unload { artifact } => self.unload_answered(name, artifact),
        }
    }

    fn order_refused(&mut self, name: &RunnerName, order: &Order, context: &Context) {
        match &order.action {
            OrderAction::Seal => {
                if let Some(runner) = self.runners.get_mut(name) {
                    runner.phase = Phase::Unknown;
                }
            }
            OrderAction::Load { artifact, .. } => self.load_failed(&slot(artifact, name), context),
            OrderAction::Unload { artifact } => self.unload_answered(name, artifact),
        }
    }

    fn unload_answered(&mut self, name: &RunnerName, artifact: &ArtifactId) {
        if let Some(unload) = self.unloads.get_mut(&slot(artifact, name)) {
            unload.answered = true;
        }
    }

    /// Removes a failed load, so that it is tried on another runner.
    pub(super) fn load_failed(&mut self, slot: &Slot, context: &Context) {
        if self.remove_load(slot).is_none() {
            return;
        }
        let runner = slot.runner.clone();
        self.failures
            .failed(&slot.artifact, &runner, context.now, context.settings);
        self.record(&slot.artifact, DecisionKind::LoadFailed { runner });
    }

    /// Orders an unload, unless one is in progress or an order for the artifact is pending.
    pub(super) fn unload(&mut self, slot: &Slot, reason: UnloadReason) {
        let Some(runner) = self.runners.get(&slot.runner) else {
            return;
        };
        let Some(boot) = runner.sealed_boot() else {
            return;
        };
        if self.unloads.contains_key(slot) || runner.has_pending_order(&slot.artifact) {
            return;
        }
        let action = OrderAction::Unload {
            artifact: slot.artifact.clone(),
        };
        self.add_order(&slot.runner, boot, action);
        let unload = Unload {
            boot,
            answered: false,
        };
        self.unloads.insert(slot.clone(), unload);
        self.remove_load(slot);
        self.touched.insert(slot.artifact.clone());
        self.ready_since.remove(slot);
        let runner = slot.runner.clone();
        self.record(&slot.artifact, DecisionKind::Unload { runner, reason });
    }

    /// Adds an order under the own term.
    pub(super) fn add_order(&mut self, name: &RunnerName, boot: BootId, action: OrderAction) {
        let order = Order {
            id: OrderId(self.generator.random()),
            term: self.term,
            boot,
            action,
        };
        if let Some(runner) = self.runners.get_mut(name) {
            runner.add_order(order);
        }
    }
}
