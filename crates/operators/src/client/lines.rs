//! Lines from a terminal or a pipe.

use std::io::{self, BufRead};

use rustyline::DefaultEditor;
use rustyline::error::ReadlineError;

/// What a terminal shows before each line.
const PROMPT: &str = "flaxward> ";

/// Gives lines, blocking until there is one; `None` at the end.
pub trait LineSource: Send + 'static {
    /// The next line.
    ///
    /// # Errors
    /// Fails if the source cannot be read.
    fn next_line(&mut self) -> anyhow::Result<Option<String>>;
}

/// Lines from standard input that is no terminal.
pub struct PipedLines;

impl LineSource for PipedLines {
    fn next_line(&mut self) -> anyhow::Result<Option<String>> {
        let mut line = String::new();
        let bytes = io::stdin().lock().read_line(&mut line)?;
        Ok((bytes > 0).then_some(line))
    }
}

/// Lines from a terminal, with a history that is kept in memory only.
pub struct TerminalLines {
    editor: DefaultEditor,
}

impl TerminalLines {
    /// Opens the terminal.
    ///
    /// # Errors
    /// Fails if the terminal cannot be used.
    pub fn new() -> anyhow::Result<Self> {
        Ok(Self {
            editor: DefaultEditor::new()?,
        })
    }
}

impl LineSource for TerminalLines {
    fn next_line(&mut self) -> anyhow::Result<Option<String>> {
        match self.editor.readline(PROMPT) {
            Ok(line) => {
                self.editor.add_history_entry(line.as_str())?;
                Ok(Some(line))
            }
            Err(ReadlineError::Interrupted) => Ok(Some(String::new())),
            Err(ReadlineError::Eof) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }
}

/// The next line, read on a thread of its own so that it holds up no other task.
pub(super) async fn next<L: LineSource>(mut lines: L) -> anyhow::Result<(L, Option<String>)> {
    let reading = tokio::task::spawn_blocking(move || {
        let line = lines.next_line();
        (lines, line)
    });
    let (lines, line) = reading.await?;
    Ok((lines, line?))
}
