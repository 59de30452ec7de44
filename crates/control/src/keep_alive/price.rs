//! Cost of cold starts and of idle seconds.

use std::time::Duration;

use flaxward_types::configuration::PolicySpec;

use super::{ACCELERATOR_BYTES, IDLE_SECONDS_PER_COLD_SECOND};

/// Costs, in an arbitrary common unit, and the policy's bounds on the keep-alive time.
pub(super) struct Price {
    pub(super) idle_second: f64,
    pub(super) cold_start: f64,
    pub(super) load_seconds: f64,
    pub(super) min_duration: Duration,
    pub(super) max_duration: Duration,
}

impl Price {
    pub(super) fn new(policy: &PolicySpec, load_time: Duration, bytes: u64) -> Self {
        #[allow(clippy::cast_precision_loss)] // sizes stay far below 2^52
        let accelerators = bytes as f64 / ACCELERATOR_BYTES as f64;
        let weight = policy.cold_start_weight.clamp(0.0, 1.0);
        let load_seconds = load_time.as_secs_f64();
        let min_duration = Duration::from_millis(policy.keep_alive_min_ms);
        Self {
            idle_second: (1.0 - weight) * accelerators,
            cold_start: weight * load_seconds * IDLE_SECONDS_PER_COLD_SECOND,
            load_seconds,
            min_duration,
            max_duration: Duration::from_millis(policy.keep_alive_max_ms).max(min_duration),
        }
    }

    /// Clamps a keep-alive time to the bounds. If idle seconds cost nothing, the maximum.
    pub(super) fn clamp(&self, seconds: f64) -> Duration {
        if self.idle_second <= 0.0 {
            return self.max_duration;
        }
        whole_millis(seconds).clamp(self.min_duration, self.max_duration)
    }
}

/// Rounds to whole milliseconds, the unit of every timestamp, so that a decision evaluated exactly
/// at the time it names counts as due.
pub(super) fn whole_millis(seconds: f64) -> Duration {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let millis = (seconds * 1_000.0).round() as u64;
    Duration::from_millis(millis)
}
