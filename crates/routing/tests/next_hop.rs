//! Relaying of messages between daemons that cannot reach each other directly.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::messages::Message;
use flaxward_routing::next_hop::{COORDINATOR_SILENCE, NextHops, Received};
use flaxward_types::time::Timestamp;
use proptest::prelude::*;

const STEP: Duration = Duration::from_millis(100);

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn message(term: u64) -> Message {
    Message::LeaseEnded { term }
}

/// Network of daemons with broken links. Messages arrive immediately.
struct Network {
    hops: HashMap<SocketAddr, NextHops>,
    /// Broken links, each in one direction.
    cuts: HashSet<(SocketAddr, SocketAddr)>,
    now: Timestamp,
    /// Delivered messages, with sender, receiver, and the time for which they were held.
    arrived: Vec<(SocketAddr, SocketAddr, Message, Duration)>,
    /// Number of forwarded datagrams.
    forwarded: usize,
    /// Time for which a relay holds a message.
    held: Duration,
}

impl Network {
    fn new(daemons: u8) -> Self {
        let relays: Vec<SocketAddr> = (0..daemons).map(address).collect();
        let hops = relays.iter().map(|&own| {
            let mut hops = NextHops::new(own);
            hops.set_relays(&relays);
            (own, hops)
        });
        Self {
            hops: hops.collect(),
            cuts: HashSet::new(),
            now: Timestamp::ZERO + Duration::from_secs(10),
            arrived: Vec::new(),
            forwarded: 0,
            held: Duration::ZERO,
        }
    }

    fn cut(&mut self, left: SocketAddr, right: SocketAddr) {
        self.cuts.insert((left, right));
        self.cuts.insert((right, left));
    }

    fn seek(&mut self, from: SocketAddr, to: SocketAddr) {
        let now = self.now;
        self.hops.get_mut(&from).unwrap().try_relay(to, now);
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, message: &Message) {
        let datagrams = self.hops[&from].datagrams(to, message, self.now);
        for (next, datagram) in datagrams {
            self.carry(from, next, &datagram);
        }
    }

    fn carry(&mut self, from: SocketAddr, to: SocketAddr, datagram: &[u8]) {
        if self.cuts.contains(&(from, to)) {
            return;
        }
        let now = self.now;
        let hops = self.hops.get_mut(&to).unwrap();
        match hops.received(from, datagram, now).unwrap() {
            Received::Arrival(arrival) => {
                self.arrived
                    .push((arrival.from, to, arrival.message, arrival.held));
            }
            Received::PassOn(forwarded) => {
                self.forwarded += 1;
                let (next, datagram) = forwarded.pass_on(self.held);
                self.carry(to, next, &datagram);
            }
        }
    }

    /// The member sends a report, and the coordinator answers each one. Returns whether an answer
    /// has arrived.
    fn exchange(&mut self, member: SocketAddr, coordinator: SocketAddr) -> bool {
        self.arrived.clear();
        self.send(member, coordinator, &message(1));
        let is_heard = self.arrived.iter().any(|(_, to, ..)| *to == coordinator);
        if is_heard {
            self.send(coordinator, member, &message(2));
        }
        self.now = self.now + STEP;
        self.arrived.iter().any(|(_, to, ..)| *to == member)
    }
}

#[test]
fn a_message_goes_directly_while_nothing_is_cut() {
    let (member, coordinator) = (address(0), address(1));
    let mut network = Network::new(3);
    assert!(network.exchange(member, coordinator));
    assert_eq!(network.forwarded, 0);
    assert_eq!(network.arrived.len(), 2);
}

#[test]
fn a_silent_coordinator_is_reached_through_a_third_daemon_and_answers_that_way() {
    let (member, coordinator, third) = (address(0), address(1), address(2));
    let mut network = Network::new(3);
    network.cut(member, coordinator);
    assert!(!network.exchange(member, coordinator));
    network.seek(member, coordinator);
    assert!(network.exchange(member, coordinator));
    let now = network.now;
    assert_eq!(
        network.hops[&member].confirmed_relay(coordinator, now),
        Some(third)
    );
    // The route stays in use without another search.
    for _ in 0..40 {
        assert!(network.exchange(member, coordinator));
    }
}

