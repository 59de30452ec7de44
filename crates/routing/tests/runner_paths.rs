//! Which path a connection to a runner takes, and when a daemon counts as partitioned from all runners.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::dissemination::relays_of;
use flaxward_routing::runner_paths::{
    ConnectionPlan, PartitionChange, Path, PathLoss, RelayFailure, RunnerPaths,
};
use flaxward_types::time::Timestamp;

const START: Timestamp = Timestamp(100_000);

fn runner(index: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 8_000 + index))
}

fn daemon(index: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 2], 7_000 + index))
}

fn with_relays(count: u16) -> RunnerPaths {
    let mut paths = RunnerPaths::default();
    paths.set_relays((0..count).map(daemon).collect());
    paths
}

fn order(plan: &ConnectionPlan) -> Vec<Path> {
    plan.attempts.iter().map(|attempt| attempt.path).collect()
}

fn partitioned() -> RunnerPaths {
    let mut paths = with_relays(3);
    assert_eq!(paths.record_loss(runner(0), PathLoss::Silent, START), None);
    let change = paths.record_loss(runner(1), PathLoss::Silent, START);
    assert_eq!(change, Some(PartitionChange::Partitioned { lost: 2 }));
    paths
}

#[test]
fn the_direct_path_comes_first_and_relays_only_after_a_pause() {
    let plan = with_relays(2).plan(runner(0), 1, START);
    let relays = [Path::Relay(daemon(1)), Path::Relay(daemon(0))];
    assert_eq!(order(&plan), [&[Path::Direct], &relays[..]].concat());
    assert_eq!(plan.attempts[0].delay, Duration::ZERO);
    assert!(plan.attempts[1].delay >= Duration::from_millis(200));
    assert!(!plan.is_probe_due);
}

/// Guards against one lost runner diverting the requests for all others.
#[test]
fn the_loss_of_one_runner_leaves_the_others_on_the_direct_path() {
    let mut paths = with_relays(2);
    assert_eq!(paths.record_loss(runner(0), PathLoss::Silent, START), None);
    assert!(!paths.is_partitioned(START));
    assert!(!paths.is_established_usable(runner(0), START));
    assert!(paths.is_established_usable(runner(1), START));
    let lost = paths.plan(runner(0), 0, START);
    assert_eq!(order(&lost).last(), Some(&Path::Direct));
    let other = paths.plan(runner(1), 0, START);
    assert_eq!(order(&other).first(), Some(&Path::Direct));
}

#[test]
fn a_daemon_that_has_reached_a_runner_since_is_not_partitioned() {
    let mut paths = with_relays(2);
    paths.record_loss(runner(0), PathLoss::Silent, START);
    let later = START + Duration::from_millis(10);
    assert_eq!(paths.record_direct(runner(2), later), None);
    let last = later + Duration::from_millis(10);
    assert_eq!(paths.record_loss(runner(1), PathLoss::Silent, last), None);
    assert!(!paths.is_partitioned(last));
}

#[test]
fn a_partitioned_daemon_uses_relays_first_for_every_runner() {
    let mut paths = partitioned();
    let plan = paths.plan(runner(7), 0, START);
    assert_eq!(order(&plan).last(), Some(&Path::Direct));
    assert!(!paths.is_established_usable(runner(7), START));
}

/// Guards against kept connections that still work being thrown away.
#[test]
fn established_connections_are_used_while_only_new_ones_are_refused() {
    let mut paths = with_relays(2);
    paths.record_loss(runner(0), PathLoss::Refused, START);
    paths.record_loss(runner(1), PathLoss::Refused, START);
    assert!(paths.is_partitioned(START));
    assert!(paths.is_established_usable(runner(0), START));
    assert_eq!(paths.record_answer(runner(0), START), None);
    assert!(paths.is_partitioned(START));
}

#[test]
fn an_answer_on_a_direct_connection_ends_a_silent_partition() {
    let mut paths = partitioned();
    let later = START + Duration::from_secs(2);
    let after = Duration::from_secs(2);
    let change = paths.record_answer(runner(0), later);
    assert_eq!(change, Some(PartitionChange::Reconnected { after }));
    assert!(!paths.is_partitioned(later));
}

