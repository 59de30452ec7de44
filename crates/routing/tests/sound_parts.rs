//! Parts of prompts that are not suspected of crashing runners.

use std::time::Duration;

use flaxward_routing::fingerprint::{RequestContent, RequestFingerprint};
use flaxward_routing::quarantine::sound_parts::SoundParts;
use flaxward_types::time::Timestamp;

const NOW: Timestamp = Timestamp(1_000);

/// Guards against a memory that callers fill with parts that they make up.
#[test]
fn the_parts_recorded_first_are_forgotten_first() {
    let mut parts = SoundParts::default();
    for part in 0..10_000 {
        parts.record(RequestFingerprint::of_part(part), NOW);
    }
    assert!(!parts.contains(&RequestFingerprint::of_part(0), NOW));
    assert!(parts.contains(&RequestFingerprint::of_part(9_999), NOW));
}

#[test]
fn a_part_may_be_suspected_again_after_a_while() {
    let mut parts = SoundParts::default();
    let part = RequestFingerprint::of_part(7);
    parts.record(part, NOW);
    assert!(parts.contains(&part, NOW + Duration::from_mins(9)));
    assert!(!parts.contains(&part, NOW + Duration::from_mins(10)));
}

/// Guards against a caller whose request has the fingerprint of a part that others share.
#[test]
fn a_part_and_a_request_have_different_fingerprints() {
    let request = RequestFingerprint::of(&RequestContent {
        method: "",
        host: "",
        target: "",
        tenant: None,
        body: &7_u64.to_le_bytes(),
    });
    assert_ne!(request, RequestFingerprint::of_part(7));
}
