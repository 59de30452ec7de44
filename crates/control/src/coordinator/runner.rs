//! What is known of one runner: whether it is sealed, what it holds, and the orders in flight.
//!
//! A runner takes orders only after its boot id was read, the own term was then seen to stand in the
//! placement record, and the engine has accepted the term. A new boot starts again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxward_types::engine::{
    Held, HeldState, Inventory, InventoryVersion, LoadReport, Machine, Order, OrderAction,
    OrderAnswer,
};
use flaxward_types::{ArtifactId, BootId, OrderId, Term, Timestamp};

use super::interface::{CoordinatorSettings, EngineFault};

/// Time without any answer after which a runner counts as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(3);

/// Reads of an observer that may fail to come before the coordinator reads a runner itself.
const OBSERVER_PATIENCE: u32 = 3;

/// How far the seal of a runner is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Its boot id has not been read yet.
    Unknown,
    /// The own term is to be seen in the placement record by this operation.
    Verifying { boot: BootId, operation: u64 },
    /// The term has been sent to it.
    Sealing { boot: BootId },
    /// It has accepted the term.
    Sealed { boot: BootId },
}

/// What an inventory means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Observation {
    /// Older than what is known.
    Stale,
    /// Taken in.
    Applied,
    /// A later coordinator has been here, under this term.
    Overtaken(Term),
}

/// An order without an answer yet.
#[derive(Clone, Debug)]
pub(super) struct PendingOrder {
    pub(super) order: Order,
    sent: Timestamp,
    sends: u32,
    /// Sends that certainly did not arrive.
    missed: u32,
}

/// What a runner is good for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Use {
    /// Callers' requests may go there.
    pub(super) serves: bool,
    /// Loads may be ordered there.
    pub(super) takes_loads: bool,
}

/// What its observer said of a runner last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ObserverWord {
    /// Nothing yet.
    None,
    /// It reads the inventory again and again, and that is known here.
    Known,
    /// It got no answer or another inventory, which is to be seen for oneself.
    Doubt,
}

/// One runner.
#[derive(Clone, Debug)]
pub(super) struct Runner {
    pub(super) address: String,
    /// The machine list says that it is leaving.
    pub(super) listed_leaving: bool,
    /// Since when the machine list does not show it any more.
    pub(super) unlisted_since: Option<Timestamp>,
    pub(super) phase: Phase,
    pub(super) inventory: Option<Inventory>,
    pub(super) report: LoadReport,
    /// What it was good for at the last plan.
    pub(super) last_use: Use,
    /// Something on it is loading or unloading.
    in_transit: bool,
    orders: BTreeMap<OrderId, PendingOrder>,
    dead_boots: BTreeSet<BootId>,
    read_sent: Option<Timestamp>,
    read: Timestamp,
    observer: ObserverWord,
    failing_since: Option<Timestamp>,
}

impl Runner {
    pub(super) fn new(machine: &Machine) -> Self {
        Self {
            address: machine.address.clone(),
            listed_leaving: machine.leaving,
            unlisted_since: None,
            phase: Phase::Unknown,
            inventory: None,
            report: LoadReport::default(),
            last_use: Use::default(),
            in_transit: false,
            orders: BTreeMap::new(),
            dead_boots: BTreeSet::new(),
            read_sent: None,
            read: Timestamp::ZERO,
            observer: ObserverWord::None,
            failing_since: None,
        }
    }

    pub(super) fn sealed_boot(&self) -> Option<BootId> {
        match self.phase {
            Phase::Sealed { boot } => Some(boot),
            _ => None,
        }
    }

    /// Whether it says itself, or the machine list says, that it is leaving.
    pub(super) fn leaving(&self) -> bool {
        let listed = !self.listed_leaving && self.unlisted_since.is_none();
        !listed || self.inventory.as_ref().is_some_and(|held| held.leaving)
    }

    /// For how long it has neither answered nor been listed; `None` if it is listed.
    pub(super) fn silent_since_unlisted(&self, now: Timestamp) -> Option<Duration> {
        let since = self.unlisted_since?.max(self.read);
        Some(now.since(since))
    }

