//! Memory of the process and of single daemons.

use std::fs;

/// Bytes of a page, as on every platform that has `/proc` and that this is run on.
const PAGE: u64 = 4_096;

/// Resident memory of this process in bytes, or zero if it cannot be told.
pub fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE
}

/// Nanoseconds that the calling thread has run on a processor, or `None` if it cannot be told.
pub fn thread_time() -> Option<u64> {
    let text = fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    text.split_whitespace().next()?.parse().ok()
}

/// Bytes allocated on the heap and not freed, or `None` if the build does not count them.
#[cfg(feature = "count-memory")]
pub fn allocated() -> Option<u64> {
    let stats = stats_alloc::INSTRUMENTED_SYSTEM.stats();
    let live = stats
        .bytes_allocated
        .saturating_sub(stats.bytes_deallocated);
    Some(live as u64)
}

/// Bytes allocated on the heap and not freed, or `None` if the build does not count them.
#[cfg(not(feature = "count-memory"))]
pub fn allocated() -> Option<u64> {
    None
}
