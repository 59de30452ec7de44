//! What operators see of the zone.

use flaxward_types::Timestamp;

use super::leading::Leading;
use super::{ReplicaView, RunnerView};

impl Leading {
    pub(super) fn runner_views(&self, now: Timestamp) -> Vec<RunnerView> {
        let view = |(name, runner): (&_, &super::runner::Runner)| RunnerView {
            runner: Clone::clone(name),
            address: runner.address.clone(),
            sealed: runner.sealed_boot().is_some(),
            leaving: runner.leaving() || self.drained.contains(name),
            unreachable: runner.unreachable(now),
            inventory: runner.inventory.clone(),
            load: runner.report.clone(),
        };
        self.runners.iter().map(view).collect()
    }

    pub(super) fn replica_views(&self, now: Timestamp) -> Vec<ReplicaView> {
        let slots = self.placement.slots().iter();
        slots
            .map(|slot| {
                let runner = self.runners.get(&slot.runner);
                let held = runner.and_then(|runner| runner.held(&slot.artifact));
                ReplicaView {
                    slot: slot.clone(),
                    state: held.map(|held| held.state),
                    outstanding: runner
                        .map_or(0, |runner| runner.report.running + runner.report.waiting),
                    remaining: self.loads.get(slot).map(|load| load.remaining(now)),
                }
            })
            .collect()
    }
}
