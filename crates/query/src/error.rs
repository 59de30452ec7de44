//! Errors of the language, with their place.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A place in a text; both numbers start at 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Line.
    pub line: usize,
    /// Column, counted in characters.
    pub column: usize,
}

/// Why a text is not a command.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct SyntaxError {
    /// Where.
    pub position: Position,
    /// What stands there.
    pub found: String,
    /// What could stand there.
    pub expected: Vec<String>,
    /// The expected word that is most like the one found.
    pub suggestion: Option<String>,
    /// The line, to show the place in.
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
