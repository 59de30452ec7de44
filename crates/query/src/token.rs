//! Splits text into tokens.

use winnow::combinator::{alt, delimited, preceded, repeat, terminated};
use winnow::error::EmptyError;
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{none_of, one_of, take_while};

use crate::error::SyntaxError;

/// The kind of a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TokenKind {
    /// A keyword, name, number, size or duration.
    Word(String),
    /// A quoted string.
    Text(String),
    /// An operator or a punctuation mark.
    Symbol(&'static str),
    /// End of a command: `;` or a newline.
    Separator,
    /// End of the input.
    EndOfInput,
}

/// A token with its byte offset.
#[derive(Clone, Debug)]
pub(crate) struct Token {
    pub(crate) kind: TokenKind,
    pub(crate) start: usize,
}

type Source<'a> = LocatingSlice<&'a str>;
type LexResult<T> = Result<T, EmptyError>;

/// Splits a text into tokens; the last one is always [`TokenKind::EndOfInput`].
pub(crate) fn tokenize(text: &str) -> Result<Vec<Token>, SyntaxError> {
    let mut source = LocatingSlice::new(text);
    let mut tokens: Vec<Token> = lex(&mut source).unwrap_or_default();
    let start = source.current_token_start();
    match text[start..].chars().next() {
        None => {
            let kind = TokenKind::EndOfInput;
            tokens.push(Token { kind, start });
            Ok(tokens)
        }
        Some('\'') => {
            let expected = vec!["a closing quote".to_owned()];
            Err(SyntaxError::new(
                text,
                start,
                "an open quote".to_owned(),
                expected,
            ))
        }
        Some(character) => {
            let found = format!("the character {character:?}");
            let expected = vec!["a word, a quoted text or an operator".to_owned()];
            Err(SyntaxError::new(text, start, found, expected))
        }
    }
}

fn lex(source: &mut Source) -> LexResult<Vec<Token>> {
    preceded(whitespace, repeat(0.., terminated(token, whitespace))).parse_next(source)
}

/// Skips whitespace and comments, but not newlines.
fn whitespace(source: &mut Source) -> LexResult<()> {
    let spaces = take_while(1.., [' ', '\t', '\r']).void();
    let comment = ("--", take_while(0.., |character| character != '\n')).void();
    repeat(0.., alt((spaces, comment))).parse_next(source)
}

fn token(source: &mut Source) -> LexResult<Token> {
    let start = source.current_token_start();
    kind.map(|kind| Token { kind, start }).parse_next(source)
}

fn kind(source: &mut Source) -> LexResult<TokenKind> {
    alt((
        word.map(TokenKind::Word),
        quoted.map(TokenKind::Text),
        one_of([';', '\n']).value(TokenKind::Separator),
        symbol.map(TokenKind::Symbol),
    ))
    .parse_next(source)
}

fn word(source: &mut Source) -> LexResult<String> {
    let first = one_of(|character: char| character.is_ascii_alphanumeric());
    let rest = take_while(0.., |character: char| {
        character.is_ascii_alphanumeric() || matches!(character, '-' | '_' | '.')
    });
    (first, rest).take().map(str::to_owned).parse_next(source)
}

/// Parses a quoted string; a quote inside it is escaped by doubling it.
fn quoted(source: &mut Source) -> LexResult<String> {
    let character = alt((none_of('\''), "''".value('\'')));
    delimited('\'', repeat(0.., character), '\'').parse_next(source)
}

fn symbol(source: &mut Source) -> LexResult<&'static str> {
    alt((
        "!=".value("!="),
        "<=".value("<="),
        ">=".value(">="),
        "=".value("="),
        "<".value("<"),
        ">".value(">"),
        ",".value(","),
        ":".value(":"),
        "@".value("@"),
    ))
    .parse_next(source)
}
