//! Syntax errors with their position.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A position in a text; line and column are 1-based.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Line number.
    pub line: usize,
    /// Column, counted in characters.
    pub column: usize,
}

/// A syntax error in a command.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct SyntaxError {
    /// Position of the error.
    pub position: Position,
    /// Token found there.
    pub found: String,
    /// Tokens or phrases that the grammar allows there.
    pub expected: Vec<String>,
    /// The expected word most similar to the one found, if any is similar enough.
    pub suggestion: Option<String>,
    /// Text of the line with the error.
    pub line_text: String,
}

impl SyntaxError {
    pub(crate) fn new(text: &str, offset: usize, found: String, expected: Vec<String>) -> Self {
        let before = &text[..offset];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let line_text = text[line_start..].lines().next().unwrap_or_default();
        Self {
            position: Position {
                line: before.matches('\n').count() + 1,
                column: before[line_start..].chars().count() + 1,
            },
            found,
            expected,
            suggestion: None,
            line_text: line_text.to_owned(),
        }
    }
}

impl fmt::Display for SyntaxError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.position;
        let expected = self.expected.join(", ");
        writeln!(
            formatter,
            "line {line}, column {column}: found {}, expected {expected}",
            self.found
        )?;
        writeln!(formatter, "{}", self.line_text)?;
        write!(formatter, "{:>column$}", '^')?;
        match &self.suggestion {
            Some(word) => write!(formatter, " did you mean `{word}`?"),
            None => Ok(()),
        }
    }
}
