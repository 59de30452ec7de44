//! The settings of the callers' interface, from those of the daemon.

use flaxward_gateway::GatewaySettings;
use flaxward_routing::quarantine::QuarantineSettings;
use flaxward_settings::{DaemonSection, Settings};
use flaxward_types::ZoneName;

/// The settings of the callers' interface.
pub fn gateway_settings(settings: &Settings) -> GatewaySettings {
    let section = &settings.gateway;
    let mut gateway = GatewaySettings::new(zones_from(&settings.daemon));
    gateway.body_limit = usize_of(section.body_limit.as_u64());
    gateway.header_limit = usize_of(section.header_limit.as_u64());
    gateway.body_timeout = section.body_timeout;
    gateway.default_deadline = section.default_deadline;
    gateway.max_deadline = section.max_deadline;
    gateway.max_in_progress = usize_of(section.max_in_progress.into());
    gateway.max_connections = usize_of(section.max_connections.into());
    gateway.held_bytes = usize_of(section.held_bytes.as_u64());
    gateway.answer_hold = usize_of(section.answer_hold.as_u64());
    gateway.stream_idle = section.stream_idle;
    gateway.stream_resume_wait = section.stream_resume_wait;
    gateway.stream_limit = section.stream_limit;
    gateway.write_stall = section.write_stall;
    gateway.admission = settings.admission();
    gateway.attempts = settings.attempts();
    gateway.retries = settings.retries();
    gateway.claims = settings.claims();
    gateway.quarantine = QuarantineSettings {
        crashes: usize_of(section.quarantine_crashes.into()),
        first: section.quarantine_first,
        repeated: section.quarantine_repeated,
    };
    gateway
}

/// The zones of the region, the daemon's own first.
fn zones_from(daemon: &DaemonSection) -> Vec<ZoneName> {
    let others = daemon.zones.iter().filter(|zone| **zone != daemon.zone);
    std::iter::once(&daemon.zone)
        .chain(others)
        .cloned()
        .collect()
}

fn usize_of(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
