//! Splits a text into commands.

/// Splits a text at each `;` and newline outside quotes and comments, and omits parts without a
/// command. After an unclosed quote the rest of the text stays in one part, so that the parser
/// reports the error.
pub fn split(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut state = State::Plain;
    let mut previous = ' ';
    for (offset, character) in text.char_indices() {
        let next = state.next(previous, character);
        if next == State::Ended {
            parts.push(&text[start..offset]);
            start = offset + character.len_utf8();
        }
        state = if next == State::Ended {
            State::Plain
        } else {
            next
        };
        previous = character;
    }
    parts.push(&text[start..]);
    parts.retain(|part| contains_command(part));
    parts
}

/// Lexical context of a character.
#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Plain,
    /// Inside a word, where `--` starts no comment.
    Word,
    Quoted,
    Comment,
    Ended,
}

impl State {
    fn next(self, previous: char, character: char) -> Self {
        match (self, character) {
            (Self::Quoted, '\'') => Self::Plain,
            (Self::Quoted, _) => Self::Quoted,
            (_, '\n') => Self::Ended,
            (Self::Comment, _) => Self::Comment,
            (_, ';') => Self::Ended,
            (_, '\'') => Self::Quoted,
            (Self::Plain, '-') if previous == '-' => Self::Comment,
            (Self::Word, '-' | '_' | '.') => Self::Word,
            (_, character) if character.is_ascii_alphanumeric() => Self::Word,
            _ => Self::Plain,
        }
    }
}

fn contains_command(part: &str) -> bool {
    let part = part.trim();
    !part.is_empty() && !part.starts_with("--")
}
