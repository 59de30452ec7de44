//! Remembers how far the parser got and what it looked for there.
//!
//! The parser backtracks out of optional clauses, so the last failure alone does not tell what is
//! wrong; the furthest one does.

use std::cell::RefCell;

use crate::error::SyntaxError;
use crate::token::{Token, TokenKind};

/// Words less alike than this are not suggested; 1 means the same.
const LEAST_LIKENESS: f64 = 0.8;

/// What could stand at a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expectation {
    /// Exactly this.
    Word(&'static str),
    /// Something described.
    Phrase(&'static str),
}

/// The furthest place at which something was looked for.
#[derive(Debug)]
pub(crate) struct Tracker {
    tokens: usize,
    furthest: RefCell<Furthest>,
}

#[derive(Debug, Default)]
struct Furthest {
    index: usize,
    expected: Vec<Expectation>,
}

impl Tracker {
    /// Starts at the first of some tokens.
    pub(crate) fn new(tokens: usize) -> Self {
        Self {
            tokens,
            furthest: RefCell::default(),
        }
    }

    /// Notes that some expectations were not met when this many tokens remained.
    pub(crate) fn note(&self, remaining: usize, expected: impl IntoIterator<Item = Expectation>) {
        let index = self.tokens - remaining;
        let mut furthest = self.furthest.borrow_mut();
        if index < furthest.index {
            return;
        }
        if index > furthest.index {
            furthest.index = index;
            furthest.expected.clear();
        }
        for expectation in expected {
            if !furthest.expected.contains(&expectation) {
                furthest.expected.push(expectation);
            }
        }
    }

    /// The error at the furthest place.
    pub(crate) fn error(&self, text: &str, tokens: &[Token]) -> SyntaxError {
        let furthest = self.furthest.borrow();
        let token = &tokens[furthest.index.min(tokens.len() - 1)];
        let expected = furthest
            .expected
            .iter()
            .map(|expectation| match expectation {
                Expectation::Word(word) => format!("`{word}`"),
                Expectation::Phrase(phrase) => (*phrase).to_owned(),
            });
        let mut error = SyntaxError::new(text, token.start, found(token), expected.collect());
        error.suggestion = suggestion(&token.kind, &furthest.expected);
        error
    }
}

fn found(token: &Token) -> String {
    match &token.kind {
        TokenKind::Word(word) => format!("`{word}`"),
        TokenKind::Text(text) => format!("the text '{text}'"),
        TokenKind::Symbol(symbol) => format!("`{symbol}`"),
        TokenKind::Separator | TokenKind::EndOfInput => "the end of the command".to_owned(),
    }
}

fn suggestion(found: &TokenKind, expected: &[Expectation]) -> Option<String> {
    let TokenKind::Word(found) = found else {
        return None;
    };
    let found = found.to_ascii_lowercase();
    let words = expected.iter().filter_map(|expectation| match expectation {
        Expectation::Word(word) => Some(*word),
        Expectation::Phrase(_) => None,
    });
    words
        .map(|word| (strsim::jaro_winkler(word, &found), word))
        .filter(|(likeness, _)| *likeness >= LEAST_LIKENESS)
        .max_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, word)| word.to_owned())
}
