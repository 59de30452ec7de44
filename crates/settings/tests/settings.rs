//! Settings: defaults, overrides and every fault, all at once.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use flaxward_control::admission::AdmissionSettings;
use flaxward_control::attempt::{AttemptSettings, RetryBudgetSettings};
use flaxward_control::claims::ClaimSettings;
use flaxward_control::coordinator::CoordinatorSettings;
use flaxward_settings::{CheckConfig, Flags, Key, Presence, SettingError, Settings, check_config};
use proptest::prelude::*;
use proptest::sample::subsequence;
use proptest::test_runner::RngSeed;

/// Flags that set every required key.
fn required() -> Flags {
    Flags::default()
        .with("daemon.name", "gateway-1")
        .with("daemon.zone", "a")
        .with("daemon.zones", "a,b")
        .with("platform.object_api", "http://127.0.0.1:1")
        .with("platform.machine_list", "http://127.0.0.1:2/machines")
}

/// The faults of a load, in the order reported.
fn faults(flags: &Flags) -> Vec<SettingError> {
    Settings::load(flags).map_or_else(|errors| errors.0, |_| Vec::new())
}

/// Numbers and keys of the faults.
fn numbered(flags: &Flags) -> Vec<(u16, String)> {
    let numbered = |error: SettingError| (error.code.number(), error.key);
    faults(flags).into_iter().map(numbered).collect()
}

/// A settings file that goes away with the test.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> Self {
        let file = format!("flaxward-settings-{}-{name}.toml", std::process::id());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, text).expect("the temporary directory can be written");
        Self(path)
    }

    fn flags(&self) -> Flags {
        Flags {
            config: Some(self.0.clone()),
            ..Flags::default()
        }
    }
}

impl Drop for File {
    fn drop(&mut self) {
        // A file left behind in the temporary directory does no harm.
        let _ = std::fs::remove_file(&self.0);
    }
}

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

#[test]
fn required_keys_suffice_and_the_defaults_are_those_of_the_state_machines() {
    let settings = Settings::load(&required()).expect("valid");
    assert_eq!(settings.coordinator(), CoordinatorSettings::default());
    assert_eq!(settings.admission(), AdmissionSettings::default());
    assert_eq!(settings.attempts(), AttemptSettings::default());
    assert_eq!(settings.retries(), RetryBudgetSettings::default());
    assert_eq!(settings.claims(), ClaimSettings::default());
}

#[test]
fn without_settings_exactly_the_required_keys_are_missing() {
    let missing: Vec<(u16, String)> = Settings::keys()
        .filter(|key| key.presence == Presence::Required)
        .map(|key| (6003, key.name.to_owned()))
        .collect();
    assert_eq!(numbered(&Flags::default()), missing);
}

#[test]
fn the_example_is_valid() {
    let flags = Flags {
        config: Some(repository().join("examples/flaxward.toml")),
        ..Flags::default()
    };
    let settings = Settings::load(&flags).expect("valid");
    assert_eq!(settings.daemon.seeds.len(), 3);
}

#[test]
fn flags_stand_over_the_file_and_later_ones_over_earlier() {
    let file = File::new(
        "over",
        "[daemon]\nname = 'file'\nzone = 'file'\nzones = ['a']\n",
    );
    let flags = Flags {
        zone: Some("named".to_owned()),
        set: required().set,
        ..file.flags()
    };
    let settings = Settings::load(&flags.with("daemon.zone", "b")).expect("valid");
    assert_eq!(settings.daemon.name.as_str(), "gateway-1");
    assert_eq!(settings.daemon.zone.as_str(), "b");
}

