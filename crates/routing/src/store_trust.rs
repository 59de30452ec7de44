//! Decides how long a daemon may rely on reported store state before it calls the store itself.
//!
//! Only a few daemons watch the store: the coordinator, and a standby while the coordinator reports
//! nothing about it. Each of their messages states how long ago the store last answered its sender.
//! A daemon relies on the most recent answer reported to it, for as long as the configured bound
//! allows, and then calls the store.
//!
//! During an outage, calls from hundreds of daemons would only delay the watchers. If several of them report at the
//! same time that the store does not answer them, a daemon therefore makes one call, a probe. The watchers may be cut
//! off together while the daemon's own way to the store works, so their reports alone prove nothing. If the probe
//! fails, it relies on the outage and probes again every few seconds; if it is answered, it watches the store itself.

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
/// Mean interval between a daemon's probes of an unavailable store.
const OUTAGE_PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which own calls must fail before a daemon that the store has answered during a reported outage relies on the
/// outage: a single call may fail for another reason.
const OWN_FAILURE_TIME: Duration = Duration::from_millis(1_500);

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

/// Outcomes of this daemon's own calls to the store.
#[derive(Clone, Copy, Debug, Default)]
struct OwnCalls {
    /// When the store last answered.
    answered_at: Option<Timestamp>,
    /// When the first and the last of the calls failed that were made since that answer.
    failed: Option<(Timestamp, Timestamp)>,
}

/// Reports on the store from watchers, and the time until which they may be relied on.
#[derive(Debug)]
pub struct StoreTrust {
    bound: Duration,
    /// Position of this daemon in the spread of calls, from 0 to 1.
    spread_position: f64,
    reports: BTreeMap<SocketAddr, WatcherReport>,
    own_calls: OwnCalls,
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
            own_calls: OwnCalls::default(),
        }
    }

    /// Records that the store has answered a call of this daemon.
    pub fn record_own_answer(&mut self, now: Timestamp) {
        self.own_calls = OwnCalls {
            answered_at: Some(now),
            failed: None,
        };
    }

    /// Records that a call of this daemon has failed.
    pub fn record_own_failure(&mut self, now: Timestamp) {
        let first = self.own_calls.failed.map_or(now, |(first, _)| first);
        self.own_calls.failed = Some((first, now));
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
    pub fn fresh_until(&self, role: WatchRole, now: Timestamp) -> Option<Timestamp> {
        if role == WatchRole::Coordinator {
            return None;
        }
        let until = self.watchers_answered_at()? + self.max_age(role);
        let is_store_silent = matches!(role, WatchRole::Standby(_)) && self.is_store_silent(now);
        if until > now && !is_store_silent {
            return Some(until);
        }
        match role {
            WatchRole::Member => self.outage_until(now),
            WatchRole::Standby(_) | WatchRole::Coordinator => None,
        }
    }

    /// Whether only a probe may be made now, which shows whether the store answers this daemon though several watchers
    /// report an outage.
    pub fn is_probe_due(&self, role: WatchRole, now: Timestamp) -> bool {
        role == WatchRole::Member
            && self.fresh_until(role, now).is_none()
            && self.reported_outage_until(now).is_some()
            && !self.has_own_answer()
    }

    /// When the store last answered a watcher.
    fn watchers_answered_at(&self) -> Option<Timestamp> {
        let reports = self.reports.values();
        reports.map(|report| report.answered_at).max()
    }

    /// Whether the store has answered this daemon after its last answer to a watcher.
    fn has_own_answer(&self) -> bool {
        self.own_calls.answered_at > self.watchers_answered_at()
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

    /// Time until which an outage is relied on that several watchers report and own calls confirm.
    fn outage_until(&self, now: Timestamp) -> Option<Timestamp> {
        let reported_until = self.reported_outage_until(now)?;
        let (first_failed_at, failed_at) = self.own_calls.failed?;
        let is_confirmed = if self.has_own_answer() {
            failed_at.since(first_failed_at) >= OWN_FAILURE_TIME
        } else {
            Some(failed_at) > self.watchers_answered_at()
        };
        let probe_at = failed_at + OUTAGE_PROBE_INTERVAL.mul_f64(0.5 + self.spread_position);
        (is_confirmed && now < probe_at).then(|| reported_until.min(probe_at))
    }

    /// Time until which reports from several watchers that the store does not answer them are current.
    fn reported_outage_until(&self, now: Timestamp) -> Option<Timestamp> {
        let heard = self
            .reports
            .values()
            .filter(|report| report.is_current(now));
        let silent = heard.filter(|report| now.since(report.answered_at) >= NO_ANSWER_AFTER);
        let mut heard: Vec<Timestamp> = silent.map(|report| report.heard_at).collect();
        if heard.len() < OUTAGE_QUORUM {
            return None;
        }
        heard.sort();
        let last_needed = heard[heard.len() - OUTAGE_QUORUM];
        Some(last_needed + REPORT_VALIDITY)
    }
}
