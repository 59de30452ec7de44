//! Many commands in one text.

/// Splits a text at each `;` and new line outside quotes and comments, and leaves out what holds
/// no command. An open quote keeps the rest of the text together, so that its error is reported.
pub fn split(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut state = State::Plain;
    let mut previous = ' ';
    for (offset, character) in text.char_indices() {
        let next = state.after(previous, character);
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
    parts.retain(|part| holds_command(part));
    parts
}

/// Where in a text a character stands.
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
    fn after(self, previous: char, character: char) -> Self {
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

fn holds_command(part: &str) -> bool {
    let part = part.trim();
    !part.is_empty() && !part.starts_with("--")
}