/// Guards against requests waiting for a path to be found restored.
#[test]
fn a_lost_path_is_probed_about_once_a_second() {
    let mut paths = partitioned();
    let mut probes = 0;
    for step in 1..=100 {
        let now = START + Duration::from_millis(40 * step);
        if paths.plan(runner(0), 0, now).is_probe_due {
            probes += 1;
            paths.record_failed_probe(runner(0), PathLoss::Silent, now);
        }
    }
    assert!((3..=5).contains(&probes), "{probes} probes in 4 s");
    assert!(paths.is_partitioned(START + Duration::from_secs(4)));
}

/// Guards against checks of checks that spread over a large fleet of runners.
#[test]
fn lost_paths_have_others_checked_at_a_bounded_rate() {
    let mut paths = with_relays(2);
    let steps = (0..100_u64).map(|step| START + Duration::from_millis(10 * step));
    let checks = steps.filter(|now| paths.take_check(*now)).count();
    assert_eq!(checks, 2, "checks in a second");
}

#[test]
fn a_lost_path_that_nothing_confirms_is_forgotten() {
    let mut paths = partitioned();
    let later = START + Duration::from_secs(6);
    assert!(!paths.is_partitioned(later));
    let plan = paths.plan(runner(0), 0, later);
    assert_eq!(order(&plan).first(), Some(&Path::Direct));
}

#[test]
fn a_relay_that_cannot_help_is_left_out_for_a_while() {
    let mut paths = with_relays(2);
    paths.record_relay_failure(daemon(0), runner(0), RelayFailure::Refusing, START);
    paths.record_relay_failure(daemon(1), runner(0), RelayFailure::Silent, START);
    assert_eq!(order(&paths.plan(runner(0), 0, START)), [Path::Direct]);
    let plan = paths.plan(runner(1), 0, START);
    assert_eq!(order(&plan), [Path::Direct, Path::Relay(daemon(0))]);
    let later = START + Duration::from_secs(3);
    let plan = paths.plan(runner(0), 0, later);
    assert_eq!(order(&plan), [Path::Direct, Path::Relay(daemon(0))]);
}

/// Guards against trying relays that do not reach the runners again and again.
#[test]
fn relays_that_have_just_helped_come_first_for_most_connections() {
    let mut paths = with_relays(8);
    paths.record_relay_success(daemon(5), START);
    let is_preferred = |random: u64| {
        let plan = paths.plan(runner(0), random, START);
        plan.attempts[1].path == Path::Relay(daemon(5))
    };
    let preferred = (0..800).map(is_preferred).filter(|it| *it).count();
    assert!((700..=780).contains(&preferred), "{preferred} of 800");
}

/// Guards against a few standbys relaying for all daemons of a zone.
#[test]
fn members_have_different_relays_of_all_parts_of_the_fleet() {
    let members: Vec<SocketAddr> = (0..80).map(daemon).collect();
    let standbys = &members[..5];
    let mut uses = vec![0; members.len()];
    for member in &members {
        let relays = relays_of(standbys, &members, *member);
        assert!(!relays[5..].contains(member));
        let distinct: std::collections::BTreeSet<_> = relays.iter().collect();
        assert_eq!(distinct.len(), relays.len());
        assert!(relays.len() >= 10 && relays.len() <= 12);
        for relay in &relays[5..] {
            uses[members.iter().position(|it| it == relay).unwrap()] += 1;
        }
    }
    assert!(uses.iter().all(|uses| *uses <= 8), "{uses:?}");
}

#[test]
fn a_small_fleet_has_each_relay_once() {
    let members: Vec<SocketAddr> = (0..3).map(daemon).collect();
    let relays = relays_of(&members[1..], &members, daemon(0));
    assert_eq!(relays, members[1..]);
    assert_eq!(relays_of(&[], &[], daemon(0)), []);
}
