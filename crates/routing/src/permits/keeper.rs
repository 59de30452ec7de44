//! The keeper's side: gives permits for requests to runners that are cold or name a rate.

use std::collections::HashMap;
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};

use super::PermitDecision;
use super::account::Account;
use crate::cold::{ColdBound, WINDOW, WORD_TIME};
use crate::names::RunnerId;
use crate::rate_limit::{self, FIRST_PERMITS, RequestRate};

/// Ranks that are told apart; less urgent ones count as the last.
const RANKS: u8 = 4;
/// When to come back if nothing is known of a runner: by then the keeper has heard of it.
const UNKNOWN_RUNNER_PAUSE: Duration = Duration::from_millis(300);
/// Time between two looks for runners that nobody asks for any more.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Permits for one cold runner.
#[derive(Debug)]
struct ColdAccount {
    /// When the spell began that the permits are for.
    spell_begun_at: Timestamp,
    /// Until when what lies above the rate is left to requests that are sent without a permit.
    unannounced_until: Timestamp,
    permits: Account,
}

impl ColdAccount {
    /// No permits for a spell that begins now, as far as is known.
    fn new(now: Timestamp) -> Self {
        Self {
            spell_begun_at: now,
            unannounced_until: now + WORD_TIME + WINDOW,
            permits: Account::new(WINDOW),
        }
    }

    /// Takes in that a spell has begun. Daemons that have not heard of it send without permits meanwhile.
    fn begin_spell(&mut self, begun_at: Timestamp) {
        if self.spell_begun_at == begun_at {
            return;
        }
        self.spell_begun_at = begun_at;
        self.unannounced_until = begun_at + WORD_TIME + WINDOW;
    }

    /// Permits in a window up to which a rank is given one. What the bound leaves above the rate is kept for urgent
    /// ranks, and at the beginning of a spell for none: so no rank is shut out by the others, and none is refused while
    /// all together stay below the rate.
    fn allowed(&self, bound: &ColdBound, rank: u8, now: Timestamp) -> usize {
        let spare = bound.spare();
        let kept = if now < self.unannounced_until {
            spare
        } else {
            kept_from(rank, spare)
        };
        bound.permits() - kept
    }
}

/// What a request needs a permit for.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// The runner.
    pub runner: &'a RunnerId,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// The bound while the runner is cold.
    pub cold: Option<ColdSpell>,
    /// The rate that the runner names.
    pub rate_limit: Option<RequestRate>,
}

/// What bounds requests to a runner while it is cold.
#[derive(Clone, Copy, Debug)]
pub struct ColdSpell {
    /// The bound.
    pub bound: ColdBound,
    /// When the keeper heard that the present spell has begun; a daemon may have heard of it before.
    pub begun_at: Option<Timestamp>,
}

/// How many permits a request may find given under one bound.
struct Place<'a> {
    permits: &'a mut Account,
    /// Those in a window for its rank.
    allowed: usize,
    /// Those in a window for any rank.
    most: usize,
}

/// How many of some spare permits are kept from a rank, for more urgent ones.
fn kept_from(rank: u8, spare: usize) -> usize {
    spare * usize::from(rank.min(RANKS - 1)) / usize::from(RANKS - 1)
}

fn refused(room_in: Duration) -> PermitDecision {
    let room_in_ms = u32::try_from(millis(room_in)).unwrap_or(u32::MAX).max(1);
    PermitDecision::Refused { room_in_ms }
}

impl Place<'_> {
    /// Returns when there may be room.
    fn refuse(&mut self, rank: u8, now: Timestamp) -> Timestamp {
        self.permits.refuse(self.allowed, self.most, rank, now)
    }
}

/// Gives permits for one term of a coordinator.
#[derive(Debug)]
pub struct PermitKeeper {
    begun_at: Timestamp,
    cold: HashMap<RunnerId, ColdAccount>,
    limited: HashMap<RunnerId, Account>,
    swept_at: Timestamp,
}

impl PermitKeeper {
    /// A keeper that begins now and does not know which permits its predecessor gave.
    pub fn new(now: Timestamp) -> Self {
        Self {
            begun_at: now,
            cold: HashMap::new(),
            limited: HashMap::new(),
            swept_at: now,
        }
    }

    /// Decides on a request for a runner. What bounds it in two ways gets a permit if both have room.
    pub fn ask(&mut self, asked: &Asked<'_>, now: Timestamp) -> PermitDecision {
        let age = now.since(self.begun_at);
        if asked.cold.is_some() && age < WINDOW {
            return refused(WINDOW.saturating_sub(age));
        }
        self.sweep(now);
        let cold = asked
            .cold
            .map(|spell| cold_place(&mut self.cold, asked, &spell, now));
        let limited = asked
            .rate_limit
            .map(|rate| limited_place(&mut self.limited, asked, rate, age, now));
        let mut places: Vec<Place<'_>> = cold.into_iter().chain(limited).collect();
        let full = places
            .iter_mut()
            .filter(|place| !place.permits.has_room(place.allowed));
        let room_at = full.map(|place| place.refuse(asked.rank, now)).max();
        if let Some(room_at) = room_at {
            return refused(room_at.since(now));
        }
        for place in places {
            place.permits.give(now);
        }
        PermitDecision::Given
    }

    /// The answer for a runner of which the keeper knows nothing, or no bound.
    pub fn unknown_runner() -> PermitDecision {
        refused(UNKNOWN_RUNNER_PAUSE)
    }

    fn sweep(&mut self, now: Timestamp) {
        if now.since(self.swept_at) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.cold
            .retain(|_, account| is_used(&mut account.permits, now));
        self.limited.retain(|_, permits| is_used(permits, now));
    }
}

fn is_used(permits: &mut Account, now: Timestamp) -> bool {
    permits.advance(now);
    !permits.is_empty()
}

fn cold_place<'a>(
    accounts: &'a mut HashMap<RunnerId, ColdAccount>,
    asked: &Asked<'_>,
    spell: &ColdSpell,
    now: Timestamp,
) -> Place<'a> {
    let account = accounts.entry(asked.runner.clone());
    let account = account.or_insert_with(|| ColdAccount::new(now));
    let begun_at = spell.begun_at.unwrap_or(account.spell_begun_at);
    account.begin_spell(begun_at);
    account.permits.advance(now);
    Place {
        allowed: account.allowed(&spell.bound, asked.rank, now),
        most: spell.bound.permits(),
        permits: &mut account.permits,
    }
}

/// `age` is how long the keeper has been one: what its predecessor gave still counts at first.
fn limited_place<'a>(
    accounts: &'a mut HashMap<RunnerId, Account>,
    asked: &Asked<'_>,
    rate: RequestRate,
    age: Duration,
    now: Timestamp,
) -> Place<'a> {
    let account = accounts.entry(asked.runner.clone());
    let permits = account.or_insert_with(|| Account::new(rate_limit::WINDOW));
    permits.advance(now);
    let most = if age < rate_limit::WINDOW {
        FIRST_PERMITS
    } else {
        rate.permits()
    };
    let kept = kept_from(asked.rank, rate.spare()).min(most - 1);
    Place {
        permits,
        allowed: most - kept,
        most,
    }
}
