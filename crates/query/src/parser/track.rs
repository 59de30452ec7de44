//! Tracks the furthest token that the parser reached and what it expected there.
//!
//! The parser backtracks out of optional clauses, so the last failure need not be the actual error;
//! the failure at the furthest token is reported instead.

use std::cell::RefCell;

use crate::error::SyntaxError;
use crate::token::{Token, TokenKind};

/// Minimum Jaro-Winkler similarity of a suggested keyword; 1 means identical words.
const MIN_SIMILARITY: f64 = 0.8;

/// What the grammar allows at a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expectation {
    /// This keyword or symbol.
    Word(&'static str),
    /// A description of the allowed input.
    Phrase(&'static str),
}

/// Records the furthest token at which parsing failed.
#[derive(Debug)]
pub(crate) struct Tracker {
    token_count: usize,
    furthest: RefCell<Furthest>,
}

#[derive(Debug, Default)]
struct Furthest {
    index: usize,
    expected: Vec<Expectation>,
}

impl Tracker {
    /// Creates a tracker for an input of `token_count` tokens.
    pub(crate) fn new(token_count: usize) -> Self {
        Self {
            token_count,
            furthest: RefCell::default(),
        }
    }

    /// Records that none of the expectations matched with `remaining` tokens left.
    pub(crate) fn record_failure(
        &self,
        remaining: usize,
        expected: impl IntoIterator<Item = Expectation>,
    ) {
        let index = self.token_count - remaining;
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

    /// Builds the error for the furthest failure.
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
        let mut error =
            SyntaxError::new(text, token.start, describe_token(token), expected.collect());
        error.suggestion = suggestion(&token.kind, &furthest.expected);
        error
    }
}

fn describe_token(token: &Token) -> String {
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
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, word)| word.to_owned())
}
