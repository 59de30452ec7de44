//! Timeouts for tests.

use std::time::Duration;

use flaxward_backends::http_client::Timeouts;

/// Timeouts that no call without a fault exceeds.
pub fn long_timeouts() -> Timeouts {
    Timeouts {
        connect: Duration::from_secs(5),
        call: Duration::from_secs(5),
        idle: Duration::from_secs(5),
    }
}

/// Timeouts that a delayed response exceeds.
pub fn short_timeouts() -> Timeouts {
    Timeouts {
        call: Duration::from_millis(200),
        ..long_timeouts()
    }
}
