//! The known state of one runner: whether it is sealed, its inventory, and the orders in flight.
//!
//! Orders are sent to a runner only after its boot id was read, the placement record was then
//! confirmed to carry the own term, and the engine has accepted the term. A new boot restarts this
//! sequence.

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

/// Refresh intervals without a report from the observer after which the coordinator reads a runner
/// itself.
const MAX_MISSED_OBSERVER_READS: u32 = 3;

/// Progress of sealing a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Its boot id has not been read yet.
    Unknown,
    /// This operation is to confirm that the placement record carries the own term.
    Verifying { boot: BootId, operation: u64 },
    /// The term has been sent to it.
    Sealing { boot: BootId },
    /// It has accepted the term.
    Sealed { boot: BootId },
}

/// Result of applying an inventory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Observation {
    /// Older than the known inventory.
    Stale,
    /// Applied.
    Applied,
    /// A later coordinator has sealed the runner under this term.
    Overtaken(Term),
}

/// An order that has not been answered yet.
#[derive(Clone, Debug)]
pub(super) struct PendingOrder {
    pub(super) order: Order,
    sent: Timestamp,
    sends: u32,
    /// Sends that are known not to have arrived.
    undelivered: u32,
}

/// What a runner may be used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Availability {
    /// It may receive callers' requests.
    pub(super) serves: bool,
    /// Loads may be ordered on it.
    pub(super) takes_loads: bool,
}

/// State of the last report about a runner from its observer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ObserverReport {
    /// No report yet.
    None,
    /// The observer reads the inventory regularly and last found the known one.
    Confirmed,
    /// The observer got no answer or another inventory, so the coordinator must read it itself.
    Unconfirmed,
}

