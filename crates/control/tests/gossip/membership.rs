//! Who is in the zone: everyone agrees, the dead are found, the living are not buried.

use flaxward_control::gossip::GossipEvent;
use flaxward_control::membership::{
    Membership, MembershipAction, MembershipEvent, MembershipSettings,
};
use flaxward_types::Timestamp;
use flaxward_wire::{MemberState, Message};
use proptest::prelude::*;
use rand::RngExt;

use crate::cases;
use crate::network::{BAD_NETWORK, Faults, NO_FAULTS, Network};

/// Time to all after a start, a heal or a death, in milliseconds.
const SETTLE: u64 = 60_000;

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Start(usize),
    StartElsewhere(usize),
    Pause(usize, u64),
    Cut(usize),
    Heal,
    Wait(u64),
}

fn fault(size: usize) -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..size).prop_map(Fault::Kill),
        (0..size).prop_map(Fault::Start),
        (0..size).prop_map(Fault::StartElsewhere),
        (0..size, 500..20_000_u64).prop_map(|(index, millis)| Fault::Pause(index, millis)),
        (1..size).prop_map(Fault::Cut),
        Just(Fault::Heal),
        (100..20_000_u64).prop_map(Fault::Wait),
    ]
}

fn inject(network: &mut Network, fault: &Fault) {
    match *fault {
        Fault::Kill(index) => network.kill(index),
        Fault::Start(index) if network.daemons[index].gossip.is_none() => network.start(index),
        Fault::StartElsewhere(index) => network.start_elsewhere(index),
        Fault::Pause(index, millis) => network.pause(index, millis),
        Fault::Cut(first) => {
            for (index, daemon) in network.daemons.iter_mut().enumerate() {
                daemon.side = u8::from(index >= first);
            }
        }
        Fault::Heal => network
            .daemons
            .iter_mut()
            .for_each(|daemon| daemon.side = 0),
        Fault::Wait(millis) => network.run(millis),
        Fault::Start(_) => {}
    }
}

proptest! {
    #![proptest_config(cases(24))]

    #[test]
    fn after_any_faults_the_running_daemons_agree(
        size in prop_oneof![1..4_usize, Just(8), Just(29)],
        faults in prop::collection::vec(fault(29), 0..20),
        seed: u64,
    ) {
        let mut network = Network::new(&[size], BAD_NETWORK, seed);
        for fault in &faults {
            let within = match fault {
                Fault::Kill(index) | Fault::Start(index) | Fault::StartElsewhere(index)
                | Fault::Pause(index, _) => *index < size,
                _ => true,
            };
            if within {
                inject(&mut network, fault);
            }
        }
        network.daemons.iter_mut().for_each(|daemon| daemon.side = 0);
        // A seed must run, or nobody can be found: it is the settings' promise.
        for index in 0..size.min(2) {
            inject(&mut network, &Fault::Start(index));
        }
        network.run(20_000);
        let took = network.run_until(SETTLE, Network::agrees_on_members);
        prop_assert!(took.is_some());
        let mut ranks: Vec<usize> =
            network.running().map(|(_, _, gossip)| gossip.membership().rank()).collect();
        ranks.sort_unstable();
        let expected: Vec<usize> = (0..ranks.len()).collect();
        prop_assert_eq!(ranks, expected);
    }

    #[test]
    fn a_dead_daemon_is_found_by_all_in_time(
        size in prop_oneof![Just(2_usize), Just(3), Just(29)],
        victim in 0..2_usize,
        seed: u64,
    ) {
        let mut network = Network::new(&[size], BAD_NETWORK, seed);
        prop_assert!(network.run_until(SETTLE, Network::agrees_on_members).is_some());
        network.kill(victim);
        let took = network.run_until(20_000, Network::agrees_on_members);
        println!("death of one of {size} known to all after {took:?} ms");
        prop_assert!(took.is_some());
    }

    #[test]
    fn a_planned_stop_is_known_to_all_within_three_seconds(
        size in prop_oneof![Just(2_usize), Just(29)],
        seed: u64,
    ) {
        let mut network = Network::new(&[size], BAD_NETWORK, seed);
        prop_assert!(network.run_until(SETTLE, Network::agrees_on_members).is_some());
        // Until the news of the start is no longer news.
        network.run(20_000);
        let leaver = network.daemons[1].peer.clone();
        network.tell(1, GossipEvent::Leave);
        let took = network.run_until(3_000, |network| {
            network.running().all(|(_, _, gossip)| {
                let update = gossip.membership().member(&leaver.name);
                update.is_some_and(|update| update.state == MemberState::Left)
            })
        });
        prop_assert!(took.is_some());
        network.kill(1);
        network.run(30_000);
        prop_assert!(network.agrees_on_members());
    }
}

#[test]
fn a_zone_without_faults_settles_soon_and_stays_whole() {
    let mut network = Network::new(&[29], NO_FAULTS, 1);
    let took = network.run_until(5_000, Network::agrees_on_members);
    println!("29 daemons started together agree after {took:?} ms");
    assert!(took.is_some());
    for _ in 0..600 {
        network.run(500);
        assert!(network.agrees_on_members());
    }
}

