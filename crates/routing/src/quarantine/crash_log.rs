//! Crashes of runners, and what can have caused them.
//!
//! Everything that broke off with a runner is suspected: requests, and parts of prompts that requests share. The cause
//! is found by elimination.
//!
//! - A crash counts only if the run was sent after the crash counted before it. What was under way at several runners
//!   that fail together, for example with their power supply, has not caused their failures.
//! - An answer to a run shows that runs sent before it have not crashed their runners.
//! - A crash that something in quarantine explains does not count for anything else that broke off with it.
//! - A part is not the cause if something narrower explains its crashes: the parts that followed it in the prompts, all
//!   shared parts of a prompt together, or the requests. Sound requests share the broader part, so the narrower one is
//!   withheld. Parts that break off together in each crash are thus withheld together, and none of them alone.
//! - What an answer has cleared of a crash does not explain it.
//! - What is in quarantine is cleared if other things in quarantine explain all crashes under it. Reports of one crash
//!   come in any order, so that a part that many requests share may be found before the cause.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use flaxward_types::time::Timestamp;

use super::RETENTION;
use super::report::{Narrower, RunContext};
use crate::fingerprint::RequestFingerprint;
use crate::names::RunnerId;

/// A runner needs longer to start again, so reports of its crashes within this time are about one crash.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// Tolerance for the times in reports of different daemons, which messages between them delay.
const DELAY_TOLERANCE: Duration = Duration::from_millis(20);
/// Number of narrower parts that may crash runners at the same time without the part that they share being the cause.
const MAX_COINCIDENT_PARTS: usize = 2;
/// Number of combinations of parts that may crash runners at the same time without the part that they share being the cause.
const MAX_COINCIDENT_COMBINATIONS: usize = 1;
/// Number of single requests that may crash runners at the same time.
const MAX_COINCIDENT_REQUESTS: usize = 1;
/// Time in which all daemons have reported a crash; reports are sent again after 200 ms and 400 ms. What a part is followed
/// by is not known before.
const REPORT_TIME: Duration = Duration::from_millis(150);
/// Additional crashes that it takes for a part that other parts follow: by then, a narrower cause has been found.
const EXTRA_CRASHES_IF_FOLLOWED: usize = 2;
/// The same for the last shared part, which is followed by combinations only. A combination takes more crashes to be found
/// than the last part alone if other parts vary, so more than one here would let too many runners crash.
const EXTRA_CRASHES_IF_COMBINED: usize = 1;
/// Number of the latest crashes under one fingerprint that are examined, which bounds the work for a report.
const MAX_EXAMINED: usize = 16;
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

