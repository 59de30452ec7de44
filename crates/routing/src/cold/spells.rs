//! Which runners a daemon believes to be cold.
//!
//! The belief belongs to one start of a runner: it is what the runner's entry said when it last changed, aged by the
//! daemon's clock. It is kept beside the table of runners, which knows no time.

use std::collections::HashMap;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::names::RunnerId;
use crate::runners::{Runner, RunnerTable};

/// By how much the end of a spell may move with a new entry of the same spell: the entry tells a time that passes, and
/// comes late by the store, a watch and a message.
const SPELL_TOLERANCE: Duration = Duration::from_secs(1);

/// What a daemon believes of one runner.
#[derive(Clone, Copy, Debug)]
struct Spell {
    /// Revision of the entry that told it.
    revision: u64,
    begun_at: Timestamp,
    until: Timestamp,
    /// The runner may have turned cold unheard, and counts as cold until then whatever its entry says.
    suspected_until: Timestamp,
    /// It was told that the runner is cold, and not yet that it is warm again.
    is_told: bool,
}

impl Spell {
    fn end(&self) -> Timestamp {
        self.until.max(self.suspected_until)
    }
}

/// A runner has turned cold, or is warm again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    /// The runner.
    pub runner: RunnerId,
    /// How much longer it is cold; `None` if it is warm.
    pub cold_for: Option<Duration>,
}

/// The runners that are cold, and those that were.
#[derive(Debug, Default)]
pub struct Spells {
    spells: HashMap<RunnerId, Spell>,
}

impl Spells {
    /// Takes in the entries of all runners. Members must hear of each spell that has begun, also of one that is shorter
    /// than what is left by the entry of the spell before: the table, which knows no time, cannot tell them apart.
    pub fn take_in_all(&mut self, runners: &mut RunnerTable, now: Timestamp) -> Vec<Turn> {
        self.spells
            .retain(|runner, _| runners.get(runner).is_some());
        let turns: Vec<Turn> = runners
            .iter()
            .filter_map(|runner| self.take_in(runner, now))
            .collect();
        for turn in &turns {
            runners.record_cold_period(&turn.runner);
        }
        turns
    }

    /// Takes in the entry of a runner. Returns the runner's turn if a spell has begun with it.
    pub fn take_in(&mut self, runner: &Runner, now: Timestamp) -> Option<Turn> {
        let known = self.spells.get_mut(&runner.id);
        if runner.cold_for.is_zero() {
            // Nothing is kept of runners that were never cold.
            if let Some(spell) = known.filter(|spell| spell.revision != runner.revision) {
                spell.revision = runner.revision;
                spell.until = spell.until.min(now);
            }
            return None;
        }
        let until = now + runner.cold_for;
        match known {
            Some(spell) if spell.revision == runner.revision => None,
            Some(spell) if now < spell.end() && until <= spell.end() + SPELL_TOLERANCE => {
                spell.revision = runner.revision;
                spell.until = until;
                None
            }
            _ => {
                self.begin(runner, until, now);
                Some(turned_cold(runner, runner.cold_for))
            }
        }
    }

    fn begin(&mut self, runner: &Runner, until: Timestamp, now: Timestamp) {
        let spell = Spell {
            revision: runner.revision,
            begun_at: now,
            until,
            suspected_until: Timestamp::ZERO,
            is_told: true,
        };
        self.spells.insert(runner.id.clone(), spell);
    }

    /// A runner may have turned cold unheard, and counts as cold for a time.
    pub fn suspect(&mut self, runner: &Runner, spell: Duration, now: Timestamp) -> Turn {
        let until = now + spell;
        let known = self.spells.entry(runner.id.clone()).or_insert(Spell {
            revision: runner.revision,
            begun_at: now,
            until: now,
            suspected_until: until,
            is_told: true,
        });
        known.begun_at = now;
        known.suspected_until = until;
        known.is_told = true;
        turned_cold(runner, spell)
    }

    /// Whether a runner is believed to be cold.
    pub fn is_cold(&self, runner: &RunnerId, now: Timestamp) -> bool {
        self.end(runner).is_some_and(|end| now < end)
    }

    /// When the last known spell of a runner ends.
    pub fn end(&self, runner: &RunnerId) -> Option<Timestamp> {
        self.spells.get(runner).map(Spell::end)
    }

    /// When the spell of a cold runner began, as far as this daemon knows.
    pub fn begun_at(&self, runner: &RunnerId, now: Timestamp) -> Option<Timestamp> {
        let spell = self.spells.get(runner)?;
        (now < spell.end()).then_some(spell.begun_at)
    }

    /// The runners whose spells have ended since the last call.
    pub fn take_ended(&mut self, now: Timestamp) -> Vec<Turn> {
        let ended = self.spells.iter_mut();
        let ended = ended.filter(|(_, spell)| spell.is_told && now >= spell.end());
        ended
            .map(|(runner, spell)| {
                spell.is_told = false;
                Turn {
                    runner: runner.clone(),
                    cold_for: None,
                }
            })
            .collect()
    }
}

fn turned_cold(runner: &Runner, cold_for: Duration) -> Turn {
    Turn {
        runner: runner.id.clone(),
        cold_for: Some(cold_for),
    }
}
