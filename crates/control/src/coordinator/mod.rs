//! The coordinator of a zone: who may decide, what is loaded where, and what waits.
//!
//! [`Coordinator::handle`] is told what happened and returns what to do. It reads no clock and does
//! no I/O. `docs/design/authority.md` states the rules that it keeps and why.

use std::time::Duration;

use flaxward_types::engine::{Inventory, LoadReport, Machine};
use flaxward_types::records::{QuotaSubject, Slot};
use flaxward_types::routing::Demand;
use flaxward_types::{ArtifactId, DaemonName, ModelName, RunnerName, Term, Timestamp, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::configuration::Configuration;

mod answers;
mod choice;
mod demand;
mod homes;
mod idle;
mod interface;
mod journal;
mod leading;
mod lease;
mod ledger;
mod loads;
mod needs;
mod placement;
mod planner;
mod progress;
mod quota;
mod runner;
mod unneeded;
mod views;
mod weakness;

pub use interface::{
    CoordinatorAction, CoordinatorEvent, CoordinatorSettings, Decision, DecisionKind, EngineFault,
    StoreFault, UnloadReason,
};
pub use quota::split_units;
pub use weakness::Weakness;

use demand::DemandTable;
use idle::KeepAlive;
use journal::Journal;
use leading::{Context, Leading};
use lease::{LeaseChange, LeaseKeeper};
use placement::PlacementChange;

/// Time between plans when nothing has happened.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// A runner as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerView {
    /// Its name.
    pub runner: RunnerName,
    /// Its address, `ip:port`.
    pub address: String,
    /// Whether it has accepted the coordinator's term.
    pub sealed: bool,
    /// Whether it is leaving or drained.
    pub leaving: bool,
    /// Whether it has not answered for a while.
    pub unreachable: bool,
    /// What it held when last read.
    pub inventory: Option<Inventory>,
    /// Its last load report.
    pub load: LoadReport,
}

/// A replica as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaView {
    /// What and where.
    pub slot: Slot,
    /// How far it is, or `None` if the slot is recorded and nothing is there.
    pub state: Option<flaxward_types::engine::HeldState>,
    /// Requests running and waiting on its runner, as last reported.
    pub outstanding: u32,
    /// Time until it is ready, if it is being loaded.
    pub remaining: Option<Duration>,
}

/// An artifact that somebody waits for, as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingView {
    /// What is waited for.
    pub artifact: ArtifactId,
    /// Requests waiting at all gateways.
    pub waiting: u32,
    /// Since when, as an age.
    pub since: Duration,
    /// Highest priority among them.
    pub priority: u8,
}

/// What outlives a term.
#[derive(Debug)]
struct Shared {
    settings: CoordinatorSettings,
    zone: ZoneName,
    zones: Vec<ZoneName>,
    weakness: Weakness,
    lease: LeaseKeeper,
    demands: DemandTable,
    keep_alive: KeepAlive,
    store_failing_since: Option<Timestamp>,
}

impl Shared {
    fn context<'a>(&'a self, now: Timestamp, configuration: &'a Configuration) -> Context<'a> {
        Context {
            now,
            settings: &self.settings,
            configuration,
            zone: &self.zone,
            zones: &self.zones,
            demands: &self.demands,
            keep_alive: &self.keep_alive,
            may_record: self.lease.may_record(now),
            store_failing_since: self.store_failing_since,
            weakness: self.weakness,
        }
    }
}

/// Coordinates one zone, or stands by to do so.
#[derive(Debug)]
pub struct Coordinator {
    shared: Shared,
    generator: ChaCha8Rng,
    machines: Option<Vec<Machine>>,
    journal: Journal,
    leading: Option<Leading>,
    /// An operation on the placement of an earlier term is outstanding.
    stray_placement: bool,
    /// Quotas with a write of an earlier term outstanding.
    stray_quotas: Vec<QuotaSubject>,
    next_plan: Timestamp,
    changed: bool,
    last_now: Timestamp,
}

