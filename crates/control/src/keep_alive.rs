//! How long an idle artifact stays loaded, learnt from the idle times of the fleet.
//!
//! Each artifact has a histogram of its idle times, as in the hybrid histogram policy of "Serverless
//! in the Wild" (Shahrad et al., 2020). Rarely used models have few samples, so the histogram of all
//! artifacts together serves as a prior that counts as [`PRIOR_SAMPLES`] samples.
//!
//! The price decides. An idle second costs `1 - weight` for each whole accelerator that the artifact
//! takes, so that small adapters stay longer than large models. A cold start costs `weight` times the
//! load time times [`IDLE_SECONDS_PER_COLD_SECOND`]. Here `weight` is the policy's
//! `cold_start_weight`.
//! The time-out is the one with the least expected cost over the learnt distribution. Idle times
//! that recur, such as those between daily reports, also give a time to load ahead of need.
//!
//! Nothing here is kept: machines have no disks, so what was learnt dies with the coordinator. Its
//! successor starts from [`KeepAlive::new`], whose prior takes every order of magnitude as equally
//! likely. Until it has seen a few idle times it keeps rare models about as long as that prior says,
//! and it loads nothing ahead of need before it has seen [`PREWARM_SAMPLES`] idle times of a model.

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

/// Idle accelerator seconds that a second of cold start is worth at a weight of one half.
pub const IDLE_SECONDS_PER_COLD_SECOND: f64 = 60.0;

/// Memory of an accelerator by which the share of an artifact is reckoned, in bytes. Other sizes only
/// scale the price, as a change of the weight would.
pub const ACCELERATOR_BYTES: u64 = 80 << 30;

/// Own samples that weigh as much as the prior.
pub const PRIOR_SAMPLES: f64 = 4.0;

/// Samples that the first prior, equal for every order of magnitude, counts as.
const FIRST_PRIOR_SAMPLES: f64 = 4.0;

/// Samples of the fleet that make older ones fade out of the prior.
const PRIOR_FADE_AT_SAMPLES: f64 = 4_096.0;

/// Idle times of an artifact seen before it is loaded ahead of need.
pub const PREWARM_SAMPLES: usize = 3;

/// How long to keep an artifact. All times count from its last use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepAliveDecision {
    /// Idle time after which it is unloaded. Once the time to load ahead has come, this is the end
    /// of that second stay.
    pub unload_after: Duration,
    /// Idle time at which to load it ahead of need; `None` if never or if that stay is over too.
    pub prewarm_after: Option<Duration>,
}

impl KeepAliveDecision {
    /// Whether the artifact is worth its memory at this idle time.
    pub fn wants_loaded(&self, idle: Duration) -> bool {
        idle < self.unload_after
    }

    /// Whether to load it now ahead of need if it is not loaded.
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
    /// Knows nothing yet.
    pub fn new() -> Self {
        #[allow(clippy::cast_precision_loss)]
        let share = FIRST_PRIOR_SAMPLES / BINS as f64;
        Self {
            prior: [share; BINS],
            prior_samples: FIRST_PRIOR_SAMPLES,
            artifacts: BTreeMap::new(),
        }
    }

    /// Notes that an artifact is in use: a request arrived, or still runs. Pauses of less than eight
    /// seconds are no idle time, so a long busy period is reported at least that
    /// often, here or to [`record_use`](Self::record_use).
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

    /// Notes that an artifact has been in use without a break until now.
    pub fn record_use(&mut self, artifact: &ArtifactId, now: Timestamp) {
        if let Some(history) = self.artifacts.get_mut(artifact) {
            history.last_use = history.last_use.max(now);
        }
    }

    /// Forgets an artifact that is no longer configured.
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

    /// How long to keep an artifact that takes `load_time` to load and `bytes` of accelerator memory.
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
        let first_stay = self.first_stay(history, &price);
        let kept = KeepAliveDecision {
            unload_after: first_stay,
            prewarm_after: None,
        };
        let Some(history) = history else {
            return kept;
        };
        let Some(stay) = history.second_stay(first_stay, &price) else {
            return kept;
        };
        let idle = now.since(history.last_use);
        if idle < stay.start {
            return KeepAliveDecision {
                unload_after: first_stay,
                prewarm_after: Some(stay.start),
            };
        }
        KeepAliveDecision {
            unload_after: stay.end,
            prewarm_after: (idle < stay.end).then_some(stay.start),
        }
    }

    /// Adds an idle time to the prior.
    fn record_prior(&mut self, idle: Duration, weight: f64) {
        self.prior[bin_of(idle)] += weight;
        self.prior_samples += weight;
        if self.prior_samples > PRIOR_FADE_AT_SAMPLES {
            for samples in &mut self.prior {
                *samples /= 2.0;
            }
            self.prior_samples /= 2.0;
        }
    }

    /// The time-out with the least expected cost.
    ///
    /// Holding through a bin costs its width for every idle time that passes it and half for those
    /// that end in it; it saves a cold start for the latter. Both add up bin by bin, so the best
    /// time-out is where the sum of savings less costs is highest.
    fn first_stay(&self, history: Option<&History>, price: &Price) -> Duration {
        let mut longer: f64 = (0..BINS).map(|bin| self.samples_in(history, bin)).sum();
        let mut saved = 0.0;
        let mut most_saved = 0.0;
        let mut best = 0.0;
        for bin in 0..BINS {
            let ending = self.samples_in(history, bin);
            longer -= ending;
            let end = bin_start_seconds(bin + 1);
            let width = end - bin_start_seconds(bin);
            let held_seconds = longer.max(0.0) * width + ending * width / 2.0;
            saved += ending * price.cold_start - held_seconds * price.idle_second;
            if saved > most_saved {
                most_saved = saved;
                best = end;
            }
        }
        price.clamp(best)
    }

    /// Samples in a bin: the artifact's own and the prior's share.
    fn samples_in(&self, history: Option<&History>, bin: usize) -> f64 {
        let own = history.map_or(0.0, |history| history.idle_times.samples_in(bin));
        own + PRIOR_SAMPLES * self.prior[bin] / self.prior_samples
    }
}
