//! How long an idle replica stays loaded.

use std::time::Duration;

use flaxward_types::configuration::PolicySpec;
use flaxward_types::{ArtifactId, Timestamp};

/// Keep-alive wished for, before the policy's bounds.
const WISHED: Duration = Duration::from_mins(10);

/// The same keep-alive for every artifact, within the policy's bounds.
#[derive(Clone, Debug)]
pub(super) struct KeepAlive {
    wished: Duration,
    arrivals: u64,
}

impl KeepAlive {
    pub(super) fn new() -> Self {
        Self {
            wished: WISHED,
            arrivals: 0,
        }
    }

    /// Notes that a request has arrived.
    pub(super) fn record_arrival(&mut self, _artifact: &ArtifactId, _now: Timestamp) {
        self.arrivals += 1;
    }

    /// How long the artifact stays loaded without requests.
    pub(super) fn unload_after(
        &self,
        _artifact: &ArtifactId,
        _now: Timestamp,
        policy: &PolicySpec,
        _load_time: Duration,
    ) -> Duration {
        let shortest = Duration::from_millis(policy.keep_alive_min_ms);
        let longest = Duration::from_millis(policy.keep_alive_max_ms);
        self.wished.min(longest).max(shortest)
    }
}
