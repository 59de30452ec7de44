//! Removal of expired claims: which groups are selected, when, and by the coordinator of which
//! zone.

use std::collections::BTreeSet;
use std::time::Duration;

use flaxward_control::claims::{
    FoundClaim, Removal, RemovalAction, RemovalGroup, RemovalSettings, SHARDS, Unavailable,
    shards_for_zone,
};
use flaxward_types::records::{Claim, ClaimOutcome};
use flaxward_types::{AttemptId, DaemonName, Revision, ZoneName};

const HOUR: u64 = 3_600;

/// The start of an hour, long after the epoch.
const NOW: u64 = 500_000 * HOUR;

fn settings() -> RemovalSettings {
    RemovalSettings {
        batch: 2,
        hours_back: 3,
        ..RemovalSettings::default()
    }
}

fn claim(number: u128, expires_unix: u64) -> FoundClaim {
    let attempt = AttemptId(number);
    FoundClaim {
        name: format!("claim-{number}"),
        version: Revision(7),
        claim: Claim {
            request_digest: String::new(),
            attempt,
            daemon: DaemonName::literal("daemon-1"),
            expires_unix,
            removal_group: RemovalGroup::of(expires_unix, attempt).to_string(),
            abandoned_unix: 0,
            outcome: ClaimOutcome::Unknown,
        },
    }
}

/// The groups selected by one pass in which all groups are empty.
fn groups_of_a_pass(removal: &mut Removal, now_unix: u64) -> Vec<RemovalGroup> {
    let mut groups = Vec::new();
    while let RemovalAction::Select(group) = removal.next(now_unix) {
        groups.push(group);
        removal.selected(Ok(Vec::new()), now_unix);
    }
    groups
}

fn removes(found: &FoundClaim) -> RemovalAction {
    RemovalAction::Remove {
        name: found.name.clone(),
        version: found.version,
    }
}

#[test]
fn each_shard_belongs_to_one_zone() {
    for number in [1, 3, 22] {
        let zones: Vec<ZoneName> = (0..number)
            .map(|zone| ZoneName::literal(&format!("zone-{zone}")))
            .collect();
        let mut shards: Vec<u32> = zones
            .iter()
            .flat_map(|zone| shards_for_zone(zone, &zones))
            .collect();
        shards.sort_unstable();
        assert_eq!(shards, (0..SHARDS).collect::<Vec<u32>>(), "{number} zones");
    }
}

#[test]
fn a_group_is_selected_once_its_hour_and_the_margin_are_over() {
    let of_last_hour = RemovalGroup::of(NOW - 1, AttemptId(5));
    let early = groups_of_a_pass(&mut Removal::new(settings(), vec![5]), NOW + 29);
    assert!(!early.contains(&of_last_hour));
    let in_time = groups_of_a_pass(&mut Removal::new(settings(), vec![5]), NOW + 30);
    let hours = [NOW - 2 * HOUR - 1, NOW - HOUR - 1, NOW - 1];
    let expected = hours.map(|expires| RemovalGroup::of(expires, AttemptId(5)));
    assert_eq!(in_time, expected);
    let shards = groups_of_a_pass(&mut Removal::new(settings(), vec![5, 9]), NOW + 30);
    assert_eq!(shards.iter().collect::<BTreeSet<_>>().len(), 6);
}

#[test]
fn passes_are_an_interval_apart_and_sooner_when_the_object_api_is_down() {
    let mut removal = Removal::new(settings(), vec![5]);
    groups_of_a_pass(&mut removal, NOW);
    let wait = RemovalAction::Wait(Duration::from_hours(1));
    assert_eq!(removal.next(NOW), wait);
    let next_pass = NOW + HOUR;
    assert!(matches!(removal.next(next_pass), RemovalAction::Select(_)));
    removal.selected(Err(Unavailable), next_pass);
    let wait = RemovalAction::Wait(Duration::from_mins(1));
    assert_eq!(removal.next(next_pass), wait);
    assert_eq!(groups_of_a_pass(&mut removal, next_pass + 60).len(), 3);
}

#[test]
fn a_full_group_is_selected_again_as_long_as_something_is_removed_from_it() {
    let mut removal = Removal::new(settings(), vec![5]);
    let RemovalAction::Select(group) = removal.next(NOW) else {
        panic!("a pass is due");
    };
    let full = [claim(5, NOW - 9 * HOUR), claim(37, NOW - 9 * HOUR)];
    removal.selected(Ok(full.to_vec()), NOW);
    assert_eq!(removal.next(NOW), removes(&full[0]));
    removal.removed(Ok(false), NOW);
    assert_eq!(removal.next(NOW), removes(&full[1]));
    removal.removed(Ok(true), NOW);
    let selected: Vec<RemovalGroup> = {
        let mut groups = Vec::new();
        while let RemovalAction::Select(next) = removal.next(NOW) {
            groups.push(next);
            let stuck = (next == group).then(|| full.to_vec());
            removal.selected(Ok(stuck.unwrap_or_default()), NOW);
            while let RemovalAction::Remove { .. } = removal.next(NOW) {
                removal.removed(Ok(false), NOW);
            }
        }
        groups
    };
    let again = selected.iter().filter(|next| **next == group).count();
    assert_eq!(again, 1, "nothing can be removed from it any more");
}

#[test]
fn a_claim_that_has_not_expired_is_kept_whatever_its_group() {
    let mut removal = Removal::new(settings(), vec![5]);
    assert!(matches!(removal.next(NOW), RemovalAction::Select(_)));
    let (fresh, old) = (claim(5, NOW + 1), claim(37, NOW - 31));
    let barely = claim(69, NOW - 29);
    removal.selected(Ok(vec![fresh, barely, old.clone()]), NOW);
    assert_eq!(removal.next(NOW), removes(&old));
}
