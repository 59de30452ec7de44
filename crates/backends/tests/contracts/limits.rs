//! Time limits for tests.

use std::time::Duration;

use flaxward_backends::http_client::TimeLimits;

/// Limits that no healthy call runs into.
pub fn patient() -> TimeLimits {
    TimeLimits {
        connect: Duration::from_secs(5),
        call: Duration::from_secs(5),
        silence: Duration::from_secs(5),
    }
}

/// Limits that a delayed answer runs into.
pub fn hasty() -> TimeLimits {
    TimeLimits {
        call: Duration::from_millis(200),
        ..patient()
    }
}