impl Coordinator {
    /// A coordinator for a zone of a region. The seed must differ with each start of the daemon.
    pub fn new(
        settings: CoordinatorSettings,
        me: DaemonName,
        zone: ZoneName,
        zones: Vec<ZoneName>,
        seed: u64,
    ) -> Self {
        Self::with_weakness(settings, me, zone, zones, seed, Weakness::None)
    }

    /// A coordinator that leaves out a rule, for proofs that the rule is needed.
    pub fn with_weakness(
        settings: CoordinatorSettings,
        me: DaemonName,
        zone: ZoneName,
        zones: Vec<ZoneName>,
        seed: u64,
        weakness: Weakness,
    ) -> Self {
        Self {
            shared: Shared {
                settings,
                zone,
                zones,
                weakness,
                lease: LeaseKeeper::new(me),
                demands: DemandTable::default(),
                keep_alive: KeepAlive::new(),
                store_failing_since: None,
            },
            generator: ChaCha8Rng::seed_from_u64(seed),
            machines: None,
            journal: Journal::default(),
            leading: None,
            stray_placement: false,
            stray_quotas: Vec::new(),
            next_plan: Timestamp::ZERO,
            changed: false,
            last_now: Timestamp::ZERO,
        }
    }

    /// Takes in an event and returns what to do.
    pub fn handle(
        &mut self,
        event: CoordinatorEvent,
        now: Timestamp,
        configuration: &Configuration,
    ) -> Vec<CoordinatorAction> {
        self.last_now = now;
        let mut actions = Vec::new();
        self.shared
            .demands
            .expire(now, self.shared.settings.demand_expiry);
        let asked = self.take_in(event, now, configuration, &mut actions);
        self.advance(asked, now, configuration, &mut actions);
        if self.leading.as_ref().is_some_and(Leading::is_overtaken) {
            self.shared.lease.lose(now);
            self.resign(&mut actions);
        }
        let nonce = u64::from(self.generator.random::<u32>());
        actions.extend(self.shared.lease.step(now, &self.shared.settings, nonce));
        for action in &actions {
            if let CoordinatorAction::Record(decision) = action {
                self.journal.note(decision.clone(), now);
            }
        }
        actions
    }

    /// Changes the state by an event. Returns the demand that is to be answered.
    fn take_in(
        &mut self,
        event: CoordinatorEvent,
        now: Timestamp,
        configuration: &Configuration,
        actions: &mut Vec<CoordinatorAction>,
    ) -> Option<(DaemonName, ArtifactId)> {
        self.changed |= !matches!(
            event,
            CoordinatorEvent::Tick
                | CoordinatorEvent::LoadReported(..)
                | CoordinatorEvent::Demanded(..)
        );
        match event {
            CoordinatorEvent::Tick => {}
            CoordinatorEvent::Rank(rank) => self.shared.lease.set_rank(rank),
            CoordinatorEvent::Stop => {
                self.shared.lease.stop(now);
                self.resign(actions);
            }
            CoordinatorEvent::Machines(machines) => {
                if let Some(leading) = &mut self.leading {
                    leading.apply_machines(&machines, now);
                }
                self.machines = Some(machines);
            }
            CoordinatorEvent::Demanded(gateway, demand) => {
                return Some(self.demanded(gateway, demand, now));
            }
            CoordinatorEvent::GatewayGone(gateway) => {
                self.shared.demands.forget_gateway(&gateway);
                if let Some(leading) = &mut self.leading {
                    leading.answers.forget_gateway(&gateway);
                }
            }
            CoordinatorEvent::LeaseRead(result) => {
                self.note_store(result.as_ref().err().copied(), now);
                let change = self
                    .shared
                    .lease
                    .on_read(result, now, &self.shared.settings);
                self.lease_changed(change, now, actions);
            }
            CoordinatorEvent::LeaseWritten(result) => {
                self.note_store(result.as_ref().err().copied(), now);
                let change = self
                    .shared
                    .lease
                    .on_written(result, now, &self.shared.settings);
                self.lease_changed(change, now, actions);
            }
            store @ (CoordinatorEvent::PlacementRead(_)
            | CoordinatorEvent::PlacementWritten(_)
            | CoordinatorEvent::QuotasRead(_)
            | CoordinatorEvent::QuotaChanged(..)
            | CoordinatorEvent::QuotaWritten(..)) => self.take_in_record(store, now, actions),
            runner @ (CoordinatorEvent::OrderAnswered { .. }
            | CoordinatorEvent::InventoryRead { .. }
            | CoordinatorEvent::LoadReported(..)) => {
                self.take_in_runner(runner, now, configuration);
            }
        }
        None
    }

