//! Candidate runners for loading a model, and the cost of loading it on each.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::configuration::Engine;
use crate::homes::{Homes, Requirement};
use crate::names::{Region, RunnerId, ServiceName, Unit};

use super::runner_record::{RunnerRecord, WeightSource};
use super::victims::{Room, Victims};
use super::{Placement, UNLOAD_TIME, engine_load_time};

/// Cost of a copy in a zone that already has one, in ms.
const SAME_ZONE_COST_MS: f64 = 500.0;
/// Cost of a load in a region other than the one that all requests for the model come from, in ms.
/// Of 0, 200 and 1,000 ms, this gave the best results for a deployment of three regions, by a small
/// margin; see `docs/design/regions.md`.
const CROSS_REGION_COST_MS: f64 = 1_000.0;
/// Cost of a load on a runner that is about to leave, in ms; high enough that any other runner is
/// preferred.
const LEAVING_COST_MS: f64 = 1e9;

fn as_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// A runner on which a model can be loaded.
pub(super) struct Candidate {
    pub runner: RunnerId,
    pub source: WeightSource,
    pub victims: Victims,
    load: Duration,
    cost_ms: f64,
}

impl Candidate {
    fn order(left: &Self, right: &Self) -> Ordering {
        let by_cost = left.cost_ms.total_cmp(&right.cost_ms);
        by_cost.then_with(|| left.runner.cmp(&right.runner))
    }

    /// The cost excluding the load time: a site with the same load time is cheaper if its other
    /// costs are below this.
    fn cost_without_load_ms(&self) -> f64 {
        self.cost_ms - as_ms(self.load)
    }

    /// Time until the model is ready on this runner.
    pub fn ready_in(&self) -> Duration {
        if self.victims.models.is_empty() {
            self.load
        } else {
            UNLOAD_TIME + self.load
        }
    }
}

/// The weight size of models of one service, as a map key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ModelSize {
    service: ServiceName,
    /// Size of the weights in MB, as the bit pattern of the `f64`.
    weights_bits: u64,
}

impl ModelSize {
    fn new(service: &ServiceName, weights_mb: f64) -> Self {
        Self {
            service: service.clone(),
            weights_bits: weights_mb.to_bits(),
        }
    }
}

/// A runner that can fit a model of a given size, and the cost of making room for it.
pub(super) struct LoadSite {
    runner: RunnerId,
    cost_ms: f64,
}

fn leaving_cost_ms(record: &RunnerRecord) -> f64 {
    let leaves = record.runner.leaves_in.is_some();
    if leaves { LEAVING_COST_MS } else { 0.0 }
}

/// Cost of a load on a runner that still has limited capacity when the load ends, in ms: the time
/// that requests wait there until the limit ends.
fn limited_capacity_cost_ms(record: &RunnerRecord, load: Duration, now: Timestamp) -> f64 {
    let left = record.limited_for(now).saturating_sub(load);
    as_ms(left)
}

/// What one plan may still use: runners, memory and loads from the weight store.
pub(super) struct PlanResources {
    /// Memory of the runners that can take an order, computed on first use: with thousands of
    /// runners this is most of the work of a plan, and a plan that only places adapters does not
    /// need it. Other orders of the same plan may change a cost, so the models to evict are chosen
    /// again when the order is issued.
    rooms: Option<BTreeMap<RunnerId, Room>>,
    /// Models whose adapters had waiting requests when the plan began.
    awaited: HashSet<Requirement>,
    /// Loads from the weight store that may still be started, by service.
    pub store_loads: BTreeMap<ServiceName, usize>,
    /// Runners that can fit a model of a given size, cheapest first, computed on the first query
    /// for that size.
    pub sites: HashMap<ModelSize, Vec<LoadSite>>,
}

impl PlanResources {
    /// The resources of a plan that begins with adapters of the given models awaited.
    pub fn new(awaited: HashSet<Requirement>, store_loads: BTreeMap<ServiceName, usize>) -> Self {
        Self {
            rooms: None,
            awaited,
            store_loads,
            sites: HashMap::new(),
        }
    }

    /// Removes a runner that is given an order.
    pub fn remove_runner(&mut self, runner: &RunnerId) {
        if let Some(rooms) = &mut self.rooms {
            rooms.remove(runner);
        }
    }

    /// Reserves a runner for the load of a model.
    pub fn reserve(&mut self, candidate: &Candidate, service: &ServiceName) {
        self.remove_runner(&candidate.runner);
        if candidate.source == WeightSource::Store
            && let Some(loads) = self.store_loads.get_mut(service)
        {
            *loads = loads.saturating_sub(1);
        }
    }
}

impl Placement {
    /// The best runner on which to load a model for requests, if one within their home regions has
    /// both room and a weight source available now.
    pub(super) fn best_candidate(
        &self,
        requirement: &Requirement,
        resources: &mut PlanResources,
        now: Timestamp,
    ) -> Option<Candidate> {
        let unit = &requirement.unit;
        let engine = self.engines.get(&unit.service)?;
        engine.models.get(&unit.model)?;
        if resources.rooms.is_none() {
            resources.rooms = Some(self.rooms(&resources.awaited, now));
        }
        let rooms = resources.rooms.as_ref()?;
        let store_loads = resources.store_loads.get(&unit.service).copied();
        let may_use_store = store_loads.unwrap_or(0) > 0
            && self.allows_store_load(&unit.service, 1.0, now)
            && !self.is_sooner_from_copy(requirement, now);
        let cached = self.copies.cached_at(unit);
        let cached = cached.filter_map(|id| rooms.get_key_value(id));
        let from_copy = cached
            .filter_map(|(id, room)| Some((self.records.get(id)?, room)))
            .filter(|(record, _)| record.runner.service == unit.service && !record.has(unit))
            .filter(|(record, _)| self.is_allowed(record, requirement))
            .filter_map(|(record, room)| self.candidate(record, room, engine, unit, now))
            .min_by(Candidate::order);
        if !may_use_store {
            return from_copy;
        }
        let from_store = self.cheapest_store_load(requirement, engine, resources, now);
        from_copy
            .into_iter()
            .chain(from_store)
            .min_by(Candidate::order)
    }

