//! Finds by elimination which suspects have caused crashes.
//!
//! - A crash counts only if the run was sent after the crash counted before it. What was under way at several runners
//!   that fail together, for example with their power supply, has not caused their failures.
//! - A crash that something in quarantine explains does not count for anything else that broke off with it.
//! - A part is not the cause if something narrower explains its crashes: the parts that followed it in the prompts, all
//!   shared parts of a prompt together, or the requests. Sound requests share the broader part, so the narrower one is
//!   withheld. Parts that break off together in each crash are thus withheld together, and none of them alone.
//! - What an answer has cleared of a crash does not explain it.
//! - What is in quarantine is cleared if other things in quarantine explain all crashes under it. Reports of one crash
//!   come in any order, so that a part that many requests share may be found before the cause.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxward_types::time::Timestamp;

use super::{CrashLog, CrashNumber, Suspicion};
use crate::fingerprint::RequestFingerprint;
use crate::quarantine::report::Narrower;

/// Number of narrower parts that may crash runners at the same time without the part that they share being the cause.
const MAX_COINCIDENT_PARTS: usize = 2;
/// Number of combinations of parts, or single requests, that may crash runners at the same time without the part that they
/// share being the cause.
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
/// Tolerance for the times in reports of different daemons, which messages between them delay.
const DELAY_TOLERANCE: Duration = Duration::from_millis(20);

/// The crashes under a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::quarantine) struct Verdict {
    /// Number of crashes that count.
    pub crashes: usize,
    /// Whether the request or part must have caused them.
    pub is_cause: bool,
}

impl CrashLog {
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

    /// How many more crashes it takes because narrower causes must be found first. Daemons of earlier builds report no
    /// combination and withhold none, so what they report as the last part must be found as soon as by themselves.
    fn extra_crashes(&self, suspicions: &[&Suspicion]) -> usize {
        let (mut has_combination, mut has_request) = (false, false);
        for narrower in suspicions.iter().flat_map(|it| &it.narrower) {
            match narrower {
                Narrower::Request(_) => has_request = true,
                Narrower::Part(part) if self.is_combination(part) => has_combination = true,
                Narrower::Part(_) => return EXTRA_CRASHES_IF_FOLLOWED,
            }
        }
        if has_combination && !has_request {
            EXTRA_CRASHES_IF_COMBINED
        } else {
            0
        }
    }

    /// Whether few narrower parts or requests account for all of these crashes.
    fn is_explained_by_narrower(&self, suspicions: &[&Suspicion]) -> bool {
        let mut unexplained: Vec<BTreeSet<Narrower>> = suspicions
            .iter()
            .map(|it| self.narrower_suspects(it))
            .collect();
        let (mut parts, mut requests) = (0, 0);
        while !unexplained.is_empty() {
            match most_frequent(&unexplained) {
                None => return false,
                Some(narrower) => {
                    unexplained.retain(|it| !it.contains(&narrower));
                    match narrower {
                        Narrower::Part(part) if !self.is_combination(&part) => parts += 1,
                        Narrower::Part(_) | Narrower::Request(_) => requests += 1,
                    }
                }
            }
            if parts > MAX_COINCIDENT_PARTS || requests > MAX_COINCIDENT_REQUESTS {
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
