//! When units will be ready, worked out from all runners once for a round of messages.

use std::collections::HashMap;
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};

use crate::messages::UnitOutlook;
use crate::names::{ServiceName, Unit};

use super::ledger::Ledger;
use super::{ADAPTER_TIME, Operation, Placement, UNLOAD_TIME};

/// What is under way at all runners.
#[derive(Debug)]
pub struct Outlooks<'a> {
    placement: &'a Placement,
    now: Timestamp,
    /// Time until a unit is ready that is being loaded or has its place.
    coming: HashMap<&'a Unit, Duration>,
    /// Time until the first runner of a service can take an order.
    free: HashMap<&'a ServiceName, Duration>,
}

impl Placement {
    /// When units will be ready.
    pub fn outlooks(&self, now: Timestamp) -> Outlooks<'_> {
        let mut outlooks = Outlooks {
            placement: self,
            now,
            coming: HashMap::new(),
            free: HashMap::new(),
        };
        for ledger in self.ledgers.values() {
            outlooks.take_in(ledger);
        }
        outlooks
    }
}

impl<'a> Outlooks<'a> {
    fn take_in(&mut self, ledger: &'a Ledger) {
        let now = self.now;
        if let Some(state) = ledger.order_state()
            && state.order.operation == Operation::Load
        {
            self.note_coming(&state.order.unit, state.ready_at.since(now));
        }
        if let Some(intent) = &ledger.intent
            && let Some(load) = self.placement.expected_load_time(ledger, &intent.unit)
        {
            self.note_coming(&intent.unit, load + UNLOAD_TIME);
        }
        if ledger.takes_orders(now) {
            let wait = ledger.free_at(now).since(now);
            let free = self.free.entry(&ledger.runner.service).or_insert(wait);
            *free = wait.min(*free);
        }
    }

    fn note_coming(&mut self, unit: &'a Unit, wait: Duration) {
        let coming = self.coming.entry(unit).or_insert(wait);
        *coming = wait.min(*coming);
    }

    /// When a unit is ready, if it is on its way or a place for it can be named.
    pub fn of(&self, unit: &Unit) -> Option<UnitOutlook> {
        let wait = self.wait_for(unit)?;
        Some(UnitOutlook {
            unit: unit.clone(),
            ready_in_ms: u32::try_from(millis(wait)).unwrap_or(u32::MAX),
        })
    }

    fn wait_for(&self, unit: &Unit) -> Option<Duration> {
        let base = unit.base();
        if unit.adapter.is_some() && !self.placement.copies.is_offered(&base) {
            return Some(self.wait_for(&base)? + ADAPTER_TIME);
        }
        let coming = self.coming.get(unit).copied();
        coming.or_else(|| self.queue_estimate(unit))
    }

    /// Time until a unit could be ready that has no place yet.
    fn queue_estimate(&self, unit: &Unit) -> Option<Duration> {
        let (placement, now) = (self.placement, self.now);
        let engine = placement.engines.get(&unit.service)?;
        engine.models.get(&unit.model)?;
        let anywhere = *self.free.get(&unit.service)?;
        let load = if unit.adapter.is_some() {
            ADAPTER_TIME
        } else {
            placement.store_load_time(unit)?
        };
        let stored = placement.copies.stored_at(unit);
        let stored = stored.filter_map(|id| placement.ledgers.get(id));
        let from_copy = stored
            .filter(|ledger| ledger.takes_orders(now))
            .filter_map(|ledger| {
                let load = placement.expected_load_time(ledger, unit)?;
                Some(ledger.free_at(now).since(now) + load)
            });
        let soonest = from_copy.chain([anywhere + load]).min()?;
        let lease_wait = placement.orders_from.since(now);
        let ceiling_wait = placement.ceiling_wait(&unit.service, now);
        Some(soonest + UNLOAD_TIME + lease_wait + ceiling_wait)
    }
}
