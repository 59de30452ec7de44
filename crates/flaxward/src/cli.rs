//! The command line.

use clap::{Parser, Subcommand, ValueEnum};

/// flaxward: serves models that sleep for weeks and are then needed by many at once.
#[derive(Debug, Parser)]
#[command(name = "flaxward", version, about)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run a daemon until SIGTERM, which stops it as planned.
    Serve(Box<flaxward_settings::Flags>),
    /// Check a settings file and print every error in it.
    CheckConfig(Box<flaxward_settings::CheckConfig>),
    /// Ask or change something, with the operators' language.
    Query(QueryArguments),
    /// Tell what happened to one request, from the logs of the daemons.
    Explain(flaxward::explain::ExplainArguments),
    /// Run an emulated platform with three daemons in this process, to try things out.
    Dev(DevArguments),
}

/// Arguments of `flaxward query`.
#[derive(Debug, clap::Args)]
pub struct QueryArguments {
    /// The command; without one, commands are read line by line from standard input.
    pub command: Option<String>,
    /// Address of any daemon, `ip:port`.
    #[arg(long, env = "FLAXWARD_DAEMON", default_value = "127.0.0.1:7700")]
    pub daemon: String,
    /// How answers are printed.
    #[arg(long, value_enum, default_value = "table")]
    pub output: OutputFormat,
}

/// How answers are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// A table for people.
    Table,
    /// JSON for programs.
    Json,
}

/// Arguments of `flaxward dev`.
#[derive(Debug, clap::Args)]
pub struct DevArguments {
    /// First port to listen on; 0 lets the system choose every port.
    #[arg(long, default_value_t = 7700)]
    pub port: u16,
    /// Stop by itself after this time, such as `30s`.
    #[arg(long, value_parser = humantime_duration)]
    pub stop_after: Option<std::time::Duration>,
    /// Lowest level of the log, which goes to standard error.
    #[arg(long, default_value = "info")]
    pub log_level: spdlog::Level,
}

fn humantime_duration(text: &str) -> Result<std::time::Duration, String> {
    humantime::parse_duration(text).map_err(|error| error.to_string())
}
