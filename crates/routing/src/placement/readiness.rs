//! Estimates of when units will be ready, computed from all runners once per round of messages.

use std::collections::HashMap;
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};

use crate::homes::Requirement;
use crate::messages::UnitOutlook;
use crate::names::{ServiceName, SoftwareVersion, Unit, Zone};

use super::runner_record::RunnerRecord;
use super::{ADAPTER_TIME, Operation, Placement, UNLOAD_TIME};

/// Where something will be ready: what requirements restrict of a runner, beside its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Place<'a> {
    zone: &'a Zone,
    software_version: Option<&'a SoftwareVersion>,
}

/// Shortest time until something is ready, by place. There are few places, so that a list is faster
/// than a map.
type Waits<'a> = Vec<(Place<'a>, Duration)>;

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

/// Records a time if it is the shortest of its place.
fn record_shortest<'a>(waits: &mut Waits<'a>, place: Place<'a>, wait: Duration) {
    match waits.iter_mut().find(|(known, _)| *known == place) {
        Some((_, shortest)) => *shortest = wait.min(*shortest),
        None => waits.push((place, wait)),
    }
}

impl<'a> ReadinessEstimates<'a> {
    fn add_runner(&mut self, record: &'a RunnerRecord) {
        let now = self.now;
        let place = Place {
            zone: &record.runner.zone,
            software_version: record.runner.software_version.as_ref(),
        };
        if let Some(state) = record.order_state()
            && state.order.operation == Operation::Load
        {
            let pending = self.pending.entry(&state.order.unit).or_default();
            record_shortest(pending, place, state.ready_at.since(now));
        }
        if let Some(deferred_load) = &record.deferred_load
            && let unit = &deferred_load.requirement.unit
            && let Some(load) = self.placement.expected_load_time(record, unit)
        {
            record_shortest(
                self.pending.entry(unit).or_default(),
                place,
                load + UNLOAD_TIME,
            );
        }
        if record.takes_orders(now) {
            let free = self.free.entry(&record.runner.service).or_default();
            record_shortest(free, place, record.free_at(now).since(now));
        }
    }

    /// The shortest time at a place that a requirement allows.
    fn shortest(&self, waits: Option<&Waits<'_>>, requirement: &Requirement) -> Option<Duration> {
        let regions = &self.placement.regions;
        let required = requirement.software_version.as_ref();
        let allowed = waits?.iter().filter(|(place, _)| {
            let allows_version = required.is_none() || place.software_version == required;
            allows_version && regions.allow(&requirement.homes, place.zone)
        });
        allowed.map(|(_, wait)| *wait).min()
    }

    /// When a unit is ready at a runner that the requirement allows, if it is being loaded or a runner for it can be
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
        let pending = self.shortest(pending, requirement);
        pending.or_else(|| self.queue_estimate(requirement))
    }

    /// Time until a unit could be ready that has no runner assigned yet.
    fn queue_estimate(&self, requirement: &Requirement) -> Option<Duration> {
        let (placement, now) = (self.placement, self.now);
        let unit = &requirement.unit;
        let engine = placement.engines.get(&unit.service)?;
        engine.models.get(&unit.model)?;
        let first_free = self.shortest(self.free.get(&unit.service), requirement)?;
        let load = if unit.adapter.is_some() {
            ADAPTER_TIME
        } else {
            placement.store_load_time(unit)?
        };
        let cached = placement.copies.cached_at(unit);
        let cached = cached.filter_map(|id| placement.records.get(id));
        let from_copy = cached
            .filter(|record| placement.is_allowed(record, requirement))
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
