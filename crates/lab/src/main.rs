//! `flaxward-lab`: experiments, load generation and stand-ins.

#![warn(clippy::pedantic)]

use std::io::stdout;

use anyhow::Result;
use clap::{Parser, Subcommand};
use flaxward_lab::fleet::{FleetArguments, fleet};

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
    /// Measure what control costs, with hollow daemons in virtual time.
    Fleet(FleetArguments),
}

fn main() -> Result<()> {
    match Arguments::parse().command {
        Command::Fleet(arguments) => fleet(&arguments, &mut stdout().lock()),
    }
}
