//! Keep-alive policy: how long an idle artifact stays loaded, learnt from the fleet's idle times.
//!
//! Each artifact has a histogram of its idle times, as in the hybrid histogram policy of
//! "Serverless in the Wild" (Shahrad et al., 2020). Rarely used models have few samples, so the
//! histogram of all artifacts together serves as a prior that counts as [`PRIOR_SAMPLES`] samples.
//!
//! An idle second costs `1 - weight` for each whole accelerator that the artifact takes, so that
//! small adapters stay loaded longer than large models. A cold start costs `weight` times the load
//! time times [`IDLE_SECONDS_PER_COLD_SECOND`]. Here `weight` is the policy's `cold_start_weight`.
//! The time-out is the one with the lowest expected cost over the learnt distribution. Recurring
//! idle times, such as those between daily reports, also give a time to prewarm the artifact.
//!
//! The state is not persisted, because machines have no disks: it is lost with the coordinator. The
//! successor starts from [`KeepAlive::new`], whose prior takes every order of magnitude as equally
//! likely. Until it has seen a few idle times it keeps rare models about as long as that prior
//! says, and it prewarms nothing before it has seen [`PREWARM_SAMPLES`] idle times of a model.

mod histogram;
mod history;
mod price;

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_types::configuration::PolicySpec;
use flaxward_types::{ArtifactId, Timestamp};

use histogram::{BINS, FIRST_BIN_START_SECONDS, bin_of, bin_start_seconds};
use history::History;
use price::Price;

/// Idle accelerator seconds that cost as much as one second of cold start at a weight of one half.
pub const IDLE_SECONDS_PER_COLD_SECOND: f64 = 60.0;

/// Accelerator memory in bytes, from which an artifact's share of an accelerator is computed.
/// Another size only scales the cost, as a change of the weight would.
pub const ACCELERATOR_BYTES: u64 = 80 << 30;

/// Weight of the prior, in samples of the artifact itself.
pub const PRIOR_SAMPLES: f64 = 4.0;

/// Weight of the initial prior, which is uniform over orders of magnitude, in samples.
const INITIAL_PRIOR_SAMPLES: f64 = 4.0;

/// Number of fleet samples in the prior above which they are halved, so that older ones decay.
const PRIOR_DECAY_THRESHOLD_SAMPLES: f64 = 4_096.0;

/// Idle times of an artifact that must be recorded before it is prewarmed.
pub const PREWARM_SAMPLES: usize = 3;

/// How long to keep an artifact. All times count from its last use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepAliveDecision {
    /// Idle time after which it is unloaded. Once the prewarm time has been reached, this is the
    /// end of the prewarm window.
    pub unload_after: Duration,
    /// Idle time at which to prewarm it; `None` if never or if the prewarm window is over too.
    pub prewarm_after: Option<Duration>,
}

impl KeepAliveDecision {
    /// Whether the artifact should be loaded at this idle time.
    pub fn wants_loaded(&self, idle: Duration) -> bool {
        idle < self.unload_after
    }

    /// Whether to prewarm it now if it is not loaded.
    pub fn wants_prewarm(&self, idle: Duration) -> bool {
        let due = self.prewarm_after.is_some_and(|after| idle >= after);
        due && self.wants_loaded(idle)
    }
}

/// The learnt idle times of all artifacts of a zone.
#[derive(Clone, Debug)]
pub struct KeepAlive {
    prior: [f64; BINS],
    prior_samples: f64,
    artifacts: BTreeMap<ArtifactId, History>,
}

impl Default for KeepAlive {
    fn default() -> Self {
        Self::new()
    }
}

impl KeepAlive {
    /// A policy without samples, with a uniform prior.
    pub fn new() -> Self {
        #[allow(clippy::cast_precision_loss)]
        let share = INITIAL_PRIOR_SAMPLES / BINS as f64;
        Self {
            prior: [share; BINS],
            prior_samples: INITIAL_PRIOR_SAMPLES,
            artifacts: BTreeMap::new(),
        }
    }

