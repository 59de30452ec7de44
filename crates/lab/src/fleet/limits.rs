//! What control at one daemon may take, and slopes over the size of the fleet.

use serde::Serialize;

/// Share of a core in percent.
pub const PROCESSOR_LIMIT: f64 = 1.9;
/// Memory in megabytes (10^6 bytes).
pub const MEMORY_LIMIT: f64 = 256.0;
/// Network in kilobytes (10^3 bytes) a second, sent and received together.
pub const NETWORK_LIMIT: f64 = 3.0;

/// What one daemon takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Share of a core in percent.
    pub processor_percent: f64,
    /// Memory in megabytes; `None` if it was not counted.
    pub memory_megabytes: Option<f64>,
    /// Kilobytes a second, sent and received together.
    pub kilobytes_per_second: f64,
}

/// How a usage stands against the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Whether the processor time fits.
    pub processor: bool,
    /// Whether the memory fits; `None` if it was not counted.
    pub memory: Option<bool>,
    /// Whether the network traffic fits.
    pub network: bool,
}

impl Usage {
    /// Compares with the limits; a value at the limit fits.
    pub fn verdict(&self) -> Verdict {
        Verdict {
            processor: self.processor_percent <= PROCESSOR_LIMIT,
            memory: self.memory_megabytes.map(|value| value <= MEMORY_LIMIT),
            network: self.kilobytes_per_second <= NETWORK_LIMIT,
        }
    }
}

/// A line through measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Rise for each daemon of the fleet.
    pub slope: f64,
    /// Value at a fleet of no daemon.
    pub offset: f64,
}

impl Line {
    /// The line with the least sum of squared distances to points `(size, value)`, or `None` if
    /// there are fewer than two sizes.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let spread: f64 = points
            .iter()
            .map(|(size, _)| (size - mean_size).powi(2))
            .sum();
        if points.len() < 2 || spread <= 0.0 {
            return None;
        }
        let together: f64 = points
            .iter()
            .map(|(size, value)| (size - mean_size) * (value - mean_value))
            .sum();
        let slope = together / spread;
        Some(Self {
            slope,
            offset: mean_value - slope * mean_size,
        })
    }

    /// The value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.offset + self.slope * size
    }
}
