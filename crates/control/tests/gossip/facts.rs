//! Marks and heads reach everyone in time, and the newest holds.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use flaxward_control::gossip::GossipEvent;
use flaxward_control::heads::Heads;
use flaxward_control::marks::{FORGET_UNLISTED, Marks};
use flaxward_types::{RunnerName, Term, Timestamp, ZoneName};
use flaxward_wire::{RunnerMark, ZoneHead};
use proptest::prelude::*;
use rand::RngExt;

use crate::cases;
use crate::network::{BAD_NETWORK, Network};

fn runner(number: usize) -> RunnerName {
    RunnerName::literal(&format!("runner-{number:03}"))
}

fn mark(number: usize, leaving: bool) -> GossipEvent {
    GossipEvent::Runner {
        runner: runner(number),
        leaving,
    }
}

fn everyone_says(network: &Network, number: usize, leaving: bool) -> bool {
    let runner = runner(number);
    network
        .running()
        .all(|(_, _, gossip)| gossip.marks().is_leaving(&runner) == leaving)
}

proptest! {
    #![proptest_config(cases(8))]

    #[test]
    fn a_mark_reaches_each_of_29_within_three_seconds(seed: u64) {
        let mut network = Network::new(&[29], BAD_NETWORK, seed);
        network.run(5_000);
        let mut longest = 0;
        for number in 0..60 {
            let pause = network.random.random_range(0..3_000);
            network.run(pause);
            let index = network.random.random_range(0..29);
            network.tell(index, mark(number, true));
            let took = network.run_until(3_000, |network| everyone_says(network, number, true));
            prop_assert!(took.is_some());
            longest = longest.max(took.unwrap_or_default());
        }
        println!("60 marks reached all of 29: longest {longest} ms");
    }

    #[test]
    fn many_marks_at_once_reach_each_of_29_within_three_seconds(seed: u64) {
        let mut network = Network::new(&[29], BAD_NETWORK, seed);
        network.run(5_000);
        // Every runner of the zone leaves.
        for number in 0..318 {
            network.tell(number % 29, mark(number, true));
        }
        let took = network.run_until(3_000, |network| {
            (0..318).all(|number| everyone_says(network, number, true))
        });
        println!("318 marks at once reached all of 29 after {took:?} ms");
        prop_assert!(took.is_some());
    }

    #[test]
    fn merging_marks_in_any_order_ends_alike(
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
    fn the_head_with_the_highest_term_holds_in_any_order(
        terms in prop::collection::vec((0..2_usize, 0..9_u64), 1..12),
    ) {
        let network = Network::new(&[9], BAD_NETWORK, 0);
        let mut heads = Heads::default();
        let mut highest = BTreeMap::new();
        for (zone, term) in terms {
            let coordinator = network.daemons[usize::try_from(term).unwrap()].peer.clone();
            let zone = ZoneName::literal(&format!("zone-{zone}"));
            let held = highest.entry(zone.clone()).or_insert(term);
            *held = term.max(*held);
            heads.merge(&ZoneHead { zone, term: Term(term), coordinator });
            for (zone, term) in &highest {
                prop_assert_eq!(heads.get(zone).map(|head| head.term), Some(Term(*term)));
            }
        }
    }
}

#[test]
fn a_daemon_that_lags_does_not_revoke_a_mark_and_the_one_that_saw_it_end_does() {
    let mut network = Network::new(&[3], BAD_NETWORK, 21);
    network.run(5_000);
    network.tell(0, mark(1, true));
    network.run(3_000);
    network.tell(1, mark(1, false));
    network.run(3_000);
    assert!(everyone_says(&network, 1, true));
    network.tell(0, mark(1, false));
    network.run(3_000);
    assert!(everyone_says(&network, 1, false));
}

#[test]
fn a_mark_whose_owner_died_is_taken_back_by_one_that_sees_the_runner_stay() {
    let mut network = Network::new(&[3], BAD_NETWORK, 24);
    network.run(5_000);
    network.tell(0, mark(1, true));
    network.run(3_000);
    network.kill(0);
    for _ in 0..29 {
        network.tell(1, mark(1, false));
        network.run(2_000);
        assert!(everyone_says(&network, 1, true));
    }
    network.run(2_000);
    network.tell(1, mark(1, false));
    network.run(3_000);
    assert!(everyone_says(&network, 1, false));
}

/// Gateways may still hold lists of ready replicas that name a machine that is gone.
#[test]
fn marks_of_machines_that_are_gone_are_kept_for_a_while_and_a_new_member_gets_the_rest() {
    let mut network = Network::new(&[4], BAD_NETWORK, 22);
    network.run(5_000);
    for number in 0..3 {
        network.tell(0, mark(number, true));
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

    network.run(u64::try_from(FORGET_UNLISTED.as_millis()).unwrap());
    list_machines(&mut network, 1..9);
    let rest: BTreeSet<RunnerName> = (1..3).map(runner).collect();
    for (index, _, gossip) in network.running() {
        assert_eq!(gossip.marks().leaving(), rest, "at daemon {index}");
    }
}

/// Every daemon reads a machine list with these runners.
fn list_machines(network: &mut Network, numbers: Range<usize>) {
    for index in 0..network.daemons.len() {
        let listed = numbers.clone().map(runner).collect();
        network.tell(index, GossipEvent::Machines(listed));
    }
}

#[test]
fn heads_and_marks_cross_zones_within_seconds_and_a_higher_term_wins() {
    let zones = 22;
    let mut network = Network::new(&[3; 22], BAD_NETWORK, 23);
    network.run(5_000);
    for zone in 0..zones {
        network.tell(zone * 3, GossipEvent::Lead(Term(1)));
    }
    let heads = |network: &Network, place: usize, count: usize| {
        let coordinates = |index: &usize| index % 3 == place;
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
    network.tell(1, GossipEvent::Lead(Term(2)));
    let took = network.run_until(10_000, |network| heads(network, 1, 1));
    println!("a new head known in 22 zones after {took:?} ms");
    assert!(took.is_some());
    network.tell(0, GossipEvent::Resign);
    network.tell(4, mark(7, true));
    let took = network.run_until(5_000, |network| everyone_says(network, 7, true));
    println!("a mark known in 22 zones after {took:?} ms");
    assert!(took.is_some());
}