#[test]
fn living_daemons_on_a_bad_network_are_not_buried_for_long() {
    let mut network = Network::new(&[29], BAD_NETWORK, 2);
    network.run(SETTLE);
    let mut disagreeing = 0;
    for _ in 0..1_200 {
        network.run(500);
        disagreeing += u32::from(!network.agrees_on_members());
    }
    println!("of 1200 looks in 600 s at 10 % loss, {disagreeing} found a living daemon missing");
    assert!(disagreeing <= 12);
}

#[test]
fn a_cut_longer_than_the_memory_of_the_dead_heals() {
    let mut network = Network::new(&[0], BAD_NETWORK, 3);
    network.settings.membership.forget_after = std::time::Duration::from_secs(30);
    network.grow(0, 8);
    network.run(SETTLE);
    inject(&mut network, &Fault::Cut(4));
    network.run(120_000);
    for (_, _, gossip) in network.running() {
        assert_eq!(gossip.membership().members().count(), 4);
    }
    inject(&mut network, &Fault::Heal);
    assert!(
        network
            .run_until(SETTLE, Network::agrees_on_members)
            .is_some()
    );
}

#[test]
fn the_dead_are_forgotten_however_often_others_join() {
    let mut network = Network::new(&[0], NO_FAULTS, 7);
    network.settings.membership.forget_after = std::time::Duration::from_secs(30);
    network.grow(0, 5);
    network.run(10_000);
    network.kill(4);
    for index in [1, 2, 3, 1, 2, 3] {
        network.run(12_000);
        network.kill(index);
        network.run(1_000);
        network.start(index);
    }
    let dead = network.daemons[4].peer.name.clone();
    for (_, _, gossip) in network.running() {
        assert_eq!(gossip.membership().member(&dead), None);
    }
}

#[test]
fn a_daemon_restarted_with_an_older_clock_takes_its_place_again() {
    let mut network = Network::new(&[5], BAD_NETWORK, 4);
    network.run(SETTLE);
    network.kill(3);
    network.run(30_000);
    network.start_with(3, 0);
    assert!(
        network
            .run_until(10_000, Network::agrees_on_members)
            .is_some()
    );
}

#[test]
fn a_daemon_that_was_paused_blames_nobody() {
    let mut network = Network::new(
        &[8],
        Faults {
            delay: 80,
            ..NO_FAULTS
        },
        5,
    );
    network.run(10_000);
    for pause in 0..150 {
        network.pause(2, 1_200 + pause * 61);
        network.run(1_200 + pause * 61);
        for _ in 0..40 {
            network.run(17);
            let paused = network.daemons[2].gossip.as_ref().expect("it runs");
            let mut members = paused.membership().members();
            assert!(members.all(|member| member.state == MemberState::Alive));
        }
        // Wait for any phase of the probes.
        let wait = network.random.random_range(5_000..6_000);
        network.run(wait);
    }
}

#[test]
fn a_daemon_at_the_address_of_a_dead_one_does_not_answer_for_it() {
    let mut network = Network::new(&[5], BAD_NETWORK, 6);
    network.run(10_000);
    network.kill(3);
    network.kill(4);
    network.daemons[4].peer.address = network.daemons[3].peer.address;
    network.daemons[3].peer.address = ([10, 9, 9, 9], 1).into();
    network.start(4);
    assert!(
        network
            .run_until(20_000, Network::agrees_on_members)
            .is_some()
    );
}

#[test]
fn a_zone_that_was_cut_in_two_is_whole_soon_after() {
    for (name, faults) in [("no", NO_FAULTS), ("10 %", BAD_NETWORK)] {
        let mut network = Network::new(&[29], faults, 8);
        network.run(10_000);
        inject(&mut network, &Fault::Cut(14));
        network.run(60_000);
        inject(&mut network, &Fault::Heal);
        let took = network.run_until(10_000, Network::agrees_on_members);
        println!("29 daemons cut in two agree {took:?} ms after the cut, {name} loss");
        assert!(took.is_some());
    }
}

#[test]
fn a_sender_that_is_not_known_is_asked_for_its_members_and_not_at_once_again() {
    let network = Network::new(&[2], NO_FAULTS, 9);
    let [me, stranger] = [0, 1].map(|index| network.daemons[index].peer.clone());
    let mut membership = Membership::new(MembershipSettings::default(), me, Vec::new(), 1, 1);
    let join = MembershipAction::Send {
        to: stranger.address,
        message: Message::Join,
    };
    for (millis, asked) in [(0, true), (500, false), (1_900, false), (2_100, true)] {
        let event = MembershipEvent::Received {
            from: stranger.clone(),
            members: Vec::new(),
            message: Message::Facts,
        };
        let actions = membership.handle(event, Timestamp(millis));
        assert_eq!(actions.contains(&join), asked);
    }
}
