//! Idle times in bins whose widths grow with the idle time, with old samples fading out.

use std::time::Duration;

/// Bins in each doubling of the idle time: a bin is 19 % wide.
const BINS_PER_DOUBLING: usize = 4;

/// Powers of the fourth root of two.
const WITHIN_DOUBLING: [f64; BINS_PER_DOUBLING] = [
    1.0,
    1.189_207_115_002_721,
    std::f64::consts::SQRT_2,
    1.681_792_830_507_429,
];

/// Bins in all: 20 doublings, from [`FIRST_BIN_START_SECONDS`] to 97 days.
pub(super) const BINS: usize = 80;

/// Shorter pauses belong to one busy period and are not counted, in seconds.
pub(super) const FIRST_BIN_START_SECONDS: f64 = 8.0;

/// Weight of one sample as stored, so that fading keeps fractions of it.
const SAMPLE: u16 = 256;

/// Samples that make older ones fade, so that a changed habit shows after about as many.
const FADE_AT_SAMPLES: u32 = 64;

/// What is left of each count when counts fade: 3/4.
const FADE_NUMERATOR: u32 = 3;
const FADE_DENOMINATOR: u32 = 4;

/// Idle times of one artifact, in 160 bytes.
#[derive(Clone, Debug)]
pub(super) struct Histogram {
    counts: [u16; BINS],
}

impl Histogram {
    pub(super) fn new() -> Self {
        Self { counts: [0; BINS] }
    }

    /// Counts one idle time. Shorter ones than the first bin must not come here.
    pub(super) fn record(&mut self, idle: Duration) {
        let count = &mut self.counts[bin_of(idle)];
        *count = count.saturating_add(SAMPLE);
        if self.total() > FADE_AT_SAMPLES * u32::from(SAMPLE) {
            self.fade();
        }
    }

    /// Samples in a bin, faded ones as fractions.
    pub(super) fn samples_in(&self, bin: usize) -> f64 {
        f64::from(self.counts[bin]) / f64::from(SAMPLE)
    }

    fn total(&self) -> u32 {
        self.counts.iter().map(|&count| u32::from(count)).sum()
    }

    fn fade(&mut self) {
        for count in &mut self.counts {
            let faded = u32::from(*count) * FADE_NUMERATOR / FADE_DENOMINATOR;
            *count = u16::try_from(faded).unwrap_or(u16::MAX);
        }
    }
}

/// The bin of an idle time; what is longer than all bins counts in the last.
pub(super) fn bin_of(idle: Duration) -> usize {
    let doublings = (idle.as_secs_f64() / FIRST_BIN_START_SECONDS).log2();
    #[allow(clippy::cast_precision_loss)] // four
    let position = (doublings * BINS_PER_DOUBLING as f64).floor();
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let bin = position.max(0.0) as usize;
    bin.min(BINS - 1)
}

/// Where a bin starts, in seconds; the end of the last bin for [`BINS`].
pub(super) fn bin_start_seconds(bin: usize) -> f64 {
    let doublings = bin / BINS_PER_DOUBLING;
    #[allow(clippy::cast_precision_loss)] // at most 2^20
    let doubled = (1_u64 << doublings) as f64;
    FIRST_BIN_START_SECONDS * doubled * WITHIN_DOUBLING[bin % BINS_PER_DOUBLING]
}
