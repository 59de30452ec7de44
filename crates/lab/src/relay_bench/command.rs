//! The subcommand `relay-bench`.

use std::io::Write;

use anyhow::Result;
use clap::Args;
use flaxward_settings::logs;
use spdlog::Level;

use super::{BenchPlan, run, table};
use crate::report::{self, Output};

/// Measures what a relay costs: directly, through a bare pass-through, through a daemon.
#[derive(Args, Debug)]
pub struct RelayBenchArguments {
    /// Times that each way has its turn; the ways take turns.
    #[arg(long, default_value_t = 5)]
    rounds: u32,
    /// How long a way is measured in each turn.
    #[arg(long, default_value = "2s")]
    span: humantime::Duration,
    /// Requests at one time while a way is kept busy.
    #[arg(long, default_value_t = 64)]
    connections: usize,
    /// Streams at one time while tokens come at the pace of an engine. The default makes the share
    /// of a daemon at the target: 31,000 tokens and 114 requests a second.
    #[arg(long, default_value_t = 930)]
    paced_streams: usize,
    /// Time between the tokens of such a stream.
    #[arg(long, default_value = "30ms")]
    pace: humantime::Duration,
    /// How results are written.
    #[arg(long, value_enum, default_value_t = Output::Table)]
    output: Output,
}

/// Runs the subcommand.
///
/// # Errors
/// Fails if anything measured cannot be started or does not answer.
pub fn relay_bench(arguments: &RelayBenchArguments, output: &mut impl Write) -> Result<()> {
    logs::install(Level::Warn)?;
    let plan = BenchPlan {
        rounds: arguments.rounds,
        span: arguments.span.into(),
        connections: arguments.connections,
        paced_streams: arguments.paced_streams,
        pace: arguments.pace.into(),
    };
    let results = tokio::runtime::Runtime::new()?.block_on(run(&plan))?;
    report::write(&results, arguments.output, table, output)
}
