//! Checks the order and completeness of a streamed response across all attempts of its request.
//!
//! Frames carry an index that counts from 0 over the whole response. Each is delivered once, in
//! order. After an attempt fails, the next is asked to resume at [`FrameChecker::next_index`]. If
//! it starts at 0 anyway, the frames that the caller already has are discarded as duplicates.

use flaxward_types::AttemptId;

/// What to do with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameVerdict {
    /// Forward it to the caller.
    Deliver,
    /// The caller already has it: discard it.
    Duplicate,
    /// An earlier frame is missing, or it follows the terminator: abandon the attempt as truncated.
    Gap {
        /// Index of the first missing frame.
        expected: u64,
    },
    /// It belongs to another attempt than the current one: discard it.
    Stale,
}

/// Outcome of a stream whose connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The caller has every frame.
    Complete,
    /// Frames are missing.
    Truncated,
    /// The connection belonged to another attempt than the current one.
    Stale,
}

/// State of the current attempt's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamState {
    Open,
    /// The terminator was received and is consistent with the frames.
    Terminated,
    /// A frame was missing or the terminator was inconsistent; the rest of the attempt is ignored.
    Broken,
}

/// Checks the frames of one request.
#[derive(Clone, Debug)]
pub struct FrameChecker {
    attempt: AttemptId,
    next_index: u64,
    /// One past the highest frame index of the current attempt, if it has delivered any frame.
    attempt_next: Option<u64>,
    state: StreamState,
}

impl FrameChecker {
    /// A checker for a request whose first attempt is `attempt`.
    pub fn new(attempt: AttemptId) -> Self {
        Self {
            attempt,
            next_index: 0,
            attempt_next: None,
            state: StreamState::Open,
        }
    }

    /// Switches to another attempt; frames of earlier attempts are discarded from now on.
    pub fn begin(&mut self, attempt: AttemptId) {
        self.attempt = attempt;
        self.attempt_next = None;
        self.state = StreamState::Open;
    }

    /// Index of the first frame that the caller does not have.
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Classifies a frame.
    pub fn feed(&mut self, attempt: AttemptId, index: u64) -> FrameVerdict {
        if attempt != self.attempt {
            return FrameVerdict::Stale;
        }
        if self.state != StreamState::Open || index > self.next_index {
            self.state = StreamState::Broken;
            return FrameVerdict::Gap {
                expected: self.next_index,
            };
        }
        self.attempt_next = self.attempt_next.max(Some(index + 1));
        if index < self.next_index {
            return FrameVerdict::Duplicate;
        }
        self.next_index += 1;
        FrameVerdict::Deliver
    }

    /// Processes the terminator of the stream, with the number of frames if it states one; without
    /// it, frames missing right before the terminator cannot be detected. An attempt that ends
    /// before the last frame that the caller has produced a different response, so it does not
    /// complete this one.
    pub fn feed_terminator(&mut self, attempt: AttemptId, total: Option<u64>) {
        if attempt != self.attempt || self.state != StreamState::Open {
            return;
        }
        let caught_up = self.attempt_next.is_none_or(|next| next == self.next_index);
        let is_consistent = total.is_none_or(|total| total == self.next_index);
        self.state = if caught_up && is_consistent {
            StreamState::Terminated
        } else {
            StreamState::Broken
        };
    }

    /// Classifies the end of the connection.
    pub fn finish(&self, attempt: AttemptId) -> StreamEnd {
        if attempt != self.attempt {
            return StreamEnd::Stale;
        }
        match self.state {
            StreamState::Terminated => StreamEnd::Complete,
            StreamState::Open | StreamState::Broken => StreamEnd::Truncated,
        }
    }
}

/// Classifies the end of a response without frames. The HTTP library reports a body that is shorter
/// than its content length or lacks its last chunk as an error; `body_error` says whether it did. A
/// body that states no length and ends with the connection cannot be distinguished from a truncated
/// one, so it counts as truncated.
pub fn finish_body(body_error: bool, length_is_stated: bool) -> StreamEnd {
    if body_error || !length_is_stated {
        StreamEnd::Truncated
    } else {
        StreamEnd::Complete
    }
}
