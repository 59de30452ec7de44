//! `flaxward-lab`: experiments, load generation and stand-ins.

#![warn(clippy::pedantic)]

use std::io::stdout;
use std::path::PathBuf;

use anyhow::Result;
use clap::{Args, Parser, Subcommand};
use flaxward_lab::experiment::{Experiment, Rule};
use flaxward_lab::fleet::{FleetArguments, fleet};
use flaxward_lab::plot;
use flaxward_lab::report::{self, Output};
use flaxward_lab::scenario::Scenario;

/// Counts the heap memory of the process, so that that of each hollow daemon can be told.
#[cfg(feature = "count-memory")]
#[global_allocator]
static ALLOCATOR: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

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
    /// Measure what control costs, with hollow daemons in virtual time.
    Fleet(FleetArguments),
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
    /// Run the weights from 0 to 1 instead of the scenario's alone.
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

fn main() -> Result<()> {
    match Arguments::parse().command {
        Command::Experiment(arguments) => experiment(&arguments),
        Command::Fleet(arguments) => fleet(&arguments, &mut stdout().lock()),
    }
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
    report::write(&results, arguments.output, &mut stdout().lock())?;
    if let Some(file) = &arguments.plot {
        plot::curve(&results, file)?;
    }
    Ok(())
}
