//! Timeouts for tests.

use std::time::Duration;

use flaxward_backends::http_client::TimeLimits;

/// Timeouts that no call without a fault exceeds.
pub fn long_timeouts() -> TimeLimits {
    TimeLimits {
        connect: Duration::from_secs(5),
        call: Duration::from_secs(5),
        silence: Duration::from_secs(5),
    }
}

/// Timeouts that a delayed response exceeds.
pub fn short_timeouts() -> TimeLimits {
    TimeLimits {
        call: Duration::from_millis(200),
        ..long_timeouts()
    }
}
