//! Events, actions and settings of the claim state machine.

use std::time::Duration;

use flaxward_types::records::Claim;
use flaxward_types::{AttemptId, DaemonName, Refusal, ResultCode, Revision};

/// Durations and limits of claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// How long a record is kept after its last change, and so how long a key is recognised.
    pub lifetime: Duration,
    /// Time after a request's deadline at which its unfinished claim counts as abandoned. Covers
    /// the skew between the wall clocks of daemons.
    pub abandon_margin: Duration,
    /// Maximum size of an answer kept for replay, in bytes.
    pub max_kept_body: usize,
    /// Maximum number of writes of the claim while the caller waits.
    pub max_claim_writes: u32,
    /// Maximum number of writes to record an outcome; after that the claim stays in progress until
    /// it counts as abandoned.
    pub max_outcome_writes: u32,
    /// Delay before the first retry of a write; doubles with each further retry.
    pub initial_backoff: Duration,
    /// Maximum delay before a retry of a write.
    pub max_backoff: Duration,
    /// Retry time given to refused callers.
    pub retry_after: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_hours(24),
            abandon_margin: Duration::from_secs(30),
            max_kept_body: 64 << 10,
            max_claim_writes: 3,
            max_outcome_writes: 100,
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(10),
            retry_after: Duration::from_secs(1),
        }
    }
}

/// The request that a claim is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Digest of the request; see [`super::request_digest`].
    pub digest: String,
    /// The attempt that will send it: a random id that is never reused, by any daemon.
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
    /// Whether its attempt is known not to be in progress: its daemon is known to be gone, or it is
    /// this daemon and has no such attempt. If this is wrong, the outcome is lost but the request
    /// still does not run twice.
    pub holder_gone: bool,
}

/// Why a write of a claim returned no new version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimFault {
    /// Not applied: this claim exists, or the claim has changed to this one.
    Present(Box<StoredClaim>),
    /// Not applied: the claim to replace does not exist.
    Missing,
    /// Not applied: a record exists that cannot be decoded.
    Unreadable,
    /// Certainly not applied: the store is down or refused the write.
    Unavailable,
    /// May have been applied, or may still be applied later.
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

/// How the request ended, as recorded in the claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A whole answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// The body, if it is text and was kept.
        body: Option<String>,
    },
    /// It certainly did not run and will not be sent again.
    NotRun(ResultCode),
    /// It may have run.
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
    /// The result of the last requested write.
    Written(Result<Revision, ClaimFault>),
    /// The request ended. Sent once, after [`ClaimAction::Proceed`].
    Ended(RequestEnd),
    /// The caller disconnected, the deadline passed or the daemon is stopping before the request
    /// was sent: refuse it with this code. No effect after [`ClaimAction::Proceed`].
    GiveUp(ResultCode),
}

/// What to do. There is exactly one of `Proceed`, `Replay` and `Refuse` per caller; writes may
/// follow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Write to the store after a delay; the result is sent as [`ClaimEvent::Written`]. Only one
    /// write is outstanding at a time.
    Write {
        /// Delay before the write.
        after: Duration,
        /// The write.
        write: ClaimWrite,
    },
    /// The claim is recorded: the request may now be sent, through this attempt's
    /// [`crate::attempt::RequestMachine`].
    Proceed,
    /// Return the recorded answer to the caller.
    Replay {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Body.
        body: String,
    },
    /// Refuse the request. "Not run" refers to this request only; an earlier one with the same key
    /// may have run.
    Refuse(Refusal),
    /// Done; the machine may be dropped.
    Close,
}