    /// Records that an artifact is in use: a request arrived or is still running. Gaps of less than
    /// eight seconds are not idle times, so callers must report a long busy period at least that
    /// often, here or with [`record_use`](Self::record_use).
    pub fn record_arrival(&mut self, artifact: &ArtifactId, now: Timestamp) {
        let Some(history) = self.artifacts.get_mut(artifact) else {
            self.artifacts.insert(artifact.clone(), History::new(now));
            return;
        };
        let idle = now.since(history.last_use);
        history.last_use = history.last_use.max(now);
        if idle.as_secs_f64() < FIRST_BIN_START_SECONDS {
            return;
        }
        let weight = history.weight_in_prior();
        history.record(idle);
        self.record_prior(idle, weight);
    }

    /// Records that an artifact has been in use without interruption until now.
    pub fn record_use(&mut self, artifact: &ArtifactId, now: Timestamp) {
        if let Some(history) = self.artifacts.get_mut(artifact) {
            history.last_use = history.last_use.max(now);
        }
    }

    /// Removes an artifact that is no longer configured.
    pub fn forget(&mut self, artifact: &ArtifactId) {
        self.artifacts.remove(artifact);
    }

    /// When an artifact was last in use, if it ever was.
    pub fn last_use(&self, artifact: &ArtifactId) -> Option<Timestamp> {
        Some(self.artifacts.get(artifact)?.last_use)
    }

    /// How long to keep an artifact that takes `load_time` to load and one accelerator.
    pub fn decide(
        &self,
        artifact: &ArtifactId,
        now: Timestamp,
        policy: &PolicySpec,
        load_time: Duration,
    ) -> KeepAliveDecision {
        self.decide_for_size(artifact, now, policy, load_time, ACCELERATOR_BYTES)
    }

    /// How long to keep an artifact that takes `load_time` to load and `bytes` of accelerator
    /// memory.
    pub fn decide_for_size(
        &self,
        artifact: &ArtifactId,
        now: Timestamp,
        policy: &PolicySpec,
        load_time: Duration,
        bytes: u64,
    ) -> KeepAliveDecision {
        let price = Price::new(policy, load_time, bytes);
        let history = self.artifacts.get(artifact);
        let timeout = self.timeout(history, &price);
        let without_prewarm = KeepAliveDecision {
            unload_after: timeout,
            prewarm_after: None,
        };
        let Some(history) = history else {
            return without_prewarm;
        };
        let Some(window) = history.prewarm_window(timeout, &price) else {
            return without_prewarm;
        };
        let idle = now.since(history.last_use);
        if idle < window.start {
            return KeepAliveDecision {
                unload_after: timeout,
                prewarm_after: Some(window.start),
            };
        }
        KeepAliveDecision {
            unload_after: window.end,
            prewarm_after: (idle < window.end).then_some(window.start),
        }
    }

    /// Adds an idle time to the prior.
    fn record_prior(&mut self, idle: Duration, weight: f64) {
        self.prior[bin_of(idle)] += weight;
        self.prior_samples += weight;
        if self.prior_samples > PRIOR_DECAY_THRESHOLD_SAMPLES {
            for samples in &mut self.prior {
                *samples /= 2.0;
            }
            self.prior_samples /= 2.0;
        }
    }

    /// The time-out with the lowest expected cost.
    ///
    /// Keeping the artifact loaded through a bin costs the bin's width for every idle time that
    /// outlasts the bin and half of it for those that end in it; it saves a cold start for the
    /// latter. Both add up bin by bin, so the best time-out is where accumulated savings less costs
    /// peak.
    fn timeout(&self, history: Option<&History>, price: &Price) -> Duration {
        let mut outlasting: f64 = (0..BINS).map(|bin| self.samples_in(history, bin)).sum();
        let mut saving = 0.0;
        let mut max_saving = 0.0;
        let mut best = 0.0;
        for bin in 0..BINS {
            let ending = self.samples_in(history, bin);
            outlasting -= ending;
            let end = bin_start_seconds(bin + 1);
            let width = end - bin_start_seconds(bin);
            let idle_seconds = outlasting.max(0.0) * width + ending * width / 2.0;
            saving += ending * price.cold_start - idle_seconds * price.idle_second;
            if saving > max_saving {
                max_saving = saving;
                best = end;
            }
        }
        price.clamp(best)
    }

    /// Samples in a bin: the artifact's own plus the weighted prior.
    fn samples_in(&self, history: Option<&History>, bin: usize) -> f64 {
        let own = history.map_or(0.0, |history| history.idle_times.samples_in(bin));
        own + PRIOR_SAMPLES * self.prior[bin] / self.prior_samples
    }
}
