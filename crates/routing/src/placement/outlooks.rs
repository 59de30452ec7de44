//! When units will be ready, worked out from all runners once for a round of messages.

use std::collections::HashMap;
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};

use crate::homes::{Homes, Requirement};
use crate::messages::UnitOutlook;
use crate::names::{ServiceName, Unit, Zone};

use super::ledger::Ledger;
use super::{ADAPTER_TIME, Operation, Placement, UNLOAD_TIME};

/// Times until something is ready, by zone: the least of each. Zones are few, so that a list is quicker than a map.
type Waits<'a> = Vec<(&'a Zone, Duration)>;

/// What is under way at all runners.
#[derive(Debug)]
pub struct Outlooks<'a> {
    placement: &'a Placement,
    now: Timestamp,
    /// Time until a unit is ready that is being loaded or has its place.
    coming: HashMap<&'a Unit, Waits<'a>>,
    /// Time until the first runner of a service can take an order.
    free: HashMap<&'a ServiceName, Waits<'a>>,
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

/// Notes a time, if it is the least of its zone.
fn note<'a>(waits: &mut Waits<'a>, zone: &'a Zone, wait: Duration) {
    match waits.iter_mut().find(|(known, _)| *known == zone) {
        Some((_, least)) => *least = wait.min(*least),
        None => waits.push((zone, wait)),
    }
}

impl<'a> Outlooks<'a> {
    fn take_in(&mut self, ledger: &'a Ledger) {
        let now = self.now;
        let zone = &ledger.runner.zone;
        if let Some(state) = ledger.order_state()
            && state.order.operation == Operation::Load
        {
            let coming = self.coming.entry(&state.order.unit).or_default();
            note(coming, zone, state.ready_at.since(now));
        }
        if let Some(intent) = &ledger.intent
            && let unit = &intent.requirement.unit
            && let Some(load) = self.placement.expected_load_time(ledger, unit)
        {
            note(
                self.coming.entry(unit).or_default(),
                zone,
                load + UNLOAD_TIME,
            );
        }
        if ledger.takes_orders(now) {
            let free = self.free.entry(&ledger.runner.service).or_default();
            note(free, zone, ledger.free_at(now).since(now));
        }
    }

    /// The least of some times within some homes.
    fn least(&self, waits: Option<&Waits<'_>>, homes: &Homes) -> Option<Duration> {
        let regions = &self.placement.regions;
        let at_home = waits?.iter().filter(|(zone, _)| regions.allow(homes, zone));
        at_home.map(|(_, wait)| *wait).min()
    }

    /// When a unit is ready within some homes, if it is on its way or a place for it can be named.
    pub fn of(&self, requirement: &Requirement) -> Option<UnitOutlook> {
        let wait = self.wait_for(requirement)?;
        Some(UnitOutlook {
            requirement: requirement.clone(),
            ready_in_ms: u32::try_from(millis(wait)).unwrap_or(u32::MAX),
        })
    }

    fn wait_for(&self, requirement: &Requirement) -> Option<Duration> {
        if requirement.unit.adapter.is_some() {
            let base = requirement.base();
            if !self.placement.copies.is_offered(&base) {
                return Some(self.wait_for(&base)? + ADAPTER_TIME);
            }
        }
        let coming = self.coming.get(&requirement.unit);
        let coming = self.least(coming, &requirement.homes);
        coming.or_else(|| self.queue_estimate(requirement))
    }

    /// Time until a unit could be ready that has no place yet.
    fn queue_estimate(&self, requirement: &Requirement) -> Option<Duration> {
        let (placement, now) = (self.placement, self.now);
        let Requirement { unit, homes } = requirement;
        let engine = placement.engines.get(&unit.service)?;
        engine.models.get(&unit.model)?;
        let anywhere = self.least(self.free.get(&unit.service), homes)?;
        let load = if unit.adapter.is_some() {
            ADAPTER_TIME
        } else {
            placement.store_load_time(unit)?
        };
        let stored = placement.copies.stored_at(unit);
        let stored = stored.filter_map(|id| placement.ledgers.get(id));
        let from_copy = stored
            .filter(|ledger| placement.is_at_home(ledger, homes))
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
