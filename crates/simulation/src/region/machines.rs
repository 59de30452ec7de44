//! Machines that die, come back and are taken away.

use std::time::Duration;

use flaxward_types::engine::MachineRole;
use flaxward_types::{BootId, RunnerName};
use rand::RngExt;

use super::{Event, Region};
use crate::gateway::News;
use crate::network::between;

impl Region {
    /// An engine or a service dies; what it was doing breaks off.
    pub(super) fn back_end_down(&mut self, name: &RunnerName) {
        if let Some(engine) = self.engines.get_mut(name) {
            let boot = BootId(self.random.random());
            let broken = engine.restart(boot);
            engine.alive = false;
            for (attempt, generation) in broken {
                self.bring(name, generation.process, attempt, News::Broken);
            }
        }
        if let Some(service) = self.services.get_mut(name) {
            service.alive = false;
            service.start += 1;
            for (attempt, (process, ..)) in std::mem::take(&mut service.running) {
                self.bring(name, process, attempt, News::Broken);
            }
        }
    }

    pub(super) fn back_end_up(&mut self, name: &RunnerName) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.alive = !engine.gone;
        }
        if let Some(service) = self.services.get_mut(name) {
            service.alive = !service.gone;
        }
    }

    /// A machine is taken away for good, and another one takes its place.
    pub(super) fn take_machine(&mut self, name: &RunnerName) {
        self.back_end_down(name);
        let machine = if let Some(engine) = self.engines.get_mut(name) {
            engine.gone = true;
            engine.machine.clone()
        } else if let Some(service) = self.services.get_mut(name) {
            service.gone = true;
            service.machine.clone()
        } else {
            return;
        };
        let lag = between(
            Duration::ZERO,
            self.settings.machine_list_lag,
            &mut self.random,
        );
        self.after(lag, Event::Listed(name.clone(), None));
        let lag = between(
            Duration::ZERO,
            self.settings.machine_list_lag,
            &mut self.random,
        );
        let role: MachineRole = machine.role;
        self.add_machine(&machine.zone, role, lag);
    }
}