/// The crashes under a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Verdict {
    /// Number of crashes that count.
    pub crashes: usize,
    /// Whether the request or part must have caused them.
    pub is_cause: bool,
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

    /// Whether a request or part must have caused its crashes. `bound` is the number of crashes that it takes.
    pub fn judge(&self, fingerprint: RequestFingerprint, bound: usize, now: Timestamp) -> Verdict {
        let mut examined = self.examined(fingerprint);
        let is_followed = examined.iter().any(|it| it.has_narrower_part());
        if is_followed {
            examined.retain(|it| now.since(it.at) >= REPORT_TIME);
        }
        let mut crashes = 0;
        let mut counted_at = None;
        for suspicion in &examined {
            let is_sent_before = suspicion
                .sent_at
                .zip(counted_at)
                .is_some_and(|(sent_at, at)| sent_at + DELAY_TOLERANCE < at);
            if !is_sent_before {
                crashes += 1;
                counted_at = Some(suspicion.at);
            }
        }
        let extra = self.extra_crashes(&examined);
        let is_cause = crashes >= bound + extra && !self.is_explained_by_narrower(&examined);
        Verdict { crashes, is_cause }
    }

    /// How many more crashes it takes because narrower causes must be found first.
    fn extra_crashes(&self, suspicions: &[&Suspicion]) -> usize {
        let narrower = suspicions.iter().flat_map(|it| &it.narrower);
        let extra = narrower.map(|it| match it {
            Narrower::Request(_) => 0,
            Narrower::Part(part) if self.is_combination(part) => EXTRA_CRASHES_IF_COMBINED,
            Narrower::Part(_) => EXTRA_CRASHES_IF_FOLLOWED,
        });
        extra.max().unwrap_or(0)
    }

    /// Whether few narrower parts or requests account for all of these crashes.
    fn is_explained_by_narrower(&self, suspicions: &[&Suspicion]) -> bool {
        let mut unexplained: Vec<BTreeSet<Narrower>> = suspicions
            .iter()
            .map(|it| self.narrower_suspects(it))
            .collect();
        let (mut parts, mut combinations, mut requests) = (0, 0, 0);
        while !unexplained.is_empty() {
            match most_frequent(&unexplained) {
                None => return false,
                Some(narrower) => {
                    unexplained.retain(|it| !it.contains(&narrower));
                    match narrower {
                        Narrower::Part(part) if self.is_combination(&part) => combinations += 1,
                        Narrower::Part(_) => parts += 1,
                        Narrower::Request(_) => requests += 1,
                    }
                }
            }
            if parts > MAX_COINCIDENT_PARTS
                || combinations > MAX_COINCIDENT_COMBINATIONS
                || requests > MAX_COINCIDENT_REQUESTS
            {
                return false;
            }
        }
        true
    }

    /// Whether a narrower suspect of a part is a combination of parts: only requests are narrower than these.
    fn is_combination(&self, fingerprint: &RequestFingerprint) -> bool {
        let suspicions = self.suspicions.get(fingerprint).into_iter().flatten();
        let mut narrower = suspicions.flat_map(|it| &it.narrower);
        narrower.all(|it| matches!(it, Narrower::Request(_)))
    }

    /// What followed in the requests of a suspicion and has not been cleared of the crash.
    fn narrower_suspects(&self, suspicion: &Suspicion) -> BTreeSet<Narrower> {
        let crash = self.crashes.get(&suspicion.crash);
        let is_cleared = |narrower: &Narrower| {
            crash.is_some_and(|it| it.cleared.contains_key(&narrower.fingerprint()))
        };
        let narrower = suspicion.narrower.iter().copied();
        narrower.filter(|it| !is_cleared(it)).collect()
    }

    /// The latest crashes under a fingerprint that nothing else in quarantine explains, in their order.
    fn examined(&self, fingerprint: RequestFingerprint) -> Vec<&Suspicion> {
        let suspicions = self.suspicions.get(&fingerprint).into_iter().flatten();
        let mut examined: Vec<&Suspicion> = suspicions
            .filter(|it| !self.is_explained(fingerprint, it))
            .collect();
        examined.sort_by_key(|it| it.at);
        let skipped = examined.len().saturating_sub(MAX_EXAMINED);
        examined.split_off(skipped)
    }

    /// Whether a crash is explained by something in quarantine that the requests under the fingerprint did not hold.
    fn is_explained(&self, fingerprint: RequestFingerprint, suspicion: &Suspicion) -> bool {
        let crash = self.crashes.get(&suspicion.crash);
        let mut explained_by = crash.into_iter().flat_map(|it| &it.explained_by);
        explained_by.any(|it| {
            let is_other = *it != fingerprint && !suspicion.is_followed_by(it);
            is_other && !self.is_better_explanation(fingerprint, *it)
        })
    }

    /// Whether the latest crash under a fingerprint is explained by something else in quarantine.
    pub fn is_last_explained(&self, fingerprint: RequestFingerprint) -> bool {
        let suspicions = self.suspicions.get(&fingerprint).into_iter().flatten();
        let last = suspicions.max_by_key(|it| it.at);
        last.is_some_and(|it| self.is_explained(fingerprint, it))
    }

    /// What is in quarantine although other things in quarantine explain all crashes under it.
    pub fn explained_away(&self) -> Vec<RequestFingerprint> {
        let crashes = self.crashes.values();
        let quarantined: BTreeSet<RequestFingerprint> = crashes
            .flat_map(|crash| crash.explained_by.iter().copied())
            .collect();
        let explained = quarantined
            .into_iter()
            .filter(|it| self.is_explained_by_others(*it));
        explained.collect()
    }

    /// Whether each crash under a fingerprint is explained by something else in quarantine: by few narrower parts, or by
    /// what has also crashed runners without it.
    fn is_explained_by_others(&self, fingerprint: RequestFingerprint) -> bool {
        let mut narrower_causes = BTreeSet::<RequestFingerprint>::new();
        let mut suspicions = self.suspicions.get(&fingerprint).into_iter().flatten();
        let is_explained_by_others = suspicions.all(|suspicion| {
            let Some(crash) = self.crashes.get(&suspicion.crash) else {
                return false;
            };
            let mut others = crash.explained_by.iter().filter(|it| **it != fingerprint);
            let narrower = others
                .clone()
                .find(|it| suspicion.is_followed_by(it) && !self.is_combination(it));
            narrower_causes.extend(narrower);
            narrower.is_some()
                || others.any(|it| {
                    let is_broader = self.is_followed(*it, suspicion.crash, &fingerprint);
                    !is_broader && !self.covers(fingerprint, *it)
                })
        });
        is_explained_by_others && narrower_causes.len() <= MAX_COINCIDENT_PARTS
    }

    /// Whether a part was followed by something in a request that broke off with a crash.
    fn is_followed(
        &self,
        part: RequestFingerprint,
        crash: CrashNumber,
        by: &RequestFingerprint,
    ) -> bool {
        let suspicions = self.suspicions.get(&part).into_iter().flatten();
        let mut suspicions = suspicions.filter(|it| it.crash == crash);
        suspicions.any(|it| it.is_followed_by(by))
    }

    /// Whether a fingerprint accounts for all crashes under another one, and for more.
    fn is_better_explanation(
        &self,
        fingerprint: RequestFingerprint,
        other: RequestFingerprint,
    ) -> bool {
        let count = |it: &RequestFingerprint| self.suspicions.get(it).map_or(0, Vec::len);
        count(&fingerprint) > count(&other) && self.covers(fingerprint, other)
    }

    /// Whether a fingerprint is a suspect of all crashes under another one.
    fn covers(&self, fingerprint: RequestFingerprint, other: RequestFingerprint) -> bool {
        let mut suspicions = self.suspicions.get(&other).into_iter().flatten();
        suspicions.all(|it| {
            let crash = self.crashes.get(&it.crash);
            crash.is_some_and(|crash| crash.suspects.contains(&fingerprint))
        })
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

/// The narrower part or request that is in most of the sets; `None` if all are empty.
fn most_frequent(sets: &[BTreeSet<Narrower>]) -> Option<Narrower> {
    let mut counts = BTreeMap::<Narrower, usize>::new();
    for narrower in sets.iter().flatten() {
        *counts.entry(*narrower).or_default() += 1;
    }
    let most = counts.into_iter().max_by_key(|(_, count)| *count);
    most.map(|(narrower, _)| narrower)
}
