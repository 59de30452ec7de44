//! What may be dropped from a runner to make room, and what that costs.

use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::configuration::Engine;
use crate::homes::Requirement;
use crate::names::{AdapterName, ModelName, Unit};

use super::Placement;
use super::ledger::Ledger;
use super::planner::BUSY_RATE;

/// Time over which the use of a dropped copy is expected to go on, for its price.
pub(super) const HORIZON_SECONDS: f64 = 10.0;
/// Price of waiting for requests in progress to end before a model is dropped, in ms.
const RUNNING_PRICE_MS: f64 = 4_000.0;
/// Price of dropping anything, in ms.
const DROP_PRICE_MS: f64 = 300.0;
/// Time without use after which the last copy of a model costs little.
const IDLE: Duration = Duration::from_secs(12);
/// Price of the last copy of a model that was used lately, in ms.
const LAST_COPY_PRICE_MS: f64 = 1_500.0;

/// A model that may be dropped from a runner.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Droppable {
    model: ModelName,
    weights_mb: f64,
    price_ms: f64,
}

/// A runner's room for weights.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Room {
    free_mb: f64,
    /// The cheapest first.
    droppable: Vec<Droppable>,
}

/// Models to drop from a runner, the cheapest first, and the price of all, in ms.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Victims {
    pub models: Vec<ModelName>,
    pub price_ms: f64,
}

impl Room {
    /// The cheapest models to drop so that a model of this size fits, if dropping can make it fit.
    pub fn victims(&self, model: &ModelName, weights_mb: f64) -> Option<Victims> {
        let dropped = self.cheapest(weights_mb, Some(model))?;
        Some(Victims {
            models: dropped.iter().map(|it| it.model.clone()).collect(),
            price_ms: price_ms(&dropped),
        })
    }

    /// What making room for a model of a size costs, in ms, if dropping can make it fit.
    pub fn price_of(&self, weights_mb: f64) -> Option<f64> {
        self.cheapest(weights_mb, None)
            .map(|dropped| price_ms(&dropped))
    }

    /// The cheapest models to drop for a size, one model excepted; `None` if dropping them all is not enough.
    fn cheapest(&self, weights_mb: f64, except: Option<&ModelName>) -> Option<Vec<&Droppable>> {
        let mut free_mb = self.free_mb;
        let mut dropped = Vec::new();
        let others = self.droppable.iter().filter(|it| Some(&it.model) != except);
        for droppable in others {
            if free_mb >= weights_mb {
                break;
            }
            free_mb += droppable.weights_mb;
            dropped.push(droppable);
        }
        (free_mb >= weights_mb).then_some(dropped)
    }
}

fn price_ms(dropped: &[&Droppable]) -> f64 {
    dropped.iter().map(|it| it.price_ms).sum()
}

impl Placement {
    /// The room of a runner, with prices as of the last refresh of the demand.
    pub(super) fn room(&self, ledger: &Ledger, engine: &Engine, now: Timestamp) -> Room {
        let mut droppable: Vec<Droppable> = ledger
            .models()
            .filter_map(|model| {
                Some(Droppable {
                    model: model.clone(),
                    weights_mb: engine.models.get(model)?.weights_mb,
                    price_ms: self.price_of_dropping(ledger, engine, model, now)?,
                })
            })
            .collect();
        droppable.sort_by(|left, right| left.price_ms.total_cmp(&right.price_ms));
        Room {
            free_mb: ledger.free_mb(engine),
            droppable,
        }
    }

    /// What dropping one copy costs, in ms of waiting; `None` if it must stay.
    fn price_of_dropping(
        &self,
        ledger: &Ledger,
        engine: &Engine,
        model: &ModelName,
        now: Timestamp,
    ) -> Option<f64> {
        let unit = Unit {
            service: ledger.runner.service.clone(),
            model: model.clone(),
            adapter: None,
        };
        if ledger.is_fresh(model, now) || self.demands.is_waited_for(&unit) {
            return None;
        }
        let rate = self.demands.model_rate(&unit);
        let copies = self.copies_to_spare(ledger, &unit)?;
        let specification = engine.models.get(model)?;
        let reload_ms = specification.disk_load.as_secs_f64() * 1_000.0;
        let others = f64::from(u32::try_from(copies).unwrap_or(u32::MAX));
        let mut price = DROP_PRICE_MS + rate * HORIZON_SECONDS * reload_ms / (others * others);
        let is_used = self
            .demands
            .model_unused_for(&unit, now)
            .is_some_and(|unused| unused < IDLE);
        if copies <= 1 && is_used {
            price += LAST_COPY_PRICE_MS;
        }
        if self.demands.running(&ledger.runner.id, &unit) > 0 {
            price += RUNNING_PRICE_MS;
        }
        Some(price)
    }

    /// Copies among which one at a runner is, within those homes of the model's requests where copies are fewest; `None`
    /// if the copy must stay because the model is busy there and has no more copies than it should.
    fn copies_to_spare(&self, ledger: &Ledger, model: &Unit) -> Option<usize> {
        let mut fewest = self.copies.count(&Requirement::anywhere(model.clone()));
        for (homes, rate) in self.demands.model_rates_by_homes(model) {
            if !self.is_at_home(ledger, homes) {
                continue;
            }
            let requirement = Requirement {
                unit: model.clone(),
                homes: homes.clone(),
            };
            let copies = self.copies.count(&requirement);
            if rate > BUSY_RATE && copies <= self.wanted_copies(&requirement, rate) {
                return None;
            }
            fewest = fewest.min(copies);
        }
        Some(fewest)
    }

    /// The adapter of a runner that was unused for the longest, if one can go.
    pub(super) fn adapter_victim(&self, ledger: &Ledger, now: Timestamp) -> Option<Unit> {
        let to_unit = |(model, adapter): (ModelName, AdapterName)| Unit {
            service: ledger.runner.service.clone(),
            model,
            adapter: Some(adapter),
        };
        ledger
            .adapters()
            .into_iter()
            .map(to_unit)
            .filter(|unit| ledger.has(unit) && !self.demands.is_waited_for(unit))
            .filter(|unit| self.demands.running(&ledger.runner.id, unit) == 0)
            .max_by_key(|unit| self.demands.unused_for(unit, now).unwrap_or(Duration::MAX))
    }
}
