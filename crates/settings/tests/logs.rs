//! Lines of the log.

use flaxward_settings::logs::{CountersLine, line};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn values_that_would_break_a_line_stand_in_quotes() {
    let table = [
        ("plain-1.2:3", "event=stopped value=plain-1.2:3"),
        ("", "event=stopped value=\"\""),
        ("two words", "event=stopped value=\"two words\""),
        ("\u{7}", "event=stopped value=\"\\u{7}\""),
        ("a=b", "event=stopped value=\"a=b\""),
        ("say \"x\"\n", "event=stopped value=\"say \\\"x\\\"\\n\""),
    ];
    for (value, expected) in table {
        assert_eq!(line("stopped", &[("value", &value)]), expected);
    }
}

#[test]
fn only_counters_that_changed_are_written() {
    let mut counters = CountersLine::default();
    assert_eq!(counters.next(&[("served", 0)]), None);
    let first = counters.next(&[("served", 2), ("refused", 0)]);
    assert_eq!(first.as_deref(), Some("event=counters served=2"));
    let second = counters.next(&[("served", 2), ("refused", 1)]);
    assert_eq!(second.as_deref(), Some("event=counters refused=1"));
    assert_eq!(counters.next(&[("served", 2), ("refused", 1)]), None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No value can end a line or begin a field of its own.
    #[test]
    fn a_value_stays_one_field_of_one_line(characters in vec(any::<char>(), 0..20)) {
        let value = String::from_iter(characters);
        let text = line("stopped", &[("value", &value), ("last", &1)]);
        prop_assert!(!text.chars().any(char::is_control));
        let fields = text.strip_prefix("event=stopped value=").expect("the first fields");
        let shown = fields.strip_suffix(" last=1").expect("the last field");
        let plain = shown == value && !shown.contains([' ', '=', '"']) && !shown.is_empty();
        let quoted = format!("{value:?}");
        prop_assert!(plain || shown == quoted);
    }
}
