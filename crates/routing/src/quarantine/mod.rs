//! Requests that are not sent to runners any more because runners have crashed under them.
//!
//! A request that crashes its runner is repeated by its caller, at any daemon, and by the daemon itself, at the next
//! runner. So crashes are counted by what the request asks for ([`RequestFingerprint`]) and not by try, over all
//! daemons: each tells the keepers which request was at a runner when it crashed, and these tell all daemons which
//! requests are in quarantine.
//!
//! What daemons hold converges: reports are sets, a quarantine lasts until the latest end that any daemon knows, and
//! if there are too many, all daemons keep the same ones.

pub mod exchange;

use std::collections::{BTreeMap, HashMap};
use std::hash::Hasher;
use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::fingerprint::RequestFingerprint;
use crate::names::RunnerId;

/// Requests in quarantine at most: their list fits one datagram.
pub const MAX_QUARANTINED: usize = 256;
/// Requests whose crashes are counted at most. A crash involves a few dozen requests.
const MAX_SUSPECTS: usize = 1_024;
/// Time after its last crash for which a request's crashes are remembered. Callers repeat a failed request within
/// minutes.
const SUSPECT_MEMORY: Duration = Duration::from_mins(10);

/// When a request is put in quarantine, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// Runners that must have crashed under it; 0 puts none in quarantine.
    pub crashes: usize,
    /// How long it stays.
    pub duration: Duration,
}

/// A runner has crashed while a request had just begun there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The runner.
    pub runner: RunnerId,
}

/// A request in quarantine, as daemons tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Time until its quarantine ends, in ms.
    pub remaining_ms: u32,
}

/// What a report of a crash has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// Nothing: the crash was known, or the request is in quarantine already.
    Known,
    /// So many runners have crashed under the request by now.
    Counted(usize),
    /// The request is in quarantine from now on.
    Quarantined,
}

/// The runners that have crashed under a request which is not in quarantine.
#[derive(Debug, Default)]
struct Suspect {
    runners: Vec<RunnerId>,
    last_at: Timestamp,
}

/// What one daemon knows of requests that crash runners.
#[derive(Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    suspects: HashMap<RequestFingerprint, Suspect>,
    /// When the quarantine of each request ends.
    held: BTreeMap<RequestFingerprint, Timestamp>,
}

impl Quarantine {
    /// Nothing is in quarantine.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            suspects: HashMap::new(),
            held: BTreeMap::new(),
        }
    }

    /// Whether nothing is in quarantine, so that no fingerprint need be looked up.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Time until the quarantine of a request ends; `None` if it is in none.
    pub fn remaining(&self, fingerprint: &RequestFingerprint, now: Timestamp) -> Option<Duration> {
        let until = *self.held.get(fingerprint)?;
        (now < until).then(|| until.since(now))
    }

    /// Takes in that a runner has crashed under a request.
    pub fn record(&mut self, crash: &Crash, now: Timestamp) -> Recorded {
        self.forget_old(now);
        if self.settings.crashes == 0 || self.held.contains_key(&crash.fingerprint) {
            return Recorded::Known;
        }
        self.make_room(crash.fingerprint);
        let suspect = self.suspects.entry(crash.fingerprint).or_default();
        if suspect.runners.contains(&crash.runner) {
            return Recorded::Known;
        }
        suspect.runners.push(crash.runner.clone());
        suspect.last_at = now;
        let crashes = suspect.runners.len();
        if crashes < self.settings.crashes {
            return Recorded::Counted(crashes);
        }
        self.suspects.remove(&crash.fingerprint);
        if self.hold(crash.fingerprint, now + self.settings.duration) {
            Recorded::Quarantined
        } else {
            Recorded::Known
        }
    }

    /// Takes in what another daemon holds in quarantine. Returns the requests that were not in quarantine here.
    pub fn take_in(
        &mut self,
        requests: &[QuarantinedRequest],
        now: Timestamp,
    ) -> Vec<RequestFingerprint> {
        self.forget_old(now);
        let mut news = Vec::new();
        for request in requests {
            let remaining = Duration::from_millis(u64::from(request.remaining_ms));
            let remaining = remaining.min(self.settings.duration);
            if !remaining.is_zero() && self.hold(request.fingerprint, now + remaining) {
                self.suspects.remove(&request.fingerprint);
                news.push(request.fingerprint);
            }
        }
        news
    }

    /// All requests in quarantine.
    pub fn requests(&self, now: Timestamp) -> Vec<QuarantinedRequest> {
        let held = self.held.iter().filter(|&(_, &until)| now < until);
        held.map(|(&fingerprint, until)| QuarantinedRequest {
            fingerprint,
            remaining_ms: u32::try_from(millis(until.since(now))).unwrap_or(u32::MAX),
        })
        .collect()
    }

    /// A number that is equal for daemons which hold the same requests in quarantine; 0 for none.
    pub fn digest(&self, now: Timestamp) -> u64 {
        let mut hasher = Xxh3::new();
        let mut is_empty = true;
        for (fingerprint, _) in self.held.iter().filter(|&(_, &until)| now < until) {
            hasher.write(fingerprint.as_bytes());
            is_empty = false;
        }
        if is_empty { 0 } else { hasher.finish() }
    }

    /// Holds a request until a time at least. Returns whether that is news.
    fn hold(&mut self, fingerprint: RequestFingerprint, until: Timestamp) -> bool {
        if let Some(known) = self.held.get_mut(&fingerprint) {
            *known = (*known).max(until);
            return false;
        }
        self.held.insert(fingerprint, until);
        if self.held.len() <= MAX_QUARANTINED {
            return true;
        }
        // All daemons drop the same one, whatever the order in which they hear of them.
        let dropped = self.held.pop_last();
        dropped.is_none_or(|(dropped, _)| dropped != fingerprint)
    }

    fn forget_old(&mut self, now: Timestamp) {
        self.held.retain(|_, until| now < *until);
        self.suspects
            .retain(|_, suspect| now.since(suspect.last_at) < SUSPECT_MEMORY);
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
