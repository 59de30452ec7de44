//! Planned writes and refusals of changes.

use flaxward_control::configuration::Configuration;
use flaxward_query::{Command, Edit, Rejection, Step, Write, parse, plan};
use flaxward_types::{ConfigurationItem, ItemKey, ResultCode, Revision};

fn change(text: &str) -> flaxward_query::Change {
    match parse(text).unwrap_or_else(|error| panic!("{error}")) {
        Command::Change(change) => change,
        other => panic!("{other:?} is not a change"),
    }
}

/// Model `m` serves `v1` at version 3; `v2` is not serving; adapter `a`; service `s`; machine
/// `r` drained.
fn configuration() -> Configuration {
    let commands = [
        "create version m@v1 checkpoint 'm/1' weights 16GiB kv 4GiB",
        "create version m@v2 checkpoint 'm/2' weights 16GiB kv 4GiB",
        "create model m serving v1 at most 4 at least 1",
        "create adapter m:a checkpoint 'm/a' weights 200MiB at most 2",
        "create service s concurrency 8",
        "drain machine r reason 'fan'",
    ];
    let items = commands.iter().zip(1..).map(|(text, version)| {
        let change = change(text);
        match change.edit {
            Edit::Create(item) => (change.key, Revision(version), item),
            other => panic!("{other:?} is not a create edit"),
        }
    });
    Configuration::new(Revision(6), items)
}

fn planned(text: &str) -> Result<Vec<Step>, Rejection> {
    plan(&change(text), &configuration())
}

#[test]
fn refusals() {
    use ResultCode::{InvalidValue, ObjectExists, StillReferenced, UnknownObject, VersionConflict};
    let cases = [
        (
            "create model n serving v1",
            InvalidValue,
            "version n@v1 does not exist",
        ),
        (
            "create model m serving v1",
            ObjectExists,
            "exists already at version 3: serving v1",
        ),
        (
            "change model m set serving v3",
            InvalidValue,
            "version m@v3 does not exist",
        ),
        ("change model m set at least 5", InvalidValue, "`at least`"),
        ("change model m set at most 0", InvalidValue, "`at least`"),
        (
            "change model n set at most 1",
            UnknownObject,
            "model n does not exist",
        ),
        (
            "change model m set at most 5 if version 2",
            VersionConflict,
            "has version 3 now: serving v1 at most 4",
        ),
        (
            "change model n set at most 5 if version 2",
            VersionConflict,
            "does not exist now",
        ),
        (
            "create version m@v3 checkpoint '' weights 1GiB",
            InvalidValue,
            "checkpoint",
        ),
        (
            "create version m@v3 checkpoint ' ' weights 1GiB",
            InvalidValue,
            "checkpoint",
        ),
        (
            "create version m@v3 checkpoint 'x' weights 0B",
            InvalidValue,
            "weights",
        ),
        (
            "change version m@v1 set weights 0GiB",
            InvalidValue,
            "weights",
        ),
        (
            "create version m@v3 checkpoint 'x' weights 18446744073709551615B kv 1B",
            InvalidValue,
            "too large",
        ),
        (
            "create adapter n:a checkpoint 'x' weights 1MiB",
            InvalidValue,
            "model n does not exist",
        ),
        ("change adapter m:a set weights 0B", InvalidValue, "weights"),
        (
            "create service t concurrency 0",
            InvalidValue,
            "concurrency",
        ),
        ("drain machine q reason ''", InvalidValue, "reason"),
        (
            "drain machine r reason 'again'",
            ObjectExists,
            "reason 'fan'",
        ),
        (
            "resume machine q",
            UnknownObject,
            "machine q does not exist",
        ),
        ("remove model m", StillReferenced, "adapter m:a"),
        ("remove model m if version 9", VersionConflict, "version 3"),
        ("remove version m@v1", StillReferenced, "serves version v1"),
        ("remove service t", UnknownObject, "service t"),
        (
            "change policy set cold_start_weight 1.5",
            InvalidValue,
            "cold_start_weight",
        ),
        (
            "change policy set weight_store_parallel 0",
            InvalidValue,
            "weight_store_parallel",
        ),
        (
            "change policy set weight_store_per_second 0",
            InvalidValue,
            "weight_store_per_second",
        ),
        (
            "change policy set keep_alive_min 2h",
            InvalidValue,
            "keep_alive_min",
        ),
        (
            "change policy set keep_alive_min 1s if version 1",
            VersionConflict,
            "does not exist",
        ),
    ];
    for (text, code, detail) in cases {
        let rejection = planned(text).expect_err(text);
        assert_eq!(
            rejection.refusal.code, code,
            "{text}: {}",
            rejection.refusal
        );
        let found = rejection.refusal.text();
        assert!(found.contains(detail), "{text}: {found}");
        let is_conflict = matches!(code, VersionConflict | ObjectExists);
        assert_eq!(rejection.current.is_some(), is_conflict, "{text}");
    }
}

#[test]
fn a_change_keeps_settings_that_it_does_not_name() {
    let steps = planned("change model m set serving v2, in zones z, at most 2 if version 3");
    let steps = steps.expect("a plan");
    let [Step { key, write }] = steps.as_slice() else {
        panic!("{steps:?}");
    };
    assert_eq!(key.to_string(), "model.m");
    let Write::Replace(Revision(3), ConfigurationItem::Model(spec)) = write else {
        panic!("{write:?}");
    };
    assert_eq!((spec.serving.as_str(), spec.copies.at_most), ("v2", 2));
    assert_eq!((spec.copies.at_least, spec.copies.zones.len()), (1, 1));
}

#[test]
fn the_first_change_of_the_policy_creates_it() {
    for text in [
        "change policy set keep_alive_min 1s",
        "change policy set keep_alive_min 1s if version 0",
    ] {
        let steps = planned(text).expect(text);
        let [
            Step {
                key: ItemKey::Policy,
                write: Write::Create(ConfigurationItem::Policy(spec)),
            },
        ] = steps.as_slice()
        else {
            panic!("{steps:?}");
        };
        assert_eq!(spec.keep_alive_min_ms, 1_000);
    }
}

#[test]
fn remove_with_all_orders_steps_so_that_each_leaves_a_valid_configuration() {
    let steps = planned("remove model m with all").expect("a plan");
    let keys: Vec<String> = steps.iter().map(|step| step.key.to_string()).collect();
    assert_eq!(
        keys,
        ["adapter.m:a", "model.m", "version.m@v1", "version.m@v2"]
    );
    assert!(
        steps
            .iter()
            .all(|step| matches!(step.write, Write::Delete(_)))
    );
}
