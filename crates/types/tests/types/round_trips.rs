//! Every shared type comes back from JSON and from postcard as it was.

use std::fmt::Debug;

use crate::strategies;
use flaxward_types::configuration::{CopyRule, ModelSpec, PolicySpec, VersionSpec};
use flaxward_types::{ConfigurationItem, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Writes and reads a value in both encodings.
fn comes_back<T>(value: &T) -> Result<(), TestCaseError>
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let json = serde_json::to_string(value).expect("JSON can be written");
    let read: T = serde_json::from_str(&json).map_err(|error| fail("JSON", &error, value))?;
    prop_assert_eq!(&read, value, "from JSON {}", json);
    let bytes = postcard::to_stdvec(value).expect("postcard can be written");
    let (read, rest) =
        postcard::take_from_bytes::<T>(&bytes).map_err(|error| fail("postcard", &error, value))?;
    prop_assert!(rest.is_empty(), "{} bytes remain", rest.len());
    prop_assert_eq!(&read, value, "from postcard");
    Ok(())
}

fn fail(encoding: &str, error: &dyn Debug, value: &dyn Debug) -> TestCaseError {
    TestCaseError::fail(format!("{encoding}: {error:?}: {value:?}"))
}

/// One property for each type.
macro_rules! round_trips {
    ($($test:ident: $strategy:expr;)*) => {
        proptest! {
            #![proptest_config(ProptestConfig {
                cases: 100,
                rng_seed: RngSeed::Fixed(3),
                failure_persistence: None,
                ..ProptestConfig::default()
            })]

            $(
                #[test]
                fn $test(value in $strategy) {
                    comes_back(&value)?;
                }
            )*
        }
    };
}

round_trips! {
    model_ref: strategies::model_ref();
    artifact: strategies::artifact();
    item_key: strategies::item_key();
    item: strategies::item();
    order: strategies::order();
    order_answer: strategies::order_answer();
    inventory: strategies::inventory();
    load_report: strategies::load_report();
    cache_event: strategies::cache_event();
    machine: strategies::machine();
    lease: strategies::lease();
    placement: strategies::placement();
    quota: strategies::quota();
    claim: strategies::claim();
    refusal: strategies::refusal();
    result_code: strategies::result_code();
    demand: strategies::demand();
    route_answer: strategies::route_answer();
    timestamp: any::<u64>().prop_map(Timestamp);
}

/// Whether a JSON text is read as a type.
fn is_read<T: DeserializeOwned>(json: &str) -> bool {
    serde_json::from_str::<T>(json).is_ok()
}

#[test]
fn what_operators_write_is_read_strictly() {
    let table = [
        ("empty rule", is_read::<CopyRule>("{}"), true),
        (
            "unknown field of a rule",
            is_read::<CopyRule>(r#"{"at_mots":2}"#),
            false,
        ),
        (
            "zone that is no name",
            is_read::<CopyRule>(r#"{"zones":["A"]}"#),
            false,
        ),
        ("empty policy", is_read::<PolicySpec>("{}"), true),
        (
            "unknown field of a policy",
            is_read::<PolicySpec>(r#"{"weight":1}"#),
            false,
        ),
        (
            "model without a rule",
            is_read::<ModelSpec>(r#"{"serving":"v1"}"#),
            false,
        ),
        (
            "sizes as text",
            is_read::<VersionSpec>(r#"{"checkpoint":"c","weights":"1 GiB","kv_cache":"1 MiB"}"#),
            true,
        ),
        (
            "kind that does not exist",
            is_read::<ConfigurationItem>(r#"{"modle":{}}"#),
            false,
        ),
    ];
    for (case, read, expected) in table {
        assert_eq!(read, expected, "{case}");
    }
}
