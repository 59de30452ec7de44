//! Lines of the log: one for each decision about a request or about what the daemon believes.
//!
//! The number of lines in a second is bounded; what is left out is counted and told with the next
//! line that fits.

use std::fmt::Display;
use std::sync::Mutex;

use flaxward_settings::logs::state_change;
use flaxward_types::time::Timestamp;

use crate::counters::LOG_LINES_DROPPED;

/// Lines in a second at most.
const LINES_A_SECOND: u32 = 200;

#[derive(Debug, Default)]
struct Second {
    number: u64,
    lines: u32,
    left_out: u64,
}

/// Writes lines and keeps their number bounded.
#[derive(Debug, Default)]
pub(crate) struct DecisionLog {
    second: Mutex<Second>,
}

impl DecisionLog {
    /// Writes a line, unless too many were written in this second.
    pub(crate) fn write(&self, now: Timestamp, event: &str, fields: &[(&str, &dyn Display)]) {
        let Some(left_out) = self.admit(now) else {
            metrics::counter!(LOG_LINES_DROPPED.name).increment(1);
            return;
        };
        if left_out > 0 {
            state_change("lines-left-out", &[("lines", &left_out)]);
        }
        state_change(event, fields);
    }

    /// The number of lines left out before this one, or `None` if this one is left out too.
    fn admit(&self, now: Timestamp) -> Option<u64> {
        let Ok(mut second) = self.second.lock() else {
            return None;
        };
        let number = now.0 / 1_000;
        if second.number != number {
            second.number = number;
            second.lines = 0;
        }
        if second.lines >= LINES_A_SECOND {
            second.left_out += 1;
            return None;
        }
        second.lines += 1;
        Some(std::mem::take(&mut second.left_out))
    }
}
