//! `flaxward serve`: one daemon until it is told to stop.

use std::process::ExitCode;

use flaxward_settings::{Flags, Settings, logs};
use tokio::signal::unix::{SignalKind, signal};

use flaxward::counters::write_counters;
use flaxward::daemon::Daemon;
use flaxward::metrics_page;

/// Status of the process when its settings cannot be used.
pub const EXIT_BAD_SETTINGS: u8 = 2;

/// Runs a daemon until SIGTERM or SIGINT, which stop it as planned.
pub async fn run(flags: &Flags) -> ExitCode {
    let settings = match Settings::load(flags) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    match serve(&settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => crate::failed(&error),
    }
}

async fn serve(settings: &Settings) -> anyhow::Result<()> {
    logs::install(settings.logs.level)?;
    let metrics = metrics_page::install()?;
    tokio::spawn(write_counters(
        metrics.clone(),
        settings.logs.counters_interval,
    ));
    let daemon = Daemon::start(settings, Some(metrics)).await?;
    wait_for_stop().await?;
    daemon.stop().await;
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// Fails if the signals cannot be listened to.
pub async fn wait_for_stop() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