    /// Whether callers' requests may go to it, as far as it and the machine list say.
    pub(super) fn serves(&self, now: Timestamp) -> bool {
        !self.leaving() && !self.unreachable(now)
    }

    /// Whether it has not answered for a while.
    pub(super) fn unreachable(&self, now: Timestamp) -> bool {
        self.failing_since
            .is_some_and(|since| now.since(since) >= UNREACHABLE_AFTER)
    }

    pub(super) fn held(&self, artifact: &ArtifactId) -> Option<&Held> {
        self.inventory.as_ref()?.held(artifact)
    }

    /// Artifacts that are loaded, loading or unloading.
    pub(super) fn holdings(&self) -> impl Iterator<Item = &Held> {
        let held = self.inventory.iter().flat_map(|held| &held.artifacts);
        held.filter(|held| held.state != HeldState::Failed)
    }

    /// Whether an order about the artifact has no answer yet.
    pub(super) fn awaits(&self, artifact: &ArtifactId) -> bool {
        self.orders
            .values()
            .any(|pending| artifact_of(&pending.order.action) == Some(artifact))
    }

    /// Whether it certainly does not hold the artifact, and no order in flight can change that.
    pub(super) fn confirmed_without(&self, artifact: &ArtifactId) -> bool {
        let held = self.holdings().any(|held| held.artifact == *artifact);
        self.sealed_boot().is_some() && !held && !self.awaits(artifact)
    }

    /// Takes in an inventory.
    pub(super) fn observe(
        &mut self,
        inventory: Inventory,
        term: Term,
        now: Timestamp,
        next_operation: impl FnOnce() -> u64,
    ) -> Observation {
        if self.dead_boots.contains(&inventory.boot) {
            return Observation::Stale;
        }
        if inventory.term > term {
            return Observation::Overtaken(inventory.term);
        }
        self.answered_at(now);
        let boot = inventory.boot;
        let known = match self.phase {
            Phase::Unknown => None,
            Phase::Verifying { boot, .. } | Phase::Sealing { boot } | Phase::Sealed { boot } => {
                Some(boot)
            }
        };
        if known != Some(boot) {
            let operation = next_operation();
            self.phase = Phase::Verifying { boot, operation };
            self.take_in(inventory);
            return Observation::Applied;
        }
        let older = self.inventory.as_ref().is_some_and(|current| {
            (inventory.term, inventory.sequence) < (current.term, current.sequence)
        });
        if older {
            return Observation::Stale;
        }
        self.take_in(inventory);
        Observation::Applied
    }

    /// Whether something on it is loading or unloading.
    pub(super) fn is_in_transit(&self) -> bool {
        self.in_transit
    }

    fn take_in(&mut self, inventory: Inventory) {
        let mut states = inventory.artifacts.iter().map(|held| held.state);
        self.in_transit =
            states.any(|state| matches!(state, HeldState::Loading | HeldState::Unloading));
        self.inventory = Some(inventory);
    }

    fn answered_at(&mut self, now: Timestamp) {
        self.read = now;
        if self.observer == ObserverWord::Doubt {
            self.observer = ObserverWord::Known;
        }
        self.failing_since = None;
    }

    /// Takes in that the observer found the inventory as it was. Only the very state that is known
    /// here counts: any other is read by the coordinator itself, and none settles an order.
    pub(super) fn observed(&mut self, version: InventoryVersion, now: Timestamp) {
        let known = self.inventory.as_ref().map(Inventory::version);
        if known == Some(version) {
            self.observer = ObserverWord::Known;
            self.answered_at(now);
        } else {
            self.doubt();
        }
    }

    /// Notes that the observer's word is to be looked into.
    pub(super) fn doubt(&mut self) {
        self.observer = ObserverWord::Doubt;
    }

    /// Notes that a read of the inventory failed.
    pub(super) fn read_failed(&mut self, now: Timestamp) {
        self.failing_since.get_or_insert(now);
    }

    /// The engine has accepted the term: what older boots were sent is void.
    pub(super) fn seal(&mut self, boot: BootId) {
        self.phase = Phase::Sealed { boot };
        let old = self.orders.values().map(|pending| pending.order.boot);
        self.dead_boots.extend(old.filter(|other| *other != boot));
        self.orders.retain(|_, pending| pending.order.boot == boot);
    }

