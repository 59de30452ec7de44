//! Position, expectations and suggestion of syntax errors.

use flaxward_query::{Position, parse};

/// Command, line and column, one of the expectations, and the suggestion if any. `\n` stands for a
/// newline.
const CASES: &str = r"
 | 1:1 | `show` |
shwo models | 1:1 | `show` | show
show modles | 1:6 | `models` | models
show decisions | 1:6 | `models` |
show models wehre name = a | 1:13 | `where` | where
show models where sttae = ready | 1:19 | `state` | state
show models where state = redy | 1:27 | `ready` | ready
show models where state < ready | 1:25 | `=` |
show models where ready like 1 | 1:25 | `>=` |
show models where ready = many | 1:27 | a number |
show models where ready = nan | 1:27 | a number |
show runners where memory > 16 | 1:29 | a size with its unit, such as 16GiB |
show requests where age > 5 | 1:27 | a time with its unit, such as 30s |
show models where name = a and | 1:31 | `name` |
show models order name | 1:19 | `by` |
show models limit -1 | 1:19 | a word, a quoted text or an operator |
show models; show zones | 1:14 | the end of the command |
show models in zone a | 1:13 | `where` |
\n\nshow replicas of m:\n | 3:20 | the name of an adapter |
explain m | 1:9 | `model` |
create model M serving v1 | 1:14 | the name of a model |
create model m at most 2 | 1:25 | `serving` and the name of a version |
create model m serving v at mots 2 | 1:29 | `most` | most
create model m serving v priority 256 | 1:35 | a whole number in range |
create model m serving v queue 1 queue 2 | 1:41 | each setting once only |
create version m@v weights 16 checkpoint 'x' | 1:28 | a size with its unit, such as 16GiB |
create version m@v checkpoint 'x' | 1:34 | both `checkpoint` and `weights` |
create version m checkpoint 'x' | 1:18 | `@` |
create version m@v checkpoint 'x | 1:31 | a closing quote |
change model m set serving v if version x | 1:41 | a version number |
change model m set at most 1 at least 1 | 1:30 | `,` |
change policy set cold_start_wait 1 | 1:19 | `cold_start_weight` | cold_start_weight
remove machine r | 1:8 | `model` |
drain machine r | 1:16 | `reason` |
drain machine é reason 'x' | 1:15 | a word, a quoted text or an operator |
drain machine r reason 'é' x | 1:28 | the end of the command |
";

#[test]
fn errors_report_position_expectation_and_suggestion() {
    for case in CASES.trim_start_matches('\n').lines() {
        let mut cells = case
            .split(" |")
            .map(|cell| cell.strip_prefix(' ').unwrap_or(cell));
        let mut cell = || cells.next().expect("a cell");
        let text = cell().replace("\\n", "\n");
        let position = cell();
        let expected = cell();
        let suggestion = Some(cell()).filter(|word| !word.is_empty());
        let error = parse(&text).expect_err(&text);
        let Position { line, column } = error.position;
        assert_eq!(format!("{line}:{column}"), position, "{error}");
        assert!(
            error.expected.iter().any(|phrase| phrase == expected),
            "{case}\n{error}"
        );
        assert_eq!(error.suggestion.as_deref(), suggestion, "{error}");
    }
}

#[test]
fn the_message_shows_a_caret_under_the_error_position() {
    let error = parse("-- first\nshow modles").expect_err("a misspelled table");
    let message = error.to_string();
    let lines: Vec<&str> = message.lines().collect();
    assert!(lines[0].starts_with("line 2, column 6: found `modles`, expected `models`, "));
    assert_eq!(lines[1], "show modles");
    assert_eq!(lines[2], "     ^ did you mean `models`?");
}

#[test]
fn only_expectations_at_the_furthest_token_are_reported() {
    for (text, expected) in [
        ("explain m", vec!["`model`"]),
        (
            "show daemons where coordinator = maybe",
            vec!["`true`", "`false`"],
        ),
        (
            "change policy set keep_alive_min 1s if 3",
            vec!["`version`"],
        ),
    ] {
        assert_eq!(parse(text).expect_err(text).expected, expected, "{text}");
    }
}
