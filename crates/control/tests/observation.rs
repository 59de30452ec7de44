//! Reads and reports of observers.

use std::time::Duration;

use flaxward_control::observation::{Observer, Read, Reading};
use flaxward_types::engine::{Inventory, LoadReport, Machine, MachineRole};
use flaxward_types::{BootId, RunnerName, Term, Timestamp, ZoneName};
use flaxward_wire::{InventoryUpdate, RunnerReport};

const INVENTORY_INTERVAL: Duration = Duration::from_secs(15);

fn machine(name: &str, address: &str) -> Machine {
    Machine {
        name: RunnerName::literal(name),
        zone: ZoneName::literal("zone-a"),
        address: address.to_owned(),
        role: MachineRole::Engine,
        leaving: false,
    }
}

fn inventory(sequence: u64) -> Inventory {
    Inventory {
        boot: BootId(1),
        term: Term(1),
        sequence,
        memory: 0,
        artifacts: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        leaving: false,
    }
}

/// An observer of one runner, and the times of its reads.
struct Harness {
    observer: Observer,
    now: Timestamp,
    leaving: bool,
    reads: Vec<(u64, bool)>,
}

impl Harness {
    fn new() -> Self {
        let mut observer = Observer::new(INVENTORY_INTERVAL);
        observer.set_runners(vec![machine("runner-1", "a")]);
        Self {
            observer,
            now: Timestamp::ZERO,
            leaving: false,
            reads: Vec::new(),
        }
    }

    /// Advances time. Every read returns this number of running requests and an inventory with this
    /// sequence number; without a number, the runner does not answer.
    fn run(&mut self, time: Duration, running: Option<u32>, sequence: u64) -> Vec<RunnerReport> {
        let end = self.now + time;
        let mut reports = Vec::new();
        while self.now < end {
            for read in self.observer.due(self.now) {
                reports.extend(self.answer(&read, running, sequence));
            }
            self.now = self.now + Duration::from_millis(500);
        }
        reports
    }

    fn answer(&mut self, read: &Read, running: Option<u32>, sequence: u64) -> Option<RunnerReport> {
        self.reads.push((self.now.0, read.with_inventory));
        let load = running.map(|running| LoadReport {
            running,
            leaving: self.leaving,
            ..LoadReport::default()
        });
        let is_read = read.with_inventory && load.is_some();
        let reading = Reading {
            load,
            inventory: is_read.then(|| inventory(sequence)),
        };
        self.observer.record(read, reading)
    }
}

#[test]
fn unchanged_state_is_reported_once_and_confirmed_with_the_inventories() {
    let mut harness = Harness::new();
    let first = harness.run(Duration::from_secs(15), Some(10), 1);
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].inventory, InventoryUpdate::Changed(inventory(1)));
    let loads = (1..8).map(|number| (number * 2_000, false));
    let reads: Vec<(u64, bool)> = [(0, true)].into_iter().chain(loads).collect();
    assert_eq!(harness.reads, reads);
    let later = harness.run(Duration::from_secs(15), Some(24), 1);
    let same = InventoryUpdate::Same(inventory(1).version());
    let reported: Vec<&InventoryUpdate> = later.iter().map(|report| &report.inventory).collect();
    assert_eq!(reported, [&same]);
}

#[test]
fn a_load_that_more_than_doubles_is_reported() {
    let mut harness = Harness::new();
    harness.run(Duration::from_secs(15), Some(10), 1);
    harness.reads.clear();
    let reports = harness.run(Duration::from_secs(6), Some(25), 1);
    assert_eq!(reports[0].load.as_ref().map(|load| load.running), Some(25));
    assert_eq!(harness.reads[0], (15_000, true));
    assert_eq!(harness.reads[1], (17_000, false));
}

/// A leaving engine is reported within 2 s, even if nothing else changes.
#[test]
fn a_leaving_engine_is_reported_with_the_next_read_of_its_load() {
    let mut harness = Harness::new();
    harness.run(Duration::from_secs(14), Some(10), 1);
    harness.leaving = true;
    harness.reads.clear();
    let reports = harness.run(Duration::from_secs(1), Some(10), 1);
    assert_eq!(harness.reads, [(14_000, false)]);
    assert!(reports[0].load.as_ref().is_some_and(|load| load.leaving));
}

#[test]
fn an_unresponsive_runner_is_reported_on_every_read_and_in_full_once_it_answers() {
    let mut harness = Harness::new();
    harness.run(Duration::from_secs(15), Some(10), 1);
    let silent = harness.run(Duration::from_secs(4), None, 1);
    assert_eq!(silent.len(), 2);
    assert!(silent.iter().all(|report| report.load.is_none()));
    let back = harness.run(Duration::from_secs(2), Some(10), 1);
    assert_eq!(back[0].inventory, InventoryUpdate::Changed(inventory(1)));
}

#[test]
fn a_runner_at_another_address_is_read_again_at_once() {
    let mut harness = Harness::new();
    harness.run(Duration::from_secs(1), Some(10), 1);
    harness.observer.set_runners(vec![machine("runner-1", "b")]);
    let reports = harness.run(Duration::from_millis(500), Some(10), 1);
    assert_eq!(reports[0].inventory, InventoryUpdate::Changed(inventory(1)));
}
