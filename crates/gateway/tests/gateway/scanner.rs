//! Property tests of the scanner for server-sent events.

use bytes::Bytes;
use flaxward_gateway::{Event, EventError, EventScanner};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn proptest_config() -> ProptestConfig {
    let cases = std::env::var("FLAXWARD_PROPTEST_CASES").ok();
    ProptestConfig {
        cases: cases.and_then(|text| text.parse().ok()).unwrap_or(512),
        rng_seed: RngSeed::Fixed(0x5c4_11e2),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// An event as text, with the expected scan result.
fn any_event() -> impl Strategy<Value = (String, Event)> {
    let line_end = prop_oneof![Just("\n"), Just("\r\n")];
    let event = prop_oneof![
        6 => any::<u64>().prop_map(Event::Token),
        1 => Just(Event::End),
        1 => Just(Event::Unnumbered),
        1 => Just(Event::Comment),
    ];
    (event, line_end, "[ -~]{0,30}").prop_map(|(event, end, text)| {
        let lines = match event {
            Event::Token(index) => format!("id: {index}{end}data: {{{text}{end}"),
            Event::End => format!("data: [DONE]{end}"),
            Event::Unnumbered => format!("event: usage{end}data:{{{text}{end}"),
            Event::Comment => format!(": {text}{end}"),
        };
        (lines + end, event)
    })
}

/// Scans the chunks and returns all events, each with its bytes.
fn scan<'a>(chunks: impl IntoIterator<Item = &'a [u8]>) -> Result<Vec<(Bytes, Event)>, EventError> {
    let mut scanner = EventScanner::default();
    let mut events = Vec::new();
    for chunk in chunks {
        scanner.feed(Bytes::copy_from_slice(chunk))?;
        while let Some((range, event)) = scanner.next_event()? {
            events.push((scanner.slice(range), event));
        }
    }
    Ok(events)
}

proptest! {
    #![proptest_config(proptest_config())]

    /// The scanner finds the same events with the same bytes wherever the stream is split.
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        events in prop::collection::vec(any_event(), 0..10),
        chunk_sizes in prop::collection::vec(1_usize..40, 1..20),
        incomplete in "id: [0-9]{0,5}",
    ) {
        let stream: String = events.iter().map(|(text, _)| text.as_str()).collect();
        let stream = (stream + &incomplete).into_bytes();
        let mut chunks = Vec::new();
        let mut remaining = stream.as_slice();
        for chunk_size in chunk_sizes.iter().cycle() {
            if remaining.is_empty() {
                break;
            }
            let (chunk, tail) = remaining.split_at(remaining.len().min(*chunk_size));
            chunks.push(chunk);
            remaining = tail;
        }
        let expected: Vec<(Bytes, Event)> =
            events.into_iter().map(|(text, event)| (text.into(), event)).collect();
        prop_assert_eq!(scan(chunks), Ok(expected));
    }

    /// Arbitrary input does not panic, and the bytes of the events are a prefix of the input.
    #[test]
    fn arbitrary_bytes_are_scanned_without_panic_or_corruption(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..50), 0..10),
    ) {
        let all = chunks.concat();
        if let Ok(events) = scan(chunks.iter().map(Vec::as_slice)) {
            let found: Vec<u8> = events.iter().flat_map(|(bytes, _)| bytes.to_vec()).collect();
            prop_assert!(all.starts_with(&found));
        }
    }
}

#[test]
fn oversized_events_and_invalid_ids_are_rejected() {
    let chunk = vec![b'x'; 300_000];
    let chunks = std::iter::repeat_n(chunk.as_slice(), 5);
    assert_eq!(scan(chunks), Err(EventError::TooLong));
    let not_a_number = [b"id: seven\n".as_slice()];
    assert_eq!(scan(not_a_number), Err(EventError::BadIndex));
}
