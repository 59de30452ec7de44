//! Reports of runs that show which requests crash runners.

use std::time::Duration;

use flaxward_types::time::millis;
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

/// What the observer of a crash knows about the run that broke off.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashContext {
    /// Time since the request was sent to the runner, in ms.
    pub sent_ms_ago: u32,
    /// Time since the run broke off, in ms.
    pub broken_ms_ago: u32,
    /// What follows the fingerprint of the report in the request; `None` for the request itself.
    pub narrower: Option<Narrower>,
    /// The observer has seen an answer on the part end lately.
    pub was_sound: bool,
}

impl CrashContext {
    /// The same, seen later by `delay`.
    #[must_use]
    pub fn after(&self, delay: Duration) -> Self {
        let delay = u32::try_from(millis(delay)).unwrap_or(u32::MAX);
        Self {
            sent_ms_ago: self.sent_ms_ago.saturating_add(delay),
            broken_ms_ago: self.broken_ms_ago.saturating_add(delay),
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
    /// What else is known about a crash; `None` if its observer runs an earlier build. It is sent in an extension
    /// ([`crate::encoding`]).
    #[serde(skip)]
    pub context: Option<CrashContext>,
}
