//! Wall-clock time for records that other daemons read.

use std::time::{SystemTime, UNIX_EPOCH};

/// Wall-clock seconds since 1970, for records that other daemons read.
pub(crate) fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |duration| duration.as_secs())
}