#[test]
fn relays_without_a_route_are_skipped_one_after_another() {
    let (member, coordinator) = (address(0), address(1));
    let mut network = Network::new(6);
    network.cut(member, coordinator);
    for useless in 2..5 {
        network.cut(address(useless), coordinator);
    }
    let tries = (1..10).find(|_| {
        network.seek(member, coordinator);
        network.exchange(member, coordinator)
    });
    assert!(tries.is_some_and(|tries| tries <= 4), "{tries:?}");
}

#[test]
fn a_link_broken_in_one_direction_is_bypassed() {
    let (member, coordinator) = (address(0), address(1));
    let mut network = Network::new(3);
    network.cuts.insert((coordinator, member));
    assert!(!network.exchange(member, coordinator));
    network.seek(member, coordinator);
    for _ in 0..40 {
        assert!(network.exchange(member, coordinator));
    }
}

#[test]
fn the_direct_route_is_used_again_once_restored() {
    let (member, coordinator) = (address(0), address(1));
    let mut network = Network::new(3);
    network.cut(member, coordinator);
    network.seek(member, coordinator);
    assert!(network.exchange(member, coordinator));
    network.cuts.clear();
    for _ in 0..40 {
        assert!(network.exchange(member, coordinator));
    }
    network.forwarded = 0;
    assert!(network.exchange(member, coordinator));
    assert_eq!(network.forwarded, 0, "no message is forwarded any more");
    assert_eq!(network.arrived.len(), 2);
}

#[test]
fn the_holding_time_of_a_message_is_reported() {
    let (member, coordinator) = (address(0), address(1));
    let mut network = Network::new(3);
    network.held = Duration::from_millis(1_700);
    network.cut(member, coordinator);
    network.seek(member, coordinator);
    assert!(network.exchange(member, coordinator));
    let held = network.arrived.iter().map(|(.., held)| *held);
    assert!(held.min() >= Some(Duration::from_millis(1_700)));
}

#[test]
fn a_message_is_forwarded_at_most_once() {
    // The route goes through a relay that cannot reach the receiver.
    let (member, coordinator, third) = (address(0), address(1), address(2));
    let mut network = Network::new(4);
    network.cut(member, coordinator);
    network.cut(third, coordinator);
    for _ in 0..6 {
        network.seek(member, coordinator);
        network.exchange(member, coordinator);
    }
    assert!(network.forwarded <= 12, "{}", network.forwarded);
}

proptest! {
    /// For any sequence of link changes, a message arrives only at its receiver and with its
    /// sender's address, and a member that searches for a route gets answers while some relay
    /// reaches both sides.
    #[test]
    fn answers_arrive_while_any_relay_reaches_both_sides(
        changes in prop::collection::vec((0_u8..6, 0_u8..6, any::<bool>()), 1..60),
    ) {
        let (member, coordinator) = (address(0), address(1));
        let mut network = Network::new(6);
        let mut silent_for = Duration::ZERO;
        for (left, right, is_cut) in changes {
            if is_cut {
                network.cut(address(left), address(right));
            } else {
                network.cuts.remove(&(address(left), address(right)));
                network.cuts.remove(&(address(right), address(left)));
            }
            let reaches = |from: SocketAddr, to: SocketAddr| !network.cuts.contains(&(from, to));
            let is_route = |third: u8| {
                reaches(member, address(third)) && reaches(address(third), coordinator)
            };
            let has_route = reaches(member, coordinator) || (2..6).any(is_route);
            // Long enough to detect that the last route has failed, and to try each relay.
            let mut answered = false;
            for _ in 0..45 {
                if silent_for >= COORDINATOR_SILENCE {
                    network.seek(member, coordinator);
                }
                if network.exchange(member, coordinator) {
                    silent_for = Duration::ZERO;
                    answered = true;
                } else {
                    silent_for += STEP;
                }
                for (from, to, sent, _) in &network.arrived {
                    let expected = if *to == coordinator {
                        (member, message(1))
                    } else {
                        prop_assert_eq!(*to, member);
                        (coordinator, message(2))
                    };
                    prop_assert_eq!((*from, sent.clone()), expected);
                }
            }
            prop_assert_eq!(answered, has_route);
        }
    }
}
