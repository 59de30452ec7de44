//! Decision log: one line per decision about a request or per change of the daemon's state.
//!
//! The number of lines per second is limited. Dropped lines are counted, and their number is logged with the next
//! line that is written.

use std::fmt::Display;
use std::sync::Mutex;

use flaxward_settings::logs::state_change;
use flaxward_types::time::Timestamp;

use crate::counters::LOG_LINES_DROPPED;

/// Maximum number of lines per second.
const MAX_LINES_PER_SECOND: u32 = 200;

#[derive(Debug, Default)]
struct LogWindow {
    second: u64,
    lines: u32,
    dropped: u64,
}

/// Writes log lines at a limited rate.
#[derive(Debug, Default)]
pub(crate) struct DecisionLog {
    window: Mutex<LogWindow>,
}

impl DecisionLog {
    /// Writes a line, or drops it if the limit for this second is reached.
    pub(crate) fn write(&self, now: Timestamp, event: &str, fields: &[(&str, &dyn Display)]) {
        let Some(dropped) = self.admit(now) else {
            metrics::counter!(LOG_LINES_DROPPED.name).increment(1);
            return;
        };
        if dropped > 0 {
            state_change("lines-left-out", &[("lines", &dropped)]);
        }
        state_change(event, fields);
    }

    /// Returns the number of lines dropped since the last one written, or `None` if this one must be dropped too.
    fn admit(&self, now: Timestamp) -> Option<u64> {
        let Ok(mut window) = self.window.lock() else {
            return None;
        };
        let second = now.0 / 1_000;
        if window.second != second {
            window.second = second;
            window.lines = 0;
        }
        if window.lines >= MAX_LINES_PER_SECOND {
            window.dropped += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.dropped))
    }
}
