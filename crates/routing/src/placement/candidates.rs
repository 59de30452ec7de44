//! Runners that could take a model, and what that costs at each of them.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::configuration::Engine;
use crate::homes::{Homes, Requirement};
use crate::names::{Region, RunnerId, ServiceName, Unit};

use super::ledger::{Ledger, WeightSource};
use super::victims::{Room, Victims};
use super::{Placement, UNLOAD_TIME, engine_load_time};

/// Price of a copy in a zone that has one, in ms.
const ZONE_PRICE_MS: f64 = 500.0;
/// Price of a load in another region than all requests for the model come from, in ms. Played with 0, 200 and 1,000 on a
/// deployment of three regions, of which this was the best by a little: see `docs/design/regions.md`.
const ABROAD_PRICE_MS: f64 = 1_000.0;
/// Price of a load at a runner that is about to leave: any other one comes first.
const LEAVE_PRICE_MS: f64 = 1e9;

fn as_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// A runner that could take a model.
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

    /// The cost without the load: what another place must undercut that takes the same time.
    fn undercut_ms(&self) -> f64 {
        self.cost_ms - as_ms(self.load)
    }

    /// Time until the model is ready there.
    pub fn ready_in(&self) -> Duration {
        if self.victims.models.is_empty() {
            self.load
        } else {
            UNLOAD_TIME + self.load
        }
    }
}

/// A size of models of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Size {
    service: ServiceName,
    /// Size of the weights, as the bits of a number of MB.
    weights_bits: u64,
}

impl Size {
    fn new(service: &ServiceName, weights_mb: f64) -> Self {
        Self {
            service: service.clone(),
            weights_bits: weights_mb.to_bits(),
        }
    }
}

/// A runner with room for a model of a size, and what making the room costs there.
pub(super) struct Place {
    runner: RunnerId,
    price_ms: f64,
}

fn leave_price_ms(ledger: &Ledger) -> f64 {
    let leaves = ledger.runner.leaves_in.is_some();
    if leaves { LEAVE_PRICE_MS } else { 0.0 }
}

/// Price of a load at a runner that still bears little when it ends, in ms: what requests wait there until it bears all.
fn scarce_price_ms(ledger: &Ledger, load: Duration, now: Timestamp) -> f64 {
    let left = ledger.bears_little_for(now).saturating_sub(load);
    as_ms(left)
}

/// What one plan may still use.
pub(super) struct Openings {
    /// The rooms of the runners that can be given an order, once they were asked for: at thousands of runners they are
    /// most of a plan's work, and a plan that only places adapters needs none. Other orders of the same plan may change a
    /// price; what is to be dropped is therefore decided again when the order is given.
    rooms: Option<BTreeMap<RunnerId, Room>>,
    /// Models whose adapters were waited for when the plan began.
    awaited: HashSet<Requirement>,
    /// Loads from the weight store that may still be begun, by service.
    pub store_loads: BTreeMap<ServiceName, usize>,
    /// The rooms in which models of a size fit, the cheapest first, as they were when this was first asked.
    pub places: HashMap<Size, Vec<Place>>,
}

impl Openings {
    /// What a plan may use that begins with adapters of some models waited for.
    pub fn new(awaited: HashSet<Requirement>, store_loads: BTreeMap<ServiceName, usize>) -> Self {
        Self {
            rooms: None,
            awaited,
            store_loads,
            places: HashMap::new(),
        }
    }

    /// A runner is given an order.
    pub fn close(&mut self, runner: &RunnerId) {
        if let Some(rooms) = &mut self.rooms {
            rooms.remove(runner);
        }
    }

    /// A model is loaded at a runner.
    pub fn take(&mut self, candidate: &Candidate, service: &ServiceName) {
        self.close(&candidate.runner);
        if candidate.source == WeightSource::Store
            && let Some(loads) = self.store_loads.get_mut(service)
        {
            *loads = loads.saturating_sub(1);
        }
    }
}

impl Placement {
    /// The runner at which a model is best loaded for requests, if one within their homes has room and a source for it
    /// now.
    pub(super) fn best_candidate(
        &self,
        requirement: &Requirement,
        openings: &mut Openings,
        now: Timestamp,
    ) -> Option<Candidate> {
        let unit = &requirement.unit;
        let engine = self.engines.get(&unit.service)?;
        engine.models.get(&unit.model)?;
        if openings.rooms.is_none() {
            openings.rooms = Some(self.rooms(&openings.awaited, now));
        }
        let rooms = openings.rooms.as_ref()?;
        let store_loads = openings.store_loads.get(&unit.service).copied();
        let may_use_store = store_loads.unwrap_or(0) > 0
            && self.has_ceiling(&unit.service, 1.0, now)
            && !self.is_sooner_from_copy(requirement, now);
        let stored = self.copies.stored_at(unit);
        let stored = stored.filter_map(|id| rooms.get_key_value(id));
        let from_copy = stored
            .filter_map(|(id, room)| Some((self.ledgers.get(id)?, room)))
            .filter(|(ledger, _)| ledger.runner.service == unit.service && !ledger.has(unit))
            .filter(|(ledger, _)| self.is_at_home(ledger, &requirement.homes))
            .filter_map(|(ledger, room)| self.candidate(ledger, room, engine, unit, now))
            .min_by(Candidate::order);
        if !may_use_store {
            return from_copy;
        }
        let from_store = self.cheapest_place(requirement, engine, openings, now);
        from_copy
            .into_iter()
            .chain(from_store)
            .min_by(Candidate::order)
    }

