//! Rules for how long an idle replica is kept: flaxward's, and the baselines.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_control::keep_alive::{ACCELERATOR_BYTES, IDLE_SECONDS_PER_COLD_SECOND, KeepAlive};
use flaxward_types::configuration::PolicySpec;
use flaxward_types::{ArtifactId, Timestamp};

use crate::calls::Call;

/// Time after the next call for which the oracle keeps a replica, so that the call finds it.
const ORACLE_SLACK: Duration = Duration::from_secs(5);

/// How long a replica stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stay {
    /// When it is unloaded.
    pub unload_at: Timestamp,
    /// When to load it ahead of need, if ever.
    pub load_at: Option<Timestamp>,
}

/// What a replica costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaCost {
    /// Time to load it from the weight store.
    pub load_time: Duration,
    /// Accelerator memory it takes, in bytes.
    pub bytes: u64,
}

/// A rule for keeping idle replicas.
pub trait Retention {
    /// Notes that an artifact is in use.
    fn used(&mut self, artifact: &ArtifactId, now: Timestamp);

    /// How long an artifact that was last used at some time stays.
    fn stay(
        &self,
        artifact: &ArtifactId,
        last_use: Timestamp,
        now: Timestamp,
        cost: ReplicaCost,
    ) -> Stay;

    /// Idle time after which all replicas of an artifact but one go; none if they stay like the one.
    fn surplus_after(&self) -> Option<Duration> {
        None
    }
}

/// Flaxward's own rule.
#[derive(Debug)]
pub struct Learnt {
    keep_alive: KeepAlive,
    policy: PolicySpec,
}

impl Learnt {
    /// One that knows nothing yet.
    pub fn new(policy: PolicySpec) -> Self {
        Self {
            keep_alive: KeepAlive::new(),
            policy,
        }
    }
}

impl Retention for Learnt {
    fn used(&mut self, artifact: &ArtifactId, now: Timestamp) {
        self.keep_alive.record_arrival(artifact, now);
    }

    fn stay(
        &self,
        artifact: &ArtifactId,
        last_use: Timestamp,
        now: Timestamp,
        cost: ReplicaCost,
    ) -> Stay {
        let decision = self.keep_alive.decide_for_size(
            artifact,
            now,
            &self.policy,
            cost.load_time,
            cost.bytes,
        );
        Stay {
            unload_at: last_use + decision.unload_after,
            load_at: decision.prewarm_after.map(|after| last_use + after),
        }
    }

    fn surplus_after(&self) -> Option<Duration> {
        Some(Duration::from_millis(self.policy.keep_alive_min_ms))
    }
}

/// The same time for all; zero unloads at once.
#[derive(Clone, Copy, Debug)]
pub struct Fixed(pub Duration);

impl Retention for Fixed {
    fn used(&mut self, _artifact: &ArtifactId, _now: Timestamp) {}

    fn stay(&self, _: &ArtifactId, last_use: Timestamp, _: Timestamp, _: ReplicaCost) -> Stay {
        Stay {
            unload_at: last_use + self.0,
            load_at: None,
        }
    }
}

/// Knows the calls to come: keeps a replica until its next call if that costs less than loading it
/// again, at the price of flaxward's own rule, and unloads it at once if not. It loads nothing ahead
/// of need, since it would then never have a cold start nor an idle second.
#[derive(Debug)]
pub struct Oracle {
    calls: BTreeMap<ArtifactId, Vec<Timestamp>>,
    weight: f64,
}

impl Oracle {
    /// One that knows these calls, for a weight of cold starts.
    pub fn new(calls: &[Call], weight: f64) -> Self {
        let mut known: BTreeMap<ArtifactId, Vec<Timestamp>> = BTreeMap::new();
        for call in calls {
            let artifact = call.artifact.clone();
            if artifact.is_adapter() {
                known.entry(artifact.base()).or_default().push(call.at);
            }
            known.entry(artifact).or_default().push(call.at);
        }
        Self {
            calls: known,
            weight,
        }
    }

    fn next_call(&self, artifact: &ArtifactId, after: Timestamp) -> Option<Timestamp> {
        let calls = self.calls.get(artifact)?;
        calls.get(calls.partition_point(|&at| at <= after)).copied()
    }
}

impl Retention for Oracle {
    fn used(&mut self, _artifact: &ArtifactId, _now: Timestamp) {}

    fn stay(
        &self,
        artifact: &ArtifactId,
        last_use: Timestamp,
        _now: Timestamp,
        cost: ReplicaCost,
    ) -> Stay {
        let load_seconds = cost.load_time.as_secs_f64();
        let cold_start = self.weight * load_seconds * IDLE_SECONDS_PER_COLD_SECOND;
        #[allow(clippy::cast_precision_loss)] // sizes stay far below 2^52
        let accelerators = cost.bytes as f64 / ACCELERATOR_BYTES as f64;
        let idle_second = (1.0 - self.weight) * accelerators;
        let next = self.next_call(artifact, last_use);
        let kept =
            next.filter(|next| next.since(last_use).as_secs_f64() * idle_second <= cold_start);
        Stay {
            unload_at: kept.map_or(last_use, |next| next + ORACLE_SLACK),
            load_at: None,
        }
    }

    fn surplus_after(&self) -> Option<Duration> {
        Some(Duration::ZERO)
    }
}
