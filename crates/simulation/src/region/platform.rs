//! The object API with its watches, and the machine list.

use std::time::Duration;

use flaxward_control::node::NodeEvent;
use flaxward_types::engine::Machine;
use flaxward_types::{Revision, RunnerName};

use super::{Event, Region};
use crate::network::{Place, between, chance};
use crate::process::{Input, Operation, ProcessId, StoreCall};
use crate::store::{Answer, Change, Fault, Listing, Request};

/// Time after which a call without an answer is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before a lost answer is settled.
const SETTLE_PAUSE: Duration = Duration::from_millis(100);
/// Tries to settle a lost answer.
const SETTLE_TRIES: u32 = 5;
/// Longest time that a request whose sender has given up stays on its way.
const LATEST: Duration = Duration::from_secs(9);
/// Longest time until a broken watch is noticed.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);

/// A watch of one collection by one process.
#[derive(Clone, Debug)]
pub(super) struct Watcher {
    pub process: ProcessId,
    listing: Listing,
    round: u64,
    /// When the last change shown arrives; none arrives before it.
    last: crate::time::VirtualTime,
}

impl Region {
    /// An operation leaves a process.
    pub(super) fn depart(&mut self, id: ProcessId, operation: Operation) {
        match operation {
            Operation::Store(call) => self.call_store(call),
            Operation::ReadMachines => self.read_machines(id),
            Operation::Order(..)
            | Operation::ReadInventory(_)
            | Operation::ReadLoad(_)
            | Operation::Attempt(_)
            | Operation::Cancel(..) => self.call_back_end(id, operation),
        }
    }

    fn call_store(&mut self, call: StoreCall) {
        let zone = self.zone_of(call.process);
        let process = call.process;
        if self
            .network
            .cut_until(&zone, &Place::Platform, self.now)
            .is_some()
        {
            let answer = self.fault(call, Fault::Unavailable);
            return self.tell(CALL_TIMEOUT, process, answer);
        }
        let mut way = self
            .network
            .latency(&zone, &Place::Platform, &mut self.random);
        let (slow_until, slowness) = self.faults.store_slow;
        if self.now < slow_until {
            way += between(Duration::ZERO, slowness, &mut self.random);
        }
        let (loses_until, percent) = self.faults.store_loses;
        let is_lost = self.now < loses_until && chance(percent, &mut self.random);
        if !is_lost {
            return self.after(way, Event::AtStore(Box::new(call), true));
        }
        self.tell(
            CALL_TIMEOUT,
            process,
            Input::StoreSilent(Box::new(call.clone())),
        );
        // It takes effect and the answer is lost, or it arrives late, or never.
        let delay =
            match between(Duration::ZERO, Duration::from_secs(3), &mut self.random).as_secs() {
                0 => way,
                1 => between(way, LATEST, &mut self.random),
                _ => return,
            };
        self.after(delay, Event::AtStore(Box::new(call), false));
    }

    /// A fault, or another try if an answer to the call was lost before.
    fn fault(&self, call: StoreCall, fault: Fault) -> Input {
        if call.lost > 0 {
            return Input::StoreSilent(Box::new(call));
        }
        Input::StoreAnswered(Box::new(call), Err(fault))
    }

    /// An answer was lost: a write is settled, a read has failed.
    pub(super) fn store_silent(&mut self, mut call: StoreCall) {
        let process = call.process;
        call.lost += 1;
        let is_write = matches!(call.request, Request::Put(..) | Request::Delete(..));
        if !is_write || call.lost > SETTLE_TRIES {
            let answer = Input::StoreAnswered(Box::new(call), Err(Fault::Unknown));
            return self.tell(Duration::ZERO, process, answer);
        }
        let again = Input::Depart(Box::new(Operation::Store(call)));
        self.tell(SETTLE_PAUSE, process, again);
    }

    pub(super) fn at_store(&mut self, call: StoreCall, answers: bool) {
        let process = call.process;
        let zone = self.zone_of(process);
        let way = self
            .network
            .latency(&zone, &Place::Platform, &mut self.random);
        if self.now < self.faults.store_down_until {
            if answers {
                let answer = self.fault(call, Fault::Unavailable);
                self.tell(way, process, answer);
            }
            return;
        }
        let revision = self.store.revision();
        let result = if call.lost > 0 {
            self.store.settle(&call.request, call.operation)
        } else {
            Ok(self.store.handle(&call.request, call.operation))
        };
        self.show_changes_after(revision);
        if !answers {
            return;
        }
        if self
            .network
            .cut_until(&zone, &Place::Platform, self.now)
            .is_some()
        {
            return self.tell(CALL_TIMEOUT, process, Input::StoreSilent(Box::new(call)));
        }
        self.tell(way, process, Input::StoreAnswered(Box::new(call), result));
    }

