//! The program `flaxward`: the daemon, and what operators run on the command line.

#![warn(clippy::pedantic)]

mod cli;
mod ingress;
mod serve;

use std::process::ExitCode;

use clap::Parser;
use flaxward_operators::client::{Format, QueryOptions, run_query};

use tokio::runtime::{Builder, Runtime};

use flaxward::{dev, explain, metrics_page};
use flaxward_settings::logs;

use cli::{Cli, Command, DevArguments, OutputFormat, QueryArguments};
use dev::{Ports, Region};

fn main() -> ExitCode {
    let command = Cli::parse().command;
    let runtime = match runtime_for(&command) {
        Ok(runtime) => runtime,
        Err(error) => return failed(&error.into()),
    };
    runtime.block_on(run(command))
}

/// The ingress runs in one thread: its machines have a part of a core.
fn runtime_for(command: &Command) -> std::io::Result<Runtime> {
    let mut builder = match command {
        Command::Serve(flags) if ingress::is_meant_by(flags) => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    builder.enable_all().build()
}

async fn run(command: Command) -> ExitCode {
    match command {
        Command::Serve(flags) if ingress::is_meant_by(&flags) => ingress::run(&flags).await,
        Command::Serve(flags) => serve::run(&flags).await,
        Command::CheckConfig(arguments) => flaxward_settings::check_config(&arguments),
        Command::Query(arguments) => run_query(query_options(arguments)).await,
        Command::Explain(arguments) => match explain::run(&arguments) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => failed(&error),
        },
        Command::Dev(arguments) => match run_dev(&arguments).await {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => failed(&error),
        },
    }
}

fn query_options(arguments: QueryArguments) -> QueryOptions {
    QueryOptions {
        address: arguments.daemon,
        commands: arguments.command,
        format: match arguments.output {
            OutputFormat::Table => Format::Table,
            OutputFormat::Json => Format::Json,
        },
    }
}

/// Runs the emulated region until interrupted, or for the time asked.
async fn run_dev(arguments: &DevArguments) -> anyhow::Result<()> {
    logs::install(arguments.log_level)?;
    let metrics = metrics_page::install()?;
    let region = Region::start(
        Ports {
            first: arguments.port,
        },
        Some(metrics),
    )
    .await?;
    println!("{}", region.introduction());
    let stop_after = arguments.stop_after.unwrap_or(std::time::Duration::MAX);
    tokio::select! {
        stopped = serve::wait_for_stop() => stopped?,
        () = tokio::time::sleep(stop_after) => {}
    }
    region.stop().await;
    Ok(())
}

/// Prints what went wrong, with its causes.
pub(crate) fn failed(error: &anyhow::Error) -> ExitCode {
    eprintln!("flaxward: {error:#}");
    ExitCode::FAILURE
}
