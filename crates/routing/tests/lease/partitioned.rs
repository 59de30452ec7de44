//! The lease while daemons are partitioned from all runners.

use std::time::Duration;

use flaxward_routing::lease::{LeaseCall, LeaseChange, LeaseStateMachine, LossReason};
use flaxward_types::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::holders_after_recovery;
use crate::world::{FAULT_STEPS, STEP, Store, World, address, outcome, settings};

const START: Timestamp = Timestamp(1_000);

/// A daemon and the store that it reads.
struct Daemon {
    store: Store,
    machine: LeaseStateMachine,
    now: Timestamp,
}

impl Daemon {
    fn new() -> Self {
        Self {
            store: Store::default(),
            machine: LeaseStateMachine::new(settings(), "d".to_owned(), 1, address(0)),
            now: START,
        }
    }

    fn holder() -> Self {
        let mut daemon = Self::new();
        daemon.run(Duration::from_secs(1));
        assert!(daemon.machine.term(daemon.now).is_some());
        daemon
    }

    /// Returns the changes in a time in which the store answers at once.
    fn run(&mut self, time: Duration) -> Vec<LeaseChange> {
        let end = self.now + time;
        let mut changes = Vec::new();
        while self.now < end {
            self.now = self.now + STEP;
            let (call, change) = self.machine.poll(self.now);
            changes.extend(change);
            let answer = call.map(|call: LeaseCall| self.store.apply(&call));
            let handled = answer.and_then(|it| self.machine.handle_answer(it, self.now));
            changes.extend(handled);
        }
        changes
    }
}

/// Guards against a coordinator keeping the lease while its orders reach no runner.
#[test]
fn a_partitioned_holder_releases_the_lease() {
    let mut daemon = Daemon::holder();
    daemon.machine.set_partitioned(true, daemon.now);
    let changes = daemon.run(settings().duration / 2);
    let reason = LossReason::Released;
    assert_eq!(changes, [LeaseChange::Lost { term: 1, reason }]);
    assert!(
        daemon
            .store
            .lease
            .is_some_and(|lease| lease.record.released)
    );
}

/// Guards against a pause of a whole lease without orders for a partition that ends sooner.
#[test]
fn a_short_partition_does_not_end_a_term() {
    let mut daemon = Daemon::holder();
    daemon.machine.set_partitioned(true, daemon.now);
    assert_eq!(daemon.run(settings().duration / 4), []);
    daemon.machine.set_partitioned(false, daemon.now);
    assert_eq!(daemon.run(settings().duration), []);
    assert_eq!(daemon.machine.term(daemon.now), Some(1));
}

/// Guards against a partitioned daemon taking the lease that another one has released for the same reason.
#[test]
fn a_partitioned_daemon_leaves_a_free_lease_to_others() {
    let mut daemon = Daemon::new();
    daemon.machine.set_partitioned(true, daemon.now);
    assert_eq!(daemon.run(settings().duration), []);
    daemon.machine.set_partitioned(false, daemon.now);
    assert!(!daemon.run(Duration::from_secs(1)).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(0x1ea5_e003),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn there_is_one_holder_at_a_time_while_daemons_are_partitioned(
        count in 1_usize..6,
        outcomes in prop::collection::vec(outcome(), 1_200),
        partitions in prop::collection::vec((0_usize..FAULT_STEPS, 0_usize..6, 1_usize..200), 0..8),
    ) {
        let mut world = World::new(count);
        let mut outcomes = outcomes.into_iter();
        for step in 0..FAULT_STEPS {
            for daemon in 0..count {
                let is_partitioned = partitions.iter().any(|&(at, it, steps)| {
                    it == daemon && (at..at + steps).contains(&step)
                });
                let now = world.time(step);
                world.daemons[daemon].set_partitioned(is_partitioned, now);
            }
            world.step(step, &mut outcomes);
        }
        for daemon in 0..count {
            let now = world.time(FAULT_STEPS);
            world.daemons[daemon].set_partitioned(false, now);
        }
        prop_assert_eq!(holders_after_recovery(&mut world), 1);
    }
}
