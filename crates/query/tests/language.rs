//! Properties of the language: printed commands parse back, no input panics, and texts split into
//! commands.

use std::time::Duration;

use bytesize::ByteSize;
use flaxward_query::{
    AdapterSetting, Change, Command, Comparison, Condition, Edit, FieldKind, ModelSetting,
    Operator, Order, PolicySetting, ReplicaScope, ServiceSetting, Show, Table, Value,
    VersionSetting, parse, split,
};
use flaxward_types::configuration::{
    AdapterSpec, CopyRule, DrainSpec, ModelSpec, ServiceSpec, VersionSpec,
};
use flaxward_types::{ConfigurationItem, ItemKey, ModelRef, Revision};
use proptest::option;
use proptest::prelude::*;
use proptest::sample::{select, subsequence};
use proptest::test_runner::RngSeed;

const SEED: u64 = 0x0f1a_c5a4;

fn config(cases: u32) -> ProptestConfig {
    let case_count = std::env::var("FLAXWARD_PROPTEST_CASES").ok();
    ProptestConfig {
        cases: case_count
            .and_then(|text| text.parse().ok())
            .unwrap_or(cases),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Names, some of which are keywords of the language.
fn name<T: std::str::FromStr + std::fmt::Debug>() -> impl Strategy<Value = T>
where
    T::Err: std::fmt::Debug,
{
    let words = select(vec![
        "at", "most", "queue", "in", "all", "show", "zones", "if", "set",
    ]);
    prop_oneof![
        3 => "[a-z0-9][a-z0-9_.-]{0,9}",
        1 => words.prop_map(str::to_owned),
    ]
    .prop_map(|text| text.parse().expect("a name"))
}

fn text() -> impl Strategy<Value = String> {
    "[a-z '\n;A-Zé/-]{0,12}"
}

fn size() -> impl Strategy<Value = ByteSize> {
    prop_oneof![
        any::<u64>(),
        (any::<u16>(), 0..45_u32).prop_map(|(n, s)| u64::from(n) << s)
    ]
    .prop_map(ByteSize)
}

fn duration() -> impl Strategy<Value = Duration> {
    (0..u64::from(u32::MAX) * 1000).prop_map(Duration::from_millis)
}

fn number() -> impl Strategy<Value = f64> {
    prop_oneof![(0..10_000_u32).prop_map(f64::from), 0.0..1.0e9_f64]
}

fn comparison(table: Table) -> impl Strategy<Value = Comparison> {
    (select(table.fields()), select(&Operator::ALL[..])).prop_flat_map(|(field, operator)| {
        let (operator, value) = match field.kind {
            FieldKind::Text => (operator, text().prop_map(Value::Text).boxed()),
            FieldKind::State(words) => {
                let value = select(words).prop_map(|word| Value::Text(word.to_owned()));
                (Operator::NotEqual, value.boxed())
            }
            FieldKind::Flag => (Operator::Equal, any::<bool>().prop_map(Value::Flag).boxed()),
            kind => {
                let value = match kind {
                    FieldKind::Size => size().prop_map(Value::Size).boxed(),
                    FieldKind::Duration => duration().prop_map(Value::Duration).boxed(),
                    _ => number().prop_map(Value::Number).boxed(),
                };
                let ordered = Operator::ALL[..6].contains(&operator);
                (if ordered { operator } else { Operator::Equal }, value)
            }
        };
        value.prop_map(move |value| Comparison {
            field: field.name,
            operator,
            value,
        })
    })
}

fn show() -> impl Strategy<Value = Show> {
    let tables: Vec<Table> = Table::ALL
        .iter()
        .copied()
        .filter(|table| table.is_shown())
        .collect();
    select(tables).prop_flat_map(|table| {
        let group = prop::collection::vec(comparison(table), 1..4);
        let condition = prop::collection::vec(group, 1..4).prop_map(|any_of| Condition { any_of });
        let order = (select(table.fields()), any::<bool>()).prop_map(|(field, descending)| Order {
            field: field.name,
            descending,
        });
        let reference = (name(), option::of(name()), option::of(name()));
        let reference = reference.prop_map(|(model, adapter, version)| ModelRef {
            model,
            adapter,
            version,
        });
        let scope = (option::of(reference), option::of(name()));
        let rest = (
            option::of(condition),
            option::of(order),
            option::of(any::<u32>()),
        );
        (scope, rest).prop_map(move |((of, zone), (condition, order, limit))| Show {
            table,
            scope: match table {
                Table::Replicas => ReplicaScope { of, zone },
                _ => ReplicaScope::default(),
            },
            condition,
            order,
            limit,
        })
    })
}

fn non_empty_subset<T: Clone + std::fmt::Debug + 'static>(
    all: Vec<T>,
) -> impl Strategy<Value = Vec<T>> {
    let count = all.len();
    subsequence(all, 1..=count).prop_shuffle()
}

fn model_spec() -> impl Strategy<Value = ModelSpec> {
    let zones = prop::collection::btree_set(name(), 0..4);
    let rule = (any::<u32>(), any::<u32>(), zones);
    (name(), rule, any::<u8>(), any::<u32>()).prop_map(
        |(serving, (at_least, at_most, zones), priority, queue_limit)| ModelSpec {
            serving,
            copies: CopyRule {
                at_least,
                at_most,
                zones,
            },
            priority,
            queue_limit,
        },
    )
}

fn model_settings() -> impl Strategy<Value = Vec<ModelSetting>> {
    model_spec().prop_flat_map(|spec| {
        non_empty_subset(vec![
            ModelSetting::Serving(spec.serving),
            ModelSetting::AtMost(spec.copies.at_most),
            ModelSetting::AtLeast(spec.copies.at_least),
            ModelSetting::Zones(spec.copies.zones),
            ModelSetting::Priority(spec.priority),
            ModelSetting::QueueLimit(spec.queue_limit),
        ])
    })
}

fn policy_settings() -> impl Strategy<Value = Vec<PolicySetting>> {
    let millis = || duration().prop_map(|duration| duration.as_millis() as u64);
    (number(), any::<u32>(), number(), millis(), millis()).prop_flat_map(
        |(weight, parallel, rate, min, max)| {
            non_empty_subset(vec![
                PolicySetting::ColdStartWeight(weight),
                PolicySetting::WeightStoreParallel(parallel),
                PolicySetting::WeightStorePerSecond(rate),
                PolicySetting::KeepAliveMin(min),
                PolicySetting::KeepAliveMax(max),
            ])
        },
    )
}

fn change() -> impl Strategy<Value = Change> {
    let version = (name(), name()).prop_map(|(model, version)| ItemKey::Version(model, version));
    let adapter = (name(), name()).prop_map(|(model, adapter)| ItemKey::Adapter(model, adapter));
    let keys = (name(), version, adapter, name(), name());
    let values = (text(), size(), size(), any::<u32>());
    let settings = (model_spec(), model_settings(), policy_settings());
    let tail = (
        0..15_usize,
        option::of(any::<u64>().prop_map(Revision)),
        any::<bool>(),
    );
    (keys, values, settings, tail).prop_map(|(keys, values, settings, tail)| {
        let (model, version, adapter, service, machine) = keys;
        let (checkpoint, weights, kv_cache, number) = values;
        let (which, expected, with_all) = tail;
        let model = ItemKey::Model(model);
        let (service, machine) = (ItemKey::Service(service), ItemKey::Drain(machine));
        let remove = Edit::Remove { with_all: false };
        let version_spec = VersionSpec {
            checkpoint: checkpoint.clone(),
            weights,
            kv_cache,
        };
        let adapter_spec = AdapterSpec {
            checkpoint: checkpoint.clone(),
            weights,
            at_most: number,
        };
        let service_spec = ServiceSpec {
            concurrency: number,
        };
        let drain = DrainSpec {
            reason: checkpoint.clone(),
        };
        let path = checkpoint;
        let (key, edit) = match which {
            0 => (model, Edit::Create(ConfigurationItem::Model(settings.0))),
            1 => (
                version,
                Edit::Create(ConfigurationItem::Version(version_spec)),
            ),
            2 => (
                adapter,
                Edit::Create(ConfigurationItem::Adapter(adapter_spec)),
            ),
            3 => (
                service,
                Edit::Create(ConfigurationItem::Service(service_spec)),
            ),
            4 => (machine, Edit::Create(ConfigurationItem::Drain(drain))),
            5 | 6 => (model, Edit::SetModel(settings.1)),
            7 => (
                version,
                Edit::SetVersion(vec![VersionSetting::KvCache(kv_cache)]),
            ),
            8 => (
                adapter,
                Edit::SetAdapter(vec![AdapterSetting::Checkpoint(path)]),
            ),
            9 => (
                service,
                Edit::SetService(vec![ServiceSetting::Concurrency(number)]),
            ),
            10 => (ItemKey::Policy, Edit::SetPolicy(settings.2)),
            11 => (model, Edit::Remove { with_all }),
            12 => (version, remove),
            13 => (adapter, remove),
            _ => (machine, remove),
        };
        let expected = expected.filter(|_| !matches!(edit, Edit::Create(_)));
        Change {
            key,
            expected,
            edit,
        }
    })
}

fn command() -> impl Strategy<Value = Command> {
    prop_oneof![
        show().prop_map(Command::Show),
        name().prop_map(Command::Explain),
        change().prop_map(Command::Change),
    ]
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn printed_commands_parse_back(command in command()) {
        let text = command.to_string();
        prop_assert_eq!(parse(&text).map_err(|error| error.to_string()), Ok(command));
    }

    #[test]
    fn a_text_splits_into_its_commands(commands in prop::collection::vec(command(), 0..4)) {
        let text: String = commands.iter().map(|command| format!(" {command} -- it's;\n;")).collect();
        let parsed: Vec<_> = split(&text).into_iter().map(parse).collect();
        prop_assert_eq!(parsed, commands.into_iter().map(Ok).collect::<Vec<_>>());
    }

    #[test]
    fn arbitrary_text_does_not_panic(text in any::<String>()) {
        let _ = parse(&text).map_err(|error| error.to_string());
        for part in split(&text) {
            let _ = parse(part);
        }
    }

    #[test]
    fn corrupted_commands_do_not_panic(command in command(), at in any::<prop::sample::Index>(), replacement in "\\PC{0,3}") {
        let text = command.to_string();
        let mut characters: Vec<char> = text.chars().collect();
        let index = at.index(characters.len());
        characters.splice(index..=index, replacement.chars());
        let text: String = characters.into_iter().collect();
        if let Err(error) = parse(&text) {
            prop_assert!(!error.expected.is_empty(), "{}", error);
            prop_assert!(error.position.line <= text.matches('\n').count() + 1);
        }
    }
}

#[test]
fn a_long_setting_list_is_rejected_without_excessive_backtracking() {
    let text = format!("change model m set {}", "in zones a, ".repeat(20_000));
    assert!(parse(&text).is_err());
}
