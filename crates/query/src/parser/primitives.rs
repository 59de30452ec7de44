//! Parsers that consume a single token.

use std::str::FromStr;
use std::time::Duration;

use bytesize::ByteSize;
use flaxward_types::Revision;
use winnow::error::EmptyError;
use winnow::prelude::*;
use winnow::stream::{Stateful, Stream, TokenSlice};

use super::track::{Expectation, Tracker};
use crate::token::{Token, TokenKind};

pub(super) type Input<'a> = Stateful<TokenSlice<'a, Token>, &'a Tracker>;
pub(super) type Parsed<T> = Result<T, EmptyError>;

/// Consumes one token if `read` converts it; otherwise records what was expected.
pub(super) fn accept<T>(
    input: &mut Input,
    expected: impl IntoIterator<Item = Expectation>,
    read: impl FnOnce(&TokenKind) -> Option<T>,
) -> Parsed<T> {
    let start = input.checkpoint();
    let remaining = input.eof_offset();
    if let Some(value) = input.next_token().and_then(|token| read(&token.kind)) {
        return Ok(value);
    }
    input.reset(&start);
    input.state.record_failure(remaining, expected);
    Err(EmptyError)
}

/// Fails at the next token and records `expected`.
pub(super) fn reject<T>(input: &mut Input, expected: &'static str) -> Parsed<T> {
    accept(input, [Expectation::Phrase(expected)], |_| None)
}

fn read_word<T>(kind: &TokenKind, read: impl FnOnce(&str) -> Option<T>) -> Option<T> {
    match kind {
        TokenKind::Word(word) => read(word),
        _ => None,
    }
}

/// Parses a keyword, case-insensitively.
pub(super) fn keyword<'a>(word: &'static str) -> impl Parser<Input<'a>, (), EmptyError> {
    move |input: &mut Input<'a>| {
        accept(input, [Expectation::Word(word)], |kind| {
            read_word(kind, |found| found.eq_ignore_ascii_case(word).then_some(()))
        })
    }
}

/// Parses one of the given keywords, case-insensitively.
pub(super) fn one_keyword(
    input: &mut Input,
    words: impl Iterator<Item = &'static str> + Clone,
) -> Parsed<&'static str> {
    let expected = words.clone().map(Expectation::Word);
    accept(input, expected, |kind| {
        read_word(kind, |found| {
            let mut words = words;
            words.find(|word| found.eq_ignore_ascii_case(word))
        })
    })
}

/// Parses an operator or a punctuation mark.
pub(super) fn symbol<'a>(text: &'static str) -> impl Parser<Input<'a>, (), EmptyError> {
    move |input: &mut Input<'a>| {
        accept(input, [Expectation::Word(text)], |kind| {
            (*kind == TokenKind::Symbol(text)).then_some(())
        })
    }
}

/// Parses a word into any `FromStr` type, such as a name.
pub(super) fn name<'a, T: FromStr>(phrase: &'static str) -> impl Parser<Input<'a>, T, EmptyError> {
    move |input: &mut Input<'a>| {
        accept(input, [Expectation::Phrase(phrase)], |kind| {
            read_word(kind, |word| word.parse().ok())
        })
    }
}

/// Parses an integer in the range of the type.
pub(super) fn count<T: FromStr>(input: &mut Input) -> Parsed<T> {
    name("a whole number in range").parse_next(input)
}

/// Parses a finite number.
pub(super) fn number(input: &mut Input) -> Parsed<f64> {
    accept(input, [Expectation::Phrase("a number")], |kind| {
        read_word(kind, |word| word.parse().ok()).filter(|number: &f64| number.is_finite())
    })
}

/// Parses the version of an object.
pub(super) fn revision(input: &mut Input) -> Parsed<Revision> {
    name("a version number").map(Revision).parse_next(input)
}

/// Parses a size. A number without a unit is rejected, since it is more likely a mistake than a
/// size in bytes.
pub(super) fn size(input: &mut Input) -> Parsed<ByteSize> {
    let expected = [Expectation::Phrase("a size with its unit, such as 16GiB")];
    accept(input, expected, |kind| {
        read_word(kind, |word| {
            let has_unit = word.ends_with(|last: char| last.is_ascii_alphabetic());
            has_unit.then(|| word.parse().ok()).flatten()
        })
    })
}

/// Parses a duration, as a word or a quoted string, and truncates it to whole milliseconds.
pub(super) fn duration(input: &mut Input) -> Parsed<Duration> {
    let expected = [Expectation::Phrase("a time with its unit, such as 30s")];
    accept(input, expected, |kind| match kind {
        TokenKind::Word(text) | TokenKind::Text(text) => {
            let duration = humantime::parse_duration(text).ok()?;
            let millis = u64::try_from(duration.as_millis()).ok()?;
            Some(Duration::from_millis(millis))
        }
        _ => None,
    })
}

/// Parses a duration as a number of whole milliseconds.
pub(super) fn millis(input: &mut Input) -> Parsed<u64> {
    duration
        .map(|duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
        .parse_next(input)
}

/// Parses a string; quotes are optional for a single word.
pub(super) fn text(input: &mut Input) -> Parsed<String> {
    let expected = [Expectation::Phrase("a text in single quotes")];
    accept(input, expected, |kind| match kind {
        TokenKind::Word(text) | TokenKind::Text(text) => Some(text.clone()),
        _ => None,
    })
}
