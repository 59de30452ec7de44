//! Properties of the scanner of server-sent events.

use bytes::Bytes;
use flaxward_gateway::{Event, EventError, EventScanner};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    let cases = std::env::var("FLAXWARD_PROPTEST_CASES").ok();
    ProptestConfig {
        cases: cases.and_then(|text| text.parse().ok()).unwrap_or(512),
        rng_seed: RngSeed::Fixed(0x5c4_11e2),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// An event as text, and what it is.
fn event() -> impl Strategy<Value = (String, Event)> {
    let line_end = prop_oneof![Just("\n"), Just("\r\n")];
    let kind = prop_oneof![
        6 => any::<u64>().prop_map(Event::Token),
        1 => Just(Event::End),
        1 => Just(Event::Unnumbered),
        1 => Just(Event::Comment),
    ];
    (kind, line_end, "[ -~]{0,30}").prop_map(|(kind, end, text)| {
        let lines = match kind {
            Event::Token(index) => format!("id: {index}{end}data: {{{text}{end}"),
            Event::End => format!("data: [DONE]{end}"),
            Event::Unnumbered => format!("event: usage{end}data:{{{text}{end}"),
            Event::Comment => format!(": {text}{end}"),
        };
        (lines + end, kind)
    })
}

/// All events of some chunks, each with its bytes.
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
    #![proptest_config(config())]

    /// Wherever the stream is cut, the same events are found with the same bytes.
    #[test]
    fn cuts_change_nothing(
        events in prop::collection::vec(event(), 0..10),
        cuts in prop::collection::vec(1_usize..40, 1..20),
        rest in "id: [0-9]{0,5}",
    ) {
        let stream: String = events.iter().map(|(text, _)| text.as_str()).collect();
        let stream = (stream + &rest).into_bytes();
        let mut chunks = Vec::new();
        let mut left = stream.as_slice();
        for cut in cuts.iter().cycle() {
            if left.is_empty() {
                break;
            }
            let (chunk, more) = left.split_at(left.len().min(*cut));
            chunks.push(chunk);
            left = more;
        }
        let expected: Vec<(Bytes, Event)> =
            events.into_iter().map(|(text, event)| (text.into(), event)).collect();
        prop_assert_eq!(scan(chunks), Ok(expected));
    }

    /// No bytes bring it down, and none are lost or made up.
    #[test]
    fn any_bytes_are_survived(
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
fn an_event_without_end_is_refused() {
    let chunk = vec![b'x'; 300_000];
    let chunks = std::iter::repeat_n(chunk.as_slice(), 5);
    assert_eq!(scan(chunks), Err(EventError::TooLong));
    let not_a_number = [b"id: seven\n".as_slice()];
    assert_eq!(scan(not_a_number), Err(EventError::BadIndex));
}
