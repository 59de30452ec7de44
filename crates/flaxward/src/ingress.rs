//! `flaxward serve` with a section `[ingress]`: a daemon whose callers come by routes, on the users'
//! platform.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use flaxward::metrics_page;
use flaxward_clock::SystemTime;
use flaxward_ingress::network::TcpNetwork;
use flaxward_ingress::settings::{KeyTrust, OverloadLimits};
use flaxward_ingress::{Ingress, IngressSettings};
use flaxward_platform::{PlatformControl, PlatformStore, PlatformSurface};
use flaxward_routing::budget::RetryBudgetSettings;
use flaxward_routing::cold::ColdRunnerSettings;
use flaxward_routing::lease::LeaseSettings;
use flaxward_routing::locality::Regions;
use flaxward_routing::names::{Region, Zone};
use flaxward_routing::placement::PlacementSettings;
use flaxward_routing::quarantine::QuarantineSettings;
use flaxward_routing::strength::MachineStrength;
use flaxward_settings::logs::{self, state_change};
use flaxward_settings::{Flags, IngressFile, MachineSection};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::signal::unix::{SignalKind, signal};

use crate::serve::{EXIT_BAD_SETTINGS, wait_for_stop};

/// Longest time that a message between daemons is taken to be under way, on a link that is full.
const MESSAGE_TIME: Duration = Duration::from_millis(500);
/// Part of the lease after which it is renewed.
const RENEWAL_SHARE: f64 = 0.3;
/// Part of the lease that its holder leaves unused.
const MARGIN_SHARE: f64 = 0.1;
/// Part of the lease after which a silent coordinator is looked for.
const SILENCE_SHARE: f64 = 0.4;

/// Whether the flags name a file with a section `[ingress]`.
pub fn is_meant_by(flags: &Flags) -> bool {
    flags
        .config
        .as_deref()
        .is_some_and(IngressFile::is_meant_by)
}

/// Runs a daemon until SIGTERM or SIGINT, which stop it as planned.
pub async fn run(flags: &Flags) -> ExitCode {
    let path = flags.config.clone().unwrap_or_default();
    let file = match IngressFile::load(&path) {
        Ok(file) => file,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    match serve(&path, file).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => crate::failed(&error),
    }
}

async fn serve(path: &Path, file: IngressFile) -> anyhow::Result<()> {
    logs::install_queued(file.log_level())?;
    let metrics = metrics(&file)?;
    let store = PlatformStore::new(file.store.address)?;
    let ingress = Ingress::start(
        settings(&file),
        Arc::new(PlatformSurface),
        Arc::new(store),
        Arc::new(PlatformControl::new()?),
        metrics.map(|handle| Arc::new(move || handle.render()) as _),
    )
    .await?;
    let reloads = tokio::spawn(log_reloads(path.to_owned()));
    wait_for_stop().await?;
    reloads.abort();
    ingress.stop().await;
    spdlog::default_logger().flush();
    Ok(())
}

/// Collects metrics if they are to be read.
fn metrics(file: &IngressFile) -> anyhow::Result<Option<PrometheusHandle>> {
    if file.ingress.metrics_listen.is_none() {
        return Ok(None);
    }
    metrics_page::install().map(Some)
}

/// Checks the settings file again on each SIGHUP. What it holds takes effect with the next start;
/// nothing in progress is disturbed.
async fn log_reloads(path: std::path::PathBuf) {
    let Ok(mut hang_ups) = signal(SignalKind::hangup()) else {
        return;
    };
    while hang_ups.recv().await.is_some() {
        let outcome = match IngressFile::load(&path) {
            Ok(_) => "valid".to_owned(),
            Err(error) => error.to_string(),
        };
        state_change("settings-read-again", &[("outcome", &outcome)]);
    }
}

fn strength(machine: &MachineSection) -> MachineStrength {
    MachineStrength {
        processor: machine.processor_thousandths(),
        link: machine.link_megabits(),
    }
}

/// For how long a daemon that hears nothing relies on its configuration for keys. Both bounds matter only where
/// the operators take keys away within a time.
fn key_trust(file: &IngressFile) -> KeyTrust {
    let within = |bound: Duration| bound.saturating_sub(MESSAGE_TIME.min(bound / 2));
    let Some(revocation) = file.news.revocation else {
        return KeyTrust::default();
    };
    KeyTrust {
        known: Some(within(revocation)),
        unknown: Some(within(file.news.configuration)),
    }
}

/// The region of each zone.
fn regions(file: &IngressFile) -> Regions {
    let regions = file.regions.iter();
    regions
        .map(|(zone, region)| (Zone::new(zone), Region::new(region)))
        .collect()
}

fn settings(file: &IngressFile) -> IngressSettings {
    let lease = file.coordinator.lease_duration;
    let share = |share: f64| Duration::from_secs_f64(lease.as_secs_f64() * share);
    IngressSettings {
        name: file.ingress.name.clone(),
        time: Arc::new(SystemTime),
        network: Arc::new(TcpNetwork),
        zone: Zone::new(&file.ingress.zone),
        regions: regions(file),
        listen: file.ingress.listen,
        ready_listen: file.ingress.ready_listen,
        peer_listen: file.ingress.peer_listen,
        metrics_listen: file.ingress.metrics_listen,
        strength: strength(&file.machine),
        propagation_bound: file.news.bound(),
        evacuation_bound: file.news.evacuation,
        cold_runners: file.cold_runners.map(|it| ColdRunnerSettings {
            rate_factor: it.rate_factor,
            slack: it.slack,
        }),
        key_trust: key_trust(file),
        stop_grace: file.ingress.stop_grace,
        retry_budget: RetryBudgetSettings {
            ratio: file.retries.ratio,
            allowance: file.retries.allowance,
            window: file.retries.window,
        },
        quarantine: QuarantineSettings {
            crashes: file.quarantine.crashes,
            first: file.quarantine.first,
            repeated: file.quarantine.repeated,
        },
        lease: LeaseSettings {
            duration: lease,
            renewal: share(RENEWAL_SHARE),
            margin: share(MARGIN_SHARE),
            silence: share(SILENCE_SHARE),
        },
        overload_limits: OverloadLimits::of_machine(
            file.machine.memory_bytes(),
            file.machine.descriptors(),
            file.limits.requests,
        ),
        placement: PlacementSettings {
            load_window: file.coordinator.load_window,
            ..PlacementSettings::default()
        },
    }
}
