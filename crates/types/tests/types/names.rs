//! Names and the text forms made of them.

use crate::strategies;
use flaxward_types::ids::{MAX_NAME_BYTES, NameError, check_name};
use flaxward_types::{ArtifactId, AttemptId, ItemKey, ModelRef};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_bad_character_is_told_with_its_place(
        name in "[a-z0-9][a-z0-9._-]{0,50}",
        bad in any::<char>(),
        place in any::<prop::sample::Index>(),
    ) {
        prop_assert_eq!(check_name(&name), Ok(()));
        let position = place.index(name.len() + 1);
        let allowed = matches!(bad, 'a'..='z' | '0'..='9')
            || (position > 0 && matches!(bad, '-' | '_' | '.'));
        let text = format!("{}{bad}{}", &name[..position], &name[position..]);
        let expected = if allowed {
            Ok(())
        } else {
            Err(NameError::BadCharacter { character: bad, position })
        };
        prop_assert_eq!(check_name(&text), expected);
    }

    #[test]
    fn a_name_has_a_longest_length(length in 0..200_usize) {
        let expected = match length {
            0 => Err(NameError::Empty),
            1..=MAX_NAME_BYTES => Ok(()),
            _ => Err(NameError::TooLong(length)),
        };
        prop_assert_eq!(check_name(&"a".repeat(length)), expected);
    }

    #[test]
    fn text_forms_come_back(
        reference in strategies::model_ref(),
        artifact in strategies::artifact(),
        key in strategies::item_key(),
        attempt in any::<u128>().prop_map(AttemptId),
    ) {
        prop_assert_eq!(reference.to_string().parse(), Ok(reference));
        prop_assert_eq!(artifact.to_string().parse(), Ok(artifact));
        prop_assert_eq!(key.to_string().parse(), Ok(key));
        prop_assert_eq!(attempt.to_string().parse(), Ok(attempt));
    }

    /// Any text that is read is the one form of what it means.
    #[test]
    fn no_two_texts_mean_the_same(text in "[a-z.:@]{0,12}|(model|version|adapter|drain).[a-z.:@]{0,8}") {
        if let Ok(reference) = text.parse::<ModelRef>() {
            prop_assert_eq!(reference.to_string(), text.as_str());
        }
        if let Ok(artifact) = text.parse::<ArtifactId>() {
            prop_assert_eq!(artifact.to_string(), text.as_str());
        }
        if let Ok(key) = text.parse::<ItemKey>() {
            prop_assert_eq!(key.to_string(), text);
        }
    }
}

#[test]
fn a_name_does_not_start_with_a_sign() {
    for character in ['-', '_', '.'] {
        let expected = NameError::BadCharacter {
            character,
            position: 0,
        };
        assert_eq!(check_name(&format!("{character}a")), Err(expected));
    }
}

#[test]
fn texts_that_are_no_artifact_are_refused() {
    let table = [
        "", "m", "m@", "@v", "m:a", "m:@v", ":a@v", "m@v:a", "m@v@w", "m:a:b@v", "M@v", "m @v",
    ];
    for text in table {
        assert!(text.parse::<ArtifactId>().is_err(), "{text:?}");
    }
}

#[test]
fn texts_that_are_no_key_are_refused() {
    let table = [
        "",
        "model",
        "model.",
        "model.M",
        "policy.",
        "policy.x",
        "version.m",
        "version.m@",
        "adapter.m",
        "adapter.m@v",
        "machine.m",
        "models.m",
        "adapters.m:a",
        "Model.m",
        ".m",
    ];
    for text in table {
        assert!(text.parse::<ItemKey>().is_err(), "{text:?}");
    }
}
