//! Crashes of runners, and what can have caused them.
//!
//! Everything that broke off with a runner is suspected: requests, and parts of prompts that requests share. An answer to
//! a run shows that runs sent before it have not crashed their runners. The cause is found by elimination
//! ([`judgement`]).

mod judgement;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use flaxward_types::time::Timestamp;

use super::RETENTION;
use super::report::{Narrower, RunContext};
use crate::fingerprint::RequestFingerprint;
use crate::names::RunnerId;

/// A runner needs longer to start again, so reports of its crashes within this time are about one crash.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// Maximum number of suspicions; the oldest crash is dropped first. A crash involves a few dozen requests.
const MAX_SUSPICIONS: usize = 8_192;

/// Identifies a crash in the log; later ones have higher numbers.
type CrashNumber = u64;

/// The end of one process of a runner.
#[derive(Debug)]
struct Crash {
    runner: RunnerId,
    at: Timestamp,
    suspects: Vec<RequestFingerprint>,
    /// Those of the suspects that are in quarantine.
    explained_by: BTreeSet<RequestFingerprint>,
    /// What has been cleared of the crash, with when the run was sent whose answer has cleared it. Reports are sent
    /// several times, and later copies must not make it a suspect again.
    cleared: BTreeMap<RequestFingerprint, Timestamp>,
}

impl Crash {
    fn is_cleared(&self, fingerprint: &RequestFingerprint, sent_at: Timestamp) -> bool {
        let cleared = self.cleared.get(fingerprint);
        cleared.is_some_and(|answered| sent_at < *answered)
    }
}

/// A run that broke off with a crash, or several under the same fingerprint.
#[derive(Debug)]
struct Suspicion {
    crash: CrashNumber,
    at: Timestamp,
    /// When the last of the runs was sent; `None` if it is not known.
    sent_at: Option<Timestamp>,
    /// What followed in these requests; empty if it is not known, or if the fingerprint is that of a request.
    narrower: BTreeSet<Narrower>,
}

impl Suspicion {
    /// Whether other parts of the prompt followed.
    fn has_narrower_part(&self) -> bool {
        let mut narrower = self.narrower.iter();
        narrower.any(|it| matches!(it, Narrower::Part(_)))
    }

    /// Whether the part was followed by this part or request.
    fn is_followed_by(&self, fingerprint: &RequestFingerprint) -> bool {
        let mut narrower = self.narrower.iter();
        narrower.any(|it| it.fingerprint() == *fingerprint)
    }
}

/// What a report adds to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Added {
    /// A further crash under the fingerprint.
    Crash,
    /// Something more about a crash that is known.
    Detail,
    /// Nothing.
    Nothing,
}

/// Recent crashes of runners and their suspects.
#[derive(Debug, Default)]
pub(super) struct CrashLog {
    next: CrashNumber,
    crashes: BTreeMap<CrashNumber, Crash>,
    by_runner: HashMap<RunnerId, Vec<CrashNumber>>,
    suspicions: HashMap<RequestFingerprint, Vec<Suspicion>>,
    /// Number of all suspicions.
    total: usize,
}

impl CrashLog {
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Records that a run broke off with a crash.
    pub fn record(
        &mut self,
        fingerprint: RequestFingerprint,
        runner: &RunnerId,
        context: Option<&RunContext>,
        now: Timestamp,
    ) -> Added {
        let ago = |ms: u32| now - Duration::from_millis(ms.into());
        let at = context.map_or(now, |it| ago(it.ended_ms_ago));
        let known = match context {
            Some(_) => self.find_crash(runner, at),
            None => self.find_undated_crash(fingerprint, runner),
        };
        let crash = known.unwrap_or_else(|| self.add_crash(runner, at));
        let sent_at = context.map(|it| ago(it.sent_ms_ago));
        let cleared_by = self.crashes.get(&crash);
        if cleared_by.is_some_and(|it| it.is_cleared(&fingerprint, sent_at.unwrap_or(at))) {
            return Added::Nothing;
        }
        let suspicion = Suspicion {
            crash,
            at,
            sent_at,
            narrower: context.and_then(|it| it.narrower).into_iter().collect(),
        };
        let added = self.add_suspicion(fingerprint, suspicion);
        self.evict_oldest();
        added
    }

    fn find_crash(&mut self, runner: &RunnerId, at: Timestamp) -> Option<CrashNumber> {
        let numbers = self.by_runner.get(runner)?;
        let is_same = |number: &&CrashNumber| {
            let known = &self.crashes[number];
            known.at.since(at).max(at.since(known.at)) < RESTART_TIME
        };
        let number = *numbers.iter().rev().find(is_same)?;
        let crash = self.crashes.get_mut(&number)?;
        crash.at = crash.at.min(at);
        Some(number)
    }

    /// Without a time, crashes of a runner under one fingerprint cannot be told apart.
    fn find_undated_crash(
        &self,
        fingerprint: RequestFingerprint,
        runner: &RunnerId,
    ) -> Option<CrashNumber> {
        let numbers = self.by_runner.get(runner)?;
        let suspicions = self.suspicions.get(&fingerprint).into_iter().flatten();
        let mut counted = suspicions.map(|it| it.crash);
        let counted = counted.find(|crash| numbers.contains(crash));
        counted.or(numbers.last().copied())
    }

