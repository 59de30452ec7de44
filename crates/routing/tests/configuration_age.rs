//! How old the knowledge of the configuration is.

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
fn without_a_confirmation_there_is_no_age() {
    let mut age = ConfigurationAge::default();
    age.applied(3);
    assert_eq!(age.age(at(1_000)), None);
}

#[test]
fn a_newer_version_elsewhere_does_not_make_an_old_one_younger() {
    let mut age = ConfigurationAge::default();
    age.applied(3);
    age.confirmed(3, at(1_000));
    age.confirmed(5, at(2_000));
    assert_eq!(age.age(at(2_500)), ms(1_500));
    // The version between the two helps only as far as is known of it.
    age.applied(4);
    assert_eq!(age.age(at(2_500)), ms(1_500));
    age.applied(5);
    assert_eq!(age.age(at(2_500)), ms(500));
}

#[test]
fn an_older_word_changes_nothing() {
    let mut age = ConfigurationAge::default();
    age.applied(5);
    age.confirmed(5, at(2_000));
    age.confirmed(5, at(1_000));
    age.confirmed(4, at(1_500));
    age.applied(4);
    assert_eq!(age.age(at(2_500)), ms(500));
}

proptest! {
    /// Versions are made at some times; confirmations of whoever come late, in any order. No daemon believes that a
    /// version is the newest at a time at which a newer one was there.
    #[test]
    fn the_age_is_never_too_young(
        gaps in prop::collection::vec(1_u64..500, 1..8),
        events in prop::collection::vec((any::<bool>(), 0_usize..8, 0_u64..600), 1..40),
    ) {
        let mut made = vec![1_000_u64];
        for gap in gaps {
            made.push(made[made.len() - 1] + gap);
        }
        let newest_until = |version: usize| made.get(version + 1).copied().unwrap_or(u64::MAX);
        let mut age = ConfigurationAge::default();
        let mut applied: Option<usize> = None;
        for (is_applied, version, later) in events {
            let version = version % made.len();
            let number = u64::try_from(version).unwrap() + 1;
            if is_applied {
                age.applied(number);
                applied = applied.max(Some(version));
            } else {
                let moment = (made[version] + later).min(newest_until(version) - 1);
                age.confirmed(number, at(moment));
            }
            let now = at(1_000_000);
            if let (Some(known), Some(age)) = (applied, age.age(now)) {
                let confirmed = now - age;
                prop_assert!(confirmed.0 < newest_until(known), "{confirmed} of {known}");
            }
        }
    }
}
