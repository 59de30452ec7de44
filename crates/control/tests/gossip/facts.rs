//! Marks and heads reach all daemons in time, and the newest wins.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use flaxward_control::gossip::GossipEvent;
use flaxward_control::heads::Heads;
use flaxward_control::marks::{Marks, UNLISTED_RETENTION};
use flaxward_types::{RunnerName, Term, Timestamp, ZoneName};
use flaxward_wire::{RunnerMark, ZoneHead};
use proptest::prelude::*;
use rand::RngExt;

use crate::cases;
use crate::network::{LOSSY_NETWORK, Network};

fn runner(number: usize) -> RunnerName {
    RunnerName::literal(&format!("runner-{number:03}"))
}

fn mark(number: usize, leaving: bool) -> GossipEvent {
    GossipEvent::Runner {
        runner: runner(number),
        leaving,
    }
}

fn is_mark_everywhere(network: &Network, number: usize, leaving: bool) -> bool {
    let runner = runner(number);
    network
        .running()
        .all(|(_, _, gossip)| gossip.marks().is_leaving(&runner) == leaving)
}

proptest! {
    #![proptest_config(cases(8))]

    #[test]
    fn a_mark_reaches_each_of_29_within_three_seconds(seed: u64) {
        let mut network = Network::new(&[29], LOSSY_NETWORK, seed);
        network.run(5_000);
        let mut max = 0;
        for number in 0..60 {
            let pause = network.random.random_range(0..3_000);
            network.run(pause);
            let index = network.random.random_range(0..29);
            network.handle_event(index, mark(number, true));
            let took = network.run_until(3_000, |network| is_mark_everywhere(network, number, true));
            prop_assert!(took.is_some());
            max = max.max(took.unwrap_or_default());
        }
        println!("60 marks reached all of 29: longest {max} ms");
    }

    #[test]
    fn many_marks_at_once_reach_each_of_29_within_three_seconds(seed: u64) {
        let mut network = Network::new(&[29], LOSSY_NETWORK, seed);
        network.run(5_000);
        // Every runner of the zone is leaving.
        for number in 0..318 {
            network.handle_event(number % 29, mark(number, true));
        }
        let took = network.run_until(3_000, |network| {
            (0..318).all(|number| is_mark_everywhere(network, number, true))
        });
        println!("318 marks at once reached all of 29 after {took:?} ms");
        prop_assert!(took.is_some());
    }

    #[test]
    fn merging_marks_in_any_order_converges(
        facts in prop::collection::vec((0..4_usize, any::<bool>(), 0..4_u64), 1..20),
    ) {
        let facts: Vec<RunnerMark> = facts
            .into_iter()
            .map(|(number, leaving, epoch)| RunnerMark { runner: runner(number), leaving, epoch })
            .collect();
        let (mut forwards, mut backwards) = (Marks::default(), Marks::default());
        forwards.merge(&facts, Timestamp::ZERO);
        for fact in facts.iter().rev() {
            backwards.merge(std::slice::from_ref(fact), Timestamp::ZERO);
        }
        prop_assert_eq!(forwards.all(), backwards.all());
        prop_assert!(!forwards.merge(&backwards.all(), Timestamp::ZERO));
    }

    #[test]
    fn the_head_with_the_highest_term_wins_in_any_order(
        terms in prop::collection::vec((0..2_usize, 0..9_u64), 1..12),
    ) {
        let network = Network::new(&[9], LOSSY_NETWORK, 0);
        let mut heads = Heads::default();
        let mut highest = BTreeMap::new();
        for (zone, term) in terms {
            let coordinator = network.daemons[usize::try_from(term).unwrap()].peer.clone();
            let zone = ZoneName::literal(&format!("zone-{zone}"));
            let known = highest.entry(zone.clone()).or_insert(term);
            *known = term.max(*known);
            heads.merge(&ZoneHead { zone, term: Term(term), coordinator });
            for (zone, term) in &highest {
                prop_assert_eq!(heads.get(zone).map(|head| head.term), Some(Term(*term)));
            }
        }
    }
}