    fn add_crash(&mut self, runner: &RunnerId, at: Timestamp) -> CrashNumber {
        let number = self.next;
        self.next += 1;
        let crash = Crash {
            runner: runner.clone(),
            at,
            suspects: Vec::new(),
            explained_by: BTreeSet::new(),
            cleared: BTreeMap::new(),
        };
        self.crashes.insert(number, crash);
        self.by_runner
            .entry(runner.clone())
            .or_default()
            .push(number);
        number
    }

    fn add_suspicion(&mut self, fingerprint: RequestFingerprint, suspicion: Suspicion) -> Added {
        let suspicions = self.suspicions.entry(fingerprint).or_default();
        if let Some(known) = suspicions.iter_mut().find(|it| it.crash == suspicion.crash) {
            known.at = known.at.min(suspicion.at);
            known.sent_at = known.sent_at.max(suspicion.sent_at);
            let count = known.narrower.len();
            known.narrower.extend(suspicion.narrower);
            let has_grown = known.narrower.len() > count;
            return if has_grown {
                Added::Detail
            } else {
                Added::Nothing
            };
        }
        if let Some(crash) = self.crashes.get_mut(&suspicion.crash) {
            crash.suspects.push(fingerprint);
        }
        suspicions.push(suspicion);
        self.total += 1;
        Added::Crash
    }

    /// When the last crash under a fingerprint happened.
    pub fn last_at(&self, fingerprint: &RequestFingerprint) -> Option<Timestamp> {
        let suspicions = self.suspicions.get(fingerprint)?;
        suspicions.iter().map(|it| it.at).max()
    }

    /// Records that a fingerprint is in quarantine, which explains all crashes under it.
    pub fn explain(&mut self, fingerprint: RequestFingerprint) {
        for suspicion in self.suspicions.get(&fingerprint).into_iter().flatten() {
            if let Some(crash) = self.crashes.get_mut(&suspicion.crash) {
                crash.explained_by.insert(fingerprint);
            }
        }
    }

    /// Records that a run sent at `sent_at` was answered. What crashes runners does so from some time on, so the
    /// fingerprint has not crashed those to which it was sent before. Returns whether it was suspected of that.
    pub fn exonerate_before(
        &mut self,
        fingerprint: RequestFingerprint,
        sent_at: Timestamp,
    ) -> bool {
        let Some(suspicions) = self.suspicions.get_mut(&fingerprint) else {
            return false;
        };
        let cleared: Vec<Suspicion> = suspicions
            .extract_if(.., |it| it.sent_at.unwrap_or(it.at) < sent_at)
            .collect();
        if suspicions.is_empty() {
            self.suspicions.remove(&fingerprint);
        }
        for suspicion in &cleared {
            if let Some(crash) = self.crashes.get_mut(&suspicion.crash) {
                crash.cleared.insert(fingerprint, sent_at);
            }
        }
        self.drop_suspicions(fingerprint, &cleared)
    }

    /// Records that a fingerprint is no longer in quarantine. It stays a suspect.
    pub fn unexplain(&mut self, fingerprint: &RequestFingerprint) {
        for suspicion in self.suspicions.get(fingerprint).into_iter().flatten() {
            if let Some(crash) = self.crashes.get_mut(&suspicion.crash) {
                crash.explained_by.remove(fingerprint);
            }
        }
    }

    /// Records that a fingerprint is not the cause of any crash so far. Returns whether it was suspected.
    pub fn exonerate(&mut self, fingerprint: RequestFingerprint) -> bool {
        let suspicions = self.suspicions.remove(&fingerprint).unwrap_or_default();
        self.drop_suspicions(fingerprint, &suspicions)
    }

    /// Removes a fingerprint from crashes. Returns whether there are any.
    fn drop_suspicions(
        &mut self,
        fingerprint: RequestFingerprint,
        suspicions: &[Suspicion],
    ) -> bool {
        self.total -= suspicions.len();
        for suspicion in suspicions {
            let Some(crash) = self.crashes.get_mut(&suspicion.crash) else {
                continue;
            };
            crash.suspects.retain(|it| *it != fingerprint);
            crash.explained_by.remove(&fingerprint);
            if crash.suspects.is_empty() {
                self.remove(suspicion.crash);
            }
        }
        !suspicions.is_empty()
    }

    pub fn remove_expired(&mut self, now: Timestamp) {
        while let Some((&number, oldest)) = self.crashes.first_key_value()
            && now.since(oldest.at) >= RETENTION
        {
            self.remove(number);
        }
    }

    fn evict_oldest(&mut self) {
        while self.total > MAX_SUSPICIONS
            && let Some((&oldest, _)) = self.crashes.first_key_value()
        {
            self.remove(oldest);
        }
    }

    fn remove(&mut self, number: CrashNumber) {
        let Some(crash) = self.crashes.remove(&number) else {
            return;
        };
        if let Some(numbers) = self.by_runner.get_mut(&crash.runner) {
            numbers.retain(|it| *it != number);
            if numbers.is_empty() {
                self.by_runner.remove(&crash.runner);
            }
        }
        for fingerprint in crash.suspects {
            self.total -= 1;
            if let Some(suspicions) = self.suspicions.get_mut(&fingerprint) {
                suspicions.retain(|it| it.crash != number);
                if suspicions.is_empty() {
                    self.suspicions.remove(&fingerprint);
                }
            }
        }
    }
}
