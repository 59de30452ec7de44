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
    /// A table for people.
    #[default]
    Table,
    /// A line of JSON for each command.
    Json,
}

/// What `flaxward query` is told on its command line.
#[derive(Clone, Debug)]
pub struct QueryOptions {
    /// Address of any daemon, `ip:port`.
    pub address: String,
    /// Commands, separated by `;`; from standard input if not given.
    pub commands: Option<String>,
    /// How answers are printed.
    pub format: Format,
}

/// Where answers and errors go.
pub struct Session<'a> {
    /// The daemon.
    pub connection: Connection,
    /// How answers are printed.
    pub format: Format,
    /// Takes answers.
    pub output: &'a mut (dyn Write + Send),
    /// Takes errors.
    pub errors: &'a mut (dyn Write + Send),
}

/// Runs `flaxward query`. Answers go to standard output and errors, as JSON, to standard error.
/// Given commands or a pipe, it stops at the first that fails, and the exit code says why; at a
/// terminal it goes on.
pub async fn run_query(options: QueryOptions) -> ExitCode {
    match run(options).await {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            // Standard output or input is gone; standard error is the last place to say so.
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
    /// Runs every command of a text, up to the first that fails; answers the exit code.
    ///
    /// # Errors
    /// Fails if an answer or error cannot be printed.
    pub async fn run_commands(&mut self, text: &str) -> io::Result<u8> {
        for command in split(text) {
            match self.connection.execute(command).await {
                Ok(answer) => self.print(&answer)?,
                Err(body) => return self.fail(&body),
            }
        }
        Ok(EXIT_OK)
    }

    /// Runs lines up to the first command that fails.
    ///
    /// # Errors
    /// Fails if a line cannot be read or an answer cannot be printed.
    pub async fn run_pipe<L: LineSource>(&mut self, mut lines: L) -> anyhow::Result<u8> {
        loop {
            let (source, line) = lines::next(lines).await?;
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
            let (source, line) = lines::next(lines).await?;
            let Some(line) = line else {
                return Ok(EXIT_OK);
            };
            self.run_line(&line).await?;
            lines = source;
        }
    }

    /// Runs the commands of a line typed by a person, who sees errors as text.
    async fn run_line(&mut self, line: &str) -> io::Result<()> {
        for command in split(line) {
            match self.connection.execute(command).await {
                Ok(answer) => self.print(&answer)?,
                Err(body) => self.explain(&body.error)?,
            }
        }
        Ok(())
    }

    fn explain(&mut self, error: &ErrorDetail) -> io::Result<()> {
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

    fn fail(&mut self, body: &ErrorBody) -> io::Result<u8> {
        writeln!(self.errors, "{}", serde_json::to_string(body)?)?;
        let code = body.error.result_code();
        Ok(exit_code(code.unwrap_or(ResultCode::Internal)))
    }
}
