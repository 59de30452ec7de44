//! The settings file of an ingress.

use std::path::{Path, PathBuf};
use std::time::Duration;

use flaxward_settings::IngressFile;
use flaxward_types::ResultCode;

fn example() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/ingress.toml")
}

/// The example with one text replaced by another, in a file of its own.
fn changed(name: &str, from: &str, to: &str) -> PathBuf {
    let text = std::fs::read_to_string(example()).unwrap();
    assert!(text.contains(from), "the example has no {from}");
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(format!("{name}.toml"));
    std::fs::write(&path, text.replace(from, to)).unwrap();
    path
}

#[test]
fn the_example_is_valid() {
    assert!(IngressFile::is_meant_by(&example()));
    let file = IngressFile::load(&example()).unwrap();
    assert_eq!(file.ingress.stop_grace, Duration::from_secs(8));
    assert_eq!(file.coordinator.lease_duration, Duration::from_secs(3));
}

#[test]
fn a_file_of_the_other_kind_is_not_taken_for_one() {
    let other = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/flaxward.toml");
    assert!(!IngressFile::is_meant_by(&other));
    assert!(!IngressFile::is_meant_by(Path::new("/nowhere/at/all.toml")));
}

#[test]
fn faults_have_their_codes_and_keys() {
    let cases = [
        (
            "zone",
            "zone = \"a\"\n",
            "",
            ResultCode::MissingSetting,
            "zone",
        ),
        (
            "unknown",
            "zone = \"a\"\n",
            "zone = \"a\"\ncolour = 1\n",
            ResultCode::UnknownSetting,
            "colour",
        ),
        (
            "address",
            "10.0.0.1:8080",
            "here",
            ResultCode::InvalidSetting,
            "ingress.listen",
        ),
        (
            "ratio",
            "ratio = 0.2",
            "ratio = -1.0",
            ResultCode::InvalidSetting,
            "retries.ratio",
        ),
        (
            "cold",
            "[news]",
            "[cold_runners]\nrate_factor = -1.0\nslack = 5\n\n[news]",
            ResultCode::InvalidSetting,
            "cold_runners.rate_factor",
        ),
        (
            "cold-slack",
            "[news]",
            "[cold_runners]\nrate_factor = 1.5\n\n[news]",
            ResultCode::MissingSetting,
            "cold_runners.slack",
        ),
        (
            "requests",
            "requests = 2000",
            "requests = 0",
            ResultCode::InvalidSetting,
            "limits.requests",
        ),
        (
            "memory",
            "memory_mb = 256",
            "memory_mb = 0",
            ResultCode::InvalidSetting,
            "machine.memory_mb",
        ),
        (
            "descriptors",
            "descriptors = 4096",
            "descriptors = 0",
            ResultCode::InvalidSetting,
            "machine.descriptors",
        ),
        (
            "lease",
            "\"3s\"",
            "\"0s\"",
            ResultCode::InvalidSetting,
            "coordinator.lease_duration",
        ),
        (
            "syntax",
            "[store]",
            "[store",
            ResultCode::UnreadableSettings,
            "",
        ),
    ];
    for (name, from, to, code, key) in cases {
        let error = IngressFile::load(&changed(name, from, to)).unwrap_err();
        assert_eq!(error.code, code, "{name}: {error}");
        assert!(error.key.contains(key), "{name}: {error}");
    }
}
