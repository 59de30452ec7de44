//! Decides how long a daemon may rely on reported store state before it calls the store itself.
//!
//! Only a few daemons watch the store: the coordinator, and a standby while the coordinator reports
//! nothing about it. Each of their messages states how long ago the store last answered its sender.
//! A daemon relies on the most recent answer reported to it, for as long as the configured bound
//! allows, and then calls the store. If several watchers report at the same time that the store
//! does not answer them, it does not call either: during an outage, calls from hundreds of daemons
//! would only delay the watchers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::messages::StoreState;

/// Fraction of the bound reserved for a store call and its retry.
const CALL_TIME_SHARE: f64 = 0.25;
/// Time reserved in addition: two calls on a weak machine.
const EXTRA_CALL_TIME: Duration = Duration::from_millis(200);
/// Age of the store's last answer up to which the first standby relies on a watcher's report before
/// it watches the store for the others: as a fraction of the bound, and the minimum. A coordinator
/// gets an answer from the store and reports it about twice a second.
const STANDBY_MAX_AGE_SHARE: f64 = 0.45;
const MIN_STANDBY_MAX_AGE: Duration = Duration::from_millis(1_300);
/// Delay between two consecutive standbys, so that the others hear the first one's report before
/// they call the store.
const STANDBY_STAGGER: Duration = Duration::from_millis(250);
/// Fraction of the usable time over which the daemons' own calls are spread, so that they do not
/// coincide.
const SPREAD_SHARE: f64 = 0.2;
/// Bound up to which calls are not spread, because there is no time for it.
const MAX_UNSPREAD_BOUND: Duration = Duration::from_secs(2);
/// Age up to which a watcher's report counts as current.
const REPORT_VALIDITY: Duration = Duration::from_millis(1_300);
/// Time without an answer from the store after which a watcher's report counts as "no answer".
const NO_ANSWER_AFTER: Duration = Duration::from_millis(700);
/// Number of watchers without an answer required to consider the store unavailable: more than a
/// single machine or zone fault cuts off.
const OUTAGE_QUORUM: usize = 3;
/// Mean interval between a daemon's own calls to an unavailable store.
const OUTAGE_PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Role of a daemon in watching the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WatchRole {
    /// Watches the store on behalf of all daemons.
    Coordinator,
    /// Watches the store if the coordinator does not; the value is its rank among the standbys.
    Standby(u8),
    /// Relies on the reports of the others.
    #[default]
    Member,
}

/// Last report of a watcher.
#[derive(Clone, Copy, Debug)]
struct WatcherReport {
    heard_at: Timestamp,
    /// When the store last answered this watcher.
    answered_at: Timestamp,
}

impl WatcherReport {
    fn is_current(&self, now: Timestamp) -> bool {
        now.since(self.heard_at) < REPORT_VALIDITY
    }
}

/// Reports on the store from watchers, and the time until which they may be relied on.
#[derive(Debug)]
pub struct StoreTrust {
    bound: Duration,
    /// Position of this daemon in the spread of calls, from 0 to 1.
    spread_position: f64,
    reports: BTreeMap<SocketAddr, WatcherReport>,
    next_probe: Option<Timestamp>,
}

impl StoreTrust {
    /// Creates the state without any reports. Changes must be known within `bound`; `seed` spreads
    /// the daemons' calls.
    pub fn new(bound: Duration, seed: u64) -> Self {
        #[allow(clippy::cast_precision_loss)]
        let spread_position = (seed % 1_000) as f64 / 1_000.0;
        Self {
            bound,
            spread_position,
            reports: BTreeMap::new(),
            next_probe: None,
        }
    }

    /// Records a watcher's report on the store.
    pub fn record_report(&mut self, from: SocketAddr, state: &StoreState, now: Timestamp) {
        let silence = Duration::from_millis(u64::from(state.silence_ms));
        let report = WatcherReport {
            heard_at: now,
            answered_at: now - silence,
        };
        self.reports.insert(from, report);
        self.reports
            .retain(|_, report| now.since(report.heard_at) < self.bound);
    }

    /// Returns the time until which no store call is needed, if it is in the future.
    pub fn fresh_until(&mut self, role: WatchRole, now: Timestamp) -> Option<Timestamp> {
        if role == WatchRole::Coordinator {
            return None;
        }
        let answered_at = self
            .reports
            .values()
            .map(|report| report.answered_at)
            .max()?;
        let until = answered_at + self.max_age(role);
        let is_store_silent = matches!(role, WatchRole::Standby(_)) && self.is_store_silent(now);
        if until > now && !is_store_silent {
            self.next_probe = None;
            return Some(until);
        }
        match role {
            WatchRole::Member => self.outage_probe_time(now),
            WatchRole::Standby(_) | WatchRole::Coordinator => None,
        }
    }

    /// Whether every watcher with a current report gets no answer from the store.
    fn is_store_silent(&self, now: Timestamp) -> bool {
        let heard = self
            .reports
            .values()
            .filter(|report| report.is_current(now));
        let youngest = heard.map(|report| report.answered_at).max();
        youngest.is_some_and(|answered_at| now.since(answered_at) >= NO_ANSWER_AFTER)
    }

    /// Maximum age of a store answer that a daemon in this role relies on.
    fn max_age(&self, role: WatchRole) -> Duration {
        let call_time = self.bound.mul_f64(CALL_TIME_SHARE) + EXTRA_CALL_TIME;
        let longest = self.bound.saturating_sub(call_time);
        match role {
            WatchRole::Standby(rank) => {
                let first = self.bound.mul_f64(STANDBY_MAX_AGE_SHARE);
                let first = first.max(MIN_STANDBY_MAX_AGE);
                (first + STANDBY_STAGGER * u32::from(rank)).min(longest)
            }
            WatchRole::Coordinator | WatchRole::Member => {
                let spread = self.bound.saturating_sub(MAX_UNSPREAD_BOUND);
                longest.saturating_sub(spread.mul_f64(SPREAD_SHARE * self.spread_position))
            }
        }
    }

    /// Time until which reports from several watchers that the store does not answer are relied on.
    /// The daemon still calls the store from time to time, in case only the watchers are cut off.
    fn outage_probe_time(&mut self, now: Timestamp) -> Option<Timestamp> {
        let heard = self
            .reports
            .values()
            .filter(|report| report.is_current(now));
        let silent = heard.filter(|report| now.since(report.answered_at) >= NO_ANSWER_AFTER);
        let mut heard: Vec<Timestamp> = silent.map(|report| report.heard_at).collect();
        if heard.len() < OUTAGE_QUORUM {
            return None;
        }
        let pause = OUTAGE_PROBE_INTERVAL.mul_f64(0.5 + self.spread_position);
        let probe_at = *self.next_probe.get_or_insert(now + pause);
        if now >= probe_at {
            self.next_probe = Some(now + pause);
            return None;
        }
        heard.sort();
        let last_needed = heard[heard.len() - OUTAGE_QUORUM];
        Some((last_needed + REPORT_VALIDITY).min(probe_at))
    }
}
