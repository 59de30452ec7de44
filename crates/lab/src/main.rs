//! `flaxward-lab`: experiments, load generation and stand-ins.

#![warn(clippy::pedantic)]

use std::io::stdout;
use std::path::PathBuf;

use anyhow::Result;
use clap::{Args, Parser, Subcommand};
use comfy_table::Table;
use flaxward_lab::experiment::{Experiment, Rule};
use flaxward_lab::goals;
use flaxward_lab::load::{self, LoadPlan};
use flaxward_lab::plot;
use flaxward_lab::relay_bench::{RelayBenchArguments, relay_bench};
use flaxward_lab::report::{self, Output};
use flaxward_lab::scenario::Scenario;
use flaxward_lab::stand_in::{self, StandIn};
use serde::Serialize;

/// Experiments in virtual time, load generation and stand-ins for flaxward.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Simulate a scenario in virtual time under flaxward's rules and some baselines.
    Experiment(ExperimentArguments),
    /// Send requests at a fixed rate and measure from when each was due.
    Load(LoadArguments),
    /// Run a stand-in for a part of the platform.
    #[command(subcommand)]
    StandIn(StandIn),
    /// Compare a direct way to an engine, a bare pass-through and a daemon.
    RelayBench(RelayBenchArguments),
}

#[derive(Args)]
struct ExperimentArguments {
    /// A scenario file, or the name of a built-in scenario.
    #[arg(long)]
    scenario: String,
    /// Seed of calls and faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Days of virtual time, in place of the scenario's.
    #[arg(long)]
    days: Option<u32>,
    /// Run the weights from 0 to 1 instead of the scenario's alone, and tell how near each comes to
    /// the goals.
    #[arg(long)]
    curve: bool,
    /// Run only these rules.
    #[arg(long, value_enum, value_delimiter = ',')]
    rules: Vec<Rule>,
    /// How results are written.
    #[arg(long, value_enum, default_value_t = Output::Table)]
    output: Output,
    /// Draw a plot into this SVG file.
    #[arg(long)]
    plot: Option<PathBuf>,
}

#[derive(Args)]
struct LoadArguments {
    /// Base URLs of daemons, taken in turn.
    #[arg(long, required = true, value_delimiter = ',')]
    target: Vec<String>,
    /// Requests a second, on average.
    #[arg(long)]
    rate: f64,
    /// How long requests are sent, such as 30s.
    #[arg(long)]
    duration: humantime::Duration,
    /// Models, chosen at random.
    #[arg(long, required = true, value_delimiter = ',')]
    models: Vec<String>,
    /// Add bursts for one model at all targets together.
    #[arg(long)]
    bursts: bool,
    /// Time between bursts.
    #[arg(long, default_value = "10s")]
    burst_every: humantime::Duration,
    /// Requests of a burst.
    #[arg(long, default_value_t = 50)]
    burst_size: u32,
    /// Tokens wanted of each answer.
    #[arg(long, default_value_t = 64)]
    max_tokens: u32,
    /// Ask for whole answers instead of streams.
    #[arg(long)]
    whole: bool,
    /// Deadline for the first token.
    #[arg(long, default_value = "60s")]
    deadline: humantime::Duration,
    /// Requests outstanding at one time; what is due beyond that is not sent.
    #[arg(long, default_value_t = 10_000)]
    outstanding_limit: usize,
    /// Seed of pauses and models.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How results are written.
    #[arg(long, value_enum, default_value_t = Output::Table)]
    output: Output,
}

fn main() -> Result<()> {
    match Arguments::parse().command {
        Command::Experiment(arguments) => experiment(&arguments),
        Command::Load(arguments) => load(arguments),
        Command::StandIn(which) => block_on(stand_in::run(which)),
        Command::RelayBench(arguments) => relay_bench(&arguments, &mut stdout().lock()),
    }
}

fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    tokio::runtime::Runtime::new()?.block_on(future)
}

fn load(arguments: LoadArguments) -> Result<()> {
    let plan = LoadPlan {
        targets: arguments.target,
        models: arguments.models,
        rate: arguments.rate,
        duration: arguments.duration.into(),
        burst_every: arguments.bursts.then(|| arguments.burst_every.into()),
        burst_size: arguments.burst_size,
        max_tokens: arguments.max_tokens,
        streamed: !arguments.whole,
        deadline: arguments.deadline.into(),
        outstanding_limit: arguments.outstanding_limit,
        seed: arguments.seed,
    };
    let results = block_on(load::run(plan))?;
    write(&results, arguments.output, load::table)
}

fn write<T: Serialize>(results: &[T], output: Output, table: fn(&[T]) -> Table) -> Result<()> {
    report::write(results, output, table, &mut stdout().lock())
}

fn experiment(arguments: &ExperimentArguments) -> Result<()> {
    let scenario = Scenario::read(&arguments.scenario)?;
    let experiment = Experiment::new(scenario, arguments.seed, arguments.days);
    let rules = if arguments.rules.is_empty() {
        Rule::ALL.to_vec()
    } else {
        arguments.rules.clone()
    };
    let results = if arguments.curve {
        experiment.curve(&rules)
    } else {
        experiment.compare(&rules)
    };
    write(&results, arguments.output, report::table)?;
    if arguments.curve {
        write(&goals::standings(&results), arguments.output, goals::table)?;
    }
    if let Some(file) = &arguments.plot {
        plot::curve(&results, file)?;
    }
    Ok(())
}
