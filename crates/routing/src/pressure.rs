//! Which runners are hard-pressed, from the pauses between the events of their streams.
//!
//! A runner reads prompts between the tokens of the requests that it runs. If more prompts come than it can
//! read, pauses grow until answers are late, though it has free slots and fails nothing. How much a runner
//! bears depends on its models and prompts and stands in no configuration, so it is observed.

use std::collections::HashMap;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::names::RunnerId;

/// Weight of the newest pause in the remembered one: about the last ten events count.
const PAUSE_WEIGHT: f64 = 0.1;
/// Share of the longest pause that is in time from which a runner is pressed. Pauses of one stream differ by a
/// factor of two and more; at this mean the longest ones are late.
const PRESSED_SHARE: f64 = 0.4;
/// Time without an event after which the pauses before it say nothing.
const MEMORY: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Pauses {
    /// Mean pause over the longest one that is in time.
    share: f64,
    at: Timestamp,
}

/// The pauses of all runners, as one daemon sees them.
#[derive(Debug, Default)]
pub struct PressureTable {
    runners: HashMap<RunnerId, Pauses>,
}

impl PressureTable {
    /// Takes in the pause before an event, and the longest pause that is in time.
    pub fn note_pause(
        &mut self,
        runner: &RunnerId,
        pause: Duration,
        allowed: Duration,
        now: Timestamp,
    ) {
        if allowed.is_zero() {
            return;
        }
        let share = pause.as_secs_f64() / allowed.as_secs_f64();
        let Some(known) = self.runners.get_mut(runner) else {
            self.runners
                .insert(runner.clone(), Pauses { share, at: now });
            return;
        };
        let before = if now.since(known.at) < MEMORY {
            known.share
        } else {
            share
        };
        known.share = before + (share - before) * PAUSE_WEIGHT;
        known.at = now;
    }

    /// Whether a runner is hard-pressed, so that others come first.
    pub fn is_pressed(&self, runner: &RunnerId, now: Timestamp) -> bool {
        let pauses = self.runners.get(runner);
        pauses.is_some_and(|it| it.share >= PRESSED_SHARE && now.since(it.at) < MEMORY)
    }

    /// All runners that are hard-pressed. Forgets the others that were silent for long.
    pub fn pressed(&mut self, now: Timestamp) -> Vec<RunnerId> {
        self.runners
            .retain(|_, pauses| now.since(pauses.at) < MEMORY);
        let pressed = self.runners.iter();
        let pressed = pressed.filter(|(_, pauses)| pauses.share >= PRESSED_SHARE);
        pressed.map(|(runner, _)| runner.clone()).collect()
    }
}