#[test]
fn a_lagging_daemon_does_not_clear_a_mark_but_one_that_saw_the_runner_leaving_does() {
    let mut network = Network::new(&[3], LOSSY_NETWORK, 21);
    network.run(5_000);
    network.handle_event(0, mark(1, true));
    network.run(3_000);
    network.handle_event(1, mark(1, false));
    network.run(3_000);
    assert!(is_mark_everywhere(&network, 1, true));
    network.handle_event(0, mark(1, false));
    network.run(3_000);
    assert!(is_mark_everywhere(&network, 1, false));
}

#[test]
fn a_mark_of_a_dead_daemon_is_cleared_by_one_that_sees_the_runner_staying() {
    let mut network = Network::new(&[3], LOSSY_NETWORK, 24);
    network.run(5_000);
    network.handle_event(0, mark(1, true));
    network.run(3_000);
    network.kill(0);
    for _ in 0..29 {
        network.handle_event(1, mark(1, false));
        network.run(2_000);
        assert!(is_mark_everywhere(&network, 1, true));
    }
    network.run(2_000);
    network.handle_event(1, mark(1, false));
    network.run(3_000);
    assert!(is_mark_everywhere(&network, 1, false));
}

/// Marks must outlive the lists of ready replicas kept by gateways, which may name a machine that is
/// gone.
#[test]
fn marks_of_unlisted_machines_are_retained_but_not_sent_to_new_members() {
    let mut network = Network::new(&[4], LOSSY_NETWORK, 22);
    network.run(5_000);
    for number in 0..3 {
        network.handle_event(0, mark(number, true));
    }
    network.run(3_000);
    list_machines(&mut network, 0..9);
    list_machines(&mut network, 1..9);
    network.run(60_000);
    network.start_elsewhere(3);
    network.run(5_000);
    for (index, _, gossip) in network.running() {
        let kept = if index == 3 { 1..3 } else { 0..3 };
        let expected: BTreeSet<RunnerName> = kept.map(runner).collect();
        assert_eq!(gossip.marks().leaving(), expected, "at daemon {index}");
    }

    network.run(u64::try_from(UNLISTED_RETENTION.as_millis()).unwrap());
    list_machines(&mut network, 1..9);
    let rest: BTreeSet<RunnerName> = (1..3).map(runner).collect();
    for (index, _, gossip) in network.running() {
        assert_eq!(gossip.marks().leaving(), rest, "at daemon {index}");
    }
}

/// Passes a machine list with these runners to every daemon.
fn list_machines(network: &mut Network, numbers: Range<usize>) {
    for index in 0..network.daemons.len() {
        let listed = numbers.clone().map(runner).collect();
        network.handle_event(index, GossipEvent::Machines(listed));
    }
}

#[test]
fn heads_and_marks_cross_zones_within_seconds_and_a_higher_term_wins() {
    let zones = 22;
    let mut network = Network::new(&[3; 22], LOSSY_NETWORK, 23);
    network.run(5_000);
    for zone in 0..zones {
        network.handle_event(zone * 3, GossipEvent::Lead(Term(1)));
    }
    let heads = |network: &Network, position: usize, count: usize| {
        let coordinates = |index: &usize| index % 3 == position;
        let coordinators: Vec<_> = (0..zones * 3)
            .filter(coordinates)
            .map(|index| network.daemons[index].peer.clone())
            .collect();
        network.running().all(|(_, _, gossip)| {
            let known = gossip.heads().iter().map(|head| &head.coordinator);
            known.filter(|peer| coordinators.contains(peer)).count() >= count
        })
    };
    let took = network.run_until(60_000, |network| heads(network, 0, zones));
    println!("heads of 22 zones known to all after {took:?} ms from a cold start");
    assert!(took.is_some());
    network.run(10_000);
    network.handle_event(1, GossipEvent::Lead(Term(2)));
    let took = network.run_until(10_000, |network| heads(network, 1, 1));
    println!("a new head known in 22 zones after {took:?} ms");
    assert!(took.is_some());
    network.handle_event(0, GossipEvent::Resign);
    network.handle_event(4, mark(7, true));
    let took = network.run_until(5_000, |network| is_mark_everywhere(network, 7, true));
    println!("a mark known in 22 zones after {took:?} ms");
    assert!(took.is_some());
}
