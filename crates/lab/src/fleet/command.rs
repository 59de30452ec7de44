//! The subcommand `fleet`.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, Result};
use clap::Args;

use super::report;
use super::run::{Measurement, Plan, run};

/// Measures what control costs, with hollow daemons in virtual time.
#[derive(Args, Debug)]
pub struct FleetArguments {
    /// Numbers of daemons to run, one after the other; runners, models and adapters in proportion.
    #[arg(long, value_delimiter = ',', default_values_t = [40, 80, 160])]
    daemons: Vec<u32>,
    /// Seed of all random draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Virtual seconds before counting.
    #[arg(long, default_value_t = 180)]
    warm_up: u64,
    /// Virtual seconds counted.
    #[arg(long, default_value_t = 600)]
    span: u64,
    /// Datagrams lost, of a million.
    #[arg(long, default_value_t = 0)]
    lost_per_million: u32,
    /// Show what the bytes and the processor time of each run went to.
    #[arg(long)]
    details: bool,
    /// Write each measurement as a line of JSON into this file.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Runs the subcommand.
///
/// # Errors
/// Fails if a file cannot be written.
pub fn fleet(arguments: &FleetArguments, output: &mut impl Write) -> Result<()> {
    let mut measurements: Vec<Measurement> = Vec::new();
    for daemons in &arguments.daemons {
        let plan = Plan {
            lost_per_million: arguments.lost_per_million,
            ..Plan::steady(
                *daemons,
                arguments.seed,
                Duration::from_secs(arguments.warm_up),
                Duration::from_secs(arguments.span),
            )
        };
        let measurement = run(&plan, &[]);
        writeln!(
            output,
            "{daemons} daemons: {:.1} s of wall-clock time, {:.0} % on a processor, {:?}, {:?}",
            measurement.wall_seconds,
            measurement.on_processor * 100.0,
            measurement.counts,
            measurement.spread,
        )?;
        if arguments.details {
            writeln!(output, "{}", report::details(&measurement))?;
        }
        measurements.push(measurement);
    }
    writeln!(output, "{}", report::summary(&measurements))?;
    if measurements.len() > 1 {
        writeln!(output, "{}", report::lines(&measurements))?;
    }
    if let Some(path) = &arguments.json {
        write_lines(path, &measurements)?;
    }
    Ok(())
}

fn write_lines(path: &PathBuf, measurements: &[Measurement]) -> Result<()> {
    let mut file =
        File::create(path).with_context(|| format!("cannot write {}", path.display()))?;
    for measurement in measurements {
        serde_json::to_writer(&mut file, measurement)?;
        writeln!(file)?;
    }
    Ok(())
}