#[test]
fn faults_of_single_keys_and_between_keys_are_found() {
    let table: &[(&str, &str, u16, &str)] = &[
        ("daemon.name", "Gateway", 6002, "daemon.name"),
        ("daemon.nam", "x", 6001, "daemon.nam"),
        ("gatway.body_limit", "1 MiB", 6001, "gatway"),
        ("daemon.zones", "", 6002, "daemon.zones"),
        ("daemon.zones", "a,b,a", 6002, "daemon.zones"),
        ("daemon.zone", "c", 6002, "daemon.zone"),
        ("daemon.listen", "localhost:80", 6002, "daemon.listen"),
        (
            "daemon.listen",
            "127.0.0.1:8701",
            6002,
            "daemon.peer_listen",
        ),
        (
            "daemon.peer_listen",
            "0.0.0.0:8701",
            6003,
            "daemon.peer_advertise",
        ),
        (
            "daemon.peer_advertise",
            "0.0.0.0:8701",
            6002,
            "daemon.peer_advertise",
        ),
        (
            "daemon.peer_advertise",
            "10.0.0.1:0",
            6002,
            "daemon.peer_advertise",
        ),
        ("daemon.seeds", "10.0.0.1:0", 6002, "daemon.seeds"),
        ("daemon.seeds", "c=10.0.0.1:8701", 6002, "daemon.seeds"),
        (
            "platform.object_api",
            "10.0.0.1:80",
            6002,
            "platform.object_api",
        ),
        (
            "platform.object_api",
            "ftp://10.0.0.1",
            6002,
            "platform.object_api",
        ),
        (
            "platform.engine_timeout",
            "0s",
            6002,
            "platform.engine_timeout",
        ),
        (
            "platform.engine_timeout",
            "5",
            6002,
            "platform.engine_timeout",
        ),
        ("gateway.body_limit", "0", 6002, "gateway.body_limit"),
        ("gateway.attempts", "0", 6002, "gateway.attempts"),
        ("gateway.attempts", "-1", 6002, "gateway.attempts"),
        ("gateway.retry_share", "1.1", 6002, "gateway.retry_share"),
        ("gateway.retry_share", "NaN", 6002, "gateway.retry_share"),
        (
            "gateway.default_deadline",
            "11m",
            6002,
            "gateway.default_deadline",
        ),
        (
            "gateway.demand_renewal",
            "5s",
            6002,
            "gateway.demand_renewal",
        ),
        (
            "gateway.running_demand_period",
            "5s",
            6002,
            "gateway.running_demand_period",
        ),
        ("gateway.stream_idle", "1h", 6002, "gateway.stream_idle"),
        (
            "gateway.stream_resume_wait",
            "1h",
            6002,
            "gateway.stream_resume_wait",
        ),
        ("gateway.body_limit", "65 MiB", 6002, "gateway.body_limit"),
        ("gateway.answer_hold", "65 MiB", 6002, "gateway.answer_hold"),
        ("claims.lifetime", "10m", 6002, "gateway.max_deadline"),
        (
            "coordinator.lease_renewal",
            "5500ms",
            6002,
            "coordinator.lease_renewal",
        ),
        (
            "membership.probe_timeout",
            "1s",
            6002,
            "membership.probe_timeout",
        ),
        (
            "membership.suspicion",
            "1s",
            6002,
            "membership.probe_interval",
        ),
        ("logs.level", "loud", 6002, "logs.level"),
        ("logs.level.deep", "info", 6002, "logs.level"),
    ];
    for &(key, value, number, at) in table {
        let found = numbered(&required().with(key, value));
        assert_eq!(found, [(number, at.to_owned())], "{key}={value}");
    }
}

#[test]
fn files_that_cannot_be_read_are_told_with_the_line() {
    let table: &[(&str, &str, u16, Option<usize>)] = &[
        ("syntax", "[daemon]\nname = \n", 6004, Some(2)),
        ("twice", "[daemon]\nname = 'a'\nname = 'b'\n", 6004, Some(3)),
        ("unclosed", "[daemon\n", 6004, Some(1)),
        ("section", "daemon = 3\n", 6002, None),
        ("bare", "name = 'a'\n", 6001, None),
    ];
    for &(name, text, number, line) in table {
        let file = File::new(name, text);
        let first = faults(&file.flags()).swap_remove(0);
        assert_eq!((first.code.number(), first.line), (number, line), "{name}");
    }
    let absent = Flags {
        config: Some(std::env::temp_dir().join("flaxward-settings-no-such-file.toml")),
        ..Flags::default()
    };
    assert_eq!(faults(&absent)[0].code.number(), 6004);
}

#[test]
fn an_unknown_key_is_told_with_the_key_that_was_meant() {
    let table = [
        ("daemon.lisen", "did you mean daemon.listen?"),
        (
            "gateway.lease_renewal",
            "did you mean coordinator.lease_renewal?",
        ),
        ("daemons.name", "did you mean daemon?"),
        ("gateway.quux", "no such key"),
    ];
    for (unknown, reason) in table {
        let found = &faults(&required().with(unknown, "x"))[0].reason;
        assert!(found.ends_with(reason), "{unknown}: {found}");
    }
}

