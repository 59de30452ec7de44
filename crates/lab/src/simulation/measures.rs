//! What a run measures.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_control::coordinator::{Decision, DecisionKind};
use flaxward_types::time::millis;
use flaxward_types::{ResultCode, Timestamp};
use hdrhistogram::Histogram;
use xxhash_rust::xxh3::Xxh3;

/// Digits kept by histograms.
const DIGITS: u8 = 3;
/// Ratios are kept in thousandths.
const RATIO_SCALE: f64 = 1_000.0;
const MILLIS_PER_HOUR: f64 = 3_600_000.0;

/// Durations in milliseconds.
#[derive(Clone, Debug)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        Self(Histogram::new(DIGITS).expect("three digits are allowed"))
    }
}

impl Times {
    /// Adds one.
    pub fn record(&mut self, duration: Duration) {
        self.record_many(duration, 1);
    }

    /// Adds the same one several times.
    ///
    /// # Panics
    /// Never: the histogram grows by itself.
    pub fn record_many(&mut self, duration: Duration, count: u64) {
        let millis = millis(duration);
        self.0
            .record_n(millis, count)
            .expect("the histogram grows by itself");
    }

    /// Adds a plain ratio, kept in thousandths.
    ///
    /// # Panics
    /// Never: the histogram grows by itself.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // ratios are small
    pub fn record_ratio(&mut self, ratio: f64) {
        self.0
            .saturating_record((ratio * RATIO_SCALE).round() as u64);
    }

    /// How many there are.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// A quantile in milliseconds, or 0 if there is none.
    pub fn quantile(&self, quantile: f64) -> u64 {
        if self.0.is_empty() {
            return 0;
        }
        self.0.value_at_quantile(quantile)
    }

    /// A quantile of ratios.
    #[allow(clippy::cast_precision_loss)] // ratios are small
    pub fn ratio(&self, quantile: f64) -> f64 {
        self.quantile(quantile) as f64 / RATIO_SCALE
    }

    /// The longest, in milliseconds.
    pub fn worst(&self) -> u64 {
        self.0.max()
    }

    /// The sum, in seconds.
    #[allow(clippy::cast_precision_loss)] // counts stay far below 2^52
    pub fn total_seconds(&self) -> f64 {
        self.0.mean() * self.0.len() as f64 / 1_000.0
    }
}

/// What one run measured.
#[derive(Default)]
pub struct Measures {
    /// From the first call that found no replica to the engine taking one of those that waited.
    pub cold_starts: Times,
    /// The same, and zero for each busy period that began with a replica ready.
    pub starts: Times,
    /// Cold starts over the time that the load takes when nothing holds it up.
    pub cold_ratio: Times,
    /// Those during which the weight store held nobody back.
    pub cold_ratio_unlimited: Times,
    /// Cold starts whose callers were all refused or gave up.
    pub unserved: u64,
    /// From the call to its first token at the gateway.
    pub first_token: Times,
    /// Between two tokens of one answer, weighed by tokens.
    pub between_tokens: Times,
    /// Answers finished.
    pub answered: u64,
    /// Requests whose machine went away while they ran; they wait again.
    pub broken: u64,
    /// Refusals by code.
    pub refusals: BTreeMap<ResultCode, u64>,
    /// Loads decided.
    pub loads_decided: u64,
    /// Loads ordered and accepted by an engine.
    pub loads_begun: u64,
    /// Loads done.
    pub loads_done: u64,
    /// Orders that an engine refused for want of memory.
    pub memory_refusals: u64,
    /// Most replicas of one artifact loaded or loading at one time, over those allowed.
    pub most_replicas: f64,
    /// Most accelerator memory taken on a machine, over its size.
    pub most_memory: f64,
    idle_byte_millis: f64,
    loading_byte_millis: f64,
    digest: Xxh3,
    decisions: u64,
}

impl Measures {
    /// Adds a time for which a replica was loaded and ran nothing.
    #[allow(clippy::cast_precision_loss)] // a mean over much
    pub fn idle(&mut self, bytes: u64, since: Timestamp, until: Timestamp) {
        self.idle_byte_millis += bytes as f64 * until.since(since).as_millis() as f64;
    }

    /// Adds a time for which memory was taken by a load.
    #[allow(clippy::cast_precision_loss)] // a mean over much
    pub fn loading(&mut self, bytes: u64, took: Duration) {
        self.loading_byte_millis += bytes as f64 * took.as_millis() as f64;
    }

    /// Notes a decision.
    pub fn decided(&mut self, decision: &Decision, now: Timestamp) {
        self.loads_decided += u64::from(matches!(decision.kind, DecisionKind::Load { .. }));
        self.log(&format!("{now} {decision:?}"));
    }

    /// Notes a line of the log of decisions.
    pub fn log(&mut self, line: &str) {
        self.decisions += 1;
        self.digest.update(line.as_bytes());
        self.digest.update(b"\n");
    }

    /// Digest of the log of decisions.
    pub fn digest(&self) -> String {
        format!("{:032x}", self.digest.digest128())
    }

    /// Lines in the log of decisions.
    pub fn decisions(&self) -> u64 {
        self.decisions
    }

    /// Counts a refusal.
    pub fn refused(&mut self, code: ResultCode) {
        *self.refusals.entry(code).or_default() += 1;
    }

    /// Accelerators times hours for which replicas were loaded and ran nothing.
    #[allow(clippy::cast_precision_loss)] // sizes stay far below 2^52
    pub fn idle_accelerator_hours(&self, accelerator_bytes: u64) -> f64 {
        self.idle_byte_millis / accelerator_bytes as f64 / MILLIS_PER_HOUR
    }

    /// Accelerators times hours taken by loads in progress.
    #[allow(clippy::cast_precision_loss)] // sizes stay far below 2^52
    pub fn loading_accelerator_hours(&self, accelerator_bytes: u64) -> f64 {
        self.loading_byte_millis / accelerator_bytes as f64 / MILLIS_PER_HOUR
    }
}
