//! The keeper's side: gives permits for requests to cold runners.

use std::collections::HashMap;
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};

use super::PermitDecision;
use super::account::Account;
use crate::cold::{ColdBound, WINDOW, WORD_TIME};
use crate::names::RunnerId;

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

    fn ask(&mut self, bound: &ColdBound, rank: u8, now: Timestamp) -> PermitDecision {
        let allowed = self.allowed(bound, rank, now);
        if self.permits.has_room(allowed) {
            self.permits.give(now);
            return PermitDecision::Given;
        }
        let room_at = self.permits.refuse(allowed, bound.permits(), rank);
        refused(room_at.since(now))
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

/// How many of some spare permits are kept from a rank, for more urgent ones.
fn kept_from(rank: u8, spare: usize) -> usize {
    spare * usize::from(rank.min(RANKS - 1)) / usize::from(RANKS - 1)
}

fn refused(room_in: Duration) -> PermitDecision {
    let room_in_ms = u32::try_from(millis(room_in)).unwrap_or(u32::MAX).max(1);
    PermitDecision::Refused { room_in_ms }
}

/// Gives permits for one term of a coordinator.
#[derive(Debug)]
pub struct PermitKeeper {
    begun_at: Timestamp,
    cold: HashMap<RunnerId, ColdAccount>,
    swept_at: Timestamp,
}

impl PermitKeeper {
    /// A keeper that begins now and does not know which permits its predecessor gave.
    pub fn new(now: Timestamp) -> Self {
        Self {
            begun_at: now,
            cold: HashMap::new(),
            swept_at: now,
        }
    }

    /// Decides on a request of a rank for a cold runner. `spell_begun_at` is when the keeper heard that the present
    /// spell of the runner has begun; a daemon may have heard of it before.
    pub fn ask(
        &mut self,
        runner: &RunnerId,
        bound: &ColdBound,
        spell_begun_at: Option<Timestamp>,
        rank: u8,
        now: Timestamp,
    ) -> PermitDecision {
        let age = now.since(self.begun_at);
        if age < WINDOW {
            return refused(WINDOW.saturating_sub(age));
        }
        self.sweep(now);
        let account = self.cold.entry(runner.clone());
        let account = account.or_insert_with(|| ColdAccount::new(now));
        let begun_at = spell_begun_at.unwrap_or(account.spell_begun_at);
        account.begin_spell(begun_at);
        account.permits.advance(now);
        account.ask(bound, rank, now)
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
        self.cold.retain(|_, account| {
            account.permits.advance(now);
            !account.permits.is_empty()
        });
    }
}
