//! How long a daemon relies on what others say of the store, and what hundreds of them ask of it.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::messages::StoreState;
use flaxward_routing::store_trust::{StoreTrust, WatchRole};
use flaxward_types::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const BOUND: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(50);
const HEARTBEAT: Duration = Duration::from_millis(500);
const START: Timestamp = Timestamp(100_000);

fn watcher(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + index))
}

fn state(silence: Duration) -> StoreState {
    StoreState {
        silence_ms: u32::try_from(silence.as_millis()).unwrap(),
        ..StoreState::default()
    }
}

#[test]
fn a_word_stands_long_enough_and_no_longer_than_the_bound_allows() {
    for bound in [2, 4, 10].map(Duration::from_secs) {
        for seed in [0, 500, 999] {
            let mut trust = StoreTrust::new(bound, seed);
            assert_eq!(trust.stands_until(WatchRole::Member, START), None);
            trust.heard(watcher(0), &state(Duration::ZERO), START);
            let until = trust.stands_until(WatchRole::Member, START).unwrap();
            assert!(until.since(START) >= HEARTBEAT * 2, "{until}");
            let left = bound - until.since(START);
            assert!(left >= bound / 4, "no time for a call: {left:?}");
            assert_eq!(trust.stands_until(WatchRole::Member, until), None);
        }
    }
}

#[test]
fn an_old_answer_of_the_store_stands_for_less() {
    let until = |silence: Duration| {
        let mut trust = StoreTrust::new(BOUND, 0);
        trust.heard(watcher(0), &state(silence), START);
        trust.stands_until(WatchRole::Member, START).unwrap()
    };
    let silence = Duration::from_millis(600);
    assert_eq!(until(Duration::ZERO).since(until(silence)), silence);
}

#[test]
fn standbys_ask_one_after_the_other_and_before_the_members() {
    let until = |role: WatchRole| {
        let mut trust = StoreTrust::new(BOUND, 999);
        trust.heard(watcher(0), &state(Duration::ZERO), START);
        trust.stands_until(role, START).unwrap()
    };
    let first = until(WatchRole::Standby(0));
    let second = until(WatchRole::Standby(1));
    let member = until(WatchRole::Member);
    assert!(first < second && second < member);
    assert!(
        member.since(first) >= Duration::from_millis(500),
        "no time to tell"
    );
}

/// In an outage the standbys must look at once, so that the members hear from several that the store is away
/// before they ask too.
#[test]
fn a_standby_asks_when_the_store_does_not_answer_the_coordinator() {
    let mut trust = StoreTrust::new(BOUND, 0);
    let silence = Duration::from_millis(800);
    trust.heard(watcher(0), &state(silence), START);
    assert_eq!(trust.stands_until(WatchRole::Standby(3), START), None);
    assert!(trust.stands_until(WatchRole::Member, START).is_some());
}

/// Time at which an outage begins that lasts to the end; what `watchers` say of it; and how often a member asks.
fn asks_in_outage(watchers: u16, length: Duration, seed: u64) -> usize {
    let mut trust = StoreTrust::new(BOUND, seed);
    let mut now = START;
    let mut asks = 0;
    let mut told_at = START;
    for index in 0..watchers {
        trust.heard(watcher(index), &state(Duration::ZERO), now);
    }
    while now.since(START) < length {
        now = now + STEP;
        if now.since(told_at) >= HEARTBEAT {
            told_at = now;
            for index in 0..watchers {
                trust.heard(watcher(index), &state(now.since(START)), now);
            }
        }
        if trust.stands_until(WatchRole::Member, now).is_none() {
            asks += 1;
        }
    }
    asks
}

/// Seen on a day of 295 machines: 3,400 calls in the 3 s in which the store was down.
#[test]
fn members_do_not_ask_a_store_that_answers_none_of_several_watchers() {
    for seed in [0, 250, 999] {
        assert_eq!(asks_in_outage(4, Duration::from_secs(3), seed), 0);
        let asks = asks_in_outage(4, Duration::from_secs(60), seed);
        assert!((5..=25).contains(&asks), "{asks} looks in a minute");
    }
}

/// The coordinator and one standby may be cut off while the store is well.
#[test]
fn two_watchers_without_an_answer_are_not_believed() {
    assert!(asks_in_outage(2, BOUND, 0) > 0);
}

/// What reaches a daemon.
#[derive(Clone, Debug)]
enum Event {
    /// A watcher is heard, to which the store answered this many ms ago.
    Heard(u16, u64),
    Silence(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0_u16..6, 0_u64..3_000).prop_map(|(from, silence)| Event::Heard(from, silence)),
        (0_u64..2_000).prop_map(Event::Silence),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(0x10ad_0005),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Unless several watchers say that the store is away, nothing stands beyond the bound since its last answer.
    #[test]
    fn nothing_stands_beyond_the_bound(
        events in prop::collection::vec(event(), 1..60),
        seed: u64,
    ) {
        let mut trust = StoreTrust::new(BOUND, seed);
        let mut now = START;
        let mut answered = None;
        let mut words: Vec<(u16, Timestamp, Timestamp)> = Vec::new();
        for event in events {
            match event {
                Event::Heard(from, silence) => {
                    let silence = Duration::from_millis(silence);
                    trust.heard(watcher(from), &state(silence), now);
                    answered = answered.max(Some(now - silence));
                    words.retain(|(name, _, _)| *name != from);
                    words.push((from, now, now - silence));
                }
                Event::Silence(time) => now = now + Duration::from_millis(time),
            }
            let witnesses = words.iter().filter(|(_, heard_at, answered_at)| {
                now.since(*heard_at) < Duration::from_millis(1_300)
                    && now.since(*answered_at) >= Duration::from_millis(700)
            });
            let is_outage = witnesses.count() >= 3;
            let until = trust.stands_until(WatchRole::Member, now);
            if let (Some(until), Some(answered), false) = (until, answered, is_outage) {
                prop_assert!(until.since(answered) <= BOUND * 3 / 4);
            }
        }
    }
}
