//! Parts of prompts on which answers have ended lately. Many requests share them, so they often break off with runners
//! that something else crashes.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::fingerprint::RequestFingerprint;

/// Time for which an answer on a part is remembered.
const RETENTION: Duration = Duration::from_mins(10);
/// Maximum number of parts; callers may make parts up.
const MAX_PARTS: usize = 8_192;

/// Parts on which answers have ended lately.
#[derive(Debug, Default)]
pub struct SoundParts {
    answered_at: HashMap<RequestFingerprint, Timestamp>,
    /// The parts in the order in which they were first recorded.
    order: VecDeque<RequestFingerprint>,
}

impl SoundParts {
    /// Records an answer on a part.
    pub fn record(&mut self, part: RequestFingerprint, now: Timestamp) {
        if self.answered_at.insert(part, now).is_some() {
            return;
        }
        self.order.push_back(part);
        if self.order.len() > MAX_PARTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.answered_at.remove(&oldest);
        }
    }

    /// Whether there was an answer on a part lately.
    pub fn contains(&self, part: &RequestFingerprint, now: Timestamp) -> bool {
        let answered_at = self.answered_at.get(part);
        answered_at.is_some_and(|at| now.since(*at) < RETENTION)
    }
}
