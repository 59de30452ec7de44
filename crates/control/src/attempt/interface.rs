//! Inputs, results and settings of the request state machine.

use flaxward_types::{ResultCode, RunnerName, Timestamp};

/// Statuses by which a back end, or a proxy in front of it, reports that it is unavailable. A
/// repeatable request is retried on another back end after them.
const RETRIED_STATUSES: [u16; 3] = [502, 503, 504];

/// Limits on the attempts of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptSettings {
    /// Maximum number of attempts of one request, including the first.
    pub max_attempts: u32,
}

impl Default for AttemptSettings {
    fn default() -> Self {
        Self { max_attempts: 3 }
    }
}

/// Properties of a request that are known before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestPolicy {
    /// Whether it may safely run more than once.
    pub repeatable: bool,
    /// Whether the caller gave an idempotency key.
    pub has_key: bool,
    /// No attempt starts at or after this time.
    pub deadline: Timestamp,
}

impl RequestPolicy {
    /// Whether a claim must be recorded before the request is sent; see [`crate::claims`].
    pub fn needs_claim(&self) -> bool {
        self.has_key && !self.repeatable
    }
}

/// How an attempt ended, as observed by the driver. In doubt, a driver reports the variant that
/// asserts less: [`AttemptEnd::BrokenBeforeHead`] rather than [`AttemptEnd::NotSent`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of the request was sent, for example because the connection was refused.
    NotSent,
    /// The back end reported that it refused the request before running it
    /// (`x-flaxward-not-run`).
    RefusedBeforeRunning,
    /// A complete answer with this HTTP status.
    Status(u16),
    /// The connection broke after a byte may have been sent and before the head of the answer was
    /// received.
    BrokenBeforeHead,
    /// The connection broke during a stream.
    BrokenMidStream {
        /// Index of the first frame that was not delivered.
        next_index: u64,
    },
    /// The answer is incomplete: shorter than its content length, without its terminator, or with a
    /// gap between frames.
    Truncated,
    /// The attempt timed out.
    TimedOut,
    /// The attempt was cancelled, because the caller disconnected or the daemon is stopping.
    Cancelled,
}

impl AttemptEnd {
    /// Whether the back end may have run the request in this attempt.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::NotSent | Self::RefusedBeforeRunning)
    }

    /// Whether a byte of the request may have reached a back end in this attempt.
    pub fn may_have_reached(self) -> bool {
        !matches!(self, Self::NotSent)
    }

    /// Whether the back end ran the request and produced the answer itself. Such an answer is
    /// passed to the caller; any other end may be followed by another attempt.
    pub fn has_completed(self) -> bool {
        matches!(self, Self::Status(status) if !RETRIED_STATUSES.contains(&status))
    }

    /// The result code of a request whose only attempt ended like this.
    pub(super) fn code(self) -> ResultCode {
        match self {
            Self::NotSent => ResultCode::BackendUnreachable,
            Self::RefusedBeforeRunning => ResultCode::BackendRefused,
            Self::BrokenMidStream { .. } => ResultCode::StreamBroken,
            Self::Truncated => ResultCode::BadAnswer,
            Self::Status(_) | Self::BrokenBeforeHead | Self::TimedOut | Self::Cancelled => {
                ResultCode::OutcomeUnknown
            }
        }
    }
}

/// How much of the answer the caller has received, in increasing order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Delivered {
    /// Nothing of the body.
    Nothing,
    /// Frames of a stream, up to but not including this index.
    Frames(u64),
    /// Some bytes of a body without frames, which no other attempt can resume.
    Bytes,
}

/// What to do after an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Retry the request under a new attempt id.
    Retry {
        /// First frame still needed, if the caller already has some.
        resume_from: Option<u64>,
        /// The runner that failed; chosen again only if there is no other.
        avoid: RunnerName,
    },
    /// Return this code to the caller. If part of the answer is delivered, the answer ends with an
    /// explicit error.
    Finish(ResultCode),
    /// The answer of this attempt is complete and goes to the caller.
    Done,
    /// The attempt is not the current one: discard its answer.
    Stale,
}