    fn demanded(
        &mut self,
        gateway: DaemonName,
        demand: Demand,
        now: Timestamp,
    ) -> (DaemonName, ArtifactId) {
        let artifact = demand.artifact.clone();
        for _ in 0..demand.arrivals {
            self.shared.keep_alive.record_arrival(&artifact, now);
        }
        self.changed |= self.shared.demands.put(gateway.clone(), demand, now);
        (gateway, artifact)
    }

    /// Takes in an answer of the store about placement or quotas.
    fn take_in_record(
        &mut self,
        event: CoordinatorEvent,
        now: Timestamp,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let placement_answer = matches!(
            event,
            CoordinatorEvent::PlacementRead(_) | CoordinatorEvent::PlacementWritten(_)
        );
        if placement_answer && std::mem::take(&mut self.stray_placement) {
            return;
        }
        if let CoordinatorEvent::QuotaWritten(subject, _) = &event
            && let Some(position) = self.stray_quotas.iter().position(|stray| stray == subject)
        {
            self.stray_quotas.swap_remove(position);
            if let Some(leading) = &mut self.leading {
                leading.quotas.stray_answered(subject);
            }
            return;
        }
        let settings = self.shared.settings.clone();
        let fault = match &event {
            CoordinatorEvent::PlacementRead(result) => result.as_ref().err().copied(),
            CoordinatorEvent::PlacementWritten(result)
            | CoordinatorEvent::QuotaWritten(_, result) => result.as_ref().err().copied(),
            CoordinatorEvent::QuotasRead(result) => result.as_ref().err().copied(),
            _ => None,
        };
        self.note_store(fault, now);
        let Some(leading) = &mut self.leading else {
            return;
        };
        let change = match event {
            CoordinatorEvent::PlacementRead(result) => {
                leading.placement.on_read(result, now, &settings)
            }
            CoordinatorEvent::PlacementWritten(result) => {
                leading.placement.on_written(result, now, &settings)
            }
            CoordinatorEvent::QuotasRead(result) => {
                leading.quotas.on_read_all(result, now, &settings);
                PlacementChange::None
            }
            CoordinatorEvent::QuotaChanged(revision, quota) => {
                leading.quotas.on_changed(revision, quota);
                PlacementChange::None
            }
            CoordinatorEvent::QuotaWritten(subject, result) => {
                leading.quotas.on_written(&subject, result, now, &settings);
                PlacementChange::None
            }
            _ => PlacementChange::None,
        };
        match change {
            PlacementChange::None => {}
            PlacementChange::Lost => leading.overtaken = true,
            PlacementChange::Fenced => actions.push(CoordinatorAction::Lead(leading.term)),
        }
    }

    /// Takes in what a runner or its observer says.
    fn take_in_runner(
        &mut self,
        event: CoordinatorEvent,
        now: Timestamp,
        configuration: &Configuration,
    ) {
        let context = self.shared.context(now, configuration);
        let Some(leading) = &mut self.leading else {
            return;
        };
        match event {
            CoordinatorEvent::OrderAnswered {
                runner,
                order,
                answer,
            } => leading.apply_answer(&runner, order, answer, &context),
            CoordinatorEvent::InventoryRead { runner, inventory } => {
                leading.apply_inventory(&runner, inventory, now);
            }
            CoordinatorEvent::LoadReported(runner, report) => {
                if let Some(runner) = leading.runners.get_mut(&runner) {
                    runner.report = report;
                }
            }
            _ => {}
        }
    }

