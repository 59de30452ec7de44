//! The table of result codes and its page.

use std::collections::BTreeSet;
use std::path::Path;

use flaxward_types::ResultCode;

/// The first columns of a code's row in `docs/RESULT-CODES.md`.
fn row(code: ResultCode) -> String {
    let not_run = if code.not_run() { "yes" } else { "no" };
    format!(
        "| {} | {code:?} | {} | {not_run} | {} |",
        code.number(),
        code.http_status(),
        code.text()
    )
}

#[test]
fn numbers_are_unique_and_rise() {
    let numbers: Vec<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.is_sorted());
    let unique: BTreeSet<u16> = numbers.iter().copied().collect();
    assert_eq!(unique.len(), numbers.len());
}

#[test]
fn statuses_tell_a_failure() {
    for code in ResultCode::ALL {
        assert!((400..600).contains(&code.http_status()), "{code}");
    }
}

/// Every code has its row, every row its code, and each says what to do.
#[test]
fn the_page_shows_the_codes_in_force() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/RESULT-CODES.md");
    let text = std::fs::read_to_string(page).expect("the page exists");
    let is_row = |line: &&str| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit();
    let rows: Vec<&str> = text.lines().filter(is_row).collect();
    let expected: Vec<String> = ResultCode::ALL.iter().copied().map(row).collect();
    assert_eq!(
        rows.len(),
        expected.len(),
        "expected rows:\n{}",
        expected.join("\n")
    );
    for (row, expected) in rows.iter().zip(expected) {
        let advice = row.strip_prefix(expected.as_str());
        let advice = advice.unwrap_or_else(|| panic!("{row}\nshould begin\n{expected}"));
        assert!(
            advice.trim_matches(['|', ' ']).len() > 10,
            "{row} says what to do"
        );
    }
}
