//! Flaxward's own coordinators, one for each zone, on a store that is always up.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use flaxward_control::configuration::Configuration;
use flaxward_control::coordinator::{
    Coordinator, CoordinatorAction, CoordinatorEvent, CoordinatorSettings,
};
use flaxward_types::engine::Machine;
use flaxward_types::records::{Quota, ZoneLease, ZonePlacement};
use flaxward_types::{DaemonName, Revision, RunnerName, Timestamp, ZoneName};

use super::pace::Pace;
use super::store::Store;
use super::{Command, Controller, Input};
use crate::scenario::Scenario;

/// Time in which a new region is busy, until every artifact has a home.
const STARTING: Duration = Duration::from_mins(2);

/// The coordinators of all zones.
pub struct Coordinators {
    configuration: Configuration,
    zones: BTreeMap<ZoneName, Zone>,
    zone_of: BTreeMap<RunnerName, ZoneName>,
    store: Store,
    started: bool,
    pending: VecDeque<(ZoneName, CoordinatorEvent)>,
    commands: Vec<Command>,
}

/// One zone's coordinator, with when it is to tick.
struct Zone {
    coordinator: Coordinator,
    pace: Pace,
}

impl Coordinators {
    /// Those of a scenario's zones.
    pub fn new(scenario: &Scenario, configuration: Configuration, seed: u64) -> Self {
        let names: Vec<ZoneName> = scenario
            .zones
            .iter()
            .map(|zone| zone.name.clone())
            .collect();
        let new_zone = |zone: &ZoneName| {
            let me = DaemonName::literal(&format!("daemon-{zone}"));
            let settings = settings(scenario);
            Zone {
                coordinator: Coordinator::new(settings, me, zone.clone(), names.clone(), seed),
                pace: Pace::default(),
            }
        };
        Self {
            configuration,
            zones: names
                .iter()
                .map(|zone| (zone.clone(), new_zone(zone)))
                .collect(),
            zone_of: BTreeMap::new(),
            store: Store::default(),
            started: false,
            pending: VecDeque::new(),
            commands: Vec::new(),
        }
    }

    fn machines(&mut self, machines: &[Machine], now: Timestamp) {
        for machine in machines {
            self.zone_of
                .insert(machine.name.clone(), machine.zone.clone());
        }
        let zones: Vec<ZoneName> = self.zones.keys().cloned().collect();
        for zone in zones {
            if !self.started {
                self.push(&zone, CoordinatorEvent::Rank(0));
            }
            let here = machines.iter().filter(|machine| machine.zone == zone);
            let event = CoordinatorEvent::Machines(here.cloned().collect());
            self.push(&zone, event);
        }
        if !self.started {
            self.started = true;
            for zone in self.zones.values_mut() {
                zone.pace.busy_for(STARTING, now);
            }
        }
    }

    fn push(&mut self, zone: &ZoneName, event: CoordinatorEvent) {
        self.pending.push_back((zone.clone(), event));
    }

    fn push_to_runners_zone(&mut self, runner: &RunnerName, event: CoordinatorEvent) {
        if let Some(zone) = self.zone_of.get(runner).cloned() {
            self.push(&zone, event);
        }
    }

    /// Hands every pending event over, and those that the store's answers add.
    fn settle(&mut self, now: Timestamp) {
        while let Some((zone, event)) = self.pending.pop_front() {
            let Some(known) = self.zones.get_mut(&zone) else {
                continue;
            };
            known.pace.told(&event, now);
            let actions = known.coordinator.handle(event, now, &self.configuration);
            known.pace.asked(&actions, now);
            for action in actions {
                self.act(&zone, action);
            }
        }
    }

