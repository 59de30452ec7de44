//! The gateway's own defaults and those of the settings file are the same, and every key counts.

use std::collections::BTreeSet;

use flaxward::daemon::gateway_settings;
use flaxward_gateway::GatewaySettings;
use flaxward_settings::ingress::QuarantineSection;
use flaxward_settings::{Flags, Settings};
use flaxward_types::ZoneName;

/// The section whose keys all concern the gateway.
const SECTION: &str = "gateway";

/// A value other than the default for each key of the section.
const OTHER_VALUES: [(&str, &str); 23] = [
    ("gateway.body_limit", "2 MiB"),
    ("gateway.header_limit", "17 KiB"),
    ("gateway.body_timeout", "11s"),
    ("gateway.default_deadline", "61s"),
    ("gateway.max_deadline", "11m"),
    ("gateway.max_in_progress", "8193"),
    ("gateway.max_connections", "16385"),
    ("gateway.held_bytes", "65 MiB"),
    ("gateway.answer_hold", "2 MiB"),
    ("gateway.stream_idle", "31s"),
    ("gateway.stream_resume_wait", "31s"),
    ("gateway.stream_limit", "61m"),
    ("gateway.write_stall", "31s"),
    ("gateway.queue_total", "4097"),
    ("gateway.demand_renewal", "1100ms"),
    ("gateway.running_demand_period", "2100ms"),
    ("gateway.coordinator_grace", "3100ms"),
    ("gateway.unreachable_period", "2100ms"),
    ("gateway.attempts", "4"),
    ("gateway.retry_share", "0.2"),
    ("gateway.quarantine_crashes", "4"),
    ("gateway.quarantine_first", "31s"),
    ("gateway.quarantine_repeated", "61m"),
];

/// Flags that set every required key.
fn required() -> Flags {
    Flags::default()
        .with("daemon.name", "gateway-1")
        .with("daemon.zone", "a")
        .with("daemon.zones", "b,a")
        .with("platform.object_api", "http://127.0.0.1:1")
        .with("platform.machine_list", "http://127.0.0.1:2/machines")
}

/// The gateway's settings as a daemon with these flags takes them.
fn taken(flags: &Flags) -> GatewaySettings {
    gateway_settings(&Settings::load(flags).expect("valid"))
}

/// The zones of [`required`], the daemon's own first.
fn zones() -> Vec<ZoneName> {
    vec![ZoneName::literal("a"), ZoneName::literal("b")]
}

#[test]
fn the_defaults_are_those_of_the_settings_file() {
    assert_eq!(taken(&required()), GatewaySettings::new(zones()));
}

/// The quarantine is the same at an ingress, whose settings are a file of another form.
#[test]
fn the_defaults_of_the_quarantine_are_those_of_an_ingress() {
    let ingress = QuarantineSection::default();
    let gateway = GatewaySettings::new(zones()).quarantine;
    assert_eq!(gateway.crashes, ingress.crashes);
    assert_eq!(gateway.first, ingress.first);
    assert_eq!(gateway.repeated, ingress.repeated);
}

#[test]
fn every_key_of_the_section_changes_the_gateway() {
    let unchanged = taken(&required());
    for (key, value) in OTHER_VALUES {
        let changed = taken(&required().with(key, value));
        assert_ne!(changed, unchanged, "{key} = {value}");
    }
    let tried: BTreeSet<&str> = OTHER_VALUES.iter().map(|(key, _)| *key).collect();
    let keys = Settings::keys().filter(|key| key.section() == SECTION);
    assert_eq!(tried, keys.map(|key| key.name).collect());
}
