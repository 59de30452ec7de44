//! How full the copies of models are, and further places for those that are full.

use flaxward_types::time::Timestamp;

use crate::homes::{Homes, Requirement};

use super::Placement;
use super::candidates::Openings;
use super::ledger::Ledger;
use super::planner::BUSY_RATE;
use super::victims::HORIZON_SECONDS;

/// Copies of a busy model, one for each zone up to this number.
const BUSY_COPIES: usize = 3;
/// Time that a request is expected to take, in seconds.
const SECONDS_A_REQUEST: f64 = 2.0;
/// Share of its slots that a copy fills without being crowded.
const FILLED_SHARE: f64 = 0.6;
/// Filled share of the slots of all its copies from which a model needs another one at once.
const PRESSED: f64 = 0.9;
/// Filled share of a runner's slots up to which an adapter is better placed there than at a fuller one.
pub(super) const ROOMY: f64 = 0.5;

/// Copies that hold some requests in progress without being crowded.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn copies_for(in_progress: f64, slots: u32) -> usize {
    (in_progress / (f64::from(slots) * FILLED_SHARE)).ceil() as usize
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: usize) -> f64 {
    count as f64
}

/// A model whose copies are full.
struct PressedModel {
    requirement: Requirement,
    /// Requests a second.
    rate: f64,
    /// Share of the slots of its copies that is filled.
    pressure: f64,
}

impl PressedModel {
    /// Waiting that a further copy saves over the time for which dropped copies are priced, in ms: the requests of
    /// this time wait as much longer than they run as the slots are overfilled.
    fn relief_ms(&self) -> f64 {
        self.rate * HORIZON_SECONDS * SECONDS_A_REQUEST * 1_000.0 * self.pressure
    }
}

impl Placement {
    /// Gives models whose copies are full another one, the fullest first and before all loads of models that
    /// nobody has: a full copy rejects more requests than wait for any of these.
    pub(super) fn relieve_pressed(&mut self, openings: &mut Openings, now: Timestamp) {
        let mut pressed = self.pressed_models();
        pressed.sort_by(|left, right| right.pressure.total_cmp(&left.pressure));
        for model in pressed {
            let requirement = &model.requirement;
            let has_enough =
                self.copies.count(requirement) >= self.wanted_copies(requirement, model.rate);
            if !has_enough {
                self.replicate(requirement, model.relief_ms(), openings, now);
            }
        }
    }

    /// The busy models whose copies are full.
    fn pressed_models(&self) -> Vec<PressedModel> {
        let busy = self.demands.busy_models(BUSY_RATE).into_iter();
        let busy = busy.map(|(requirement, rate)| PressedModel {
            pressure: self.pressure(&requirement),
            requirement,
            rate,
        });
        busy.filter(|model| model.pressure >= PRESSED).collect()
    }

    /// Share of a runner's slots that is filled; over 1 if requests wait there.
    pub(super) fn filled(&self, ledger: &Ledger, slots: u32) -> f64 {
        f64::from(self.demands.running_at(&ledger.runner.id)) / f64::from(slots.max(1))
    }

    /// Share of the slots of a model's copies within some homes that is filled; over 1 if requests wait there.
    fn pressure(&self, model: &Requirement) -> f64 {
        let slots = self.engines.get(&model.unit.service);
        let slots = slots.map_or(1, |it| it.slots);
        let copies = self.copies.offered(model);
        let places = f64::from(slots.max(1)) * as_f64(copies.max(1));
        f64::from(self.running_within(model)) / places
    }

    /// Requests in progress with a model at its copies within some homes.
    fn running_within(&self, model: &Requirement) -> u32 {
        if model.homes == Homes::Anywhere {
            return self.demands.running_model(&model.unit);
        }
        let copies = self.copies.offered_at(&model.unit);
        let ledgers = copies.filter_map(|id| self.ledgers.get(id));
        let at_home = ledgers.filter(|ledger| self.is_at_home(ledger, &model.homes));
        at_home
            .map(|ledger| self.demands.running(&ledger.runner.id, &model.unit))
            .sum()
    }

    /// Copies that a model should have within some homes at a rate of requests.
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
        let by_rate = copies_for(rate * SECONDS_A_REQUEST, slots);
        // What is in progress counts requests twice that were rejected and sent again, so it is believed step by
        // step.
        let in_progress = f64::from(self.running_within(requirement));
        let by_pressure = copies_for(in_progress, slots).min(self.copies.offered(requirement) * 2);
        by_rate
            .max(by_pressure)
            .max(BUSY_COPIES)
            .min(runners.div_ceil(2).max(1))
    }
}