    fn act(&mut self, zone: &ZoneName, action: CoordinatorAction) {
        match action {
            CoordinatorAction::ReadLease => {
                let lease = self.store.leases.get(zone);
                self.push(zone, CoordinatorEvent::LeaseRead(Ok(lease)));
            }
            CoordinatorAction::WriteLease(expected, lease) => {
                self.write_lease(zone, expected, lease);
            }
            CoordinatorAction::ReadPlacement => {
                let placement = self.store.placements.get(zone);
                self.push(zone, CoordinatorEvent::PlacementRead(Ok(placement)));
            }
            CoordinatorAction::WritePlacement(expected, placement) => {
                self.write_placement(zone, expected, placement);
            }
            CoordinatorAction::ReadQuotas => {
                let quotas = self.store.quotas.all();
                self.push(zone, CoordinatorEvent::QuotasRead(Ok(quotas)));
            }
            CoordinatorAction::ReadQuota(subject) => {
                if let Some((revision, quota)) = self.store.quotas.get(&subject) {
                    self.push(zone, CoordinatorEvent::QuotaChanged(revision, quota));
                }
            }
            CoordinatorAction::WriteQuota(expected, quota) => {
                self.write_quota(zone, expected, &quota);
            }
            CoordinatorAction::SendOrder { runner, order, .. } => {
                self.commands.push(Command::Order(runner, order));
            }
            CoordinatorAction::ReadInventory { runner, .. } => {
                self.commands.push(Command::ReadInventory(runner));
            }
            CoordinatorAction::Answer(gateway, answer) => {
                self.commands.push(Command::Answer(gateway, answer));
            }
            CoordinatorAction::Record(decision) => {
                self.commands.push(Command::Decided(decision));
            }
            CoordinatorAction::Confirm(..)
            | CoordinatorAction::Lead(_)
            | CoordinatorAction::Resign
            | CoordinatorAction::Stopped => {}
        }
    }

    fn write_lease(&mut self, zone: &ZoneName, expected: Option<Revision>, lease: ZoneLease) {
        let Store {
            leases, revision, ..
        } = &mut self.store;
        let written = leases.put(zone.clone(), expected, lease, revision);
        self.push(zone, CoordinatorEvent::LeaseWritten(written));
    }

    fn write_placement(
        &mut self,
        zone: &ZoneName,
        expected: Option<Revision>,
        placement: ZonePlacement,
    ) {
        let Store {
            placements,
            revision,
            ..
        } = &mut self.store;
        let written = placements.put(zone.clone(), expected, placement, revision);
        self.push(zone, CoordinatorEvent::PlacementWritten(written));
    }

    /// Writes a quota and shows the change to the other zones, which watch them all.
    fn write_quota(&mut self, zone: &ZoneName, expected: Option<Revision>, quota: &Quota) {
        let subject = quota.subject.clone();
        let Store {
            quotas, revision, ..
        } = &mut self.store;
        let written = quotas.put(subject.clone(), expected, quota.clone(), revision);
        self.push(zone, CoordinatorEvent::QuotaWritten(subject, written));
        let Ok(revision) = written else {
            return;
        };
        let others: Vec<ZoneName> = self
            .zones
            .keys()
            .filter(|other| *other != zone)
            .cloned()
            .collect();
        for other in others {
            self.push(
                &other,
                CoordinatorEvent::QuotaChanged(revision, quota.clone()),
            );
        }
    }
}

impl Controller for Coordinators {
    fn handle(&mut self, input: Input, now: Timestamp) -> Vec<Command> {
        match input {
            Input::Tick => {
                let due = self.zones.iter().filter(|(_, zone)| zone.pace.is_due(now));
                let due: Vec<ZoneName> = due.map(|(name, _)| name.clone()).collect();
                for zone in due {
                    self.push(&zone, CoordinatorEvent::Tick);
                }
            }
            Input::Machines(machines) => self.machines(&machines, now),
            Input::Demanded(zone, gateway, demand) => {
                self.push(&zone, CoordinatorEvent::Demanded(gateway, demand));
            }
            Input::OrderAnswered(runner, order, answer) => {
                let event = CoordinatorEvent::OrderAnswered {
                    runner: runner.clone(),
                    order,
                    answer,
                };
                self.push_to_runners_zone(&runner, event);
            }
            Input::InventoryRead(runner, inventory) => {
                let event = CoordinatorEvent::InventoryRead {
                    runner: runner.clone(),
                    inventory,
                };
                self.push_to_runners_zone(&runner, event);
            }
        }
        self.settle(now);
        std::mem::take(&mut self.commands)
    }

    fn next_tick(&self, now: Timestamp) -> Timestamp {
        let ticks = self.zones.values().map(|zone| zone.pace.next_tick());
        ticks.min().unwrap_or(now)
    }
}

/// The daemon's defaults, but for durations that only keep an idle region busy.
fn settings(scenario: &Scenario) -> CoordinatorSettings {
    CoordinatorSettings {
        lease_duration: Duration::from_hours(2),
        lease_renewal: Duration::from_mins(30),
        inventory_refresh: Duration::from_mins(30),
        remote_bytes_per_second: scenario.weight_store.speed.as_u64(),
        disk_bytes_per_second: scenario.runner.disk_speed.as_u64(),
        memory_bytes_per_second: scenario.runner.memory_speed.as_u64(),
        ..CoordinatorSettings::default()
    }
}
