//! The keeper's side: gives permits for requests to cold runners.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};

use super::{ColdBound, PermitDecision, WINDOW, WORD_TIME};
use crate::names::RunnerId;

/// Ranks that are told apart; less urgent ones count as the last.
const RANKS: u8 = 4;
/// When to come back if nothing is known of a runner: by then the keeper has heard of it.
const UNKNOWN_RUNNER_PAUSE: Duration = Duration::from_millis(300);
/// Time between two looks for runners that nobody asks for any more.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Permits for one runner.
#[derive(Debug)]
struct Account {
    /// When the spell began that the permits below are for.
    spell_begun_at: Timestamp,
    /// Until when what lies above the rate is left to requests that are sent without a permit.
    unannounced_until: Timestamp,
    /// When permits were given, within [`WINDOW`].
    given: VecDeque<Timestamp>,
    /// When refused requests were told to come back, and their ranks.
    promised: Vec<(Timestamp, u8)>,
}

impl Account {
    /// No permits for a spell that begins now, as far as is known.
    fn new(now: Timestamp) -> Self {
        Self {
            spell_begun_at: now,
            unannounced_until: now + WORD_TIME + WINDOW,
            given: VecDeque::new(),
            promised: Vec::new(),
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

    /// Forgets what lies further back than the window.
    fn advance(&mut self, now: Timestamp) {
        while self
            .given
            .front()
            .is_some_and(|&at| now.since(at) >= WINDOW)
        {
            self.given.pop_front();
        }
        self.promised.retain(|&(at, _)| at > now);
    }

    fn ask(&mut self, bound: &ColdBound, rank: u8, now: Timestamp) -> PermitDecision {
        let allowed = self.allowed(bound, rank, now);
        if self.given.len() < allowed {
            self.given.push_back(now);
            return PermitDecision::Given;
        }
        let room_at = self.room_at(bound, allowed, rank);
        self.promised.push((room_at, rank));
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
            spare * usize::from(rank.min(RANKS - 1)) / usize::from(RANKS - 1)
        };
        bound.permits() - kept
    }

    /// When there is room for a request, if those that were refused before it and are as urgent come first.
    fn room_at(&self, bound: &ColdBound, allowed: usize, rank: u8) -> Timestamp {
        let before = self.promised.iter();
        let before = before.filter(|(_, other)| *other <= rank).count();
        let place = self.given.len() - allowed + before;
        if let Some(&given_at) = self.given.get(place) {
            return given_at + WINDOW;
        }
        let last = self.given.back().copied().unwrap_or(Timestamp::ZERO);
        let beyond = u32::try_from(place - self.given.len() + 1).unwrap_or(u32::MAX);
        let permits = u32::try_from(bound.permits()).unwrap_or(u32::MAX);
        last + WINDOW + (WINDOW / permits).saturating_mul(beyond)
    }
}

fn refused(room_in: Duration) -> PermitDecision {
    let room_in_ms = u32::try_from(millis(room_in)).unwrap_or(u32::MAX).max(1);
    PermitDecision::Refused { room_in_ms }
}

/// Gives permits for one term of a coordinator.
#[derive(Debug)]
pub struct PermitKeeper {
    begun_at: Timestamp,
    accounts: HashMap<RunnerId, Account>,
    swept_at: Timestamp,
}

impl PermitKeeper {
    /// A keeper that begins now and does not know which permits its predecessor gave.
    pub fn new(now: Timestamp) -> Self {
        Self {
            begun_at: now,
            accounts: HashMap::new(),
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
        let account = self.accounts.entry(runner.clone());
        let account = account.or_insert_with(|| Account::new(now));
        let begun_at = spell_begun_at.unwrap_or(account.spell_begun_at);
        account.begin_spell(begun_at);
        account.advance(now);
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
        self.accounts.retain(|_, account| {
            account.advance(now);
            !account.given.is_empty()
        });
    }
}
