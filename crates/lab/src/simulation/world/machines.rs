//! Machines that come and go, and faults.

use flaxward_types::engine::Machine;
use flaxward_types::{BootId, RunnerName, ZoneName};

use super::{Event, World};
use crate::calls::Fault;
use crate::controller::Input;
use crate::fleet_plan;
use crate::simulation::batch::CallIndex;
use crate::simulation::runner::Runner;
use crate::simulation::weight_store::TransferId;

impl World<'_> {
    pub(super) fn add_machine(&mut self, zone: &ZoneName) {
        let made = self.machines_made.entry(zone.clone()).or_default();
        let machine = fleet_plan::machine(zone, *made);
        *made += 1;
        let name = machine.name.clone();
        let boot = BootId(self.runners.len() as u64 + 1);
        let runner = Runner::new(machine, boot, self.run.scenario, self.now);
        self.runners.insert(name, runner);
    }

    /// Puts some checkpoints on the disk of one runner each, in turn.
    pub(super) fn fill_disks(&mut self) {
        let share = self.run.scenario.runner.on_disk_at_start;
        let names: Vec<RunnerName> = self.runners.keys().cloned().collect();
        let mut due = 0.0;
        let mut filled = 0;
        for (artifact, weights) in &self.weights {
            due += share;
            if due < 1.0 {
                continue;
            }
            due -= 1.0;
            if let Some(runner) = self.runners.get_mut(&names[filled % names.len()]) {
                runner.on_disk.touch(artifact, *weights);
            }
            filled += 1;
        }
    }

    pub(super) fn tell_machines(&mut self) {
        let machines: Vec<Machine> = self
            .runners
            .values()
            .map(|runner| runner.machine.clone())
            .collect();
        self.tell(Input::Machines(machines));
    }

    pub(super) fn failed(&mut self, fault: Fault) {
        let faults = &self.run.scenario.faults;
        match fault {
            Fault::SlowStore => {
                let factor = faults.slow_store_factor;
                let length = faults.slow_store_length;
                self.store.set_slow_factor(factor, self.now);
                self.schedule_store();
                self.schedule(self.now + length, Event::StoreRecovers);
            }
            Fault::Reclaim(number) => {
                let notice = faults.reclaim_notice;
                let staying: Vec<RunnerName> = self
                    .runners
                    .iter()
                    .filter(|(_, runner)| !runner.machine.leaving)
                    .map(|(name, _)| name.clone())
                    .collect();
                if staying.is_empty() {
                    return;
                }
                let name = staying[number as usize % staying.len()].clone();
                if let Some(runner) = self.runners.get_mut(&name) {
                    runner.machine.leaving = true;
                }
                self.schedule(self.now + notice, Event::Gone(name));
                self.tell_machines();
            }
        }
    }

    pub(super) fn gone(&mut self, name: &RunnerName) {
        let Some(runner) = self.runners.remove(name) else {
            return;
        };
        self.note_memory(&runner);
        for holding in runner.holdings.values() {
            if let Some(since) = holding.idle_since {
                self.measures.idle(holding.bytes, since, self.now);
            }
        }
        let lost: Vec<TransferId> = self
            .transfers
            .iter()
            .filter(|(_, transfer)| transfer.runner == *name)
            .map(|(id, _)| *id)
            .collect();
        for transfer in lost {
            self.transfers.remove(&transfer);
            self.store.cancel(transfer, self.now);
        }
        self.tell_machines();
        let broken: Vec<CallIndex> = self
            .in_flight
            .iter()
            .filter(|(_, flight)| flight.runner == *name)
            .map(|(call, _)| *call)
            .collect();
        for call in broken {
            self.measures.broken += 1;
            self.bounced(name, call);
        }
        let zone = runner.machine.zone.clone();
        let replacement = self.run.scenario.faults.replacement;
        self.schedule(self.now + replacement, Event::Joined(zone));
    }
}
