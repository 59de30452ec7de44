//! Withholds requests from runners for a while because runners have crashed while processing them.
//!
//! A request that crashes its runner is retried by its caller, at any daemon, and by the daemon itself, at the next
//! runner. Crashes are therefore counted by the content of the request ([`RequestFingerprint`]) instead of by attempt,
//! and across all daemons: each daemon reports to the keepers which request a runner was processing when it crashed,
//! and the keepers announce to all daemons which requests are in quarantine.
//!
//! The quarantine works like a circuit breaker. The first one is short, because a harmless request may have been at
//! three runners that crashed for another reason, for example one that many callers send. When it ends, the request is
//! sent again: if one more runner crashes, a long quarantine follows; if a run completes, the request is cleared.
//!
//! The state of all daemons converges: each transition of a request has a step number, the highest step wins, and if
//! there are too many requests, all daemons keep the same ones.

mod crash_log;
pub mod exchange;
mod report;

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use self::crash_log::{Added, CrashLog};
pub use self::report::{BrokenRun, Narrower, RunContext, RunOutcome, RunReport, Suspects};
use crate::fingerprint::RequestFingerprint;
use crate::names::RunnerId;

/// Maximum number of entries that daemons exchange: the list fits into one datagram.
pub const MAX_ENTRIES: usize = 256;
/// How long crashes are remembered, and a quarantine after its end. Callers retry a failed request within minutes.
const RETENTION: Duration = Duration::from_mins(10);

/// Time in which a run that is sent after the end of a quarantine shows whether its request crashes runners.
const PROBE_TIME: Duration = Duration::from_secs(2);

/// Least time between the sends of two runs whose answers are left to other daemons to judge, which bounds the reports. The
/// later of two answers shows more.
const UNDECIDED_INTERVAL: Duration = Duration::from_millis(100);

/// When a request is put in quarantine, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// Number of runners that must have crashed during the request; 0 disables quarantine.
    pub crashes: usize,
    /// Duration of the first quarantine.
    pub first: Duration,
    /// Duration of the quarantine if one more runner crashes after the first.
    pub repeated: Duration,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            // Two crashes can coincide with a harmless request that is retried at the next runner.
            crashes: 3,
            // Runners have restarted by then, so a harmless request is cleared; any other costs one more runner.
            first: Duration::from_secs(30),
            // Long enough for operators to examine the runners, short enough that a repaired runner is noticed.
            repeated: Duration::from_hours(1),
        }
    }
}

/// The effect of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// No change.
    Unchanged,
    /// The number of crashes during the request so far.
    Counted(usize),
    /// Something more about a counted crash, or a further crash during a request that is in quarantine.
    Detail,
    /// The request is now in quarantine.
    Quarantined,
    /// The request was found not to crash runners.
    Cleared,
    /// An answer to a run that was sent before this daemon knew of the quarantine: only daemons that know when the crashes
    /// happened can tell whether it ends the quarantine.
    Undecided,
}

impl From<Added> for Recorded {
    fn from(added: Added) -> Self {
        match added {
            Added::Crash | Added::Detail => Self::Detail,
            Added::Nothing => Self::Unchanged,
        }
    }
}

/// A request that is or was in quarantine, as exchanged between daemons and recorded in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Step number of the request: odd from the start of a quarantine, including after its end, and even once the
    /// request is cleared.
    pub step: u32,
    /// Remaining time of the quarantine, in ms; 0 if it is over.
    pub remaining_ms: u32,
    /// Time until the entry is removed, in ms.
    pub kept_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct EntryState {
    step: u32,
    /// When this daemon learnt of the step.
    known_at: Timestamp,
    until: Timestamp,
    kept_until: Timestamp,
    /// Until when this daemon waits for the outcome of a run that it has sent after the end of the quarantine.
    probe_until: Timestamp,
    /// When the run was sent whose answer was last left to other daemons to judge.
    undecided_sent_at: Timestamp,
}

