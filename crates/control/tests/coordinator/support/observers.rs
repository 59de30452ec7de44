//! Observers of runners: their reports come late, doubled and out of order.

use flaxward_control::coordinator::CoordinatorEvent;
use flaxward_types::{DaemonName, RunnerName};

use super::world::World;

/// Time that a report is under way at least.
const EARLIEST: u64 = 5;
/// One read in so many is also told late.
const LATE_SHARE: u64 = 3;
/// Longest time that a report is under way; beyond a lease, a restart and a seal.
const LATEST: u64 = 9_000;
/// Steps between the delays of two reports.
const DELAY_STEP: u64 = 7_919;

impl World {
    /// Every runner is observed. Each inventory goes to all daemons of the zone at once, and some
    /// again much later, whole and as "unchanged", whatever the daemon knows. The delays are spread
    /// without a random draw.
    pub(super) fn send_observations(&mut self) {
        if !self.has_observers {
            return;
        }
        let is_told_late = (self.now / 1_000).is_multiple_of(LATE_SHARE);
        let daemons: Vec<(DaemonName, u64)> = self
            .daemons
            .iter()
            .map(|(name, daemon)| (name.clone(), daemon.start))
            .collect();
        let reports: Vec<_> = self
            .engines
            .iter()
            .filter(|(runner, engine)| engine.alive && !self.is_cut_off(runner))
            .map(|(runner, engine)| (runner.clone(), engine.inventory()))
            .collect();
        for (name, start) in daemons {
            for (runner, inventory) in &reports {
                let zone = self.machines.get(runner).map(|machine| &machine.zone);
                if zone != Some(&self.daemons[&name].zone) {
                    continue;
                }
                let read = CoordinatorEvent::InventoryRead {
                    runner: runner.clone(),
                    inventory: Ok(inventory.clone()),
                };
                let holds =
                    CoordinatorEvent::InventoryUnchanged(runner.clone(), inventory.version());
                self.tell_at(self.now + EARLIEST, name.clone(), start, read.clone());
                self.tell_at(self.now + EARLIEST, name.clone(), start, holds.clone());
                if is_told_late {
                    self.tell_late(&name, start, holds);
                    self.tell_late(&name, start, read);
                }
            }
        }
    }

    fn is_cut_off(&self, runner: &RunnerName) -> bool {
        let until = self.cut_runners.get(runner);
        until.is_some_and(|until| *until > self.now)
    }

    fn tell_late(&mut self, name: &DaemonName, start: u64, event: CoordinatorEvent) {
        let delay = 1 + (self.count * DELAY_STEP) % LATEST;
        self.tell_at(self.now + delay, name.clone(), start, event);
    }
}
