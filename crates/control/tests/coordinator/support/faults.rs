//! The effect of each fault on the simulation.

use flaxward_control::coordinator::CoordinatorEvent;
use flaxward_types::{BootId, DaemonName, RunnerName};
use rand::RngExt;

use super::models::{Rules, artifacts, configuration};
use super::schedule::{FAULT_PHASE_MILLIS, Fault};
use super::simulation::{Daemon, Simulation, SimulationEvent};

/// Time within which a configuration change takes full effect once all faults have ended.
const ROLLOUT_MILLIS: u64 = 15_000;

impl Simulation {
    pub(super) fn remove_machine(&mut self, runner: &RunnerName) {
        let zone = self
            .machines
            .get(runner)
            .map(|machine| machine.zone.clone());
        let alive = self
            .engines
            .get_mut(runner)
            .filter(|engine| engine.is_running);
        let (Some(engine), Some(zone)) = (alive, zone) else {
            return;
        };
        engine.is_running = false;
        self.add_runner(&zone);
        let lag = self.generator.random_range(100..4_000);
        self.schedule(
            self.now + lag,
            SimulationEvent::UnlistMachine(runner.clone()),
        );
    }

    pub(super) fn runner(&self, number: u8) -> RunnerName {
        let live: Vec<&RunnerName> = self.machines.keys().collect();
        live[usize::from(number) % live.len()].clone()
    }

    pub(super) fn daemon(&mut self, number: u8) -> (DaemonName, &mut Daemon) {
        let index = usize::from(number) % self.daemons.len();
        let (name, daemon) = self.daemons.iter_mut().nth(index).expect("a daemon");
        (name.clone(), daemon)
    }

    /// Starts a fault now.
    pub fn inject(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Demand {
                gateway,
                artifact,
                millis,
            } => {
                let names: Vec<DaemonName> = self.gateways.keys().cloned().collect();
                let gateway = &names[usize::from(gateway) % names.len()];
                let all = artifacts();
                self.demand(gateway, &all[usize::from(artifact) % all.len()], millis);
            }
            Fault::StoreDown { millis } => self.store_down_until = now + millis,
            Fault::CutFromStore { daemon, millis } => {
                self.daemon(daemon).1.store_unreachable_until = now + millis
            }
            Fault::Pause { daemon, millis } => self.daemon(daemon).1.paused_until = now + millis,
            Fault::Kill { daemon } => {
                let (name, daemon) = self.daemon(daemon);
                daemon.incarnation += 1;
                if daemon.coordinator.take().is_some() {
                    self.schedule(now + 1_500, SimulationEvent::Start(name));
                }
            }
            Fault::Stop { daemon } => {
                let (name, daemon) = self.daemon(daemon);
                let incarnation = daemon.incarnation;
                self.deliver(&name, incarnation, CoordinatorEvent::Stop);
            }
            Fault::Lossy { percent, millis } => {
                self.message_loss = (now + millis, u32::from(percent))
            }
            Fault::CutRunner { runner, millis } => {
                let runner = self.runner(runner);
                self.unreachable_runners.insert(runner, now + millis);
            }
            Fault::Reboot { runner } => {
                let boot = BootId(self.generator.random());
                let runner = self.runner(runner);
                if let Some(engine) = self
                    .engines
                    .get_mut(&runner)
                    .filter(|engine| engine.is_running)
                {
                    engine.reboot(boot);
                }
            }
            Fault::Reclaim { runner } => self.remove_machine(&self.runner(runner)),
            Fault::Leave { runner, millis } => {
                let runner = self.runner(runner);
                if let Some(engine) = self.engines.get_mut(&runner) {
                    engine.leaving = true;
                }
                self.schedule(now + millis, SimulationEvent::RemoveMachine(runner));
            }
            Fault::FailLoads { runner, count } => {
                let runner = self.runner(runner);
                if let Some(engine) = self.engines.get_mut(&runner) {
                    engine.failing_loads = u32::from(count);
                }
            }
            Fault::BothRankZero { zone, millis } => {
                let zone = self.zones[usize::from(zone) % self.zones.len()].clone();
                self.send_ranks(&zone, true);
                self.schedule(now + millis, SimulationEvent::RestoreRanks(zone));
            }
            Fault::Rules { second, copies } => {
                let rules = Rules {
                    four_v2_serves: second,
                    copies_of_two: u32::from(copies),
                    ..self.rules
                };
                self.set_rules(rules);
            }
        }
    }

    /// Changes the configuration. Previous limits remain acceptable for some time.
    pub fn set_rules(&mut self, rules: Rules) {
        if self.rules == rules {
            return;
        }
        self.rules = rules;
        let next = configuration(self.configuration.revision().0 + 1, rules);
        let previous = std::mem::replace(&mut self.configuration, next);
        let until = self.now.max(FAULT_PHASE_MILLIS) + ROLLOUT_MILLIS;
        self.previous_configurations.push((previous, until));
    }

    /// Ends all faults.
    pub fn clear_faults(&mut self) {
        self.store_down_until = 0;
        self.store_silent_until = 0;
        self.message_loss = (0, 0);
        self.unreachable_runners.clear();
        for daemon in self.daemons.values_mut() {
            daemon.store_unreachable_until = 0;
            daemon.paused_until = 0;
        }
        for engine in self.engines.values_mut() {
            engine.failing_loads = 0;
        }
    }
}
