//! Runs of a region that the tests share.

use std::time::Duration;

use flaxward_simulation::{CallerRequest, Happening, Region, RegionSettings, Target};

/// Time in which an undisturbed region has found itself.
pub const START: Duration = Duration::from_secs(30);

/// Fails with the first broken invariant.
pub fn check(region: &Region) {
    if let Some(violation) = region.violation() {
        panic!("{violation}");
    }
}

/// A region that has found itself.
pub fn started(settings: RegionSettings, seed: u64) -> Region {
    let mut region = Region::new(settings, seed);
    region.run_for(START);
    region.check_settled();
    check(&region);
    region
}

/// Callers at every daemon.
pub fn burst(artifact: u8, stream: bool) -> Happening {
    Happening::Burst {
        artifact,
        requests: 3,
        tokens: 10,
        stream,
        deadline: Duration::from_secs(30),
    }
}

/// A request for a few tokens that may be repeated.
pub fn request(target: Target, deadline: Duration) -> CallerRequest {
    CallerRequest {
        number: 0,
        target,
        stream: false,
        tokens: 5,
        repeatable: true,
        key: None,
        priority: 5,
        deadline,
    }
}