#[test]
fn lists_and_seeds_have_two_forms_in_the_file() {
    let text = "[daemon]\nname='x'\nzone='a'\nzones=['a','b']\n\
                seeds=['10.0.0.1:1', 'b=10.0.0.2:2', {zone='b', address='10.0.0.3:3'}]\n";
    let file = File::new("seeds", text);
    let flags = Flags {
        object_api: Some("http://10.0.0.9".to_owned()),
        machine_list: Some("http://10.0.0.9".to_owned()),
        ..file.flags()
    };
    let seeds = Settings::load(&flags).expect("valid").daemon.seeds;
    let zones: Vec<Option<&str>> = seeds
        .iter()
        .map(|seed| seed.zone.as_ref().map(|zone| zone.as_str()))
        .collect();
    assert_eq!(zones, [None, Some("b"), Some("b")]);
}

#[test]
fn json_lines_carry_the_same_faults() {
    let errors = Settings::load(&required().with("daemon.nam", "x")).expect_err("unknown key");
    let line: serde_json::Value = serde_json::from_str(&errors.to_json_lines()).expect("JSON");
    assert_eq!(line["code"], 6001);
    assert_eq!(line["key"], "daemon.nam");
    assert!(
        errors
            .to_string()
            .starts_with("6001 daemon.nam = \"x\": no such key")
    );
}

#[test]
fn check_config_tells_by_its_status() {
    let status = |flags: Flags| {
        let arguments = CheckConfig {
            flags,
            ..CheckConfig::default()
        };
        format!("{:?}", check_config(&arguments))
    };
    assert_eq!(status(required()), format!("{:?}", ExitCode::SUCCESS));
    assert_eq!(status(Flags::default()), format!("{:?}", ExitCode::from(2)));
}

/// The row of a key in `docs/CONFIGURATION.md`.
fn row(key: &Key) -> String {
    let default = match key.presence {
        Presence::Required => "required".to_owned(),
        Presence::Optional => "none".to_owned(),
        Presence::Default("") => "empty".to_owned(),
        Presence::Default(text) => format!("`{text}`"),
    };
    format!(
        "| `{}` | {} | {default} | {} |",
        key.name,
        key.kind,
        key.meaning.trim()
    )
}

#[test]
fn the_documented_table_is_the_one_in_force() {
    let page = repository().join("docs/CONFIGURATION.md");
    let text = std::fs::read_to_string(page).expect("the page exists");
    let documented: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let in_force: Vec<String> = Settings::keys().map(row).collect();
    assert!(
        documented == in_force,
        "expected rows:\n{}",
        in_force.join("\n")
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever keys are faulty, each is reported once and no other is.
    #[test]
    fn every_faulty_key_is_reported_at_once(
        faulty in subsequence(Settings::keys().collect::<Vec<_>>(), 0..=Settings::keys().count()),
    ) {
        let set = |flags: Flags, key: &&Key| flags.with(key.name, "?");
        let flags = faulty.iter().fold(required(), set);
        let expected: Vec<(u16, String)> =
            faulty.iter().map(|key| (6002, key.name.to_owned())).collect();
        prop_assert_eq!(numbered(&flags), expected);
    }

    /// Durations and sizes arrive as they were written.
    #[test]
    fn units_are_kept(millis in 1..u64::from(u32::MAX), kibibytes in 1..u64::from(u32::MAX)) {
        let flags = required()
            .with("stop.drain_timeout", format!("{millis}ms"))
            .with("gateway.held_bytes", format!("{kibibytes} KiB"))
            .with("gateway.body_limit", format!("{kibibytes} KiB"))
            .with("gateway.answer_hold", "1 KiB");
        let settings = Settings::load(&flags).expect("valid");
        prop_assert_eq!(settings.stop.drain_timeout, Duration::from_millis(millis));
        prop_assert_eq!(settings.gateway.held_bytes.as_u64(), kibibytes * 1024);
        prop_assert_eq!(settings.gateway.body_limit.as_u64(), kibibytes * 1024);
    }
}
