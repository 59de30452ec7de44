//! Wire compatibility with earlier builds, which run side by side with later ones during a rolling upgrade or
//! downgrade.
//!
//! `messages.txt` has one message of each kind, and `configuration.txt` a configuration in parts, as encoded by the
//! first build with which later ones must be compatible; kinds added later are as encoded by the first build that has
//! them. A change that makes these tests fail splits a fleet into two halves that do not understand each other. New
//! data goes into an extension after the message, or into a new kind of message.

mod configuration;
mod extensions;
mod samples;

use std::net::SocketAddr;

use flaxward_routing::configuration_transfer::{Assembly, EncodedConfiguration};
use flaxward_routing::encoding::Encoding;
use flaxward_routing::lease::LeaseRecord;
use flaxward_routing::messages::Message;
use flaxward_routing::revision::{EraStart, StoreEra, StoreRevision};
use flaxward_routing::strength::MachineStrength;
use serde_json::json;

const MESSAGES: &str = include_str!("messages.txt");
const CONFIGURATION: &str = include_str!("configuration.txt");

/// Parses the kinds and bytes of messages encoded by an earlier build.
fn earlier(text: &'static str) -> Vec<(&'static str, Vec<u8>)> {
    let lines = text.lines();
    let messages = lines.map(|line| {
        let (kind, digits) = line.split_once(' ').unwrap();
        let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).unwrap();
        (kind, (0..digits.len()).step_by(2).map(byte).collect())
    });
    messages.collect()
}

fn encoding() -> Encoding {
    let mut encoding = Encoding::default();
    encoding.note_era(EraStart {
        first: StoreRevision::default(),
        known_before: 0,
    });
    encoding
}

#[test]
fn messages_of_earlier_builds_are_decoded() {
    let samples = samples::all();
    assert_eq!(earlier(MESSAGES).len(), samples.len());
    for ((kind, bytes), (expected_kind, expected)) in earlier(MESSAGES).into_iter().zip(samples) {
        assert_eq!(kind, expected_kind);
        assert_eq!(encoding().decode(&bytes).unwrap(), expected, "{kind}");
    }
}

/// Earlier builds ignore bytes after a message, so a message may be followed by extensions.
#[test]
fn earlier_builds_decode_sent_messages() {
    for ((kind, bytes), (_, message)) in earlier(MESSAGES).into_iter().zip(samples::all()) {
        let sent = encoding().encode(&message);
        assert_eq!(sent[..bytes.len()], bytes, "{kind}");
        assert!(sent.len() <= bytes.len() + 1, "{kind}");
        let read: Message = postcard::from_bytes(&sent[1..]).unwrap();
        assert_eq!(read, message, "{kind}");
    }
}

#[test]
fn a_configuration_is_split_into_the_same_parts() {
    let encoded = EncodedConfiguration::of(&configuration::configuration());
    let chunks = encoded.chunks_for(&[]).into_iter();
    let own: Vec<Message> = chunks.map(Message::ConfigurationChunk).collect();
    let earlier = earlier(CONFIGURATION).into_iter();
    let earlier: Vec<Message> = earlier
        .map(|(_, bytes)| encoding().decode(&bytes).unwrap())
        .collect();
    assert_eq!(own, earlier);
    let mut assembly = Assembly::new(&EncodedConfiguration::default());
    let mut whole = None;
    for message in earlier {
        let Message::ConfigurationChunk(chunk) = message else {
            panic!("{message:?}");
        };
        whole = assembly.add(&chunk).or(whole);
    }
    let decoded = whole.unwrap().decode().unwrap();
    assert_eq!(decoded.version, 34);
    assert_eq!(
        EncodedConfiguration::of(&decoded).digests(),
        encoded.digests()
    );
}

/// The record stays in the store across an upgrade. Earlier builds ignore unknown fields, and require all others.
#[test]
fn the_lease_record_has_all_fields_required_by_earlier_builds() {
    let address = SocketAddr::from(([10, 0, 0, 1], 7_080));
    let record = LeaseRecord {
        holder: "d1".to_owned(),
        incarnation: 42,
        address,
        term: 3,
        renewals: 12,
        released: false,
        provisional: false,
        era: StoreEra::new(2),
        strongest: MachineStrength {
            processor: 250,
            link: 1_000,
        },
        members: vec![address],
        quarantine: Vec::new(),
        versions: None,
    };
    let mut written = serde_json::to_value(&record).unwrap();
    assert_eq!(
        written.as_object_mut().unwrap().remove("era"),
        Some(json!(2))
    );
    assert_eq!(
        written.as_object_mut().unwrap().remove("provisional"),
        Some(json!(false))
    );
    assert_eq!(
        written.as_object_mut().unwrap().remove("versions"),
        Some(json!(null))
    );
    let earlier = json!({
        "holder": "d1", "incarnation": 42, "address": "10.0.0.1:7080", "term": 3, "renewals": 12, "released": false,
        "strongest": {"processor": 250, "link": 1_000}, "members": ["10.0.0.1:7080"], "quarantine": [],
    });
    assert_eq!(written, earlier);
    let read: LeaseRecord = serde_json::from_value(earlier).unwrap();
    assert_eq!(read.era, StoreEra::FIRST);
    assert!(!read.provisional);
}
