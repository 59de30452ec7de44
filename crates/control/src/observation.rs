//! What an observer reads of its share of a zone's runners, when, and what of it is news.
//!
//! The runners of a zone are shared out among its members, so that no daemon reads them all. The
//! zone's coordinator hears of changes, and now and then that nothing has changed; it reads a runner
//! itself only to seal it, to follow an order, or when its observer doubts that it answers.

use std::collections::BTreeMap;
use std::time::Duration;

use flaxward_types::engine::{Inventory, LoadReport, Machine};
use flaxward_types::{RunnerName, Timestamp};
use flaxward_wire::{InventoryNews, RunnerReport};

/// Time between two reads of a runner's load. An engine that leaves says so in it, and with the time
/// that a mark takes to reach every gateway no new work may reach it after 3 s.
const LOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Loads that differ by this factor at most are no news, ...
const LOAD_FACTOR: u32 = 2;
/// ... and neither are those that differ by this number of requests beyond it.
const LOAD_SLACK: u32 = 4;

/// Whether two numbers of requests differ too little to be news.
pub fn is_near(old: u32, new: u32) -> bool {
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

/// What a read brought; `None` for what was not read or not answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The load.
    pub load: Option<LoadReport>,
    /// The inventory.
    pub inventory: Option<Inventory>,
}

/// Observes the runners of a share.
#[derive(Clone, Debug)]
pub struct Observer {
    /// Time between two reads of the inventories of the share, all at once.
    inventory_interval: Duration,
    inventories_due: Timestamp,
    runners: BTreeMap<RunnerName, Observed>,
}

/// What is known of one runner.
#[derive(Clone, Debug)]
struct Observed {
    machine: Machine,
    due: Timestamp,
    /// The load last reported; `None` if none was, or that it did not answer.
    load: Option<LoadReport>,
    /// The inventory last reported.
    inventory: Option<Inventory>,
}

impl Observer {
    /// An observer without a share, which reads inventories this often.
    pub fn new(inventory_interval: Duration) -> Self {
        Self {
            inventory_interval,
            inventories_due: Timestamp::ZERO,
            runners: BTreeMap::new(),
        }
    }

    /// Takes over another share. What is known of runners that stay in it is kept.
    pub fn set_share(&mut self, share: Vec<Machine>) {
        let mut known = std::mem::take(&mut self.runners);
        for machine in share {
            let observed = match known.remove(&machine.name) {
                Some(observed) if observed.machine.address == machine.address => observed,
                _ => Observed::new(machine),
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

    /// When the next read is due; `None` without a share.
    pub fn next_due(&self) -> Option<Timestamp> {
        let loads = self.runners.values().map(|observed| observed.due).min();
        loads.map(|due| due.min(self.inventories_due))
    }

    /// Takes in what a read brought. Returns what the coordinator should hear of it.
    pub fn take_in(&mut self, read: &Read, reading: Reading) -> Option<RunnerReport> {
        let observed = self.runners.get_mut(&read.machine.name)?;
        let is_news = observed.load_is_news(reading.load.as_ref());
        let inventory = observed.inventory_news(reading.inventory);
        if !is_news && inventory == InventoryNews::Unread {
            return None;
        }
        observed.load.clone_from(&reading.load);
        if reading.load.is_none() {
            // Whatever it holds when it answers again is news.
            observed.inventory = None;
        }
        Some(RunnerReport {
            runner: read.machine.name.clone(),
            load: reading.load,
            inventory,
        })
    }
}

impl Observed {
    fn new(machine: Machine) -> Self {
        Self {
            machine,
            due: Timestamp::ZERO,
            load: None,
            inventory: None,
        }
    }

    fn load_is_news(&self, load: Option<&LoadReport>) -> bool {
        match (&self.load, load) {
            (Some(old), Some(new)) => {
                old.leaving != new.leaving
                    || !is_near(old.running, new.running)
                    || !is_near(old.waiting, new.waiting)
            }
            // A runner that does not answer is doubted again with each read.
            _ => true,
        }
    }

    fn inventory_news(&mut self, inventory: Option<Inventory>) -> InventoryNews {
        let Some(inventory) = inventory else {
            return InventoryNews::Unread;
        };
        if self.inventory.as_ref() == Some(&inventory) {
            return InventoryNews::Same(inventory.version());
        }
        self.inventory = Some(inventory.clone());
        InventoryNews::Changed(inventory)
    }
}
