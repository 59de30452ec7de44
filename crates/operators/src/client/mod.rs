//! The client behind `flaxward query`.

mod connection;
mod lines;

use std::io::{self, IsTerminal, Write};
use std::process::ExitCode;

use flaxward_query::split;
use flaxward_types::ResultCode;

pub use connection::Connection;
pub use lines::{LineSource, PipedLines, TerminalLines};

use crate::answer::Answer;
use crate::error::{ErrorBody, ErrorDetail};
use crate::exit::{EXIT_OK, exit_code};
use crate::render::{render_json, render_table};

/// How answers are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// A human-readable table.
    #[default]
    Table,
    /// One line of JSON per command.
    Json,
}

/// Command-line options of `flaxward query`.
#[derive(Clone, Debug)]
pub struct QueryOptions {
    /// Address of any daemon, `ip:port`.
    pub address: String,
    /// Commands, separated by `;`; read from standard input if absent.
    pub commands: Option<String>,
    /// How answers are printed.
    pub format: Format,
}

/// A client session with its output streams.
pub struct Session<'a> {
    /// Connection to the daemon.
    pub connection: Connection,
    /// How answers are printed.
    pub format: Format,
    /// Receives answers.
    pub output: &'a mut (dyn Write + Send),
    /// Receives errors.
    pub errors: &'a mut (dyn Write + Send),
}

/// Runs `flaxward query`. Answers go to standard output and errors, as JSON, to standard error.
/// With commands from the options or a pipe, it stops at the first failure, and the exit code gives
/// the cause; at a terminal it continues.
pub async fn run_query(options: QueryOptions) -> ExitCode {
    match run(options).await {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            // Standard input or output has failed; an error on standard error cannot be reported.
            let _ = writeln!(io::stderr(), "{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: QueryOptions) -> anyhow::Result<u8> {
    let mut session = Session {
        connection: Connection::new(&options.address)?,
        format: options.format,
        output: &mut io::stdout(),
        errors: &mut io::stderr(),
    };
    if let Some(commands) = options.commands {
        return Ok(session.run_commands(&commands).await?);
    }
    if io::stdin().is_terminal() {
        return session.run_terminal(TerminalLines::new()?).await;
    }
    session.run_pipe(PipedLines).await
}

impl Session<'_> {
    /// Runs the commands in `text` up to the first failure; returns the exit code.
    ///
    /// # Errors
    /// Fails if an answer or error cannot be printed.
    pub async fn run_commands(&mut self, text: &str) -> io::Result<u8> {
        for command in split(text) {
            match self.connection.execute(command).await {
                Ok(answer) => self.print(&answer)?,
                Err(body) => return self.report_failure(&body),
            }
        }
        Ok(EXIT_OK)
    }

    /// Runs input lines up to the first command that fails.
    ///
    /// # Errors
    /// Fails if a line cannot be read or an answer cannot be printed.
    pub async fn run_pipe<L: LineSource>(&mut self, mut lines: L) -> anyhow::Result<u8> {
        loop {
            let (source, line) = lines::read_line(lines).await?;
            let Some(line) = line else {
                return Ok(EXIT_OK);
            };
            let code = self.run_commands(&line).await?;
            if code != EXIT_OK {
                return Ok(code);
            }
            lines = source;
        }
    }

    async fn run_terminal<L: LineSource>(&mut self, mut lines: L) -> anyhow::Result<u8> {
        loop {
            let (source, line) = lines::read_line(lines).await?;
            let Some(line) = line else {
                return Ok(EXIT_OK);
            };
            self.run_line(&line).await?;
            lines = source;
        }
    }

    /// Runs the commands of an interactive line, with errors printed as text.
    async fn run_line(&mut self, line: &str) -> io::Result<()> {
        for command in split(line) {
            match self.connection.execute(command).await {
                Ok(answer) => self.print(&answer)?,
                Err(body) => self.print_error(&body.error)?,
            }
        }
        Ok(())
    }

    fn print_error(&mut self, error: &ErrorDetail) -> io::Result<()> {
        let ErrorDetail {
            code,
            name,
            message,
            ..
        } = error;
        writeln!(self.errors, "{code} {name}: {message}")
    }

    fn print(&mut self, answer: &Answer) -> io::Result<()> {
        let text = match self.format {
            Format::Table => render_table(answer),
            Format::Json => render_json(answer)?,
        };
        writeln!(self.output, "{text}")
    }

    fn report_failure(&mut self, body: &ErrorBody) -> io::Result<u8> {
        writeln!(self.errors, "{}", serde_json::to_string(body)?)?;
        let code = body.error.result_code();
        Ok(exit_code(code.unwrap_or(ResultCode::Internal)))
    }
}
