//! How often a coordinator of an experiment ticks.
//!
//! A daemon ticks every 50 ms. Weeks of virtual time at that pace take hours, and nearly all of these
//! ticks find nothing to do. So a zone ticks as fast as a daemon only while something is under way
//! there, slower while requests only run, and slowest while nobody wants anything.

use std::time::Duration;

use flaxward_control::coordinator::{CoordinatorAction, CoordinatorEvent};
use flaxward_types::Timestamp;

/// Time between ticks while something is under way, as in a daemon.
const BUSY_TICK: Duration = Duration::from_millis(50);
/// Time between ticks while requests run and none waits. A further replica for a crowd comes later by
/// at most as much.
const RUNNING_TICK: Duration = Duration::from_secs(1);
/// Time between ticks while nobody wants anything. Unloads and loads ahead of need come later by at
/// most as much.
const IDLE_TICK: Duration = Duration::from_secs(10);
/// Time after something was under way for which a zone is busy; longer than an inventory takes to be
/// read again.
const BUSY_FOR: Duration = Duration::from_millis(500);
/// Time after a demand of requests that wait for which a zone is busy; longer than gateways take to
/// renew it.
const WAITING_FOR: Duration = Duration::from_secs(3);
/// Time after a demand for which requests count as running: until the coordinator forgets it.
const RUNNING_FOR: Duration = Duration::from_secs(6);

/// When the coordinator of one zone ticks.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    ticked: Timestamp,
    busy_until: Timestamp,
    running_until: Timestamp,
}

impl Pace {
    /// Takes in what the coordinator is told.
    pub(super) fn told(&mut self, event: &CoordinatorEvent, now: Timestamp) {
        match event {
            CoordinatorEvent::Tick => self.ticked = now,
            CoordinatorEvent::Demanded(_, demand) if demand.waiting == 0 => {
                self.running_until = now + RUNNING_FOR;
            }
            CoordinatorEvent::Demanded(..) => self.busy_for(WAITING_FOR, now),
            _ => self.busy_for(BUSY_FOR, now),
        }
    }

    /// Takes in what the coordinator asks for: whatever is not an answer or the renewal of the lease
    /// begins something.
    pub(super) fn asked(&mut self, actions: &[CoordinatorAction], now: Timestamp) {
        let begins = |action: &CoordinatorAction| {
            !matches!(
                action,
                CoordinatorAction::Answer(..)
                    | CoordinatorAction::ReadLease
                    | CoordinatorAction::WriteLease(..)
            )
        };
        if actions.iter().any(begins) {
            self.busy_for(BUSY_FOR, now);
        }
    }

    /// Ticks fast for some time at least.
    pub(super) fn busy_for(&mut self, time: Duration, now: Timestamp) {
        self.busy_until = self.busy_until.max(now + time);
    }

    /// When the next tick is due.
    pub(super) fn next_tick(self) -> Timestamp {
        let fast = self.ticked + BUSY_TICK;
        if fast <= self.busy_until {
            return fast;
        }
        let slow = self.ticked + RUNNING_TICK;
        if slow <= self.running_until {
            return slow;
        }
        self.ticked + IDLE_TICK
    }

    /// Whether a tick is due.
    pub(super) fn is_due(self, now: Timestamp) -> bool {
        self.next_tick() <= now
    }
}
