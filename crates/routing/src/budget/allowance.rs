//! One daemon's part of the allowance, in a token bucket for each service.
//!
//! A bucket starts empty and fills over time, so a daemon that starts again has nothing of what its earlier process may
//! have spent a moment ago. When the number of daemons falls, the part of each grows, but no bucket holds more than
//! before: what the others have left unspent is not handed on, and the larger part flows in over time.

use std::time::Duration;

use flaxward_types::time::Timestamp;

use super::units;

/// Part of the allowance that full buckets hold, over all daemons.
const CAPACITY_SHARE: f64 = 0.7;
/// Part of the allowance that flows into all buckets together within a window. With what full buckets hold, it stays
/// below the allowance in any window; the rest covers daemons that go on filling their buckets for [`MAX_SILENCE`]
/// after they were cut off, and requests that are not spread evenly over time.
const REFILL_SHARE: f64 = 0.25;
/// Time after the last word of a coordinator from which a daemon no longer has a part: others may share it by then.
/// A takeover after a coordinator has died is over sooner.
const MAX_SILENCE: Duration = Duration::from_secs(6);

/// The size of one daemon's part.
#[derive(Clone, Copy, Debug)]
pub(super) struct AllowancePart {
    /// Number of daemons among which the allowance is divided.
    pub daemons: usize,
    heard_at: Timestamp,
    /// What a full bucket holds, in units.
    capacity: u64,
    /// Retries that flow into a bucket within a second.
    refill_per_second: f64,
}

impl AllowancePart {
    /// The part of one of `daemons` daemons, as a coordinator announced it at `heard_at`. The allowance is counted in
    /// retries in each window.
    #[allow(clippy::cast_precision_loss)]
    pub fn new(allowance: f64, window: Duration, daemons: usize, heard_at: Timestamp) -> Self {
        let part = allowance / daemons.max(1) as f64;
        Self {
            daemons,
            heard_at,
            capacity: units(part * CAPACITY_SHARE),
            refill_per_second: part * REFILL_SHARE / window.as_secs_f64(),
        }
    }

    /// Whether the coordinator was silent for so long that the part no longer counts.
    pub fn has_lapsed(&self, now: Timestamp) -> bool {
        now.since(self.heard_at) >= MAX_SILENCE
    }
}

/// What is left of the allowance for one service.
#[derive(Clone, Copy, Debug)]
pub(super) struct AllowanceBucket {
    level: u64,
    refilled_at: Timestamp,
}

impl AllowanceBucket {
    /// An empty bucket.
    pub fn empty(now: Timestamp) -> Self {
        Self {
            level: 0,
            refilled_at: now,
        }
    }

    /// Adds what has flowed in until `now`, or empties the bucket if there is no part or it has lapsed.
    pub fn refill(&mut self, part: Option<&AllowancePart>, now: Timestamp) {
        let elapsed = now.since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let Some(part) = part.filter(|part| !part.has_lapsed(now)) else {
            self.level = 0;
            return;
        };
        let gained = units(part.refill_per_second * elapsed.as_secs_f64());
        self.level = (self.level + gained).min(part.capacity);
    }

    /// What the bucket holds, in units.
    pub fn level(&self) -> u64 {
        self.level
    }

    /// Takes `units`, or what is left if that is less.
    pub fn spend(&mut self, units: u64) {
        self.level = self.level.saturating_sub(units);
    }
}
