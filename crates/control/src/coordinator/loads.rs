//! Loads in progress, the permits for the weight store, and measured speeds.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_types::engine::Inventory;
use flaxward_types::records::Slot;
use flaxward_types::time::millis;
use flaxward_types::{ArtifactId, BootId, RunnerName, Timestamp};

use super::interface::CoordinatorSettings;

/// Loads up to this size, in bytes, update the startup time and not the transfer speed.
const SMALL_LOAD_BYTES: u64 = 1 << 30;
/// Weight of the latest measurement in the moving average of a speed, in percent.
const SPEED_WEIGHT_PERCENT: u64 = 30;
/// Maximum backoff after failed loads.
const MAX_BACKOFF: Duration = Duration::from_mins(10);
/// Maximum number of tokens in the bucket of the rate limit.
const RATE_BURST: f64 = 1.0;

/// Source of the weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Tier {
    /// Main memory of the machine.
    Memory,
    /// Disk of the machine.
    Disk,
    /// The weight store.
    Remote,
}

impl Tier {
    /// The source from which a machine with this inventory loads the weights of an artifact.
    pub(super) fn of(artifact: &ArtifactId, inventory: &Inventory) -> Self {
        if inventory.in_memory.contains(artifact) {
            Self::Memory
        } else if inventory.on_disk.contains(artifact) {
            Self::Disk
        } else {
            Self::Remote
        }
    }
}

/// Stage of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waiting for its slot, for memory, for its base or for a permit.
    Queued,
    /// The order has been sent.
    Ordered,
    /// The engine has accepted it.
    Loading,
}

/// One load.
#[derive(Clone, Debug)]
pub(super) struct Load {
    pub(super) bytes: u64,
    pub(super) tier: Tier,
    pub(super) stage: Stage,
    pub(super) boot: BootId,
    /// When it was decided.
    pub(super) decided: Timestamp,
    /// When the order was sent.
    pub(super) started: Timestamp,
    /// Expected time from the order until it is ready.
    pub(super) expected: Duration,
    /// Loads are queued by priority, then by deadline.
    pub(super) priority: u8,
    pub(super) deadline: Timestamp,
}

impl Load {
    /// Whether its order may have reached the engine.
    pub(super) fn is_ordered(&self) -> bool {
        self.stage != Stage::Queued
    }

    /// Estimated time until it is ready.
    pub(super) fn remaining(&self, now: Timestamp) -> Duration {
        if !self.is_ordered() {
            return self.expected;
        }
        let elapsed = now.since(self.started);
        self.expected.saturating_sub(elapsed).max(elapsed / 4)
    }
}

/// All loads in progress.
pub(super) type Loads = BTreeMap<Slot, Load>;

/// Number of ordered loads from the weight store.
pub(super) fn remote_in_progress(loads: &Loads) -> u32 {
    let remote = |load: &&Load| load.tier == Tier::Remote && load.is_ordered();
    u32::try_from(loads.values().filter(remote).count()).unwrap_or(u32::MAX)
}

/// Number of queued loads from the weight store.
pub(super) fn remote_queued(loads: &Loads) -> u32 {
    let queued = |load: &&Load| load.tier == Tier::Remote && !load.is_ordered();
    u32::try_from(loads.values().filter(queued).count()).unwrap_or(u32::MAX)
}

/// Duration model of a load from one tier.
#[derive(Clone, Copy, Debug)]
struct Speed {
    /// Time that a load takes regardless of its size, such as for warm-up.
    startup: Duration,
    bytes_per_second: u64,
}

/// Measured load speeds by tier.
///
/// A small load measures the startup time, a large one the transfer speed. If small loads counted
/// towards the speed, the startup time of an adapter's load would make every model appear slow.
#[derive(Clone, Debug)]
pub(super) struct Speeds {
    by_tier: BTreeMap<Tier, Speed>,
}

impl Speeds {
    pub(super) fn new(settings: &CoordinatorSettings) -> Self {
        let assumed = |bytes_per_second| Speed {
            startup: Duration::ZERO,
            bytes_per_second,
        };
        Self {
            by_tier: BTreeMap::from([
                (Tier::Memory, assumed(settings.memory_bytes_per_second)),
                (Tier::Disk, assumed(settings.disk_bytes_per_second)),
                (Tier::Remote, assumed(settings.remote_bytes_per_second)),
            ]),
        }
    }

    /// Expected duration of a load.
    pub(super) fn duration(&self, tier: Tier, bytes: u64) -> Duration {
        let speed = self.by_tier.get(&tier);
        speed.map_or(Duration::ZERO, |speed| {
            speed.startup + transfer(bytes, speed.bytes_per_second)
        })
    }

