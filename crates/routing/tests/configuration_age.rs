//! Tests of the age of a configuration.

use std::time::Duration;

use flaxward_routing::configuration_age::ConfigurationAge;
use flaxward_types::time::Timestamp;
use proptest::prelude::*;

const fn at(ms: u64) -> Timestamp {
    Timestamp(ms)
}

fn ms(ms: u64) -> Option<Duration> {
    Some(Duration::from_millis(ms))
}

#[test]
fn there_is_no_age_without_a_confirmation() {
    let mut age = ConfigurationAge::default();
    age.applied(3);
    assert_eq!(age.age(at(1_000)), None);
}

#[test]
fn confirming_a_newer_version_does_not_reset_the_age_of_an_older_one() {
    let mut age = ConfigurationAge::default();
    age.applied(3);
    age.confirmed(3, at(1_000));
    age.confirmed(5, at(2_000));
    assert_eq!(age.age(at(2_500)), ms(1_500));
    // There is no confirmation of version 4, so applying it does not change the age.
    age.applied(4);
    assert_eq!(age.age(at(2_500)), ms(1_500));
    age.applied(5);
    assert_eq!(age.age(at(2_500)), ms(500));
}

#[test]
fn older_confirmations_are_ignored() {
    let mut age = ConfigurationAge::default();
    age.applied(5);
    age.confirmed(5, at(2_000));
    age.confirmed(5, at(1_000));
    age.confirmed(4, at(1_500));
    age.applied(4);
    assert_eq!(age.age(at(2_500)), ms(500));
}

proptest! {
    /// Versions are created at given times; confirmations arrive late and in any order. A version must never count as
    /// confirmed at a time at which a newer one existed.
    #[test]
    fn the_age_is_never_underestimated(
        gaps in prop::collection::vec(1_u64..500, 1..8),
        events in prop::collection::vec((any::<bool>(), 0_usize..8, 0_u64..600), 1..40),
    ) {
        let mut created = vec![1_000_u64];
        for gap in gaps {
            created.push(created[created.len() - 1] + gap);
        }
        let newest_until = |version: usize| created.get(version + 1).copied().unwrap_or(u64::MAX);
        let mut age = ConfigurationAge::default();
        let mut applied: Option<usize> = None;
        for (is_applied, version, later) in events {
            let version = version % created.len();
            let number = u64::try_from(version).unwrap() + 1;
            if is_applied {
                age.applied(number);
                applied = applied.max(Some(version));
            } else {
                let confirmed_at = (created[version] + later).min(newest_until(version) - 1);
                age.confirmed(number, at(confirmed_at));
            }
            let now = at(1_000_000);
            if let (Some(known), Some(age)) = (applied, age.age(now)) {
                let confirmed = now - age;
                prop_assert!(confirmed.0 < newest_until(known), "{confirmed} of {known}");
            }
        }
    }
}
