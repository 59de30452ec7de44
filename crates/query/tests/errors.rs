//! Where errors point, what they expect and what they suggest.

use flaxward_query::{Position, parse};

struct Case {
    text: &'static str,
    line: usize,
    column: usize,
    expected: &'static str,
    suggestion: Option<&'static str>,
}

const fn case(
    text: &'static str,
    (line, column): (usize, usize),
    expected: &'static str,
    suggestion: Option<&'static str>,
) -> Case {
    Case {
        text,
        line,
        column,
        expected,
        suggestion,
    }
}

const CASES: &[Case] = &[
    case("", (1, 1), "`show`", None),
    case("shwo models", (1, 1), "`show`", Some("show")),
    case("show modles", (1, 6), "`models`", Some("models")),
    case("show decisions", (1, 6), "`models`", None),
    case(
        "show models wehre name = a",
        (1, 13),
        "`where`",
        Some("where"),
    ),
    case(
        "show models where sttae = ready",
        (1, 19),
        "`state`",
        Some("state"),
    ),
    case(
        "show models where state = redy",
        (1, 27),
        "`ready`",
        Some("ready"),
    ),
    case("show models where state < ready", (1, 25), "`=`", None),
    case("show models where ready like 1", (1, 25), "`>=`", None),
    case("show models where ready = many", (1, 27), "a number", None),
    case("show models where ready = nan", (1, 27), "a number", None),
    case(
        "show runners where memory > 16",
        (1, 29),
        "a size with its unit, such as 16GiB",
        None,
    ),
    case(
        "show requests where age > 5",
        (1, 27),
        "a time with its unit, such as 30s",
        None,
    ),
    case("show models where name = a and", (1, 31), "`name`", None),
    case("show models order name", (1, 19), "`by`", None),
    case(
        "show models limit -1",
        (1, 19),
        "a word, a quoted text or an operator",
        None,
    ),
    case(
        "show models; show zones",
        (1, 14),
        "the end of the command",
        None,
    ),
    case("show models in zone a", (1, 13), "`where`", None),
    case(
        "\n\nshow replicas of m:\n",
        (3, 20),
        "the name of an adapter",
        None,
    ),
    case("explain m", (1, 9), "`model`", None),
    case(
        "create model M serving v1",
        (1, 14),
        "the name of a model",
        None,
    ),
    case(
        "create model m at most 2",
        (1, 25),
        "`serving` and the name of a version",
        None,
    ),
    case(
        "create model m serving v at mots 2",
        (1, 29),
        "`most`",
        Some("most"),
    ),
    case(
        "create model m serving v priority 256",
        (1, 35),
        "a whole number in range",
        None,
    ),
    case(
        "create model m serving v queue 1 queue 2",
        (1, 41),
        "each setting once only",
        None,
    ),
    case(
        "create version m@v weights 16 checkpoint 'x'",
        (1, 28),
        "a size with its unit, such as 16GiB",
        None,
    ),
    case(
        "create version m@v checkpoint 'x'",
        (1, 34),
        "both `checkpoint` and `weights`",
        None,
    ),
    case("create version m checkpoint 'x'", (1, 18), "`@`", None),
    case(
        "create version m@v checkpoint 'x",
        (1, 31),
        "a closing quote",
        None,
    ),
    case(
        "change model m set serving v if version x",
        (1, 41),
        "a version number",
        None,
    ),
    case(
        "change model m set at most 1 at least 1",
        (1, 30),
        "`,`",
        None,
    ),
    case(
        "change policy set cold_start_wait 1",
        (1, 19),
        "`cold_start_weight`",
        Some("cold_start_weight"),
    ),
    case("remove machine r", (1, 8), "`model`", None),
    case("drain machine r", (1, 16), "`reason`", None),
    case(
        "drain machine é reason 'x'",
        (1, 15),
        "a word, a quoted text or an operator",
        None,
    ),
    case(
        "drain machine r reason 'é' x",
        (1, 28),
        "the end of the command",
        None,
    ),
];

#[test]
fn errors_point_at_the_place_and_say_what_is_expected() {
    for case in CASES {
        let error = parse(case.text).expect_err(case.text);
        let place = Position {
            line: case.line,
            column: case.column,
        };
        assert_eq!(error.position, place, "{error}");
        let expected = &error.expected;
        assert!(
            expected.iter().any(|one| one == case.expected),
            "{:?}\n{error}",
            case.text
        );
        assert_eq!(error.suggestion.as_deref(), case.suggestion, "{error}");
    }
}

#[test]
fn the_message_shows_a_caret_under_the_place() {
    let error = parse("-- first\nshow modles").expect_err("a slip");
    let message = error.to_string();
    let lines: Vec<&str> = message.lines().collect();
    assert!(lines[0].starts_with("line 2, column 6: found `modles`, expected `models`, "));
    assert_eq!(lines[1], "show modles");
    assert_eq!(lines[2], "     ^ did you mean `models`?");
}