    /// Updates the model with a finished load.
    pub(super) fn record(&mut self, tier: Tier, bytes: u64, took: Duration) {
        let Some(speed) = self.by_tier.get_mut(&tier) else {
            return;
        };
        if bytes <= SMALL_LOAD_BYTES {
            let startup = took.saturating_sub(transfer(bytes, speed.bytes_per_second));
            speed.startup = Duration::from_millis(average(millis(speed.startup), millis(startup)));
            return;
        }
        let transfer_ms = millis(took.saturating_sub(speed.startup)).max(1);
        let measured = bytes.saturating_mul(1000) / transfer_ms;
        speed.bytes_per_second = average(speed.bytes_per_second, measured).max(1);
    }
}

/// Updates an exponential moving average with a measurement.
fn average(old: u64, measured: u64) -> u64 {
    let old = old.saturating_mul(100 - SPEED_WEIGHT_PERCENT);
    let new = measured.saturating_mul(SPEED_WEIGHT_PERCENT);
    old.saturating_add(new) / 100
}

fn transfer(bytes: u64, bytes_per_second: u64) -> Duration {
    Duration::from_millis(millis_for(bytes, bytes_per_second.max(1)))
}

fn millis_for(bytes: u64, bytes_per_second: u64) -> u64 {
    let millis = u128::from(bytes) * 1000 / u128::from(bytes_per_second);
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// Token bucket that limits the loads started per second from the weight store.
#[derive(Clone, Debug, Default)]
pub(super) struct RateLimit {
    tokens: f64,
    refilled_at: Option<Timestamp>,
}

impl RateLimit {
    /// Takes a token for one load, if one is available.
    pub(super) fn take(&mut self, per_second: f64, now: Timestamp) -> bool {
        let passed = self.refilled_at.map_or(f64::INFINITY, |refilled_at| {
            now.since(refilled_at).as_secs_f64()
        });
        let refilled = self.tokens + passed * per_second.max(0.0);
        // Zero times infinity is NaN: at a rate of zero the bucket still starts full.
        self.tokens = if refilled.is_nan() {
            RATE_BURST
        } else {
            refilled.min(RATE_BURST)
        };
        self.refilled_at = Some(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Load failures of an artifact.
#[derive(Clone, Debug, Default)]
struct Failure {
    tries: u32,
    runners: Vec<RunnerName>,
    blocked_until: Option<Timestamp>,
    backoff: Duration,
}

/// Failed loads: which runners to avoid, and when to retry.
#[derive(Clone, Debug, Default)]
pub(super) struct Failures {
    by_artifact: BTreeMap<ArtifactId, Failure>,
}

impl Failures {
    /// Records a failed load.
    pub(super) fn failed(
        &mut self,
        artifact: &ArtifactId,
        runner: &RunnerName,
        now: Timestamp,
        settings: &CoordinatorSettings,
    ) {
        let failure = self.by_artifact.entry(artifact.clone()).or_default();
        failure.tries += 1;
        failure.runners.push(runner.clone());
        if failure.tries >= settings.load_tries {
            self.back_off(artifact, now, settings);
        }
    }

    /// Starts a backoff, longer each time, once no runner is left to try. Returns its end.
    pub(super) fn back_off(
        &mut self,
        artifact: &ArtifactId,
        now: Timestamp,
        settings: &CoordinatorSettings,
    ) -> Timestamp {
        let failure = self.by_artifact.entry(artifact.clone()).or_default();
        failure.backoff = (failure.backoff * 2)
            .max(settings.load_backoff)
            .min(MAX_BACKOFF);
        let until = now + failure.backoff;
        failure.blocked_until = Some(until);
        failure.tries = 0;
        failure.runners.clear();
        until
    }

    /// Clears the failures of an artifact that is ready.
    pub(super) fn succeeded(&mut self, artifact: &ArtifactId) {
        self.by_artifact.remove(artifact);
    }

    /// Until when loads of the artifact are not tried.
    pub(super) fn blocked_until(&self, artifact: &ArtifactId, now: Timestamp) -> Option<Timestamp> {
        let until = self.by_artifact.get(artifact)?.blocked_until?;
        (now < until).then_some(until)
    }

    /// Whether the artifact has failed on a runner since the last backoff.
    pub(super) fn failed_on(&self, artifact: &ArtifactId, runner: &RunnerName) -> bool {
        let failure = self.by_artifact.get(artifact);
        failure.is_some_and(|failure| failure.runners.contains(runner))
    }

    /// Artifacts that have failed and not succeeded since.
    pub(super) fn artifacts(&self) -> Vec<ArtifactId> {
        self.by_artifact.keys().cloned().collect()
    }
}
