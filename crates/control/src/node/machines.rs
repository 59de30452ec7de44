//! The machines known to a daemon, from the machine list or from its coordinator.

use std::collections::BTreeSet;

use flaxward_types::engine::{Machine, MachineRole};
use flaxward_types::{RunnerName, Term, ZoneName};
use flaxward_wire::MachineSnapshot;

/// Machines of the daemon's zone and service machines of every zone.
#[derive(Debug, Default)]
pub struct Machines {
    engines: Vec<Machine>,
    services: Vec<Machine>,
    received: (Term, u64),
}

impl Machines {
    /// Applies a machine list read by this daemon. Returns whether anything changed.
    pub fn replace(&mut self, zone: &ZoneName, machines: Vec<Machine>) -> bool {
        let (services, engines): (Vec<_>, Vec<_>) = machines
            .into_iter()
            .partition(|machine| machine.role != MachineRole::Engine);
        let engines: Vec<_> = engines
            .into_iter()
            .filter(|machine| machine.zone == *zone)
            .collect();
        let changed = engines != self.engines || services != self.services;
        self.engines = engines;
        self.services = services;
        changed
    }

    /// Applies a coordinator's snapshot, unless a later one is known. Returns whether it was applied.
    pub fn receive(&mut self, snapshot: MachineSnapshot) -> bool {
        let number = (snapshot.term, snapshot.sequence);
        if number <= self.received {
            return false;
        }
        self.received = number;
        self.engines = snapshot.engines;
        self.services = snapshot.services;
        true
    }

    /// The snapshot for the members of the zone.
    pub fn snapshot(&self, term: Term, sequence: u64) -> MachineSnapshot {
        MachineSnapshot {
            term,
            sequence,
            services: self.services.clone(),
            engines: self.engines.clone(),
        }
    }

    /// Engines of the zone.
    pub fn engines(&self) -> &[Machine] {
        &self.engines
    }

    /// Service machines of every zone.
    pub fn services(&self) -> &[Machine] {
        &self.services
    }

    /// Whether this daemon knows the machine.
    pub fn is_known(&self, runner: &RunnerName) -> bool {
        self.all().any(|machine| machine.name == *runner)
    }

    /// Names of all machines known.
    pub fn names(&self) -> BTreeSet<RunnerName> {
        self.all().map(|machine| machine.name.clone()).collect()
    }

    fn all(&self) -> impl Iterator<Item = &Machine> {
        self.engines.iter().chain(&self.services)
    }

    /// Machines that the list shows as leaving.
    pub fn leaving(&self) -> BTreeSet<RunnerName> {
        self.all()
            .filter(|machine| machine.leaving)
            .map(|machine| machine.name.clone())
            .collect()
    }
}