/// One runner.
#[derive(Clone, Debug)]
pub(super) struct Runner {
    pub(super) address: String,
    /// Whether the machine list marks it as leaving.
    pub(super) listed_leaving: bool,
    /// Since when it has been missing from the machine list.
    pub(super) unlisted_since: Option<Timestamp>,
    pub(super) phase: Phase,
    pub(super) inventory: Option<Inventory>,
    pub(super) report: LoadReport,
    /// Its availability at the last plan.
    pub(super) last_availability: Availability,
    /// Whether an artifact is loading or unloading on it.
    in_transit: bool,
    orders: BTreeMap<OrderId, PendingOrder>,
    ended_boots: BTreeSet<BootId>,
    read_sent: Option<Timestamp>,
    /// When it last answered this daemon or its observer.
    last_answer: Timestamp,
    observer: ObserverReport,
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
            last_availability: Availability::default(),
            in_transit: false,
            orders: BTreeMap::new(),
            ended_boots: BTreeSet::new(),
            read_sent: None,
            last_answer: Timestamp::ZERO,
            observer: ObserverReport::None,
            failing_since: None,
        }
    }

    pub(super) fn sealed_boot(&self) -> Option<BootId> {
        match self.phase {
            Phase::Sealed { boot } => Some(boot),
            _ => None,
        }
    }

    /// Whether its inventory or the machine list marks it as leaving.
    pub(super) fn leaving(&self) -> bool {
        let listed = !self.listed_leaving && self.unlisted_since.is_none();
        !listed
            || self
                .inventory
                .as_ref()
                .is_some_and(|inventory| inventory.leaving)
    }

    /// How long it has neither answered nor been listed; `None` if it is listed.
    pub(super) fn silent_since_unlisted(&self, now: Timestamp) -> Option<Duration> {
        let since = self.unlisted_since?.max(self.last_answer);
        Some(now.since(since))
    }

    /// Whether it may receive callers' requests according to its own state and the machine list.
    pub(super) fn serves(&self, now: Timestamp) -> bool {
        !self.leaving() && !self.unreachable(now)
    }

    /// Whether it has been failing to answer for too long.
    pub(super) fn unreachable(&self, now: Timestamp) -> bool {
        self.failing_since
            .is_some_and(|since| now.since(since) >= UNREACHABLE_AFTER)
    }

    pub(super) fn held(&self, artifact: &ArtifactId) -> Option<&Held> {
        self.inventory.as_ref()?.held(artifact)
    }

    /// Artifacts that are loaded, loading or unloading.
    pub(super) fn holdings(&self) -> impl Iterator<Item = &Held> {
        let entries = self
            .inventory
            .iter()
            .flat_map(|inventory| &inventory.artifacts);
        entries.filter(|entry| entry.state != HeldState::Failed)
    }

    /// Whether an order for the artifact has not been answered yet.
    pub(super) fn has_pending_order(&self, artifact: &ArtifactId) -> bool {
        self.orders
            .values()
            .any(|pending| artifact_of(&pending.order.action) == Some(artifact))
    }

    /// Whether it is confirmed not to have the artifact, and no order in flight can change that.
    pub(super) fn is_confirmed_absent(&self, artifact: &ArtifactId) -> bool {
        let is_present = self.holdings().any(|entry| entry.artifact == *artifact);
        self.sealed_boot().is_some() && !is_present && !self.has_pending_order(artifact)
    }

    /// Applies an inventory.
    pub(super) fn observe(
        &mut self,
        inventory: Inventory,
        term: Term,
        now: Timestamp,
        next_operation: impl FnOnce() -> u64,
    ) -> Observation {
        if self.ended_boots.contains(&inventory.boot) {
            return Observation::Stale;
        }
        if inventory.term > term {
            return Observation::Overtaken(inventory.term);
        }
        self.record_answer(now);
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
            self.set_inventory(inventory);
            return Observation::Applied;
        }
        let older = self.inventory.as_ref().is_some_and(|current| {
            (inventory.term, inventory.sequence) < (current.term, current.sequence)
        });
        if older {
            return Observation::Stale;
        }
        self.set_inventory(inventory);
        Observation::Applied
    }

    /// Whether an artifact is loading or unloading on it.
    pub(super) fn is_in_transit(&self) -> bool {
        self.in_transit
    }

    fn set_inventory(&mut self, inventory: Inventory) {
        let mut states = inventory.artifacts.iter().map(|entry| entry.state);
        self.in_transit =
            states.any(|state| matches!(state, HeldState::Loading | HeldState::Unloading));
        self.inventory = Some(inventory);
    }

    fn record_answer(&mut self, now: Timestamp) {
        self.last_answer = now;
        if self.observer == ObserverReport::Unconfirmed {
            self.observer = ObserverReport::Confirmed;
        }
        self.failing_since = None;
    }

    /// Applies an observer's report that the inventory is unchanged. Only the version known here
    /// counts as confirmation: any other is read by the coordinator itself. No report settles an
    /// order.
    pub(super) fn confirm_inventory(&mut self, version: InventoryVersion, now: Timestamp) {
        let known = self.inventory.as_ref().map(Inventory::version);
        if known == Some(version) {
            self.observer = ObserverReport::Confirmed;
            self.record_answer(now);
        } else {
            self.mark_unconfirmed();
        }
    }

    /// Marks the observer's report as one that the coordinator must check by a read of its own.
    pub(super) fn mark_unconfirmed(&mut self) {
        self.observer = ObserverReport::Unconfirmed;
    }

    /// Records that a read of the inventory failed.
    pub(super) fn record_read_failure(&mut self, now: Timestamp) {
        self.failing_since.get_or_insert(now);
    }

    /// Records that the engine has accepted the term. Orders to older boots are void.
    pub(super) fn seal(&mut self, boot: BootId) {
        self.phase = Phase::Sealed { boot };
        let old = self.orders.values().map(|pending| pending.order.boot);
        self.ended_boots.extend(old.filter(|other| *other != boot));
        self.orders.retain(|_, pending| pending.order.boot == boot);
    }

    /// Handles the engine's answer that its boot is not the one that an order was meant for.
    pub(super) fn on_boot_mismatch(&mut self, ended: BootId) {
        self.ended_boots.insert(ended);
        self.orders.retain(|_, pending| pending.order.boot != ended);
        self.phase = Phase::Unknown;
        self.read_sent = None;
    }

    /// Adds an order, which is sent by the next [`due_orders`](Self::due_orders).
    pub(super) fn add_order(&mut self, order: Order) {
        let pending = PendingOrder {
            order,
            sent: Timestamp::ZERO,
            sends: 0,
            undelivered: 0,
        };
        self.orders.insert(pending.order.id, pending);
    }

    /// Orders to send now, either for the first time or as a retry.
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

    /// Removes and returns the order that an answer settles.
    pub(super) fn settle_order(&mut self, order: OrderId) -> Option<Order> {
        let pending = self.orders.remove(&order)?;
        Some(pending.order)
    }

    /// Records that an order got no answer. Returns it if none of its sends arrived.
    pub(super) fn record_no_answer(
        &mut self,
        order: OrderId,
        fault: EngineFault,
        now: Timestamp,
    ) -> Option<Order> {
        self.failing_since.get_or_insert(now);
        let pending = self.orders.get_mut(&order)?;
        if fault == EngineFault::Unreachable {
            pending.undelivered += 1;
        }
        if pending.undelivered < pending.sends || pending.order.action == OrderAction::Seal {
            return None;
        }
        self.settle_order(order)
    }

    /// Removes every order for an artifact. Used only with [a weakness](super::Weakness).
    pub(super) fn remove_orders(&mut self, artifact: &ArtifactId) {
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
        if now.since(self.last_answer) < interval {
            return false;
        }
        self.read_sent = Some(now);
        true
    }

    /// Interval between the coordinator's own reads of an idle runner.
    fn idle_interval(&self, settings: &CoordinatorSettings) -> Duration {
        if self.observer == ObserverReport::Unconfirmed || self.failing_since.is_some() {
            Duration::ZERO
        } else if self.observer == ObserverReport::Confirmed {
            settings.inventory_refresh * MAX_MISSED_OBSERVER_READS
        } else {
            settings.inventory_refresh
        }
    }

    /// Records the outcome of a read of the inventory.
    pub(super) fn record_read(&mut self, answered: bool, now: Timestamp) {
        if answered {
            self.read_sent = None;
        } else {
            self.record_read_failure(now);
        }
    }
}

/// The artifact that an order concerns.
pub(super) fn artifact_of(action: &OrderAction) -> Option<&ArtifactId> {
    match action {
        OrderAction::Seal => None,
        OrderAction::Load { artifact, .. } | OrderAction::Unload { artifact } => Some(artifact),
    }
}

/// The inventory contained in an answer.
pub(super) fn inventory_of(answer: &OrderAnswer) -> Option<&Inventory> {
    match answer {
        OrderAnswer::Accepted(inventory) => Some(inventory),
        _ => None,
    }
}
