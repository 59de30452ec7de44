//! Choice of models and adapters to evict from a runner to make room, and the cost of evicting
//! them.

use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::configuration::Engine;
use crate::homes::Requirement;
use crate::names::{AdapterName, ModelName, Unit};

use super::Placement;
use super::planner::BUSY_RATE;
use super::runner_record::RunnerRecord;

/// Time over which the use of an evicted copy is expected to continue, for its cost, in seconds.
pub(super) const COST_HORIZON_SECONDS: f64 = 10.0;
/// Cost of waiting for requests in progress to end before a model is evicted, in ms.
const RUNNING_COST_MS: f64 = 4_000.0;
/// Base cost of any eviction, in ms.
const EVICTION_COST_MS: f64 = 300.0;
/// Time without use after which the last copy of a model is cheap to evict.
const IDLE_TIMEOUT: Duration = Duration::from_secs(12);
/// Additional cost of the last copy of a recently used model, in ms.
const LAST_COPY_COST_MS: f64 = 1_500.0;

/// A model that may be evicted from a runner.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Evictable {
    model: ModelName,
    weights_mb: f64,
    cost_ms: f64,
}

/// A runner's weight memory: free space and evictable models.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Room {
    free_mb: f64,
    /// Cheapest first.
    evictable: Vec<Evictable>,
}

/// Models to evict from a runner, cheapest first, and their total cost in ms.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Victims {
    pub models: Vec<ModelName>,
    pub cost_ms: f64,
}

impl Room {
    /// The cheapest models to evict so that a model of the given size fits, if eviction can make it
    /// fit.
    pub fn victims(&self, model: &ModelName, weights_mb: f64) -> Option<Victims> {
        let evicted = self.cheapest(weights_mb, Some(model))?;
        Some(Victims {
            models: evicted.iter().map(|it| it.model.clone()).collect(),
            cost_ms: cost_ms(&evicted),
        })
    }

    /// Cost of making room for a model of the given size, in ms, if eviction can make it fit.
    pub fn cost_of(&self, weights_mb: f64) -> Option<f64> {
        self.cheapest(weights_mb, None)
            .map(|evicted| cost_ms(&evicted))
    }

    /// The cheapest models to evict for a size, without the excepted model; `None` if evicting all
    /// of them is not enough.
    fn cheapest(&self, weights_mb: f64, except: Option<&ModelName>) -> Option<Vec<&Evictable>> {
        let mut free_mb = self.free_mb;
        let mut evicted = Vec::new();
        let others = self.evictable.iter().filter(|it| Some(&it.model) != except);
        for evictable in others {
            if free_mb >= weights_mb {
                break;
            }
            free_mb += evictable.weights_mb;
            evicted.push(evictable);
        }
        (free_mb >= weights_mb).then_some(evicted)
    }
}

fn cost_ms(evicted: &[&Evictable]) -> f64 {
    evicted.iter().map(|it| it.cost_ms).sum()
}

impl Placement {
    /// The weight memory of a runner, with costs as of the last refresh of the demand.
    pub(super) fn room(&self, record: &RunnerRecord, engine: &Engine, now: Timestamp) -> Room {
        let mut evictable: Vec<Evictable> = record
            .models()
            .filter_map(|model| {
                Some(Evictable {
                    model: model.clone(),
                    weights_mb: engine.models.get(model)?.weights_mb,
                    cost_ms: self.eviction_cost(record, engine, model, now)?,
                })
            })
            .collect();
        evictable.sort_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms));
        Room {
            free_mb: record.free_mb(engine),
            evictable,
        }
    }

    /// Cost of evicting one copy, in ms of waiting; `None` if it must stay.
    fn eviction_cost(
        &self,
        record: &RunnerRecord,
        engine: &Engine,
        model: &ModelName,
        now: Timestamp,
    ) -> Option<f64> {
        let unit = Unit {
            service: record.runner.service.clone(),
            model: model.clone(),
            adapter: None,
        };
        if record.became_ready_recently(model, now) || self.demands.is_waited_for(&unit) {
            return None;
        }
        let rate = self.demands.model_rate(&unit);
        let copies = self.interchangeable_copies(record, &unit)?;
        let specification = engine.models.get(model)?;
        let reload_ms = specification.disk_load.as_secs_f64() * 1_000.0;
        let others = f64::from(u32::try_from(copies).unwrap_or(u32::MAX));
        let mut cost =
            EVICTION_COST_MS + rate * COST_HORIZON_SECONDS * reload_ms / (others * others);
        let is_used = self
            .demands
            .model_unused_for(&unit, now)
            .is_some_and(|unused| unused < IDLE_TIMEOUT);
        if copies <= 1 && is_used {
            cost += LAST_COPY_COST_MS;
        }
        if self.demands.running(&record.runner.id, &unit) > 0 {
            cost += RUNNING_COST_MS;
        }
        Some(cost)
    }

    /// Number of copies that can replace each other including the one on a runner, within those
    /// homes of the model's requests that have the fewest; `None` if the copy must stay because the
    /// model is busy there and has no copy to spare.
    fn interchangeable_copies(&self, record: &RunnerRecord, model: &Unit) -> Option<usize> {
        let mut fewest = self.copies.count(&Requirement::anywhere(model.clone()));
        for (homes, rate) in self.demands.model_rates_by_homes(model) {
            if !self.is_within_homes(record, homes) {
                continue;
            }
            let requirement = Requirement {
                unit: model.clone(),
                homes: homes.clone(),
                software_version: None,
            };
            let copies = self.copies.count(&requirement);
            if rate > BUSY_RATE && copies <= self.wanted_copies(&requirement, rate) {
                return None;
            }
            fewest = fewest.min(copies);
        }
        Some(fewest)
    }

    /// The least recently used adapter on a runner that can be evicted, if there is one.
    pub(super) fn adapter_victim(&self, record: &RunnerRecord, now: Timestamp) -> Option<Unit> {
        let to_unit = |(model, adapter): (ModelName, AdapterName)| Unit {
            service: record.runner.service.clone(),
            model,
            adapter: Some(adapter),
        };
        record
            .adapters()
            .into_iter()
            .map(to_unit)
            .filter(|unit| record.has(unit) && !self.demands.is_waited_for(unit))
            .filter(|unit| self.demands.running(&record.runner.id, unit) == 0)
            .max_by_key(|unit| self.demands.unused_for(unit, now).unwrap_or(Duration::MAX))
    }
}
