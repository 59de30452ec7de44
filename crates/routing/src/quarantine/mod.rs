//! Requests that are not sent to runners for a while because runners have crashed under them.
//!
//! A request that crashes its runner is repeated by its caller, at any daemon, and by the daemon itself, at the next
//! runner. So crashes are counted by what the request asks for ([`RequestFingerprint`]) and not by try, over all
//! daemons: each tells the keepers which request was at a runner when it crashed, and these tell all daemons which
//! requests are in quarantine.
//!
//! The quarantine is a circuit breaker. The first one is short, since an innocent request may have been at three runners
//! that crashed for another reason, say one that many callers send. After it the request is sent again: if one more
//! runner crashes, a long quarantine follows; if a run is completed, the request is cleared.
//!
//! What daemons hold converges: each step of a request has a number, the highest counts, and if there are too many
//! requests, all daemons keep the same ones.

pub mod exchange;

use std::collections::{BTreeMap, HashMap};
use std::hash::Hasher;
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::fingerprint::RequestFingerprint;
use crate::names::RunnerId;

/// Requests of which daemons tell each other at most: their list fits one datagram.
pub const MAX_ENTRIES: usize = 256;
/// Requests whose crashes are counted at most. A crash involves a few dozen requests.
const MAX_SUSPECTS: usize = 1_024;
/// Time for which crashes are remembered, and the quarantine after its end. Callers repeat a failed request within
/// minutes.
const MEMORY: Duration = Duration::from_mins(10);

/// When a request is put in quarantine, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// Runners that must have crashed under it; 0 puts none in quarantine.
    pub crashes: usize,
    /// How long it stays at first.
    pub first: Duration,
    /// How long it stays if one more runner crashes after that.
    pub repeated: Duration,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            // Two may crash by chance while an innocent request is there and goes on at the next.
            crashes: 3,
            // Runners are back by then, so an innocent request is cleared; one that isn't costs one more runner.
            first: Duration::from_secs(30),
            // Long enough for people to look at the runners, short enough that a mended one is found.
            repeated: Duration::from_hours(1),
        }
    }
}

/// What came of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The runner has crashed while the request had just begun there.
    Crashed(RunnerId),
    /// The runner has answered whole.
    Completed,
}

/// A run that says something of whether its request crashes runners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// What came of the run.
    pub outcome: RunOutcome,
}

/// What a report has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// Nothing.
    Unchanged,
    /// So many runners have crashed under the request by now.
    Counted(usize),
    /// The request is in quarantine from now on.
    Quarantined,
    /// The request crashes no runners.
    Cleared,
}

/// A request that is or was in quarantine, as daemons tell each other and the store records it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Number of the step that it is at: odd in quarantine and after it, even once it is cleared.
    pub step: u32,
    /// Time until its quarantine ends, in ms; 0 if it is in none.
    pub remaining_ms: u32,
    /// Time until it is forgotten, in ms.
    pub kept_ms: u32,
}

/// The runners that have crashed under a request since its last completed run.
#[derive(Debug, Default)]
struct Suspect {
    runners: Vec<RunnerId>,
    last_at: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    step: u32,
    until: Timestamp,
    kept_until: Timestamp,
}

impl Held {
    fn is_cleared(&self) -> bool {
        self.step.is_multiple_of(2)
    }
}

/// What one daemon knows of requests that crash runners.
#[derive(Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    suspects: HashMap<RequestFingerprint, Suspect>,
    held: BTreeMap<RequestFingerprint, Held>,
}