    /// The engine says that it has another boot than the one an order was meant for.
    pub(super) fn other_boot(&mut self, dead: BootId) {
        self.dead_boots.insert(dead);
        self.orders.retain(|_, pending| pending.order.boot != dead);
        self.phase = Phase::Unknown;
        self.read_sent = None;
    }

    /// Adds an order; it goes out with the next [`due_orders`](Self::due_orders).
    pub(super) fn add_order(&mut self, order: Order) {
        let pending = PendingOrder {
            order,
            sent: Timestamp::ZERO,
            sends: 0,
            missed: 0,
        };
        self.orders.insert(pending.order.id, pending);
    }

    /// Orders to send now, for the first time or again.
    pub(super) fn due_orders(&mut self, now: Timestamp, retry: Duration) -> Vec<Order> {
        let mut due = Vec::new();
        for pending in self.orders.values_mut() {
            if pending.sends == 0 || now.since(pending.sent) >= retry {
                pending.sends += 1;
                pending.sent = now;
                due.push(pending.order.clone());
            }
        }
        due
    }

    /// Takes out the order that an answer settles.
    pub(super) fn answered(&mut self, order: OrderId) -> Option<Order> {
        let pending = self.orders.remove(&order)?;
        Some(pending.order)
    }

    /// Notes that an order got no answer. Returns it if it certainly never arrived.
    pub(super) fn unanswered(
        &mut self,
        order: OrderId,
        fault: EngineFault,
        now: Timestamp,
    ) -> Option<Order> {
        self.failing_since.get_or_insert(now);
        let pending = self.orders.get_mut(&order)?;
        if fault == EngineFault::Unreachable {
            pending.missed += 1;
        }
        if pending.missed < pending.sends || pending.order.action == OrderAction::Seal {
            return None;
        }
        self.answered(order)
    }

    /// Forgets every order about an artifact. Only [a weakness](super::Weakness) does so.
    pub(super) fn forget_orders(&mut self, artifact: &ArtifactId) {
        self.orders
            .retain(|_, pending| artifact_of(&pending.order.action) != Some(artifact));
    }

    /// Whether the inventory should be read now.
    pub(super) fn read_due(&mut self, now: Timestamp, settings: &CoordinatorSettings) -> bool {
        if let Some(sent) = self.read_sent
            && now.since(sent) < settings.order_retry
        {
            return false;
        }
        let busy = !self.orders.is_empty() || self.in_transit;
        let interval = match self.phase {
            Phase::Unknown => Duration::ZERO,
            Phase::Sealed { .. } if !busy && self.unlisted_since.is_none() => {
                self.idle_interval(settings)
            }
            _ => settings.inventory_poll,
        };
        if now.since(self.read) < interval {
            return false;
        }
        self.read_sent = Some(now);
        true
    }

    /// Time between own reads of an idle runner.
    fn idle_interval(&self, settings: &CoordinatorSettings) -> Duration {
        if self.observer == ObserverWord::Doubt || self.failing_since.is_some() {
            Duration::ZERO
        } else if self.observer == ObserverWord::Known {
            settings.inventory_refresh * OBSERVER_PATIENCE
        } else {
            settings.inventory_refresh
        }
    }

    /// Notes that a read of the inventory was answered, well or not.
    pub(super) fn read_answered(&mut self, answered: bool, now: Timestamp) {
        if answered {
            self.read_sent = None;
        } else {
            self.read_failed(now);
        }
    }
}

/// The artifact that an order is about.
pub(super) fn artifact_of(action: &OrderAction) -> Option<&ArtifactId> {
    match action {
        OrderAction::Seal => None,
        OrderAction::Load { artifact, .. } | OrderAction::Unload { artifact } => Some(artifact),
    }
}

/// The inventory that came with an answer.
pub(super) fn inventory_of(answer: &OrderAnswer) -> Option<&Inventory> {
    match answer {
        OrderAnswer::Accepted(inventory) => Some(inventory),
        _ => None,
    }
}