    fn note_store(&mut self, fault: Option<StoreFault>, now: Timestamp) {
        match fault {
            None | Some(StoreFault::Conflict) => self.shared.store_failing_since = None,
            Some(StoreFault::Unavailable | StoreFault::Unknown) => {
                self.shared.store_failing_since.get_or_insert(now);
            }
        }
    }

    fn lease_changed(
        &mut self,
        change: LeaseChange,
        now: Timestamp,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        match change {
            LeaseChange::None => {}
            LeaseChange::Lost => self.resign(actions),
            LeaseChange::Taken(term) => {
                self.resign(actions);
                let generator = ChaCha8Rng::seed_from_u64(self.generator.random());
                let mut leading = Leading::new(
                    term,
                    &self.shared.zone,
                    &self.shared.settings,
                    self.shared.weakness,
                    now,
                    generator,
                );
                leading.quotas.await_strays(&self.stray_quotas);
                if let Some(machines) = &self.machines {
                    leading.apply_machines(machines, now);
                }
                self.leading = Some(leading);
            }
        }
    }

    fn resign(&mut self, actions: &mut Vec<CoordinatorAction>) {
        let Some(leading) = self.leading.take() else {
            return;
        };
        self.stray_placement |= leading.placement.is_busy();
        self.stray_quotas.extend(leading.quotas.outstanding());
        if leading.placement.fenced() {
            actions.push(CoordinatorAction::Resign);
        }
    }

    /// Plans if there is reason to, and sends what is due.
    fn advance(
        &mut self,
        asked: Option<(DaemonName, ArtifactId)>,
        now: Timestamp,
        configuration: &Configuration,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let context = self.shared.context(now, configuration);
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.apply_configuration(configuration);
        if leading.placement.fenced() && (self.changed || now >= self.next_plan) {
            leading.plan(&context);
            leading.answer_changes(&context);
            self.changed = false;
            self.next_plan = now + PLAN_INTERVAL;
        }
        leading.drive_runners(&context);
        if !self.stray_placement {
            let step = leading.placement.step(now, context.may_record);
            leading.actions.extend(step);
        }
        if let Some((gateway, artifact)) = asked {
            leading.answer_gateway(&gateway, &artifact, &context);
        }
        actions.append(&mut leading.actions);
    }

    /// The term under which this daemon coordinates the zone, if it does.
    pub fn leading(&self) -> Option<Term> {
        let leading = self.leading.as_ref()?;
        leading.placement.fenced().then_some(leading.term)
    }

    /// The zone's runners as the coordinator knows them.
    pub fn runners(&self) -> Vec<RunnerView> {
        let leading = self.leading.as_ref();
        leading.map_or_else(Vec::new, |leading| leading.runner_views(self.last_now))
    }

    /// The zone's slots and what is in them.
    pub fn replicas(&self) -> Vec<ReplicaView> {
        let leading = self.leading.as_ref();
        leading.map_or_else(Vec::new, |leading| leading.replica_views(self.last_now))
    }

    /// Artifacts that requests wait for.
    pub fn waiting(&self) -> Vec<WaitingView> {
        let demands = &self.shared.demands;
        let summaries = demands
            .artifacts()
            .filter_map(|artifact| Some((artifact, demands.summary(artifact)?)));
        summaries
            .filter(|(_, summary)| summary.waiting > 0)
            .map(|(artifact, summary)| WaitingView {
                artifact: artifact.clone(),
                waiting: summary.waiting,
                since: self
                    .last_now
                    .since(summary.waiting_since.unwrap_or(self.last_now)),
                priority: summary.priority,
            })
            .collect()
    }

    /// Artifacts whose loads have failed and have not succeeded since.
    pub fn failing(&self) -> Vec<ArtifactId> {
        let leading = self.leading.as_ref();
        leading.map_or_else(Vec::new, |leading| leading.failures.artifacts())
    }

    /// The last decisions about a model's artifacts with their age, latest first.
    pub fn explain(&self, model: &ModelName) -> Vec<(Duration, Decision)> {
        self.journal.explain(model, self.last_now)
    }
}