impl Quarantine {
    /// Nothing is known of any request.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            suspects: HashMap::new(),
            held: BTreeMap::new(),
        }
    }

    /// Whether nothing is known of any request, so that no fingerprint need be looked up.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.held.is_empty()
    }

    /// Time until the quarantine of a request ends; `None` if it is in none.
    pub fn remaining(&self, fingerprint: &RequestFingerprint, now: Timestamp) -> Option<Duration> {
        let held = self.held.get(fingerprint)?;
        let is_in_force = !held.is_cleared() && now < held.until;
        is_in_force.then(|| held.until.since(now))
    }

    /// Takes in what came of a run, here or at another daemon.
    pub fn record(&mut self, report: &RunReport, now: Timestamp) -> Recorded {
        if self.settings.crashes == 0 {
            return Recorded::Unchanged;
        }
        self.forget_old(now);
        match &report.outcome {
            RunOutcome::Crashed(runner) => self.crashed(report.fingerprint, runner, now),
            RunOutcome::Completed => self.completed(report.fingerprint, now),
        }
    }

    fn crashed(
        &mut self,
        fingerprint: RequestFingerprint,
        runner: &RunnerId,
        now: Timestamp,
    ) -> Recorded {
        match self.held.get(&fingerprint).copied() {
            Some(held) if !held.is_cleared() && now < held.until => Recorded::Unchanged,
            Some(held) if !held.is_cleared() => {
                self.put(fingerprint, held.step + 2, self.settings.repeated, now)
            }
            held => {
                let crashes = self.count(fingerprint, runner, now);
                if crashes.is_none_or(|crashes| crashes < self.settings.crashes) {
                    return crashes.map_or(Recorded::Unchanged, Recorded::Counted);
                }
                self.suspects.remove(&fingerprint);
                let step = held.map_or(0, |held| held.step) + 1;
                self.put(fingerprint, step, self.settings.first, now)
            }
        }
    }

    /// Counts a crash. Returns how many runners have crashed under the request, or `None` if this one is counted already.
    fn count(
        &mut self,
        fingerprint: RequestFingerprint,
        runner: &RunnerId,
        now: Timestamp,
    ) -> Option<usize> {
        self.make_room(fingerprint);
        let suspect = self.suspects.entry(fingerprint).or_default();
        if suspect.runners.contains(runner) {
            return None;
        }
        suspect.runners.push(runner.clone());
        suspect.last_at = now;
        Some(suspect.runners.len())
    }

    fn completed(&mut self, fingerprint: RequestFingerprint, now: Timestamp) -> Recorded {
        let was_suspect = self.suspects.remove(&fingerprint).is_some();
        let Some(held) = self.held.get(&fingerprint).filter(|it| !it.is_cleared()) else {
            return if was_suspect {
                Recorded::Cleared
            } else {
                Recorded::Unchanged
            };
        };
        let cleared = Held {
            step: held.step + 1,
            until: now,
            // It must outlast what others hold in quarantine.
            kept_until: held.kept_until.max(now + self.settings.repeated + MEMORY),
        };
        self.held.insert(fingerprint, cleared);
        Recorded::Cleared
    }

    fn put(
        &mut self,
        fingerprint: RequestFingerprint,
        step: u32,
        duration: Duration,
        now: Timestamp,
    ) -> Recorded {
        let until = now + duration;
        let held = Held {
            step,
            until,
            kept_until: until + MEMORY,
        };
        if self.hold(fingerprint, held) {
            Recorded::Quarantined
        } else {
            Recorded::Unchanged
        }
    }

    /// Takes in what another daemon holds. Returns the requests that are in quarantine here only now.
    pub fn take_in(
        &mut self,
        entries: &[QuarantineEntry],
        now: Timestamp,
    ) -> Vec<RequestFingerprint> {
        self.forget_old(now);
        let longest = self.settings.first.max(self.settings.repeated);
        let within = |ms: u32, bound: Duration| Duration::from_millis(u64::from(ms)).min(bound);
        let mut news = Vec::new();
        for entry in entries.iter().filter(|entry| entry.kept_ms > 0) {
            let held = Held {
                step: entry.step,
                until: now + within(entry.remaining_ms, longest),
                kept_until: now + within(entry.kept_ms, longest + MEMORY),
            };
            let was_free = self.remaining(&entry.fingerprint, now).is_none();
            let is_news = self.hold(entry.fingerprint, held);
            if is_news {
                self.suspects.remove(&entry.fingerprint);
            }
            if is_news && was_free && self.remaining(&entry.fingerprint, now).is_some() {
                news.push(entry.fingerprint);
            }
        }
        news
    }

    /// All that other daemons should know.
    pub fn entries(&self, now: Timestamp) -> Vec<QuarantineEntry> {
        let left = |until: Timestamp| u32::try_from(millis(until.since(now))).unwrap_or(u32::MAX);
        let known = self.held.iter().filter(|(_, it)| now < it.kept_until);
        known
            .map(|(&fingerprint, held)| QuarantineEntry {
                fingerprint,
                step: held.step,
                remaining_ms: left(held.until),
                kept_ms: left(held.kept_until),
            })
            .collect()
    }

    /// A number that is equal for daemons which hold the same; 0 for nothing.
    pub fn digest(&self, now: Timestamp) -> u64 {
        let mut hasher = Xxh3::new();
        let mut is_empty = true;
        for (fingerprint, held) in self.held.iter().filter(|(_, it)| now < it.kept_until) {
            hasher.write(fingerprint.as_bytes());
            hasher.write_u32(held.step);
            is_empty = false;
        }
        if is_empty { 0 } else { hasher.finish() }
    }

    /// Takes in a step of a request. Returns whether it is a later one than was known.
    fn hold(&mut self, fingerprint: RequestFingerprint, held: Held) -> bool {
        match self.held.get_mut(&fingerprint) {
            Some(known) if known.step > held.step => return false,
            Some(known) if known.step == held.step => {
                known.until = known.until.max(held.until);
                known.kept_until = known.kept_until.max(held.kept_until);
                return false;
            }
            Some(_) | None => {}
        }
        self.held.insert(fingerprint, held);
        if self.held.len() <= MAX_ENTRIES {
            return true;
        }
        // All daemons drop the same one, whatever the order in which they hear of them.
        let dropped = self.held.pop_last();
        dropped.is_none_or(|(dropped, _)| dropped != fingerprint)
    }

    fn forget_old(&mut self, now: Timestamp) {
        self.held.retain(|_, held| now < held.kept_until);
        self.suspects
            .retain(|_, suspect| now.since(suspect.last_at) < MEMORY);
    }

    /// Forgets the suspect whose last crash lies back the furthest if there is no room for another.
    fn make_room(&mut self, fingerprint: RequestFingerprint) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&fingerprint) {
            return;
        }
        let suspects = self.suspects.iter();
        let oldest = suspects.min_by_key(|(fingerprint, it)| (it.last_at, **fingerprint));
        if let Some(oldest) = oldest.map(|(&fingerprint, _)| fingerprint) {
            self.suspects.remove(&oldest);
        }
    }
}
