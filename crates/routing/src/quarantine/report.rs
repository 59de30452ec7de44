//! Reports of runs that show which requests crash runners.

use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};
use serde::{Deserialize, Serialize};

use crate::fingerprint::RequestFingerprint;
use crate::names::RunnerId;

/// The outcome of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The runner crashed shortly after the request had started there.
    Crashed(RunnerId),
    /// The runner returned a complete answer.
    Completed,
}

/// What identifies a request more narrowly than a part of its prompt does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Narrower {
    /// The next shared part of the prompt.
    Part(RequestFingerprint),
    /// The request itself, if no shared part follows.
    Request(RequestFingerprint),
}

impl Narrower {
    /// The fingerprint of the part or request.
    pub fn fingerprint(&self) -> RequestFingerprint {
        match self {
            Self::Part(fingerprint) | Self::Request(fingerprint) => *fingerprint,
        }
    }
}

/// What the observer of a run knows about it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunContext {
    /// Time since the request was sent to the runner, in ms.
    pub sent_ms_ago: u32,
    /// Time since the run broke off or was completed, in ms.
    pub ended_ms_ago: u32,
    /// What follows the fingerprint of the report in the request; `None` for the request itself.
    pub narrower: Option<Narrower>,
}

impl RunContext {
    /// A run of which only is known that it has just ended. It counts as sent after all earlier crashes.
    pub fn just_ended() -> Self {
        Self {
            sent_ms_ago: 0,
            ended_ms_ago: 0,
            narrower: None,
        }
    }

    /// The same, seen later by `delay`.
    #[must_use]
    pub fn after(&self, delay: Duration) -> Self {
        let delay = u32::try_from(millis(delay)).unwrap_or(u32::MAX);
        Self {
            sent_ms_ago: self.sent_ms_ago.saturating_add(delay),
            ended_ms_ago: self.ended_ms_ago.saturating_add(delay),
            ..self.clone()
        }
    }
}

/// The outcome of a run that indicates whether its request, or a part of its prompt, crashes runners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The request or part.
    pub fingerprint: RequestFingerprint,
    /// The outcome.
    pub outcome: RunOutcome,
    /// What else is known about the run; `None` if its observer runs an earlier build. It is sent in an extension
    /// ([`crate::encoding`]).
    #[serde(skip)]
    pub context: Option<RunContext>,
}

/// A run that broke off with its runner.
#[derive(Clone, Copy, Debug)]
pub struct BrokenRun {
    /// When the request was sent to the runner.
    pub sent_at: Timestamp,
    /// When it broke off.
    pub broken_at: Timestamp,
}

/// What may have crashed a runner: a request, a part of its prompt, or all of its shared parts together.
#[derive(Clone, Debug)]
pub struct Suspects {
    request: RequestFingerprint,
    parts: Vec<RequestFingerprint>,
    /// The parts together; `None` if there are fewer than two.
    combination: Option<RequestFingerprint>,
}

impl RunReport {
    /// A report of a run that was sent at `sent_at` and has just been answered.
    pub fn answered(fingerprint: RequestFingerprint, sent_at: Timestamp, now: Timestamp) -> Self {
        Self {
            fingerprint,
            outcome: RunOutcome::Completed,
            context: Some(RunContext {
                sent_ms_ago: ms_between(sent_at, now),
                ended_ms_ago: 0,
                narrower: None,
            }),
        }
    }
}

fn ms_between(earlier: Timestamp, now: Timestamp) -> u32 {
    u32::try_from(millis(now.since(earlier))).unwrap_or(u32::MAX)
}

impl Suspects {
    /// A request, and the parts of its prompt that other requests may share, in their order.
    pub fn new(request: RequestFingerprint, parts: Vec<RequestFingerprint>) -> Self {
        let has_several = parts.len() > 1;
        let combination = has_several.then(|| RequestFingerprint::of_combination(&parts));
        Self {
            request,
            parts,
            combination,
        }
    }

    /// The request.
    pub fn request(&self) -> RequestFingerprint {
        self.request
    }

    /// The parts of its prompt that other requests may share, in their order.
    pub fn parts(&self) -> &[RequestFingerprint] {
        &self.parts
    }

    /// The shared parts together; `None` if there are fewer than two.
    pub fn combination(&self) -> Option<RequestFingerprint> {
        self.combination
    }

    /// Everything that is suspected.
    pub fn fingerprints(&self) -> impl Iterator<Item = &RequestFingerprint> {
        let request = std::iter::once(&self.request);
        request.chain(&self.combination).chain(&self.parts)
    }

    /// Reports of a crash, one for each suspect.
    pub fn crash_reports(
        &self,
        runner: &RunnerId,
        run: BrokenRun,
        now: Timestamp,
    ) -> Vec<RunReport> {
        let suspects = self.with_narrower().into_iter();
        suspects
            .map(|(fingerprint, narrower)| RunReport {
                fingerprint,
                outcome: RunOutcome::Crashed(runner.clone()),
                context: Some(RunContext {
                    sent_ms_ago: ms_between(run.sent_at, now),
                    ended_ms_ago: ms_between(run.broken_at, now),
                    narrower,
                }),
            })
            .collect()
    }

    /// Each suspect with what is narrower by one step. Parts that break off together in each crash can't be told apart, so
    /// all of them together come before any single one.
    fn with_narrower(&self) -> Vec<(RequestFingerprint, Option<Narrower>)> {
        let mut suspects = vec![(self.request, None)];
        let mut narrower = Narrower::Request(self.request);
        for &part in self.combination.iter().chain(self.parts.iter().rev()) {
            suspects.push((part, Some(narrower)));
            narrower = Narrower::Part(part);
        }
        suspects
    }
}
