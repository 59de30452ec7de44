//! What the machine of a request is told and what it answers.

use flaxward_types::{ResultCode, RunnerName, Timestamp};

/// Statuses by which a back end or something before it says that it cannot answer now. A request
/// that may be repeated is tried elsewhere after them.
const RETRIED_STATUSES: [u16; 3] = [502, 503, 504];

/// Limits of one request's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptSettings {
    /// Attempts of one request at most, the first included.
    pub max_attempts: u32,
}

impl Default for AttemptSettings {
    fn default() -> Self {
        Self { max_attempts: 3 }
    }
}

/// What is known of a request before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestPolicy {
    /// Whether running it twice does no harm.
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

/// How an attempt ended, as the driver saw it. A driver in doubt reports the variant that leaves
/// more open: [`AttemptEnd::BrokenBeforeHead`] rather than [`AttemptEnd::NotSent`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of the request was sent, such as when the connection was refused.
    NotSent,
    /// The back end itself said that it refused before running (`x-flaxward-not-run`).
    RefusedBeforeRunning,
    /// A whole answer with this HTTP status.
    Status(u16),
    /// The connection broke after a byte may have been sent and before the head of the answer.
    BrokenBeforeHead,
    /// The connection broke in a stream.
    BrokenMidStream {
        /// Index of the first frame that was not delivered.
        next_index: u64,
    },
    /// The answer ended before its own end: short of its content length, without its terminator,
    /// or with a gap between frames.
    Truncated,
    /// The time allowed for this attempt has passed.
    TimedOut,
    /// The attempt was given up, because the caller has gone or the daemon stops.
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

    /// Whether the back end has run the request to an answer of its own. Such an answer is the caller's; any other end
    /// may be followed by another attempt.
    pub fn has_completed(self) -> bool {
        matches!(self, Self::Status(status) if !RETRIED_STATUSES.contains(&status))
    }

    /// The code for a request whose only attempt ended like this.
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

/// What the caller has received of an answer. The order is that of growth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Delivered {
    /// Nothing of the body.
    Nothing,
    /// Frames of a stream, up to and without this index.
    Frames(u64),
    /// Some bytes of a body without frames, which no other attempt can continue.
    Bytes,
}

/// What to do after an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the request again, under a new attempt id.
    SendAgain {
        /// First frame still needed, if the caller already has some.
        resume_from: Option<u64>,
        /// The machine that failed; to be chosen again only if there is no other.
        avoid: RunnerName,
    },
    /// Tell the caller this. If part of the answer is delivered, it ends in a stated error.
    Finish(ResultCode),
    /// The whole answer of this attempt is the caller's.
    Done,
    /// The attempt is not the current one: discard what it brought.
    Stale,
}
