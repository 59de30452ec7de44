//! Estimates of when units will be ready, computed from all runners once per round of messages.

use std::collections::HashMap;
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};

use crate::homes::{Homes, Requirement};
use crate::messages::UnitOutlook;
use crate::names::{ServiceName, Unit, Zone};

use super::runner_record::RunnerRecord;
use super::{ADAPTER_TIME, Operation, Placement, UNLOAD_TIME};

/// Shortest time until something is ready, by zone. There are few zones, so that a list is faster
/// than a map.
type Waits<'a> = Vec<(&'a Zone, Duration)>;

/// Loads in progress and availability of all runners.
#[derive(Debug)]
pub struct ReadinessEstimates<'a> {
    placement: &'a Placement,
    now: Timestamp,
    /// Time until a unit is ready that is being loaded or has a deferred load.
    pending: HashMap<&'a Unit, Waits<'a>>,
    /// Time until the first runner of a service can take an order.
    free: HashMap<&'a ServiceName, Waits<'a>>,
}

impl Placement {
    /// Estimates of when units will be ready.
    pub fn readiness_estimates(&self, now: Timestamp) -> ReadinessEstimates<'_> {
        let mut readiness_estimates = ReadinessEstimates {
            placement: self,
            now,
            pending: HashMap::new(),
            free: HashMap::new(),
        };
        for record in self.records.values() {
            readiness_estimates.add_runner(record);
        }
        readiness_estimates
    }
}

/// Records a time if it is the shortest of its zone.
fn record_shortest<'a>(waits: &mut Waits<'a>, zone: &'a Zone, wait: Duration) {
    match waits.iter_mut().find(|(known, _)| *known == zone) {
        Some((_, shortest)) => *shortest = wait.min(*shortest),
        None => waits.push((zone, wait)),
    }
}

impl<'a> ReadinessEstimates<'a> {
    fn add_runner(&mut self, record: &'a RunnerRecord) {
        let now = self.now;
        let zone = &record.runner.zone;
        if let Some(state) = record.order_state()
            && state.order.operation == Operation::Load
        {
            let pending = self.pending.entry(&state.order.unit).or_default();
            record_shortest(pending, zone, state.ready_at.since(now));
        }
        if let Some(deferred_load) = &record.deferred_load
            && let unit = &deferred_load.requirement.unit
            && let Some(load) = self.placement.expected_load_time(record, unit)
        {
            record_shortest(
                self.pending.entry(unit).or_default(),
                zone,
                load + UNLOAD_TIME,
            );
        }
        if record.takes_orders(now) {
            let free = self.free.entry(&record.runner.service).or_default();
            record_shortest(free, zone, record.free_at(now).since(now));
        }
    }

    /// The shortest time within some homes.
    fn shortest(&self, waits: Option<&Waits<'_>>, homes: &Homes) -> Option<Duration> {
        let regions = &self.placement.regions;
        let within_homes = waits?.iter().filter(|(zone, _)| regions.allow(homes, zone));
        within_homes.map(|(_, wait)| *wait).min()
    }

    /// When a unit is ready within some homes, if it is being loaded or a runner for it can be
    /// found.
    pub fn estimate(&self, requirement: &Requirement) -> Option<UnitOutlook> {
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
        let pending = self.pending.get(&requirement.unit);
        let pending = self.shortest(pending, &requirement.homes);
        pending.or_else(|| self.queue_estimate(requirement))
    }

    /// Time until a unit could be ready that has no runner assigned yet.
    fn queue_estimate(&self, requirement: &Requirement) -> Option<Duration> {
        let (placement, now) = (self.placement, self.now);
        let Requirement { unit, homes, .. } = requirement;
        let engine = placement.engines.get(&unit.service)?;
        engine.models.get(&unit.model)?;
        let first_free = self.shortest(self.free.get(&unit.service), homes)?;
        let load = if unit.adapter.is_some() {
            ADAPTER_TIME
        } else {
            placement.store_load_time(unit)?
        };
        let cached = placement.copies.cached_at(unit);
        let cached = cached.filter_map(|id| placement.records.get(id));
        let from_copy = cached
            .filter(|record| placement.is_within_homes(record, homes))
            .filter(|record| record.takes_orders(now))
            .filter_map(|record| {
                let load = placement.expected_load_time(record, unit)?;
                Some(record.free_at(now).since(now) + load)
            });
        let soonest = from_copy.chain([first_free + load]).min()?;
        let lease_wait = placement.orders_from.since(now);
        let store_load_wait = placement.store_load_wait(&unit.service, now);
        Some(soonest + UNLOAD_TIME + lease_wait + store_load_wait)
    }
}
