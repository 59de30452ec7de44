//! Order and completeness of a streamed answer, over all attempts of its request.
//!
//! Frames carry an index that counts from 0 over the whole answer. Each is delivered once, in
//! order. After an attempt broke, the next is asked to resume at [`FrameChecker::next_index`]; one
//! that starts at 0 all the same has the frames that the caller holds discarded as duplicates.

use flaxward_types::AttemptId;

/// What to do with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameVerdict {
    /// Pass it on to the caller.
    Deliver,
    /// The caller has it: discard it.
    Duplicate,
    /// A frame before it is missing, or it follows the end: give the attempt up as truncated.
    Gap {
        /// Index of the first frame that is missing.
        expected: u64,
    },
    /// It belongs to an attempt that is not the current one: discard it.
    Stale,
}

/// What the end of a connection means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The caller has every frame.
    Complete,
    /// Frames are missing.
    Truncated,
    /// It is the end of an attempt that is not the current one.
    Stale,
}

/// State of the current attempt's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Open,
    /// The terminator came and agrees with the frames.
    Terminated,
    /// A frame was missing or the terminator disagreed; nothing more of the attempt is used.
    Broken,
}

/// Checks the frames of one request.
#[derive(Clone, Debug)]
pub struct FrameChecker {
    attempt: AttemptId,
    next_index: u64,
    /// One past the highest frame of the current attempt, if it has brought any.
    attempt_next: Option<u64>,
    flow: Flow,
}

impl FrameChecker {
    /// A checker for a request whose first attempt is `attempt`.
    pub fn new(attempt: AttemptId) -> Self {
        Self {
            attempt,
            next_index: 0,
            attempt_next: None,
            flow: Flow::Open,
        }
    }

    /// Goes on with another attempt; frames of the former are discarded from now on.
    pub fn begin(&mut self, attempt: AttemptId) {
        self.attempt = attempt;
        self.attempt_next = None;
        self.flow = Flow::Open;
    }

    /// Index of the first frame that the caller does not have.
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Judges a frame.
    pub fn feed(&mut self, attempt: AttemptId, index: u64) -> FrameVerdict {
        if attempt != self.attempt {
            return FrameVerdict::Stale;
        }
        if self.flow != Flow::Open || index > self.next_index {
            self.flow = Flow::Broken;
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

    /// Notes the terminator of the stream, with the number of frames if it states one; without it,
    /// frames left out right before the terminator cannot be noticed. An attempt
    /// that ends before the frames that the caller holds has brought another answer, so it does
    /// not complete this one.
    pub fn feed_terminator(&mut self, attempt: AttemptId, total: Option<u64>) {
        if attempt != self.attempt || self.flow != Flow::Open {
            return;
        }
        let caught_up = self.attempt_next.is_none_or(|next| next == self.next_index);
        let agrees = total.is_none_or(|total| total == self.next_index);
        self.flow = if caught_up && agrees {
            Flow::Terminated
        } else {
            Flow::Broken
        };
    }

    /// Judges the end of the connection.
    pub fn finish(&self, attempt: AttemptId) -> StreamEnd {
        if attempt != self.attempt {
            return StreamEnd::Stale;
        }
        match self.flow {
            Flow::Terminated => StreamEnd::Complete,
            Flow::Open | Flow::Broken => StreamEnd::Truncated,
        }
    }
}

/// Judges the end of an answer without frames. The HTTP library reports a body that is short of its
/// content length or lacks its last chunk as an error; `body_error` says whether it did. A body
/// that ends with the connection and states no length cannot be told from a truncated one, so it
/// counts as truncated.
pub fn finish_body(body_error: bool, length_is_stated: bool) -> StreamEnd {
    if body_error || !length_is_stated {
        StreamEnd::Truncated
    } else {
        StreamEnd::Complete
    }
}
