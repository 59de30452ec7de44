//! Compatibility of era-aware builds with legacy builds, which send and expect the store's own numbers and ignore bytes
//! after a message.

use std::net::SocketAddr;

use flaxward_routing::encoding::{Encoding, MessageError};
use flaxward_routing::evacuation::Evacuations;
use flaxward_routing::membership::{MembershipChange, MembershipUpdate, UpdateScope};
use flaxward_routing::messages::{KnownState, Message, StoreNews, StoreState, WaitNotice};
use flaxward_routing::names::RunnerId;
use flaxward_routing::revision::{EraStart, StoreEra, StoreRevision};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const WIRE_VERSION: u8 = 7;

fn at(era: u64, number: u64) -> u64 {
    StoreRevision {
        era: StoreEra::new(era),
        number,
    }
    .ordered()
}

/// Store news with revisions of an era in every field that has one.
fn news(era: u64) -> Message {
    Message::StoreNews(StoreNews {
        from: SocketAddr::from(([10, 0, 0, 1], 80)),
        state: StoreState {
            membership_revision: at(era, 60),
            ..StoreState::default()
        },
        membership: Some(MembershipUpdate {
            after: 0,
            until: at(era, 65),
            changes: vec![MembershipChange {
                runner: RunnerId::new("r"),
                revision: at(era, 60),
                summary: None,
            }],
            scope: UpdateScope::Changes,
        }),
        evacuations: Evacuations {
            revision: at(era, 9),
            zones: Vec::new(),
        },
        quarantine_digest: 5,
    })
}

fn notice(runners_revision: u64) -> Message {
    Message::Waiting(WaitNotice {
        from: "d".to_owned(),
        known: KnownState {
            runners_revision,
            ..KnownState::default()
        },
        has_gap: false,
        waiting: Vec::new(),
    })
}

/// Decodes a message like a legacy build.
fn decode_as_legacy(bytes: &[u8]) -> Message {
    assert_eq!(bytes[0], WIRE_VERSION);
    postcard::from_bytes(&bytes[1..]).unwrap()
}

/// Encodes a message like a legacy build.
fn encode_as_legacy(message: &Message) -> Vec<u8> {
    postcard::to_extend(message, vec![WIRE_VERSION]).unwrap()
}

fn known_since(era: u64) -> Encoding {
    let mut encoding = Encoding::default();
    encoding.note_era(start(era, 0, 0));
    encoding
}

#[test]
fn a_legacy_build_reads_store_numbers() {
    for era in [0, 1, 7] {
        let encoding = known_since(era);
        assert_eq!(decode_as_legacy(&encoding.encode(&news(era))), news(0));
        assert_eq!(
            decode_as_legacy(&encoding.encode(&notice(at(era, 65)))),
            notice(65)
        );
    }
}

#[test]
fn numbers_of_a_legacy_build_belong_to_the_first_known_era() {
    for era in [0, 1, 7] {
        let mut encoding = known_since(era);
        let decoded = encoding.decode(&encode_as_legacy(&news(0))).unwrap();
        assert_eq!(decoded, news(era));
        // After a restore from a backup they are still taken as belonging to the earlier era.
        encoding.note_era(start(era + 1, 48, at(era, 65)));
        let decoded = encoding.decode(&encode_as_legacy(&news(0))).unwrap();
        assert_eq!(decoded, news(era));
    }
}

#[test]
fn era_aware_builds_exchange_revisions_whichever_era_they_first_saw() {
    for (sender, receiver) in [(0, 0), (1, 1), (1, 3), (3, 1), (0, 2)] {
        for era in sender..5 {
            let bytes = known_since(sender).encode(&news(era));
            assert_eq!(known_since(receiver).decode(&bytes).unwrap(), news(era));
            // A daemon that has not seen the store yet forwards revisions unchanged.
            assert_eq!(Encoding::default().decode(&bytes).unwrap(), news(era));
            let told = Encoding::default().encode(&news(era));
            assert_eq!(known_since(receiver).decode(&told).unwrap(), news(era));
        }
    }
}

/// Otherwise legacy builds would get lower numbers from a daemon that has just started than those they already know.
#[test]
fn the_lowest_first_era_received_is_adopted() {
    let mut late = known_since(3);
    late.decode(&known_since(1).encode(&notice(at(3, 5))))
        .unwrap();
    let bytes = late.encode(&news(3));
    assert_eq!(
        decode_as_legacy(&bytes),
        decode_as_legacy(&known_since(1).encode(&news(3)))
    );
    assert_eq!(decode_as_legacy(&bytes), news(2));
}

fn start(era: u64, first: u64, known_before: u64) -> EraStart {
    EraStart {
        first: StoreRevision {
            era: StoreEra::new(era),
            number: first,
        },
        known_before,
    }
}

/// A daemon that has seen the store in its first era, and then the start of later eras.
fn restored(starts: &[EraStart]) -> Encoding {
    let mut encoding = known_since(0);
    for start in starts {
        encoding.note_era(*start);
    }
    encoding
}

#[test]
fn a_legacy_build_gets_continuous_numbers_across_a_restore() {
    let encoding = restored(&[start(1, 48, at(0, 65)), start(2, 50, at(1, 55))]);
    let told = |revision| decode_as_legacy(&encoding.encode(&notice(revision)));
    assert_eq!(told(at(0, 65)), notice(65));
    assert_eq!(told(at(1, 48)), notice(66));
    assert_eq!(told(at(1, 55)), notice(73));
    assert_eq!(told(at(2, 50)), notice(74));
    assert_eq!(told(at(2, 60)), notice(84));
}

