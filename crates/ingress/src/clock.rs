//! The steady clock of the process. The time of day decides nothing.

use std::time::Duration;

use flaxward_types::time::{Timestamp, millis};
use tokio::time::Instant;

/// Turns instants into [`Timestamp`]s, which begin with the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        Timestamp(millis(self.origin.elapsed()))
    }

    pub(crate) fn instant(&self, timestamp: Timestamp) -> Instant {
        self.origin + Duration::from_millis(timestamp.0)
    }
}