impl EntryState {
    fn is_cleared(&self) -> bool {
        self.step.is_multiple_of(2)
    }
}

/// What one daemon knows about requests that crash runners.
#[derive(Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    /// Name of the daemon; `None` if it shares the quarantine with no others.
    daemon: Option<String>,
    crashes: CrashLog,
    /// What has been cleared because something else explains its crashes, since the last call of
    /// [`Self::take_explained_away`].
    explained_away: Vec<RequestFingerprint>,
    states: BTreeMap<RequestFingerprint, EntryState>,
}

impl Quarantine {
    /// A quarantine without entries.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            daemon: None,
            crashes: CrashLog::default(),
            explained_away: Vec::new(),
            states: BTreeMap::new(),
        }
    }

    /// The same for one of several daemons, which do not all send a request again at once when its quarantine ends: the first
    /// runs show to all whether it still crashes runners.
    #[must_use]
    pub fn with_daemon(self, name: &str) -> Self {
        Self {
            daemon: Some(name.to_owned()),
            ..self
        }
    }

    /// Whether nothing is known of any request, so that fingerprints need not be looked up.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.states.is_empty()
    }

    /// Remaining time of a request's quarantine; `None` if the request is not in quarantine.
    pub fn remaining(&self, fingerprint: &RequestFingerprint, now: Timestamp) -> Option<Duration> {
        let state = self.states.get(fingerprint)?;
        if state.is_cleared() {
            return None;
        }
        let released_at = state.until + self.release_delay(fingerprint, state.step);
        let until = released_at.max(state.probe_until);
        (now < until).then(|| until.since(now))
    }

    /// Records that a run is sent. Returns false if it must not be: after the end of a quarantine, one run at a time shows
    /// whether the request still crashes runners.
    pub fn begin_run(&mut self, fingerprint: &RequestFingerprint, now: Timestamp) -> bool {
        if self.remaining(fingerprint, now).is_some() {
            return false;
        }
        if let Some(state) = self.states.get_mut(fingerprint) {
            state.probe_until = now + PROBE_TIME;
        }
        true
    }

    /// How much later than the quarantine ends this daemon sends a request again, up to the length of a first quarantine.
    /// The square root leaves the first daemons far apart, so that all know of a further crash before the next one sends
    /// the request, however many daemons there are.
    fn release_delay(&self, fingerprint: &RequestFingerprint, step: u32) -> Duration {
        let Some(daemon) = &self.daemon else {
            return Duration::ZERO;
        };
        let mut hasher = Xxh3::new();
        daemon.hash(&mut hasher);
        fingerprint.hash(&mut hasher);
        hasher.write_u32(step);
        let drawn = u32::try_from(hasher.finish() >> u32::BITS).unwrap_or_default();
        let share = f64::from(drawn) / f64::from(u32::MAX);
        self.settings.first.mul_f64(share.sqrt())
    }

    /// Records the outcome of a run, at this or another daemon.
    pub fn record(&mut self, report: &RunReport, now: Timestamp) -> Recorded {
        if self.settings.crashes == 0 {
            return Recorded::Unchanged;
        }
        self.remove_expired(now);
        match &report.outcome {
            RunOutcome::Crashed(runner) => self.on_crash(report, runner, now),
            RunOutcome::Completed => match &report.context {
                None => self.on_completion(report.fingerprint, now),
                Some(context) => {
                    let sent_at = now - Duration::from_millis(context.sent_ms_ago.into());
                    self.record_answer(report.fingerprint, sent_at, now)
                }
            },
        }
    }

    /// Records an answer at this daemon to a run that was sent at `sent_at`. It shows that the request or part had not begun
    /// to crash runners by then.
    pub fn record_answer(
        &mut self,
        fingerprint: RequestFingerprint,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> Recorded {
        let state = self.states.get(&fingerprint).filter(|it| !it.is_cleared());
        match state {
            Some(state) if sent_at <= state.known_at => {
                self.on_earlier_answer(fingerprint, sent_at, now)
            }
            Some(_) => self.on_completion(fingerprint, now),
            None if self.crashes.exonerate_before(fingerprint, sent_at) => Recorded::Cleared,
            None => Recorded::Unchanged,
        }
    }

    /// Records an answer to a run that was sent before the quarantine was known here. The quarantine ends if the crashes of
    /// later runs alone do not justify it.
    fn on_earlier_answer(
        &mut self,
        fingerprint: RequestFingerprint,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> Recorded {
        let was_suspect = self.crashes.exonerate_before(fingerprint, sent_at);
        let crashes = self.settings.crashes;
        if was_suspect && !self.crashes.judge(fingerprint, crashes, now).is_cause {
            self.crashes.unexplain(&fingerprint);
            self.end_quarantine(fingerprint, now);
            return Recorded::Cleared;
        }
        match self.states.get_mut(&fingerprint) {
            Some(state) if sent_at >= state.undecided_sent_at + UNDECIDED_INTERVAL => {
                state.undecided_sent_at = sent_at;
                Recorded::Undecided
            }
            _ => Recorded::Unchanged,
        }
    }

    fn clear_explained(&mut self, now: Timestamp) {
        for fingerprint in self.crashes.explained_away() {
            self.on_completion(fingerprint, now);
            self.explained_away.push(fingerprint);
        }
    }

    /// What has been cleared since the last call because something else explains its crashes.
    pub fn take_explained_away(&mut self) -> Vec<RequestFingerprint> {
        std::mem::take(&mut self.explained_away)
    }

    fn on_crash(&mut self, report: &RunReport, runner: &RunnerId, now: Timestamp) -> Recorded {
        let fingerprint = report.fingerprint;
        let context = report.context.as_ref();
        let added = self.crashes.record(fingerprint, runner, context, now);
        let state = self.states.get(&fingerprint).copied();
        if let Some(state) = state.filter(|it| !it.is_cleared()) {
            let is_after_first = self.crashes.last_at(&fingerprint) >= Some(state.until);
            let is_explained = self.crashes.is_last_explained(fingerprint);
            self.crashes.explain(fingerprint);
            if !is_after_first || is_explained {
                return added.into();
            }
            let step = state.step + 2;
            return self.start_quarantine(fingerprint, step, self.settings.repeated, now);
        }
        let verdict = self.crashes.judge(fingerprint, self.settings.crashes, now);
        if verdict.is_cause {
            let step = state.map_or(0, |state| state.step) + 1;
            return self.start_quarantine(fingerprint, step, self.settings.first, now);
        }
        match added {
            Added::Crash => Recorded::Counted(verdict.crashes),
            added => added.into(),
        }
    }

    fn on_completion(&mut self, fingerprint: RequestFingerprint, now: Timestamp) -> Recorded {
        let was_suspect = self.crashes.exonerate(fingerprint);
        let was_quarantined = self.end_quarantine(fingerprint, now);
        if was_suspect || was_quarantined {
            Recorded::Cleared
        } else {
            Recorded::Unchanged
        }
    }

    /// Ends the quarantine of a request. Returns whether it was in quarantine.
    fn end_quarantine(&mut self, fingerprint: RequestFingerprint, now: Timestamp) -> bool {
        let state = self.states.get(&fingerprint);
        let Some(state) = state.filter(|it| !it.is_cleared()) else {
            return false;
        };
        let cleared = EntryState {
            step: state.step + 1,
            known_at: now,
            until: now,
            probe_until: Timestamp::ZERO,
            undecided_sent_at: Timestamp::ZERO,
            // The cleared entry must outlive the quarantine entries of other daemons.
            kept_until: state
                .kept_until
                .max(now + self.settings.repeated + RETENTION),
        };
        self.states.insert(fingerprint, cleared);
        true
    }

    fn start_quarantine(
        &mut self,
        fingerprint: RequestFingerprint,
        step: u32,
        duration: Duration,
        now: Timestamp,
    ) -> Recorded {
        let until = now + duration;
        let state = EntryState {
            step,
            known_at: now,
            until,
            probe_until: Timestamp::ZERO,
            undecided_sent_at: Timestamp::ZERO,
            kept_until: until + RETENTION,
        };
        let is_newer = self.apply_step(fingerprint, state);
        self.crashes.explain(fingerprint);
        self.clear_explained(now);
        if is_newer {
            Recorded::Quarantined
        } else {
            Recorded::Unchanged
        }
    }

    /// Merges the entries of another daemon. Returns the requests that this puts in quarantine here.
    pub fn merge(
        &mut self,
        entries: &[QuarantineEntry],
        now: Timestamp,
    ) -> Vec<RequestFingerprint> {
        self.remove_expired(now);
        let longest = self.settings.first.max(self.settings.repeated);
        let within = |ms: u32, bound: Duration| Duration::from_millis(u64::from(ms)).min(bound);
        let mut quarantined = Vec::new();
        for entry in entries.iter().filter(|entry| entry.kept_ms > 0) {
            let state = EntryState {
                step: entry.step,
                known_at: now,
                until: now + within(entry.remaining_ms, longest),
                probe_until: Timestamp::ZERO,
                undecided_sent_at: Timestamp::ZERO,
                kept_until: now + within(entry.kept_ms, longest + RETENTION),
            };
            let was_allowed = self.remaining(&entry.fingerprint, now).is_none();
            let is_newer = self.apply_step(entry.fingerprint, state);
            if is_newer && state.is_cleared() {
                self.crashes.exonerate(entry.fingerprint);
            } else if is_newer {
                self.crashes.explain(entry.fingerprint);
            }
            if is_newer && was_allowed && self.remaining(&entry.fingerprint, now).is_some() {
                quarantined.push(entry.fingerprint);
            }
        }
        if !quarantined.is_empty() {
            self.clear_explained(now);
        }
        quarantined
    }

    /// The entries to send to other daemons.
    pub fn entries(&self, now: Timestamp) -> Vec<QuarantineEntry> {
        let left = |until: Timestamp| u32::try_from(millis(until.since(now))).unwrap_or(u32::MAX);
        let known = self.states.iter().filter(|(_, it)| now < it.kept_until);
        known
            .map(|(&fingerprint, state)| QuarantineEntry {
                fingerprint,
                step: state.step,
                remaining_ms: left(state.until),
                kept_ms: left(state.kept_until),
            })
            .collect()
    }

    /// A digest that is equal on daemons with equal entries; 0 if there are none.
    pub fn digest(&self, now: Timestamp) -> u64 {
        let mut hasher = Xxh3::new();
        let mut is_empty = true;
        for (fingerprint, state) in self.states.iter().filter(|(_, it)| now < it.kept_until) {
            hasher.write(fingerprint.as_bytes());
            hasher.write_u32(state.step);
            is_empty = false;
        }
        if is_empty { 0 } else { hasher.finish() }
    }

    /// Applies a step of a request. Returns whether it is later than the known one.
    fn apply_step(&mut self, fingerprint: RequestFingerprint, state: EntryState) -> bool {
        match self.states.get_mut(&fingerprint) {
            Some(known) if known.step > state.step => return false,
            Some(known) if known.step == state.step => {
                known.until = known.until.max(state.until);
                known.kept_until = known.kept_until.max(state.kept_until);
                return false;
            }
            Some(_) | None => {}
        }
        self.states.insert(fingerprint, state);
        if self.states.len() <= MAX_ENTRIES {
            return true;
        }
        // All daemons drop the same entry, regardless of the order in which they receive them.
        let dropped = self.states.pop_last();
        dropped.is_none_or(|(dropped, _)| dropped != fingerprint)
    }

    fn remove_expired(&mut self, now: Timestamp) {
        self.states.retain(|_, state| now < state.kept_until);
        self.crashes.remove_expired(now);
    }
}
