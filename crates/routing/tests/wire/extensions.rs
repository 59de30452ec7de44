//! Encoding of the extensions after a message: `extensions.txt` has them as encoded by the first build that wrote them.

use flaxward_routing::encoding::Encoding;
use flaxward_routing::messages::{KnownState, Message, WaitNotice};
use flaxward_routing::revision::{EraStart, StoreEra, StoreRevision};

const EXTENSIONS: &str = include_str!("extensions.txt");

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision {
        era: StoreEra::new(era),
        number,
    }
}

fn notice(known: StoreRevision) -> Message {
    Message::Waiting(WaitNotice {
        from: "d1".to_owned(),
        known: KnownState {
            runners_revision: known.ordered(),
            ..KnownState::default()
        },
        has_gap: false,
        waiting: Vec::new(),
    })
}

fn known_since(era: u64) -> Encoding {
    let mut encoding = Encoding::default();
    encoding.note_era(EraStart {
        first: revision(era, 0),
        known_before: 0,
    });
    encoding
}

fn restored() -> Encoding {
    let mut encoding = known_since(2);
    encoding.note_era(EraStart {
        first: revision(3, 48),
        known_before: revision(2, 65).ordered(),
    });
    encoding
}

/// Senders by name, each with the revision that it reports.
fn samples() -> Vec<(&'static str, Encoding, StoreRevision)> {
    vec![
        ("store-unknown", Encoding::default(), revision(0, 0)),
        ("first-era", known_since(0), revision(0, 65)),
        ("later-era", known_since(2), revision(2, 65)),
        ("restored", restored(), revision(3, 50)),
    ]
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn the_encoding_of_extensions_is_stable() {
    let written = samples().into_iter().map(|(name, sender, known)| {
        let bytes = sender.encode(&notice(known));
        format!("{name} {}\n", hexadecimal(&bytes))
    });
    assert_eq!(written.collect::<String>(), EXTENSIONS);
}

#[test]
fn extensions_of_earlier_builds_are_decoded() {
    for ((_, _, known), line) in samples().into_iter().zip(EXTENSIONS.lines()) {
        let (_, digits) = line.split_once(' ').unwrap();
        let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).unwrap();
        let bytes: Vec<u8> = (0..digits.len()).step_by(2).map(byte).collect();
        let read = Encoding::default().decode(&bytes).unwrap();
        assert_eq!(read, notice(known), "{line}");
    }
}
