//! `flaxward-soak`: runs the fault soak and tells which promises were broken.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use clap::Parser;
use flaxward_soak::{FaultKind, Plan, soak};

/// Daemons of a soak, unless told otherwise.
const DAEMONS: usize = 4;

/// A fault soak of flaxward.
#[derive(Debug, Parser)]
#[command(version)]
struct Flags {
    /// Seconds with faults.
    #[arg(long, default_value_t = 120)]
    seconds: u64,
    /// Seed of all that is random; a fresh one if there is none.
    #[arg(long)]
    seed: Option<u64>,
    /// Number of daemons.
    #[arg(long, default_value_t = DAEMONS)]
    daemons: usize,
    /// Kinds of faults beside the standard ones, with commas between them.
    #[arg(long, value_enum, value_delimiter = ',')]
    further: Vec<FaultKind>,
    /// No standard kinds of faults, but the further ones only.
    #[arg(long)]
    only_further: bool,
    /// The program; by default `flaxward` beside this one. If given more than once, these builds take turns from start to
    /// start of each daemon, the first one first, so that old and new ones run side by side.
    #[arg(long)]
    binary: Vec<PathBuf>,
    /// Folder for settings and logs; by default one of its own for each seed.
    #[arg(long)]
    folder: Option<PathBuf>,
}

fn plan(flags: &Flags) -> anyhow::Result<Plan> {
    let seed = flags.seed.unwrap_or_else(rand::random);
    let beside = std::env::current_exe()?.with_file_name("flaxward");
    let folder = flags.folder.clone();
    let own = format!("flaxward-soak-{seed}-{}", std::process::id());
    let folder = folder.unwrap_or_else(|| std::env::temp_dir().join(own));
    std::fs::create_dir_all(&folder)
        .with_context(|| format!("cannot make {}", folder.display()))?;
    Ok(Plan {
        seed,
        duration: Duration::from_secs(flags.seconds),
        daemons: flags.daemons.max(1),
        faults: if flags.only_further {
            FaultKind::alone(&flags.further)
        } else {
            FaultKind::with(&flags.further)
        },
        binaries: if flags.binary.is_empty() {
            vec![beside]
        } else {
            flags.binary.clone()
        },
        folder,
    })
}

#[tokio::main]
async fn main() -> anyhow::Result<ExitCode> {
    let plan = plan(&Flags::parse())?;
    println!("seed {}, logs in {}", plan.seed, plan.folder.display());
    let report = soak(&plan).await?;
    println!(
        "{} faults, {} requests, {} served, {} promises broken",
        report.faults.len(),
        report.requests,
        report.served,
        report.violations.len()
    );
    for violation in &report.violations {
        println!("  {violation}");
    }
    if report.violations.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::FAILURE)
}
