//! What is known of one artifact, and when to load it ahead of need.

use std::time::Duration;

use flaxward_types::Timestamp;

use super::histogram::Histogram;
use super::price::{Price, whole_millis};
use super::{PREWARM_SAMPLES, PRIOR_SAMPLES};

/// Latest idle times remembered exactly, to load ahead of need.
const RECENT: usize = 8;

/// Least margin around recurring idle times, in seconds.
const PREWARM_MARGIN_SECONDS: f64 = 30.0;

/// What is known of one artifact; under 250 bytes.
#[derive(Clone, Debug)]
pub(super) struct History {
    pub(super) last_use: Timestamp,
    pub(super) idle_times: Histogram,
    recent_seconds: [u32; RECENT],
    recorded: u32,
}

/// A stay ahead of need, from the start of the load; idle times.
#[derive(Clone, Copy)]
pub(super) struct SecondStay {
    pub(super) start: Duration,
    pub(super) end: Duration,
}

impl History {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            last_use: now,
            idle_times: Histogram::new(),
            recent_seconds: [0; RECENT],
            recorded: 0,
        }
    }

    /// Weight of the next idle time in the prior. The more samples an artifact has, the less it counts
    /// there, so that the few busy artifacts do not speak for the many rare ones.
    pub(super) fn weight_in_prior(&self) -> f64 {
        PRIOR_SAMPLES / (PRIOR_SAMPLES + f64::from(self.recorded))
    }

    /// Counts an idle time that has ended.
    pub(super) fn record(&mut self, idle: Duration) {
        self.idle_times.record(idle);
        let place = self.recorded as usize % RECENT;
        self.recent_seconds[place] = u32::try_from(idle.as_secs()).unwrap_or(u32::MAX);
        self.recorded = self.recorded.wrapping_add(1);
    }

    /// The stay ahead of need that saves most, if one saves anything: between the shortest and the
    /// longest of some recent idle times that outlast the first stay.
    pub(super) fn second_stay(&self, first_stay: Duration, price: &Price) -> Option<SecondStay> {
        let mut idle_times: Vec<f64> = self
            .recent()
            .map(|&seconds| f64::from(seconds))
            .filter(|&seconds| seconds > first_stay.as_secs_f64())
            .collect();
        idle_times.sort_by(f64::total_cmp);
        let mut best = None;
        let mut most_saved = 0.0;
        for first in 0..idle_times.len() {
            for last in first + PREWARM_SAMPLES - 1..idle_times.len() {
                let (stay, saved) = second_stay_between(&idle_times, first, last, price);
                let allowed =
                    stay.start > first_stay && stay.end.saturating_sub(stay.start) <= price.longest;
                if allowed && saved > most_saved {
                    most_saved = saved;
                    best = Some(stay);
                }
            }
        }
        best
    }

    fn recent(&self) -> impl Iterator<Item = &u32> {
        self.recent_seconds
            .iter()
            .take((self.recorded as usize).min(RECENT))
    }
}

/// The stay that covers some of the sorted idle times, and what it saves. One idle time that no stay
/// covers is added to those seen, because the next may be unlike them all.
fn second_stay_between(
    idle_times: &[f64],
    first: usize,
    last: usize,
    price: &Price,
) -> (SecondStay, f64) {
    let covered = &idle_times[first..=last];
    #[allow(clippy::cast_precision_loss)]
    let (hits, passing) = (covered.len() as f64, (idle_times.len() - last) as f64);
    let spread = covered[covered.len() - 1] - covered[0];
    let margin = (spread / hits).max(PREWARM_MARGIN_SECONDS);
    let ready = (covered[0] - margin).max(0.0);
    let start = (ready - price.load_seconds).max(0.0);
    let end = covered[covered.len() - 1] + margin;
    let held_by_hits: f64 = covered.iter().map(|idle| idle - start).sum();
    let held_seconds = held_by_hits + passing * (end - start);
    let saved = hits * price.cold_start - held_seconds * price.idle_second;
    let stay = SecondStay {
        start: whole_millis(start),
        end: whole_millis(end),
    };
    (stay, saved)
}
