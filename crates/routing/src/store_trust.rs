//! How long what a daemon knows of the store may stand without a call to the store.
//!
//! A few daemons watch the store for all: the coordinator, and a standby while the coordinator tells nothing
//! of it. Each message of theirs says how long ago the store answered its sender. A daemon relies on the
//! youngest answer that it was told of, for as long as the operators' bounds allow, and then asks the store
//! itself. If several watchers tell at once that the store answers none of them, it does not ask either: in an
//! outage the calls of hundreds of daemons would only hold up those who watch.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::messages::StoreState;

/// Part of the bound that is left for a call to the store and its retry.
const CALL_SHARE: f64 = 0.25;
/// The same, at least: two calls on a weak machine.
const CALL_TIME: Duration = Duration::from_millis(200);
/// Time since the store's last answer for which a watcher's word stands at the first standby, which then
/// watches the store for the others; as a part of the bound, and at least. A coordinator hears of the store
/// and tells of it about twice a second.
const STANDBY_TRUST_SHARE: f64 = 0.45;
const LEAST_STANDBY_TRUST: Duration = Duration::from_millis(1_300);
/// Time between the turns of two standbys, so that the first is heard by the others before they ask too.
const STANDBY_TURN: Duration = Duration::from_millis(250);
/// Part of the time by which the daemons' own calls are spread, so that they do not come at one moment.
const SPREAD_SHARE: f64 = 0.2;
/// Bound up to which nothing is spread: there is no time for it.
const UNSPREAD_BOUND: Duration = Duration::from_secs(2);
/// Time for which a watcher counts as heard.
const HEARD: Duration = Duration::from_millis(1_300);
/// Silence of the store from which a watcher's word says that the store does not answer it.
const NO_ANSWER: Duration = Duration::from_millis(700);
/// Watchers without an answer from which the store is taken to be away: more than one fault of a machine or
/// of a zone cuts off.
const WITNESSES: usize = 3;
/// Time between two looks of a daemon's own at a store that is away, on average.
const OUTAGE_LOOK: Duration = Duration::from_secs(5);

/// What a daemon does for the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WatchRole {
    /// It watches the store for all.
    Coordinator,
    /// It watches the store if the coordinator does not; the place tells its turn.
    Standby(u8),
    /// It relies on the others.
    #[default]
    Member,
}

/// What one watcher has said last.
#[derive(Clone, Copy, Debug)]
struct Word {
    heard_at: Timestamp,
    /// When the store last answered it.
    answered_at: Timestamp,
}

impl Word {
    fn is_heard(&self, now: Timestamp) -> bool {
        now.since(self.heard_at) < HEARD
    }
}

/// What a daemon relies on.
#[derive(Debug)]
pub struct StoreTrust {
    bound: Duration,
    /// Where this daemon stands among those whose calls are spread, from 0 to 1.
    place: f64,
    words: BTreeMap<SocketAddr, Word>,
    next_look: Option<Timestamp>,
}

impl StoreTrust {
    /// A daemon that has heard nothing. News must be known within `bound`; `seed` spreads the daemons' calls.
    pub fn new(bound: Duration, seed: u64) -> Self {
        #[allow(clippy::cast_precision_loss)]
        let place = (seed % 1_000) as f64 / 1_000.0;
        Self {
            bound,
            place,
            words: BTreeMap::new(),
            next_look: None,
        }
    }

    /// Takes in what a watcher says of the store.
    pub fn heard(&mut self, from: SocketAddr, state: &StoreState, now: Timestamp) {
        let silence = Duration::from_millis(u64::from(state.silence_ms));
        let word = Word {
            heard_at: now,
            answered_at: now - silence,
        };
        self.words.insert(from, word);
        self.words
            .retain(|_, word| now.since(word.heard_at) < self.bound);
    }

    /// Until when nothing need be asked of the store, if that is later than now.
    pub fn stands_until(&mut self, role: WatchRole, now: Timestamp) -> Option<Timestamp> {
        if role == WatchRole::Coordinator {
            return None;
        }
        let answered_at = self.words.values().map(|word| word.answered_at).max()?;
        let until = answered_at + self.trust(role);
        let is_doubted = matches!(role, WatchRole::Standby(_)) && self.is_unanswered(now);
        if until > now && !is_doubted {
            self.next_look = None;
            return Some(until);
        }
        match role {
            WatchRole::Member => self.outage_until(now),
            WatchRole::Standby(_) | WatchRole::Coordinator => None,
        }
    }

    /// Whether all watchers that are heard say that the store does not answer them.
    fn is_unanswered(&self, now: Timestamp) -> bool {
        let heard = self.words.values().filter(|word| word.is_heard(now));
        let youngest = heard.map(|word| word.answered_at).max();
        youngest.is_some_and(|answered_at| now.since(answered_at) >= NO_ANSWER)
    }

    /// For how long an answer of the store stands.
    fn trust(&self, role: WatchRole) -> Duration {
        let call_time = self.bound.mul_f64(CALL_SHARE) + CALL_TIME;
        let longest = self.bound.saturating_sub(call_time);
        match role {
            WatchRole::Standby(place) => {
                let first = self.bound.mul_f64(STANDBY_TRUST_SHARE);
                let first = first.max(LEAST_STANDBY_TRUST);
                (first + STANDBY_TURN * u32::from(place)).min(longest)
            }
            WatchRole::Coordinator | WatchRole::Member => {
                let spread = self.bound.saturating_sub(UNSPREAD_BOUND);
                longest.saturating_sub(spread.mul_f64(SPREAD_SHARE * self.place))
            }
        }
    }

    /// Until when the word of several watchers stands that the store answers nobody. Now and then the daemon
    /// looks for itself, in case that just the watchers are cut off.
    fn outage_until(&mut self, now: Timestamp) -> Option<Timestamp> {
        let heard = self.words.values().filter(|word| word.is_heard(now));
        let silent = heard.filter(|word| now.since(word.answered_at) >= NO_ANSWER);
        let mut heard: Vec<Timestamp> = silent.map(|word| word.heard_at).collect();
        if heard.len() < WITNESSES {
            return None;
        }
        let pause = OUTAGE_LOOK.mul_f64(0.5 + self.place);
        let look_at = *self.next_look.get_or_insert(now + pause);
        if now >= look_at {
            self.next_look = Some(now + pause);
            return None;
        }
        heard.sort();
        let last_needed = heard[heard.len() - WITNESSES];
        Some((last_needed + HEARD).min(look_at))
    }
}
