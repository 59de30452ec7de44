//! Without faults, everything is answered.

use std::time::Duration;

use flaxward_simulation::{Outcome, RegionSettings};

use crate::support::{burst, check, started};

#[test]
fn bursts_for_every_model_are_answered() {
    let mut region = started(RegionSettings::small(), 1);
    for artifact in 0..region.artifacts().len() {
        let artifact = u8::try_from(artifact).expect("a few artifacts");
        region.plan(&vec![(Duration::ZERO, burst(artifact, artifact % 2 == 0))]);
        region.run_for(Duration::from_secs(40));
        check(&region);
    }
    let refused: Vec<_> = region
        .records()
        .filter(|(_, record)| !matches!(record.ended, Some((_, Outcome::Answered))))
        .collect();
    assert!(refused.is_empty(), "{refused:?}");
}