    /// A write of somebody who is no daemon. Returns the answer.
    pub(super) fn write(&mut self, request: Request) -> Answer {
        let revision = self.store.revision();
        let operation = rand::RngExt::random(&mut self.random);
        let answer = self.store.handle(&request, operation);
        self.show_changes_after(revision);
        answer
    }

    /// Shows new changes to the watches, and to the checks.
    fn show_changes_after(&mut self, revision: Revision) {
        let changes = self.store.changes_after(revision).to_vec();
        for change in changes {
            self.note_change(&change);
            for index in 0..self.watchers.len() {
                self.show(index, &change);
            }
        }
    }

    fn show(&mut self, index: usize, change: &Change) {
        let watcher = self.watchers[index].clone();
        if !watcher.listing.has(&change.key) {
            return;
        }
        let zone = self.zone_of(watcher.process);
        let way = self
            .network
            .latency(&zone, &Place::Platform, &mut self.random);
        let arrival = (self.now + way).max(watcher.last);
        self.watchers[index].last = arrival;
        let input = Input::Watched(watcher.listing, watcher.round, change.clone());
        self.tell(arrival.since(self.now), watcher.process, input);
    }

    /// Shows a process all changes after a revision from now on.
    pub(super) fn watch(
        &mut self,
        process: ProcessId,
        listing: Listing,
        round: u64,
        from: Revision,
    ) {
        self.watchers
            .retain(|watcher| watcher.process != process || watcher.listing != listing);
        self.watchers.push(Watcher {
            process,
            listing,
            round,
            last: self.now,
        });
        let index = self.watchers.len() - 1;
        for change in self.store.changes_after(from).to_vec() {
            self.show(index, &change);
        }
        let zone = self.zone_of(process);
        let is_cut = self
            .network
            .cut_until(&zone, &Place::Platform, self.now)
            .is_some();
        if is_cut || self.now < self.faults.store_down_until {
            self.break_watches(|watcher| watcher.process == process);
        }
    }

    /// Breaks watches; their processes notice after a while and begin anew.
    pub(super) fn break_watches(&mut self, is_broken: impl Fn(&Watcher) -> bool) {
        let (broken, kept) = std::mem::take(&mut self.watchers)
            .into_iter()
            .partition(|watcher| is_broken(watcher));
        self.watchers = kept;
        let broken: Vec<Watcher> = broken;
        for watcher in broken {
            let delay = between(Duration::ZERO, WATCH_TIMEOUT, &mut self.random);
            let again = Input::Follow(watcher.listing, watcher.round);
            self.tell(delay, watcher.process, again);
        }
    }

    /// Breaks the watches of a zone.
    pub(super) fn break_watches_of(&mut self, zone: &Place) {
        let broken: Vec<ProcessId> = self
            .watchers
            .iter()
            .map(|watcher| watcher.process)
            .filter(|process| self.zone_of(*process) == *zone)
            .collect();
        self.break_watches(|watcher| broken.contains(&watcher.process));
    }

    fn read_machines(&mut self, id: ProcessId) {
        let zone = self.zone_of(id);
        let is_cut = self
            .network
            .cut_until(&zone, &Place::Platform, self.now)
            .is_some();
        if is_cut || self.now < self.faults.machine_list_down_until {
            return;
        }
        let machines: Vec<Machine> = self.listed.values().cloned().collect();
        let way = self
            .network
            .latency(&zone, &Place::Platform, &mut self.random);
        self.tell(way * 2, id, Input::Node(NodeEvent::Machines(machines)));
    }

    /// The machine list shows a machine, or no longer.
    pub(super) fn list_machine(&mut self, name: RunnerName, machine: Option<Machine>) {
        match machine {
            // News of a machine may overtake each other, but one that the list has shown to be gone
            // does not come back.
            Some(_) if self.delisted.contains(&name) => {}
            Some(machine) => {
                if machine.leaving {
                    self.note_leaving(&name);
                }
                self.listed.insert(name, machine);
            }
            None => {
                self.listed.remove(&name);
                self.delisted.insert(name);
            }
        }
    }
}
