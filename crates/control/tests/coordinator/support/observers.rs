//! Observers of runners, whose reports arrive delayed, duplicated and out of order.

use flaxward_control::coordinator::CoordinatorEvent;
use flaxward_types::{DaemonName, RunnerName};

use super::simulation::Simulation;

/// Minimum delay of a report.
const MIN_DELAY: u64 = 5;
/// One read in this many is also reported with a long delay.
const LATE_READ_INTERVAL: u64 = 3;
/// Maximum delay of a report; longer than a lease, a restart and a seal.
const MAX_DELAY: u64 = 9_000;
/// Increment between the delays of two reports.
const DELAY_STEP: u64 = 7_919;

impl Simulation {
    /// Reports the inventory of every runner to all daemons of its zone, and some again much later,
    /// both in full and as "unchanged", regardless of what the daemon knows. The delays are spread
    /// deterministically, without a random draw.
    pub(super) fn send_observations(&mut self) {
        if !self.has_observers {
            return;
        }
        let sends_late = (self.now / 1_000).is_multiple_of(LATE_READ_INTERVAL);
        let daemons: Vec<(DaemonName, u64)> = self
            .daemons
            .iter()
            .map(|(name, daemon)| (name.clone(), daemon.incarnation))
            .collect();
        let reports: Vec<_> = self
            .engines
            .iter()
            .filter(|(runner, engine)| engine.is_running && !self.is_unreachable(runner))
            .map(|(runner, engine)| (runner.clone(), engine.inventory()))
            .collect();
        for (name, incarnation) in daemons {
            for (runner, inventory) in &reports {
                let zone = self.machines.get(runner).map(|machine| &machine.zone);
                if zone != Some(&self.daemons[&name].zone) {
                    continue;
                }
                let read = CoordinatorEvent::InventoryRead {
                    runner: runner.clone(),
                    inventory: Ok(inventory.clone()),
                };
                let unchanged =
                    CoordinatorEvent::InventoryUnchanged(runner.clone(), inventory.version());
                self.deliver_at(
                    self.now + MIN_DELAY,
                    name.clone(),
                    incarnation,
                    read.clone(),
                );
                self.deliver_at(
                    self.now + MIN_DELAY,
                    name.clone(),
                    incarnation,
                    unchanged.clone(),
                );
                if sends_late {
                    self.deliver_late(&name, incarnation, unchanged);
                    self.deliver_late(&name, incarnation, read);
                }
            }
        }
    }

    fn is_unreachable(&self, runner: &RunnerName) -> bool {
        let until = self.unreachable_runners.get(runner);
        until.is_some_and(|until| *until > self.now)
    }

    fn deliver_late(&mut self, name: &DaemonName, incarnation: u64, event: CoordinatorEvent) {
        let delay = 1 + (self.scheduled_count * DELAY_STEP) % MAX_DELAY;
        self.deliver_at(self.now + delay, name.clone(), incarnation, event);
    }
}
