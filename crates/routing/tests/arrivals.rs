//! Lower bounds on the arrival time of messages.

use std::collections::VecDeque;

use flaxward_routing::arrivals::ArrivalBound;
use flaxward_types::time::Timestamp;
use proptest::prelude::*;

/// The allowed error while a daemon is not frozen: the interval between two polls.
const MAX_POLL_GAP_MS: u64 = 599;

#[test]
fn after_a_freeze_all_queued_messages_count_as_old() {
    let mut arrivals = ArrivalBound::new(Timestamp(1_000));
    arrivals.on_poll(Timestamp(1_100), || true);
    // Frozen for five seconds; three messages have arrived in the meantime.
    for now in [6_100, 6_101, 6_102] {
        arrivals.on_poll(Timestamp(now), || false);
        assert_eq!(arrivals.earliest_arrival(), Timestamp(1_100));
    }
    arrivals.on_poll(Timestamp(6_103), || true);
    assert!(arrivals.earliest_arrival() >= Timestamp(6_102));
}

/// Guards against dating a queued message too late. Three messages arrive at once; a daemon that is running but busy
/// takes one at each poll, and is frozen before it takes the third. That message was dated from the last poll before
/// the freeze, 717 ms after its arrival: only messages that arrived during a freeze were told apart from those queued
/// before it.
#[test]
fn a_message_queued_before_a_freeze_counts_with_its_full_age() {
    const ARRIVED_AT: u64 = 2_708;
    let mut arrivals = ArrivalBound::new(Timestamp(0));
    arrivals.on_poll(Timestamp(2_707), || true);
    for now in [3_076, 3_425, 4_025] {
        arrivals.on_poll(Timestamp(now), || false);
        let bound = arrivals.earliest_arrival();
        assert!(
            bound <= Timestamp(ARRIVED_AT + MAX_POLL_GAP_MS),
            "bound {bound:?} at {now}"
        );
    }
}

#[test]
fn without_a_backlog_a_message_counts_at_most_20_ms_too_old() {
    const RECHECK_INTERVAL_MS: u64 = 20;
    let mut arrivals = ArrivalBound::new(Timestamp(0));
    let mut asked = 0;
    for now in 0..1_000 {
        arrivals.on_poll(Timestamp(now), || {
            asked += 1;
            true
        });
        assert!(
            arrivals.earliest_arrival() > Timestamp(now.saturating_sub(RECHECK_INTERVAL_MS))
                || now < RECHECK_INTERVAL_MS
        );
    }
    assert!(asked <= 50, "asked {asked} times in a second");
}

/// Intervals between polls of a daemon that is running, or frozen occasionally.
fn gaps() -> impl Strategy<Value = Vec<u64>> {
    prop::collection::vec(prop_oneof![8 => 1_u64..400, 1 => 600_u64..9_000], 1..60)
}

/// Arrival times of messages.
fn messages() -> impl Strategy<Value = Vec<u64>> {
    prop::collection::vec(0_u64..60_000, 0..60)
}

/// A message that the daemon has received.
struct Received {
    arrived_at: u64,
    /// The computed lower bound on its arrival time.
    bound: u64,
    now: u64,
    /// Time since the previous poll.
    gap: u64,
}

/// Messages arrive at any time, and the daemon takes one at each poll.
fn received(gaps: Vec<u64>, mut messages: Vec<u64>) -> Vec<Received> {
    messages.sort_unstable();
    let mut coming: VecDeque<u64> = messages.into();
    let mut now = 0;
    let mut arrivals = ArrivalBound::new(Timestamp(now));
    let mut received = Vec::new();
    for gap in gaps {
        now += gap;
        let first = coming.pop_front_if(|at| *at <= now);
        arrivals.on_poll(Timestamp(now), || first.is_none());
        received.extend(first.map(|arrived_at| Received {
            arrived_at,
            bound: arrivals.earliest_arrival().0,
            now,
            gap,
        }));
    }
    received
}

proptest! {
    /// The same without any tolerance: neither a freeze nor a backlog makes a message appear more recent.
    #[test]
    fn a_message_arrived_no_earlier_than_its_bound(gaps in gaps(), messages in messages()) {
        for Received { arrived_at, bound, .. } in received(gaps, messages) {
            prop_assert!(bound <= arrived_at, "arrived at {arrived_at}, bound {bound}");
        }
    }

    /// Messages arrive at any time; the daemon takes one at each poll and is frozen occasionally. No message appears
    /// more recent than it is, except by the interval between two polls of a running daemon.
    #[test]
    fn no_message_appears_more_recent_than_it_is(gaps in gaps(), messages in messages()) {
        for Received { arrived_at, bound, now, gap } in received(gaps, messages) {
            let backlog = now - arrived_at;
            prop_assert!(
                bound <= arrived_at + MAX_POLL_GAP_MS.max(if gap < 600 { backlog } else { 0 }),
                "arrived at {arrived_at}, bound {bound}, now {now}"
            );
        }
    }
}
