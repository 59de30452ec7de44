//! Daemons read the runners that they observe.

use flaxward_control::node::NodeEvent;
use flaxward_control::observation::{Read, Reading};

use super::http;
use super::platform::isolated;
use super::tally::{Purpose, Side};
use super::world::{Happening, Process, World};

/// Time between looks at what is to be read, in milliseconds, as in the daemon.
pub(super) const OBSERVATION_INTERVAL: u64 = 500;

impl World {
    pub(super) fn observe(&mut self, process: Process) {
        if !self.is_running(process) {
            return;
        }
        let next = self.now + OBSERVATION_INTERVAL;
        self.queue.add(next, Happening::Observe(process));
        let Some(running) = self.daemons[process.place].running.as_mut() else {
            return;
        };
        let now = running.clock(self.now);
        let due = running.observer.due(now);
        let mut news = Vec::new();
        for read in due {
            let reading = self.read_runner(process, &read);
            let running = self.daemons[process.place].running.as_mut();
            let report = running.and_then(|running| running.observer.take_in(&read, reading));
            news.extend(report);
        }
        if !news.is_empty() {
            self.drive(process, Purpose::Observation, NodeEvent::Observed(news));
        }
    }

    fn read_runner(&mut self, process: Process, read: &Read) -> Reading {
        let engine = self.engine_by_address.get(&read.machine.address).copied();
        let Some(engine) = engine.filter(|engine| self.engines[*engine].alive) else {
            let bytes = http::unanswered_call();
            self.spend_call(process, Purpose::Observation, Side::Engines, bytes);
            return Reading {
                load: None,
                inventory: None,
            };
        };
        let load = self.engines[engine].load().clone();
        let bytes = http::call(0, http::json_length(&load));
        self.spend_call(process, Purpose::Observation, Side::Engines, bytes);
        let inventory = read.with_inventory.then(|| {
            let inventory = self.engines[engine].inventory();
            let bytes = http::call(0, http::json_length(&inventory));
            self.spend_call(process, Purpose::Observation, Side::Engines, bytes);
            isolated(&inventory)
        });
        Reading {
            load: Some(load),
            inventory,
        }
    }
}
