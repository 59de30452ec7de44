//! Schedules the reads of the runners assigned to an observer and reports changes.
//!
//! The runners of a zone are partitioned among its members, so that no daemon reads them all. The
//! zone's coordinator receives changes, and periodic confirmations that nothing has changed. It reads
//! a runner itself only to seal it, to follow up an order, or when the observer reports that the
//! runner does not answer.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_types::engine::{Inventory, LoadReport, Machine};
use flaxward_types::{RunnerName, Timestamp};
use flaxward_wire::{InventoryUpdate, RunnerReport};

/// Time between two reads of a runner's load. The load report says whether the engine is leaving;
/// including the time that a mark takes to reach every gateway, no new work may reach a leaving
/// engine after 3 s.
const LOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Loads that differ by at most this factor are not reported, ...
const LOAD_FACTOR: u32 = 2;
/// ... nor are those that exceed the factor by at most this number of requests.
const LOAD_SLACK: u32 = 4;

/// Whether two numbers of requests differ too little to be reported.
pub fn is_similar_load(old: u32, new: u32) -> bool {
    let low = old.min(new);
    let high = old.max(new);
    high <= low.saturating_mul(LOAD_FACTOR).saturating_add(LOAD_SLACK)
}

/// A read that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Read {
    /// The runner.
    pub machine: Machine,
    /// Whether its inventory is to be read as well as its load.
    pub with_inventory: bool,
}

/// The result of a read; `None` for what was not read or not answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The load.
    pub load: Option<LoadReport>,
    /// The inventory.
    pub inventory: Option<Inventory>,
}

/// Observes the runners assigned to this daemon.
#[derive(Clone, Debug)]
pub struct Observer {
    /// Time between two reads of the inventories of all assigned runners, which are read together.
    inventory_interval: Duration,
    inventories_due: Timestamp,
    runners: BTreeMap<RunnerName, RunnerState>,
}

/// The last known state of one runner.
#[derive(Clone, Debug)]
struct RunnerState {
    machine: Machine,
    due: Timestamp,
    /// The load last reported; `None` if none was reported or the runner did not answer.
    load: Option<LoadReport>,
    /// The inventory last reported.
    inventory: Option<Inventory>,
}

impl Observer {
    /// An observer without runners, which reads inventories at this interval.
    pub fn new(inventory_interval: Duration) -> Self {
        Self {
            inventory_interval,
            inventories_due: Timestamp::ZERO,
            runners: BTreeMap::new(),
        }
    }

    /// Replaces the assigned runners. The state of runners that stay assigned is kept.
    pub fn set_runners(&mut self, machines: Vec<Machine>) {
        let mut known = std::mem::take(&mut self.runners);
        for machine in machines {
            let observed = match known.remove(&machine.name) {
                Some(observed) if observed.machine.address == machine.address => observed,
                _ => RunnerState::new(machine),
            };
            self.runners.insert(observed.machine.name.clone(), observed);
        }
    }

    /// The reads that are due now.
    pub fn due(&mut self, now: Timestamp) -> Vec<Read> {
        let with_inventory = now >= self.inventories_due;
        if with_inventory {
            self.inventories_due = now + self.inventory_interval;
        }
        let mut reads = Vec::new();
        for observed in self.runners.values_mut() {
            if !with_inventory && now < observed.due {
                continue;
            }
            observed.due = now + LOAD_INTERVAL;
            reads.push(Read {
                machine: observed.machine.clone(),
                with_inventory: with_inventory || observed.inventory.is_none(),
            });
        }
        reads
    }

    /// When the next read is due; `None` without runners.
    pub fn next_due(&self) -> Option<Timestamp> {
        let loads = self.runners.values().map(|observed| observed.due).min();
        loads.map(|due| due.min(self.inventories_due))
    }

    /// Records the result of a read. Returns the report for the coordinator, if there is one.
    pub fn record(&mut self, read: &Read, reading: Reading) -> Option<RunnerReport> {
        let observed = self.runners.get_mut(&read.machine.name)?;
        let is_changed = observed.load_changed(reading.load.as_ref());
        let inventory = observed.inventory_update(reading.inventory);
        if !is_changed && inventory == InventoryUpdate::Unread {
            return None;
        }
        observed.load.clone_from(&reading.load);
        if reading.load.is_none() {
            // The whole inventory is reported when the runner answers again.
            observed.inventory = None;
        }
        Some(RunnerReport {
            runner: read.machine.name.clone(),
            load: reading.load,
            inventory,
        })
    }
}

impl RunnerState {
    fn new(machine: Machine) -> Self {
        Self {
            machine,
            due: Timestamp::ZERO,
            load: None,
            inventory: None,
        }
    }

    fn load_changed(&self, load: Option<&LoadReport>) -> bool {
        match (&self.load, load) {
            (Some(old), Some(new)) => {
                old.leaving != new.leaving
                    || !is_similar_load(old.running, new.running)
                    || !is_similar_load(old.waiting, new.waiting)
            }
            // A runner that does not answer is reported with every read.
            _ => true,
        }
    }

    fn inventory_update(&mut self, inventory: Option<Inventory>) -> InventoryUpdate {
        let Some(inventory) = inventory else {
            return InventoryUpdate::Unread;
        };
        if self.inventory.as_ref() == Some(&inventory) {
            return InventoryUpdate::Same(inventory.version());
        }
        self.inventory = Some(inventory.clone());
        InventoryUpdate::Changed(inventory)
    }
}
