//! Identity of one incarnation of a runner.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::names::RunnerName;

/// Start time of a runner's process, in milliseconds since the Unix epoch by the clock of its machine.
///
/// Distinguishes incarnations and orders two that are reported at the same store revision. It is not used to measure
/// time, since the machine's clock may be set back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunnerStart(u64);

impl RunnerStart {
    /// Latest accepted start time: the end of the year 2286, the last time with 13 digits.
    pub const LATEST: Self = Self(9_999_999_999_999);

    /// Creates a start time; `None` if it is later than [`Self::LATEST`].
    pub fn from_millis(millis: u64) -> Option<Self> {
        (millis <= Self::LATEST.0).then_some(Self(millis))
    }

    /// Milliseconds since the Unix epoch.
    pub fn as_millis(self) -> u64 {
        self.0
    }
}

/// Identity of one incarnation of a runner: its name and start time. A restarted runner may keep its name; it then has
/// nothing loaded, and no state recorded for the previous incarnation applies to it.
///
/// An identity without a start time is a separate incarnation and equals none that has one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunnerId {
    name: RunnerName,
    start: Option<RunnerStart>,
}

impl RunnerId {
    /// An incarnation whose start time is unknown.
    pub fn new(name: &str) -> Self {
        Self::from_parts(RunnerName::new(name), None)
    }

    /// An incarnation with a known start time.
    pub fn with_start(name: &str, start: RunnerStart) -> Self {
        Self::from_parts(RunnerName::new(name), Some(start))
    }

    /// An incarnation from its name and optional start time.
    pub fn from_parts(name: RunnerName, start: Option<RunnerStart>) -> Self {
        Self { name, start }
    }

    /// The runner's name, which its incarnations may share.
    pub fn name(&self) -> &RunnerName {
        &self.name
    }

    /// The runner's name as text.
    pub fn as_str(&self) -> &str {
        self.name.as_str()
    }

    /// Start time of this incarnation, if known.
    pub fn start(&self) -> Option<RunnerStart> {
        self.start
    }
}

impl AsRef<Self> for RunnerName {
    fn as_ref(&self) -> &Self {
        self
    }
}

impl AsRef<RunnerName> for RunnerId {
    fn as_ref(&self) -> &RunnerName {
        &self.name
    }
}

/// `NAME`, or `NAME@START` if the start time is known.
impl fmt::Display for RunnerId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.name)?;
        match self.start {
            Some(start) => write!(formatter, "@{}", start.0),
            None => Ok(()),
        }
    }
}

impl From<&str> for RunnerId {
    fn from(name: &str) -> Self {
        Self::new(name)
    }
}

/// Wire form: the name and a number, which is 0 without a start time and otherwise the start time plus one. As a
/// variable-length integer it takes 6 bytes for present-day start times and 1 byte without one.
#[derive(Serialize, Deserialize)]
struct Encoded {
    name: RunnerName,
    start: u64,
}

impl Serialize for RunnerId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let encoded = Encoded {
            name: self.name.clone(),
            start: self.start.map_or(0, |start| start.0 + 1),
        };
        encoded.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for RunnerId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let encoded = Encoded::deserialize(deserializer)?;
        let start = encoded.start.checked_sub(1).map(RunnerStart);
        Ok(Self::from_parts(encoded.name, start))
    }
}
