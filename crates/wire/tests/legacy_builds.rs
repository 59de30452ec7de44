//! Compatibility with legacy builds. The fixtures are two envelopes of each message kind, encoded by the first build that
//! later ones must interoperate with. Builds run side by side during a rolling replacement of machines, so every later
//! build must decode these envelopes and encode them to the same bytes.

use std::collections::BTreeSet;

use flaxward_wire::{decode, encode};

const LEGACY_ENVELOPES: &str = include_str!("envelopes.txt");
const KIND_COUNT: usize = 16;

fn decode_hex(digits: &str) -> Vec<u8> {
    let byte = |index: usize| u8::from_str_radix(&digits[index..index + 2], 16).unwrap();
    (0..digits.len()).step_by(2).map(byte).collect()
}

#[test]
fn envelopes_of_legacy_builds_round_trip() {
    let mut kinds = BTreeSet::new();
    for line in LEGACY_ENVELOPES.lines() {
        let (kind, digits) = line.split_once(' ').unwrap();
        let encoded = decode_hex(digits);
        let envelope = decode(&encoded).unwrap();
        let decoded = format!("{:?}", envelope.message);
        assert!(decoded.starts_with(kind), "{kind} decodes as {decoded}");
        assert_eq!(encode(&envelope), encoded, "{kind}");
        kinds.insert(kind);
    }
    assert_eq!(kinds.len(), KIND_COUNT);
}
