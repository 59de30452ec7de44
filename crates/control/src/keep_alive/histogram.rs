//! Histogram of idle times with exponentially growing bins, in which old samples decay.

use std::time::Duration;

/// Bins in each doubling of the idle time: a bin is 19 % wide.
const BINS_PER_DOUBLING: usize = 4;

/// Powers of the fourth root of two: where the bins of a doubling start, relative to its start.
const BIN_START_FACTORS: [f64; BINS_PER_DOUBLING] = [
    1.0,
    1.189_207_115_002_721,
    std::f64::consts::SQRT_2,
    1.681_792_830_507_429,
];

/// Number of bins: 20 doublings, from [`FIRST_BIN_START_SECONDS`] to 97 days.
pub(super) const BINS: usize = 80;

/// Start of the first bin, in seconds. Shorter gaps belong to a busy period and are not recorded.
pub(super) const FIRST_BIN_START_SECONDS: f64 = 8.0;

/// Stored weight of one sample: counts are fixed-point, so that decay keeps fractions of a sample.
const SAMPLE_SCALE: u16 = 256;

/// Number of samples above which counts decay, so that a changed usage pattern shows after about as
/// many.
const DECAY_THRESHOLD_SAMPLES: u32 = 64;

/// Fraction of each count that remains after a decay step: 3/4.
const DECAY_NUMERATOR: u32 = 3;
const DECAY_DENOMINATOR: u32 = 4;

/// Idle times of one artifact, in 160 bytes.
#[derive(Clone, Debug)]
pub(super) struct Histogram {
    counts: [u16; BINS],
}

impl Histogram {
    pub(super) fn new() -> Self {
        Self { counts: [0; BINS] }
    }

    /// Records one idle time, which must not be shorter than the start of the first bin.
    pub(super) fn record(&mut self, idle: Duration) {
        let count = &mut self.counts[bin_of(idle)];
        *count = count.saturating_add(SAMPLE_SCALE);
        if self.total() > DECAY_THRESHOLD_SAMPLES * u32::from(SAMPLE_SCALE) {
            self.decay();
        }
    }

    /// Samples in a bin; decayed samples count as fractions.
    pub(super) fn samples_in(&self, bin: usize) -> f64 {
        f64::from(self.counts[bin]) / f64::from(SAMPLE_SCALE)
    }

    fn total(&self) -> u32 {
        self.counts.iter().map(|&count| u32::from(count)).sum()
    }

    fn decay(&mut self) {
        for count in &mut self.counts {
            let decayed = u32::from(*count) * DECAY_NUMERATOR / DECAY_DENOMINATOR;
            *count = u16::try_from(decayed).unwrap_or(u16::MAX);
        }
    }
}

/// The bin of an idle time. Times beyond the last bin count in the last bin.
pub(super) fn bin_of(idle: Duration) -> usize {
    let doublings = (idle.as_secs_f64() / FIRST_BIN_START_SECONDS).log2();
    #[allow(clippy::cast_precision_loss)] // the value is 4
    let position = (doublings * BINS_PER_DOUBLING as f64).floor();
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let bin = position.max(0.0) as usize;
    bin.min(BINS - 1)
}

/// Start of a bin in seconds; for [`BINS`], the end of the last bin.
pub(super) fn bin_start_seconds(bin: usize) -> f64 {
    let doublings = bin / BINS_PER_DOUBLING;
    #[allow(clippy::cast_precision_loss)] // at most 2^20
    let doubled = (1_u64 << doublings) as f64;
    FIRST_BIN_START_SECONDS * doubled * BIN_START_FACTORS[bin % BINS_PER_DOUBLING]
}
