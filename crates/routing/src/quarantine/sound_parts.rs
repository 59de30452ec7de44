//! Parts of prompts on which runners have begun an answer. A part that crashes runners does so at the beginning, whatever
//! else the request holds, so that these are not suspected.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use flaxward_types::time::Timestamp;

use crate::fingerprint::RequestFingerprint;

/// Time for which a part is not suspected after an answer has begun on it.
const RETENTION: Duration = Duration::from_mins(10);
/// Maximum number of parts; callers may make parts up.
const MAX_PARTS: usize = 8_192;

/// Parts on which answers have begun lately.
#[derive(Debug, Default)]
pub struct SoundParts {
    begun_at: HashMap<RequestFingerprint, Timestamp>,
    /// The parts in the order in which they were first recorded.
    order: VecDeque<RequestFingerprint>,
}

impl SoundParts {
    /// Records that a runner has begun an answer on a part.
    pub fn record(&mut self, part: RequestFingerprint, now: Timestamp) {
        if self.begun_at.insert(part, now).is_some() {
            return;
        }
        self.order.push_back(part);
        if self.order.len() > MAX_PARTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.begun_at.remove(&oldest);
        }
    }

    /// Whether a runner has begun an answer on a part lately.
    pub fn contains(&self, part: &RequestFingerprint, now: Timestamp) -> bool {
        let begun_at = self.begun_at.get(part);
        begun_at.is_some_and(|at| now.since(*at) < RETENTION)
    }
}
