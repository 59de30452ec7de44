//! Parses tokens into commands.

mod change;
mod primitives;
mod settings;
mod show;
mod track;

use winnow::combinator::{alt, delimited, preceded, repeat};
use winnow::prelude::*;
use winnow::stream::{Stateful, TokenSlice};

use crate::command::Command;
use crate::error::SyntaxError;
use crate::token::{TokenKind, tokenize};
use primitives::{Input, Parsed, accept, keyword, name};
use track::{Expectation, Tracker};

/// Parses one command, optionally followed by `;` and surrounded by empty lines and comments.
///
/// # Errors
/// Returns the position at which the text is invalid and what was expected there.
pub fn parse(text: &str) -> Result<Command, SyntaxError> {
    let tokens = tokenize(text)?;
    let tracker = Tracker::new(tokens.len());
    let mut input = Stateful {
        input: TokenSlice::new(&tokens),
        state: &tracker,
    };
    complete_command
        .parse_next(&mut input)
        .map_err(|_| tracker.error(text, &tokens))
}

fn complete_command(input: &mut Input) -> Parsed<Command> {
    delimited(separators, command, (separators, end_of_input)).parse_next(input)
}

fn command(input: &mut Input) -> Parsed<Command> {
    alt((
        preceded(keyword("show"), show::show).map(Command::Show),
        explain,
        change::change.map(Command::Change),
    ))
    .parse_next(input)
}

fn explain(input: &mut Input) -> Parsed<Command> {
    (keyword("explain"), keyword("model")).parse_next(input)?;
    name("the name of a model")
        .map(Command::Explain)
        .parse_next(input)
}

fn separators(input: &mut Input) -> Parsed<()> {
    let separator = |input: &mut Input| {
        accept(input, [], |kind| {
            (*kind == TokenKind::Separator).then_some(())
        })
    };
    repeat(0.., separator).parse_next(input)
}

fn end_of_input(input: &mut Input) -> Parsed<()> {
    let expected = [Expectation::Phrase("the end of the command")];
    accept(input, expected, |kind| {
        (*kind == TokenKind::EndOfInput).then_some(())
    })
}
