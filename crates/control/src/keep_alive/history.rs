//! Usage history of one artifact, and the prewarm window derived from it.

use std::time::Duration;

use flaxward_types::Timestamp;

use super::histogram::Histogram;
use super::price::{Price, whole_millis};
use super::{PREWARM_SAMPLES, PRIOR_SAMPLES};

/// Number of latest idle times stored exactly, for prewarming.
const RECENT_IDLE_TIMES: usize = 8;

/// Minimum margin around recurring idle times, in seconds.
const PREWARM_MARGIN_SECONDS: f64 = 30.0;

/// Usage history of one artifact; under 250 bytes.
#[derive(Clone, Debug)]
pub(super) struct History {
    pub(super) last_use: Timestamp,
    pub(super) idle_times: Histogram,
    recent_seconds: [u32; RECENT_IDLE_TIMES],
    recorded: u32,
}

/// Range of idle times during which an artifact is prewarmed, from the start of its load.
#[derive(Clone, Copy)]
pub(super) struct PrewarmWindow {
    pub(super) start: Duration,
    pub(super) end: Duration,
}

impl History {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            last_use: now,
            idle_times: Histogram::new(),
            recent_seconds: [0; RECENT_IDLE_TIMES],
            recorded: 0,
        }
    }

    /// Weight of the next idle time in the prior. It decreases with the number of samples, so that
    /// the few busy artifacts do not dominate the prior of the many rarely used ones.
    pub(super) fn weight_in_prior(&self) -> f64 {
        PRIOR_SAMPLES / (PRIOR_SAMPLES + f64::from(self.recorded))
    }

    /// Records an idle time that has ended.
    pub(super) fn record(&mut self, idle: Duration) {
        self.idle_times.record(idle);
        let index = self.recorded as usize % RECENT_IDLE_TIMES;
        self.recent_seconds[index] = u32::try_from(idle.as_secs()).unwrap_or(u32::MAX);
        self.recorded = self.recorded.wrapping_add(1);
    }

    /// The prewarm window with the highest saving, if any is positive: it spans a run of recent
    /// idle times, in order of length, that outlast the time-out.
    pub(super) fn prewarm_window(&self, timeout: Duration, price: &Price) -> Option<PrewarmWindow> {
        let mut idle_times: Vec<f64> = self
            .recent()
            .map(|&seconds| f64::from(seconds))
            .filter(|&seconds| seconds > timeout.as_secs_f64())
            .collect();
        idle_times.sort_by(f64::total_cmp);
        let mut best = None;
        let mut max_saving = 0.0;
        for first in 0..idle_times.len() {
            for last in first + PREWARM_SAMPLES - 1..idle_times.len() {
                let (window, saving) = prewarm_window_between(&idle_times, first, last, price);
                let is_allowed = window.start > timeout
                    && window.end.saturating_sub(window.start) <= price.max_duration;
                if is_allowed && saving > max_saving {
                    max_saving = saving;
                    best = Some(window);
                }
            }
        }
        best
    }

    fn recent(&self) -> impl Iterator<Item = &u32> {
        self.recent_seconds
            .iter()
            .take((self.recorded as usize).min(RECENT_IDLE_TIMES))
    }
}

/// The window that covers a range of the sorted idle times, and its saving. One idle time that no
/// window covers is added to the recorded ones, because the next may differ from all of them.
fn prewarm_window_between(
    idle_times: &[f64],
    first: usize,
    last: usize,
    price: &Price,
) -> (PrewarmWindow, f64) {
    let covered = &idle_times[first..=last];
    #[allow(clippy::cast_precision_loss)]
    let (hits, outlasting) = (covered.len() as f64, (idle_times.len() - last) as f64);
    let spread = covered[covered.len() - 1] - covered[0];
    let margin = (spread / hits).max(PREWARM_MARGIN_SECONDS);
    let ready_at = (covered[0] - margin).max(0.0);
    let start = (ready_at - price.load_seconds).max(0.0);
    let end = covered[covered.len() - 1] + margin;
    let idle_seconds_of_hits: f64 = covered.iter().map(|idle| idle - start).sum();
    let idle_seconds = idle_seconds_of_hits + outlasting * (end - start);
    let saving = hits * price.cold_start - idle_seconds * price.idle_second;
    let window = PrewarmWindow {
        start: whole_millis(start),
        end: whole_millis(end),
    };
    (window, saving)
}
