//! Line input from a terminal or a pipe.

use std::io::{self, BufRead};

use rustyline::DefaultEditor;
use rustyline::error::ReadlineError;

/// Prompt shown at a terminal.
const PROMPT: &str = "flaxward> ";

/// A blocking source of input lines; returns `None` at end of input.
pub trait LineSource: Send + 'static {
    /// Reads the next line.
    ///
    /// # Errors
    /// Fails if the source cannot be read.
    fn next_line(&mut self) -> anyhow::Result<Option<String>>;
}

/// Reads lines from standard input when it is not a terminal.
pub struct PipedLines;

impl LineSource for PipedLines {
    fn next_line(&mut self) -> anyhow::Result<Option<String>> {
        let mut line = String::new();
        let bytes = io::stdin().lock().read_line(&mut line)?;
        Ok((bytes > 0).then_some(line))
    }
}

/// Reads lines from a terminal, with an in-memory history.
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

/// Reads the next line on a blocking thread, so that it does not block the async runtime.
pub(super) async fn read_line<L: LineSource>(mut lines: L) -> anyhow::Result<(L, Option<String>)> {
    let read_task = tokio::task::spawn_blocking(move || {
        let line = lines.next_line();
        (lines, line)
    });
    let (lines, line) = read_task.await?;
    Ok((lines, line?))
}