/// Legacy builds ignore numbers lower than those they know. A daemon that did not see the start of the era adopts the
/// numbering that it receives.
#[test]
fn daemons_converge_on_one_numbering() {
    let (mut low, high) = (
        restored(&[start(1, 48, at(0, 60))]),
        restored(&[start(1, 48, at(0, 65))]),
    );
    let mut late = known_since(1);
    for encoding in [&mut low, &mut late] {
        let news = notice(at(1, 50));
        assert_eq!(encoding.decode(&high.encode(&news)).unwrap(), news);
        assert_eq!(encoding.encode(&news), high.encode(&news));
    }
}

/// The numbering of an era can only start once a revision of it is known.
#[test]
fn an_era_without_known_revisions_is_sent_to_era_aware_builds() {
    let encoding = restored(&[start(1, 0, at(0, 65))]);
    let news = notice(at(1, 50));
    assert_eq!(
        known_since(0).decode(&encoding.encode(&news)).unwrap(),
        news
    );
}

/// Revision 0 stands for none, and is not converted.
#[test]
fn revision_zero_is_not_converted() {
    let encoding = known_since(4);
    assert_eq!(decode_as_legacy(&encoding.encode(&notice(0))), notice(0));
    let decoded = known_since(4).decode(&encode_as_legacy(&notice(0)));
    assert_eq!(decoded.unwrap(), notice(0));
}

#[test]
fn an_unsupported_version_is_distinguished_from_corruption() {
    let bytes = Encoding::default().encode(&notice(1));
    let mut other = bytes.clone();
    other[0] = WIRE_VERSION + 1;
    let read = |bytes: &[u8]| Encoding::default().decode(bytes).unwrap_err();
    assert_eq!(read(&other), MessageError::Version(WIRE_VERSION + 1));
    assert_eq!(read(&[]), MessageError::Empty);
    assert!(matches!(read(&bytes[..4]), MessageError::Decode(_)));
}

/// An extension as a later build may append it to a message.
fn unknown_extension() -> impl Strategy<Value = Vec<u8>> {
    let short = (3_u8..16).prop_map(|number| vec![number]);
    let content = prop::collection::vec(any::<u8>(), 0..200);
    let long = (20_u8..=u8::MAX, content)
        .prop_map(|(number, content)| postcard::to_extend(&content, vec![number]).unwrap());
    prop_oneof![short, long]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(0x0e7a_0002),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Unknown extensions are skipped before, between and after known ones.
    #[test]
    fn extensions_of_later_builds_are_skipped(
        era in 0_u64..9,
        before in prop::collection::vec(unknown_extension(), 0..4),
        after in prop::collection::vec(unknown_extension(), 0..4),
    ) {
        let message = news(era);
        let sent = known_since(era).encode(&message);
        let plain = postcard::to_stdvec(&news(0)).unwrap().len() + 1;
        let mut bytes = sent[..plain].to_vec();
        bytes.extend(before.concat());
        bytes.extend(&sent[plain..]);
        bytes.extend(after.concat());
        prop_assert_eq!(Encoding::default().decode(&bytes).unwrap(), message);
    }

    /// After any number of restores, era-aware builds restore every revision, and legacy builds get numbers in the same
    /// order that are comparable to those of the store.
    #[test]
    fn revisions_round_trip_across_eras_and_stay_in_order(
        eras in prop::collection::vec((1_u64..500, 0_u64..100), 1..6),
        first_era in 0_u64..3,
    ) {
        let mut sender = known_since(first_era);
        let mut sent = Vec::new();
        let mut highest = 300;
        sent.push(at(first_era, 1));
        sent.push(at(first_era, highest));
        for (era, &(first, more)) in (first_era + 1..).zip(&eras) {
            sender.note_era(start(era, first, at(era - 1, highest)));
            highest = first + more;
            sent.push(at(era, first));
            sent.push(at(era, highest));
        }
        let mut numbers = Vec::new();
        for &revision in &sent {
            let bytes = sender.encode(&notice(revision));
            let read = known_since(first_era).decode(&bytes).unwrap();
            prop_assert_eq!(read, notice(revision));
            let Message::Waiting(earlier) = decode_as_legacy(&bytes) else { unreachable!() };
            numbers.push(earlier.known.runners_revision);
        }
        prop_assert!(numbers.is_sorted(), "{numbers:?}");
        let changes: u64 = 300 + eras.iter().map(|(first, more)| first + more + 1).sum::<u64>();
        prop_assert!(numbers.iter().all(|&number| number <= changes), "{numbers:?}");
    }

    /// Decoding a truncated or corrupted message must not panic, nor may encoding afterwards.
    #[test]
    fn truncated_and_corrupted_messages_do_not_panic(
        era in 0_u64..9,
        cut in 0_usize..200,
        damage in prop::collection::vec((0_usize..200, any::<u8>()), 0..4),
    ) {
        let restored = restored(&[start(1, 48, at(0, 65)), start(2, 50, at(1, 55))]);
        for sender in [known_since(era), restored] {
            let mut bytes = sender.encode(&news(era));
            bytes.truncate(cut);
            for &(at, byte) in &damage {
                if let Some(damaged) = bytes.get_mut(at) {
                    *damaged = byte;
                }
            }
            let mut receiver = Encoding::default();
            let _ = receiver.decode(&bytes);
            let _ = receiver.encode(&news(era));
        }
    }
}
