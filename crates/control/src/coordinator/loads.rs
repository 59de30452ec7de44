//! Loads in progress, the permits for the weight store, and measured speeds.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_types::engine::Inventory;
use flaxward_types::records::Slot;
use flaxward_types::time::millis;
use flaxward_types::{ArtifactId, BootId, RunnerName, Timestamp};

use super::interface::CoordinatorSettings;

/// Loads up to this size, in bytes, are measured for their start and not for their speed.
const SMALL_LOAD_BYTES: u64 = 1 << 30;
/// Weight of the latest measurement in the moving average of a speed, in percent.
const SPEED_WEIGHT_PERCENT: u64 = 30;
/// Longest pause after failed loads.
const LONGEST_BACKOFF: Duration = Duration::from_mins(10);
/// Tokens that the rate limit saves up at most.
const RATE_BURST: f64 = 1.0;

/// Where the weights come from.
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
    /// Where a machine with this inventory would take the weights of an artifact from.
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

/// How far a load is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waits for its slot, for memory, for its base or for a permit.
    Queued,
    /// The order is sent.
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
    /// Time from the order to ready expected.
    pub(super) expected: Duration,
    /// Rank in the queue: priority, then deadline.
    pub(super) priority: u8,
    pub(super) deadline: Timestamp,
}

impl Load {
    /// Whether its order may have reached the engine.
    pub(super) fn is_ordered(&self) -> bool {
        self.stage != Stage::Queued
    }

    /// Time left until it is ready, as far as can be told.
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

/// Loads from the weight store that are ordered.
pub(super) fn remote_in_progress(loads: &Loads) -> u32 {
    let remote = |load: &&Load| load.tier == Tier::Remote && load.is_ordered();
    u32::try_from(loads.values().filter(remote).count()).unwrap_or(u32::MAX)
}

/// Loads from the weight store that wait for a permit.
pub(super) fn remote_queued(loads: &Loads) -> u32 {
    let queued = |load: &&Load| load.tier == Tier::Remote && !load.is_ordered();
    u32::try_from(loads.values().filter(queued).count()).unwrap_or(u32::MAX)
}

/// What a load costs from one tier.
#[derive(Clone, Copy, Debug)]
struct Speed {
    /// Time that a load takes however small it is, such as to warm up.
    start: Duration,
    bytes_per_second: u64,
}

/// Speeds measured.
///
/// A small load says how long any load takes, a large one how fast the bytes come. If small ones
/// counted as speeds, the start of an adapter's load would make every model look slow.
#[derive(Clone, Debug)]
pub(super) struct Speeds {
    by_tier: BTreeMap<Tier, Speed>,
}

impl Speeds {
    pub(super) fn new(settings: &CoordinatorSettings) -> Self {
        let assumed = |bytes_per_second| Speed {
            start: Duration::ZERO,
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

    /// Time that a load takes.
    pub(super) fn duration(&self, tier: Tier, bytes: u64) -> Duration {
        let speed = self.by_tier.get(&tier);
        speed.map_or(Duration::ZERO, |speed| {
            speed.start + transfer(bytes, speed.bytes_per_second)
        })
    }

    /// Takes in a finished load.
    pub(super) fn measured(&mut self, tier: Tier, bytes: u64, took: Duration) {
        let Some(speed) = self.by_tier.get_mut(&tier) else {
            return;
        };
        if bytes <= SMALL_LOAD_BYTES {
            let start = took.saturating_sub(transfer(bytes, speed.bytes_per_second));
            speed.start = Duration::from_millis(average(millis(speed.start), millis(start)));
            return;
        }
        let moving = millis(took.saturating_sub(speed.start)).max(1);
        let measured = bytes.saturating_mul(1000) / moving;
        speed.bytes_per_second = average(speed.bytes_per_second, measured).max(1);
    }
}

/// Moves a moving average on by one measurement.
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

/// Limits the loads started from the weight store in a second.
#[derive(Clone, Debug, Default)]
pub(super) struct RateLimit {
    tokens: f64,
    filled: Option<Timestamp>,
}

impl RateLimit {
    /// Takes one start, if the rate allows it now.
    pub(super) fn take(&mut self, per_second: f64, now: Timestamp) -> bool {
        let passed = self
            .filled
            .map_or(f64::INFINITY, |filled| now.since(filled).as_secs_f64());
        let filled = self.tokens + passed * per_second.max(0.0);
        // A product of zero and infinity is no number; the bucket starts full.
        self.tokens = if filled.is_nan() {
            RATE_BURST
        } else {
            filled.min(RATE_BURST)
        };
        self.filled = Some(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// What went wrong with an artifact.
#[derive(Clone, Debug, Default)]
struct Failure {
    tries: u32,
    runners: Vec<RunnerName>,
    blocked_until: Option<Timestamp>,
    backoff: Duration,
}

/// Failed loads: which runners to avoid, and when to try again.
#[derive(Clone, Debug, Default)]
pub(super) struct Failures {
    by_artifact: BTreeMap<ArtifactId, Failure>,
}

impl Failures {
    /// Takes in a failed load.
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
            self.pause(artifact, now, settings);
        }
    }

    /// Nothing is left to try: pauses, longer each time. Returns the end of the pause.
    pub(super) fn pause(
        &mut self,
        artifact: &ArtifactId,
        now: Timestamp,
        settings: &CoordinatorSettings,
    ) -> Timestamp {
        let failure = self.by_artifact.entry(artifact.clone()).or_default();
        failure.backoff = (failure.backoff * 2)
            .max(settings.load_backoff)
            .min(LONGEST_BACKOFF);
        let until = now + failure.backoff;
        failure.blocked_until = Some(until);
        failure.tries = 0;
        failure.runners.clear();
        until
    }

    /// The artifact is ready: all is forgotten.
    pub(super) fn succeeded(&mut self, artifact: &ArtifactId) {
        self.by_artifact.remove(artifact);
    }

    /// Until when the artifact is not tried.
    pub(super) fn blocked_until(&self, artifact: &ArtifactId, now: Timestamp) -> Option<Timestamp> {
        let until = self.by_artifact.get(artifact)?.blocked_until?;
        (now < until).then_some(until)
    }

    /// Whether the artifact failed on a runner since the last pause.
    pub(super) fn failed_on(&self, artifact: &ArtifactId, runner: &RunnerName) -> bool {
        let failure = self.by_artifact.get(artifact);
        failure.is_some_and(|failure| failure.runners.contains(runner))
    }

    /// Artifacts that have failed and not succeeded since.
    pub(super) fn artifacts(&self) -> Vec<ArtifactId> {
        self.by_artifact.keys().cloned().collect()
    }
}