    /// The runner with the lowest cost for a load from the weight store.
    fn cheapest_store_load(
        &self,
        requirement: &Requirement,
        engine: &Engine,
        resources: &mut PlanResources,
        now: Timestamp,
    ) -> Option<Candidate> {
        let unit = &requirement.unit;
        let weights_mb = engine.models.get(&unit.model)?.weights_mb;
        let size = ModelSize::new(&unit.service, weights_mb);
        if !resources.sites.contains_key(&size) {
            let sites = self.sites(&size, weights_mb, resources);
            resources.sites.insert(size.clone(), sites);
        }
        let mut best: Option<Candidate> = None;
        for site in resources.sites.get(&size)? {
            if best
                .as_ref()
                .is_some_and(|best| best.cost_without_load_ms() <= site.cost_ms)
            {
                break;
            }
            let room = resources.rooms.as_ref()?.get(&site.runner);
            let (Some(room), Some(record)) = (room, self.records.get(&site.runner)) else {
                continue;
            };
            if !self.is_allowed(record, requirement) {
                continue;
            }
            if record.has(unit) || record.weight_source(&unit.model) != WeightSource::Store {
                continue;
            }
            let candidate = self.candidate(record, room, engine, unit, now);
            best = best.into_iter().chain(candidate).min_by(Candidate::order);
        }
        best
    }

    /// The runners that can fit a model of the given size, cheapest first.
    fn sites(&self, size: &ModelSize, weights_mb: f64, resources: &PlanResources) -> Vec<LoadSite> {
        let rooms = resources.rooms.iter().flatten();
        let rooms = rooms.filter_map(|(id, room)| Some((self.records.get(id)?, room)));
        let mut sites: Vec<LoadSite> = rooms
            .filter(|(record, _)| record.runner.service == size.service)
            .filter_map(|(record, room)| {
                Some(LoadSite {
                    runner: record.runner.id.clone(),
                    cost_ms: room.cost_of(weights_mb)? + leaving_cost_ms(record),
                })
            })
            .collect();
        sites.sort_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms));
        sites
    }

    /// Cost of a load on a runner in another region than requests for the model whose regions have
    /// no copy.
    fn distance_cost_ms(&self, record: &RunnerRecord, model: &Unit) -> f64 {
        let region = self.regions.of(&record.runner.zone);
        let has_copy = |region: &Region| self.copies.is_in_region(model, region);
        let origins = self.demands.origins();
        origins.share_from_other_regions(model, region, has_copy) * CROSS_REGION_COST_MS
    }

    /// Whether requests with the given home regions may be served by a runner.
    pub(super) fn is_within_homes(&self, record: &RunnerRecord, homes: &Homes) -> bool {
        self.regions.allow(homes, &record.runner.zone)
    }

    /// Whether a requirement allows a runner, by its region and its software version.
    pub(super) fn is_allowed(&self, record: &RunnerRecord, requirement: &Requirement) -> bool {
        self.is_within_homes(record, &requirement.homes)
            && requirement.allows_version_of(&record.runner)
    }

    /// Whether a busy runner that has a copy of the weights would have the model ready before a
    /// runner that loads it from the weight store. A free one is a candidate itself, unless nothing
    /// on it may be evicted.
    fn is_sooner_from_copy(&self, requirement: &Requirement, now: Timestamp) -> bool {
        let unit = &requirement.unit;
        let Some(from_store) = self.store_load_time(unit) else {
            return false;
        };
        let records = self
            .copies
            .cached_at(unit)
            .filter_map(|id| self.records.get(id));
        records
            .filter(|record| self.is_allowed(record, requirement))
            .filter(|record| record.takes_orders(now) && record.has_live_order(now))
            .filter_map(|record| {
                let load = engine_load_time(&self.engines, record, unit)?;
                Some(record.free_at(now).since(now) + load)
            })
            .any(|from_copy| from_copy < from_store)
    }

    fn candidate(
        &self,
        record: &RunnerRecord,
        room: &Room,
        engine: &Engine,
        unit: &Unit,
        now: Timestamp,
    ) -> Option<Candidate> {
        let weights_mb = engine.models.get(&unit.model)?.weights_mb;
        let victims = room.victims(&unit.model, weights_mb)?;
        let load = self.expected_load_time(record, unit)?;
        let zone_has_copy = self.copies.is_in_zone(unit, &record.runner.zone);
        let zone_cost_ms = if zone_has_copy {
            SAME_ZONE_COST_MS
        } else {
            0.0
        };
        let base_cost_ms = victims.cost_ms + leaving_cost_ms(record);
        let limited_cost_ms = limited_capacity_cost_ms(record, load, now);
        Some(Candidate {
            runner: record.runner.id.clone(),
            source: record.weight_source(&unit.model),
            cost_ms: as_ms(load)
                + base_cost_ms
                + zone_cost_ms
                + limited_cost_ms
                + self.distance_cost_ms(record, unit),
            load,
            victims,
        })
    }
}