    /// The runner at which a load from the weight store costs least.
    fn cheapest_place(
        &self,
        requirement: &Requirement,
        engine: &Engine,
        openings: &mut Openings,
        now: Timestamp,
    ) -> Option<Candidate> {
        let unit = &requirement.unit;
        let weights_mb = engine.models.get(&unit.model)?.weights_mb;
        let size = Size::new(&unit.service, weights_mb);
        if !openings.places.contains_key(&size) {
            let places = self.places(&size, weights_mb, openings);
            openings.places.insert(size.clone(), places);
        }
        let mut best: Option<Candidate> = None;
        for place in openings.places.get(&size)? {
            if best
                .as_ref()
                .is_some_and(|best| best.undercut_ms() <= place.price_ms)
            {
                break;
            }
            let room = openings.rooms.as_ref()?.get(&place.runner);
            let (Some(room), Some(ledger)) = (room, self.ledgers.get(&place.runner)) else {
                continue;
            };
            if !self.is_at_home(ledger, &requirement.homes) {
                continue;
            }
            if ledger.has(unit) || ledger.weight_source(&unit.model) != WeightSource::Store {
                continue;
            }
            let candidate = self.candidate(ledger, room, engine, unit, now);
            best = best.into_iter().chain(candidate).min_by(Candidate::order);
        }
        best
    }

    /// The rooms in which a model of a size fits, the cheapest first.
    fn places(&self, size: &Size, weights_mb: f64, openings: &Openings) -> Vec<Place> {
        let rooms = openings.rooms.iter().flatten();
        let rooms = rooms.filter_map(|(id, room)| Some((self.ledgers.get(id)?, room)));
        let mut places: Vec<Place> = rooms
            .filter(|(ledger, _)| ledger.runner.service == size.service)
            .filter_map(|(ledger, room)| {
                Some(Place {
                    runner: ledger.runner.id.clone(),
                    price_ms: room.price_of(weights_mb)? + leave_price_ms(ledger),
                })
            })
            .collect();
        places.sort_by(|left, right| left.price_ms.total_cmp(&right.price_ms));
        places
    }

    /// Price of a load at a runner that is far from requests for the model whose regions have no copy.
    fn distance_price_ms(&self, ledger: &Ledger, model: &Unit) -> f64 {
        let region = self.regions.of(&ledger.runner.zone);
        let has_copy = |region: &Region| self.copies.is_in_region(model, region);
        let origins = self.demands.origins();
        origins.share_abroad(model, region, has_copy) * ABROAD_PRICE_MS
    }

    /// Whether requests with some homes may be served at a runner.
    pub(super) fn is_at_home(&self, ledger: &Ledger, homes: &Homes) -> bool {
        self.regions.allow(homes, &ledger.runner.zone)
    }

    /// Whether a runner with a copy of the weights, busy now, would have the model ready before one that
    /// takes it from the weight store. A free one is a candidate itself, unless nothing there may be dropped.
    fn is_sooner_from_copy(&self, requirement: &Requirement, now: Timestamp) -> bool {
        let unit = &requirement.unit;
        let Some(from_store) = self.store_load_time(unit) else {
            return false;
        };
        let ledgers = self
            .copies
            .stored_at(unit)
            .filter_map(|id| self.ledgers.get(id));
        ledgers
            .filter(|ledger| self.is_at_home(ledger, &requirement.homes))
            .filter(|ledger| ledger.takes_orders(now) && ledger.is_at_work(now))
            .filter_map(|ledger| {
                let load = engine_load_time(&self.engines, ledger, unit)?;
                Some(ledger.free_at(now).since(now) + load)
            })
            .any(|from_copy| from_copy < from_store)
    }

    fn candidate(
        &self,
        ledger: &Ledger,
        room: &Room,
        engine: &Engine,
        unit: &Unit,
        now: Timestamp,
    ) -> Option<Candidate> {
        let weights_mb = engine.models.get(&unit.model)?.weights_mb;
        let victims = room.victims(&unit.model, weights_mb)?;
        let load = self.expected_load_time(ledger, unit)?;
        let zone_has_copy = self.copies.is_in_zone(unit, &ledger.runner.zone);
        let zone_price_ms = if zone_has_copy { ZONE_PRICE_MS } else { 0.0 };
        let base_price_ms = victims.price_ms + leave_price_ms(ledger);
        let cold_price_ms = scarce_price_ms(ledger, load, now);
        Some(Candidate {
            runner: ledger.runner.id.clone(),
            source: ledger.weight_source(&unit.model),
            cost_ms: as_ms(load)
                + base_price_ms
                + zone_price_ms
                + cold_price_ms
                + self.distance_price_ms(ledger, unit),
            load,
            victims,
        })
    }
}
