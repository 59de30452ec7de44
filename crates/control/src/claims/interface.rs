//! What the machine of a claim is told and what it asks for.

use std::time::Duration;

use flaxward_types::records::Claim;
use flaxward_types::{AttemptId, DaemonName, Refusal, ResultCode, Revision};

/// Durations and limits of claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// How long a record is kept after its last change, and so how long a key is remembered.
    pub lifetime: Duration,
    /// Time after a request's deadline from which its unfinished claim counts as abandoned. Covers
    /// the difference between the wall clocks of daemons.
    pub abandon_margin: Duration,
    /// Longest answer kept for replay, in bytes.
    pub max_kept_body: usize,
    /// Writes tried while the caller waits for its claim.
    pub claim_tries: u32,
    /// Writes tried to record an outcome; afterwards the claim stays in progress until abandoned.
    pub settle_tries: u32,
    /// First pause between tries; doubles with each.
    pub first_pause: Duration,
    /// Longest pause between tries.
    pub longest_pause: Duration,
    /// When a caller is told to ask again.
    pub retry_after: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_hours(24),
            abandon_margin: Duration::from_secs(30),
            max_kept_body: 64 << 10,
            claim_tries: 3,
            settle_tries: 100,
            first_pause: Duration::from_millis(50),
            longest_pause: Duration::from_secs(10),
            retry_after: Duration::from_secs(1),
        }
    }
}

/// The request that a claim is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Digest of the request; see [`super::request_digest`].
    pub digest: String,
    /// The attempt that will send it. Random, never used twice, also by another daemon.
    pub attempt: AttemptId,
    /// This daemon.
    pub daemon: DaemonName,
    /// Wall-clock second of the request's deadline, rounded up.
    pub deadline_unix: u64,
}

/// A claim as found in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredClaim {
    /// Its version.
    pub revision: Revision,
    /// The claim.
    pub claim: Claim,
    /// Whether its attempt is known not to be in progress: its daemon is known gone, or it is this
    /// daemon and has no such attempt. A mistake here costs an outcome, never a second run.
    pub holder_gone: bool,
}

/// Why a write of a claim gave no new version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimFault {
    /// Not carried out: there is this claim, or the claim has changed to this.
    Present(Box<StoredClaim>),
    /// Not carried out: the claim to replace is gone.
    Missing,
    /// Not carried out: there is a record that cannot be read.
    Unreadable,
    /// Certainly not carried out: the store is down or refused.
    Unavailable,
    /// May have been carried out, now or later.
    Unknown,
}

/// A write of a claim to the store. Each is a new operation with its own id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimWrite {
    /// Create the claim if there is none.
    Create(Claim),
    /// Replace the claim if it still has this version.
    Replace(Revision, Claim),
}

/// How the request ended for the claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A whole answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// The body, unless it is not text or was not kept.
        body: Option<String>,
    },
    /// It certainly did not run and will not be sent any more.
    NotRun(ResultCode),
    /// Nobody knows whether it ran.
    Unknown,
}

impl RequestEnd {
    /// The end of a request that was refused with this code, as given by
    /// [`crate::attempt::RequestMachine`].
    pub fn refused(code: ResultCode) -> Self {
        if code.not_run() {
            Self::NotRun(code)
        } else {
            Self::Unknown
        }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The result of the write asked for last.
    Written(Result<Revision, ClaimFault>),
    /// The request ended. Comes once, after [`ClaimAction::Proceed`].
    Ended(RequestEnd),
    /// The caller has gone, the deadline has passed or the daemon stops, and the request has not
    /// been sent: refuse it with this code. Without effect after [`ClaimAction::Proceed`].
    GiveUp(ResultCode),
}

/// What to do. The caller gets exactly one of `Proceed`, `Replay` and `Refuse`; writes may follow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Write to the store after a pause; answered by [`ClaimEvent::Written`]. One at a time.
    Write {
        /// Pause before the write.
        after: Duration,
        /// The write.
        write: ClaimWrite,
    },
    /// The claim is recorded: the request may be sent, by this attempt's request machine.
    Proceed,
    /// Give the caller the recorded answer.
    Replay {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Body.
        body: String,
    },
    /// Refuse. "Not run" is said of this request; one sent earlier with the same key may have run.
    Refuse(Refusal),
    /// Nothing more to do; the machine may be dropped.
    Close,
}
