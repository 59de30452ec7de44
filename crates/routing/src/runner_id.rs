//! The identity of one life of a runner.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::names::RunnerName;

/// When a runner's process started, in ms since 1970 by the clock of its machine.
///
/// It tells lives apart and orders two that are told at the same revision of the store. Nothing is measured with it,
/// since that clock may be set back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunnerStart(u64);

impl RunnerStart {
    /// The latest start that is believed: the end of the year 2286, the last time with 13 digits.
    pub const LATEST: Self = Self(9_999_999_999_999);

    /// A start at a time; `None` if it is later than [`Self::LATEST`].
    pub fn from_millis(millis: u64) -> Option<Self> {
        (millis <= Self::LATEST.0).then_some(Self(millis))
    }

    /// In ms since 1970.
    pub fn as_millis(self) -> u64 {
        self.0
    }
}

/// Identity of one life of a runner: its name and when it started. A runner that starts again may keep its name; it then
/// holds nothing, and nothing that is believed of the life before holds for it.
///
/// One of which no start is told is a life of its own, equal to none with a start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunnerId {
    name: RunnerName,
    start: Option<RunnerStart>,
}

impl RunnerId {
    /// A life of which no start is told.
    pub fn new(name: &str) -> Self {
        Self::of(RunnerName::new(name), None)
    }

    /// A life that began at a time.
    pub fn with_start(name: &str, start: RunnerStart) -> Self {
        Self::of(RunnerName::new(name), Some(start))
    }

    /// A life of the runner with a name.
    pub fn of(name: RunnerName, start: Option<RunnerStart>) -> Self {
        Self { name, start }
    }

    /// The runner's name, which all its lives may share.
    pub fn name(&self) -> &RunnerName {
        &self.name
    }

    /// The runner's name as text.
    pub fn as_str(&self) -> &str {
        self.name.as_str()
    }

    /// When this life began, if that was told.
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

/// `NAME`, or `NAME@START` if the start was told.
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

/// The name and a number: 0 if no start is told, else one more than the start. So a life costs a message 6 bytes more
/// than its name with a start of these years, and 1 byte without one.
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
        Ok(Self::of(encoded.name, start))
    }
}
