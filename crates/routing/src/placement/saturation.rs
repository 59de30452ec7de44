//! Utilization of the copies of models, and additional copies of saturated models.

use flaxward_types::time::Timestamp;

use crate::homes::{Homes, Requirement};

use super::Placement;
use super::candidates::PlanResources;
use super::planner::BUSY_RATE;
use super::runner_record::RunnerRecord;
use super::victims::COST_HORIZON_SECONDS;

/// Minimum number of copies of a busy model: enough for one per zone with up to three zones.
const MIN_BUSY_COPIES: usize = 3;
/// Expected duration of a request, in seconds.
const SECONDS_PER_REQUEST: f64 = 2.0;
/// Share of its slots that a copy should use at most.
const TARGET_UTILIZATION: f64 = 0.6;
/// Used share of the slots of all its copies from which a model needs another copy at once.
const SATURATED_SHARE: f64 = 0.9;
/// Used share of a runner's slots below which it is preferred for an adapter to a fuller one.
pub(super) const LOW_UTILIZATION: f64 = 0.5;

/// Number of copies that serve the given requests in progress at the target utilization.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn copies_for(in_progress: f64, slots: u32) -> usize {
    (in_progress / (f64::from(slots) * TARGET_UTILIZATION)).ceil() as usize
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: usize) -> f64 {
    count as f64
}

/// A model whose copies are saturated.
struct SaturatedModel {
    requirement: Requirement,
    /// Requests per second.
    rate: f64,
    /// Used share of the slots of its copies.
    saturation: f64,
}

impl SaturatedModel {
    /// Waiting time that another copy saves over the horizon used for eviction costs, in ms:
    /// requests in this time wait as much longer than they run as the slots are oversubscribed.
    fn saved_wait_ms(&self) -> f64 {
        self.rate * COST_HORIZON_SECONDS * SECONDS_PER_REQUEST * 1_000.0 * self.saturation
    }
}

impl Placement {
    /// Adds a copy of each saturated model, the most saturated first and before any load of a model
    /// without copies: a saturated copy rejects more requests than wait for any of these.
    pub(super) fn relieve_saturated(&mut self, resources: &mut PlanResources, now: Timestamp) {
        let mut saturated = self.saturated_models();
        saturated.sort_by(|left, right| right.saturation.total_cmp(&left.saturation));
        for model in saturated {
            let requirement = &model.requirement;
            let has_enough =
                self.copies.count(requirement) >= self.wanted_copies(requirement, model.rate);
            if !has_enough {
                self.replicate(requirement, model.saved_wait_ms(), resources, now);
            }
        }
    }

    /// The busy models whose copies are saturated.
    fn saturated_models(&self) -> Vec<SaturatedModel> {
        let busy = self.demands.busy_models(BUSY_RATE).into_iter();
        let busy = busy.map(|(requirement, rate)| SaturatedModel {
            saturation: self.saturation(&requirement),
            requirement,
            rate,
        });
        busy.filter(|model| model.saturation >= SATURATED_SHARE)
            .collect()
    }

    /// Used share of a runner's slots; above 1 if requests wait there.
    pub(super) fn utilization(&self, record: &RunnerRecord, slots: u32) -> f64 {
        f64::from(self.demands.running_at(&record.runner.id)) / f64::from(slots.max(1))
    }

    /// Used share of the slots of a model's copies within some homes; above 1 if requests wait
    /// there.
    fn saturation(&self, model: &Requirement) -> f64 {
        let slots = self.engines.get(&model.unit.service);
        let slots = slots.map_or(1, |it| it.slots);
        let copies = self.copies.offered(model);
        let total_slots = f64::from(slots.max(1)) * as_f64(copies.max(1));
        f64::from(self.running_within(model)) / total_slots
    }

    /// Requests in progress on a model's copies within some homes.
    fn running_within(&self, model: &Requirement) -> u32 {
        if model.homes == Homes::Anywhere && model.software_version.is_none() {
            return self.demands.running_model(&model.unit);
        }
        let copies = self.copies.offered_at(&model.unit);
        let records = copies.filter_map(|id| self.records.get(id));
        let within_homes = records.filter(|record| self.is_allowed(record, model));
        within_homes
            .map(|record| self.demands.running(&record.runner.id, &model.unit))
            .sum()
    }

    /// Number of copies that a model should have within some homes at a request rate.
    pub(super) fn wanted_copies(&self, requirement: &Requirement, rate: f64) -> usize {
        let unit = &requirement.unit;
        if rate < BUSY_RATE {
            return 1;
        }
        let runners = self.runner_counts.get(&unit.service);
        let runners = runners.copied().unwrap_or(0);
        let slots = self
            .engines
            .get(&unit.service)
            .map_or(1, |it| it.slots.max(1));
        let by_rate = copies_for(rate * SECONDS_PER_REQUEST, slots);
        // Requests that were rejected and sent again are counted twice, so the count of requests in
        // progress at most doubles the copies per step.
        let in_progress = f64::from(self.running_within(requirement));
        let by_utilization =
            copies_for(in_progress, slots).min(self.copies.offered(requirement) * 2);
        by_rate
            .max(by_utilization)
            .max(MIN_BUSY_COPIES)
            .min(runners.div_ceil(2).max(1))
    }
}
