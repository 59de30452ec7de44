//! All that a daemon knows while it coordinates the zone, and how events change it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxward_types::configuration::PolicySpec;
use flaxward_types::engine::{Inventory, Machine, MachineRole, OrderAction};
use flaxward_types::records::{QuotaSubject, Slot};
use flaxward_types::{
    ArtifactId, BootId, ResultCode, Revision, RunnerName, Term, Timestamp, ZoneName,
};
use rand_chacha::ChaCha8Rng;

use super::answers::Answers;
use super::demand::DemandTable;
use super::holdings::Holdings;
use super::interface::{
    CoordinatorAction, CoordinatorSettings, Decision, DecisionKind, EngineFault,
};
use super::loads::{Failures, Load, Loads, RateLimit, Speeds};
use super::placement::PlacementManager;
use super::plan_scope::Cursors;
use super::quota::QuotaTable;
pub(super) use super::requirements::ReplicaTarget;
use super::requirements::RequirementTable;
use super::runner::{Observation, Phase, Runner};
use super::weakness::Weakness;
use crate::configuration::Configuration;
use crate::keep_alive::KeepAlive;

/// Time that a machine which was never listed is waited for before its slots are given up.
const UNLISTED_GRACE: Duration = Duration::from_secs(10);

/// What a step may look at besides the coordinator's own state.
#[derive(Clone, Copy)]
pub(super) struct Context<'a> {
    pub(super) now: Timestamp,
    pub(super) settings: &'a CoordinatorSettings,
    pub(super) configuration: &'a Configuration,
    pub(super) zone: &'a ZoneName,
    pub(super) zones: &'a [ZoneName],
    pub(super) demands: &'a DemandTable,
    pub(super) keep_alive: &'a KeepAlive,
    /// Whether records may be written now: the lease holds by this daemon's own clock.
    pub(super) may_record: bool,
    /// Whether the store has failed for a while, so that nothing new can be recorded.
    pub(super) in_outage: bool,
    pub(super) weakness: Weakness,
}

impl Context<'_> {
    /// Whether any configuration is in force. Without one, nothing may be taken as not configured.
    pub(super) fn has_configuration(&self) -> bool {
        self.configuration.revision() > Revision(0)
    }
}

/// Why an artifact that is wanted is not being loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Block {
    /// Something else has to happen first: a read, a write, an unload.
    Waiting,
    /// Refused, and when to ask again.
    Refused(ResultCode, Duration),
    /// Other zones have units.
    Elsewhere(Vec<ZoneName>),
}

/// An unload in progress.
#[derive(Clone, Debug)]
pub(super) struct Unload {
    pub(super) boot: BootId,
    pub(super) answered: bool,
}

/// The state of a coordinator under one term.
#[derive(Debug)]
pub(super) struct Leading {
    pub(super) term: Term,
    pub(super) since: Timestamp,
    pub(super) placement: PlacementManager,
    pub(super) quotas: QuotaTable,
    pub(super) runners: BTreeMap<RunnerName, Runner>,
    /// Machines that are gone and still have slots.
    pub(super) gone: BTreeSet<RunnerName>,
    pub(super) loads: Loads,
    pub(super) unloads: BTreeMap<Slot, Unload>,
    pub(super) failures: Failures,
    pub(super) speeds: Speeds,
    pub(super) rate: RateLimit,
    pub(super) wanted: RequirementTable,
    /// Artifacts that events have touched since the last plan.
    pub(super) touched: BTreeSet<ArtifactId>,
    /// Where the slices of everything have got to.
    pub(super) cursors: Cursors,
    /// The artifacts that requests name by default, models first.
    pub(super) configured_artifacts: Vec<ArtifactId>,
    /// Subjects whose rules or slots have changed since they were last looked at.
    pub(super) quotas_due: BTreeSet<QuotaSubject>,
    /// Subjects with more slots than their goals, or with units that others ask for.
    pub(super) contested: BTreeSet<QuotaSubject>,
    /// Subjects whose quotas could not be written when they were looked at.
    pub(super) unstepped: BTreeSet<QuotaSubject>,
    /// Slots found to be of no use and free; looked at again in each plan.
    pub(super) useless: BTreeSet<Slot>,
    pub(super) blocks: BTreeMap<ArtifactId, Block>,
    /// Since when callers for an artifact have been sent to the zones that have its units.
    pub(super) sent_on: BTreeMap<ArtifactId, Timestamp>,
    pub(super) ready_since: BTreeMap<Slot, Timestamp>,
    pub(super) surplus_since: BTreeMap<ArtifactId, Timestamp>,
    pub(super) answers: Answers,
    /// When a version was last unloaded to make way for another one of its model.
    pub(super) made_way: BTreeMap<ArtifactId, Timestamp>,
    pub(super) holdings: Holdings,
    pub(super) policy: PolicySpec,
    pub(super) drained: BTreeSet<RunnerName>,
    pub(super) configured: Option<Revision>,
    pub(super) next_housekeeping: Timestamp,
    pub(super) next_slices: Timestamp,
    /// The plan in hand takes whole slices.
    pub(super) whole_slices: bool,
    /// Replicas that the rules keep loaded in this zone.
    pub(super) kept: BTreeMap<ArtifactId, u32>,
    /// Artifacts to load ahead of need.
    pub(super) prewarmed: BTreeSet<ArtifactId>,
    /// Units down to which slots are being freed.
    pub(super) goals: BTreeMap<QuotaSubject, u32>,
    /// Quotas to claim for homes.
    pub(super) homes_wanted: BTreeSet<QuotaSubject>,
    /// Highest term seen anywhere; a higher one than the own means that this term is over.
    highest: Term,
    pub(super) actions: Vec<CoordinatorAction>,
    pub(super) generator: ChaCha8Rng,
}

impl Leading {
    pub(super) fn new(
        term: Term,
        zone: &ZoneName,
        settings: &CoordinatorSettings,
        weakness: Weakness,
        now: Timestamp,
        generator: ChaCha8Rng,
    ) -> Self {
        Self {
            term,
            since: now,
            placement: PlacementManager::new(term, weakness),
            quotas: QuotaTable::new(term, zone.clone(), weakness),
            runners: BTreeMap::new(),
            gone: BTreeSet::new(),
            loads: Loads::new(),
            unloads: BTreeMap::new(),
            failures: Failures::default(),
            speeds: Speeds::new(settings),
            rate: RateLimit::default(),
            wanted: RequirementTable::default(),
            touched: BTreeSet::new(),
            cursors: Cursors::default(),
            configured_artifacts: Vec::new(),
            quotas_due: BTreeSet::new(),
            contested: BTreeSet::new(),
            unstepped: BTreeSet::new(),
            useless: BTreeSet::new(),
            blocks: BTreeMap::new(),
            sent_on: BTreeMap::new(),
            ready_since: BTreeMap::new(),
            surplus_since: BTreeMap::new(),
            answers: Answers::default(),
            made_way: BTreeMap::new(),
            holdings: Holdings::default(),
            policy: PolicySpec::default(),
            drained: BTreeSet::new(),
            configured: None,
            next_housekeeping: now,
            next_slices: now,
            whole_slices: true,
            kept: BTreeMap::new(),
            prewarmed: BTreeSet::new(),
            goals: BTreeMap::new(),
            homes_wanted: BTreeSet::new(),
            highest: term,
            actions: Vec::new(),
            generator,
        }
    }

    /// Takes in the machine list.
    pub(super) fn apply_machines(&mut self, machines: &[Machine], now: Timestamp) {
        let mut listed = BTreeSet::new();
        for machine in machines {
            if machine.role != MachineRole::Engine {
                continue;
            }
            listed.insert(machine.name.clone());
            let runner = self
                .runners
                .entry(machine.name.clone())
                .or_insert_with(|| Runner::new(machine));
            runner.address.clone_from(&machine.address);
            runner.listed_leaving = machine.leaving;
            runner.unlisted_since = None;
        }
        for (name, runner) in &mut self.runners {
            if !listed.contains(name) {
                runner.unlisted_since.get_or_insert(now);
            }
        }
        self.gone.retain(|name| !listed.contains(name));
        if now.since(self.since) >= UNLISTED_GRACE {
            let recorded = self.placement.slots().runners();
            let unknown = recorded.filter(|name| !self.runners.contains_key(*name));
            self.gone.extend(unknown.cloned());
        }
    }

    /// Gives up machines that have left the list and answer no more. One that still answers still
    /// holds what it holds, whatever a late list says.
    pub(super) fn give_up_gone(&mut self, context: &Context) {
        let patience = context.settings.order_retry * 2;
        let silent = |runner: &Runner| runner.silent_since_unlisted(context.now) >= Some(patience);
        let gone: Vec<RunnerName> = self
            .runners
            .iter()
            .filter(|(_, runner)| silent(runner))
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.runners.remove(&name);
            self.touched.extend(self.holdings.forget(&name));
            let slots = self.placement.on_runner(&name);
            self.touched.extend(slots.map(|slot| slot.artifact.clone()));
            self.loads.retain(|slot, _| slot.runner != name);
            self.unloads.retain(|slot, _| slot.runner != name);
            self.ready_since.retain(|slot, _| slot.runner != name);
            self.gone.insert(name);
        }
        let placement = &self.placement;
        self.gone
            .retain(|name| placement.on_runner(name).next().is_some());
    }

    /// Takes in a runner's inventory. Returns whether it says anything new.
    pub(super) fn apply_inventory(
        &mut self,
        name: &RunnerName,
        inventory: Result<Inventory, EngineFault>,
        now: Timestamp,
    ) -> bool {
        let Some(runner) = self.runners.get_mut(name) else {
            return false;
        };
        runner.read_answered(inventory.is_ok(), now);
        let Ok(inventory) = inventory else {
            return false;
        };
        let same = runner.inventory.as_ref() == Some(&inventory);
        self.observe(name, inventory, now);
        !same
    }

    pub(super) fn observe(&mut self, name: &RunnerName, inventory: Inventory, now: Timestamp) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        let placement = &mut self.placement;
        let next_operation = || placement.request_confirmation();
        let observation = runner.observe(inventory, self.term, now, next_operation);
        match observation {
            Observation::Stale => {}
            Observation::Applied => {
                let changed = self.holdings.replace(name, runner.holdings());
                self.touched.extend(changed);
            }
            Observation::Overtaken(term) => self.note_term(term),
        }
    }

    /// Seals runners, sends orders that are due, and reads inventories.
    pub(super) fn drive_runners(&mut self, context: &Context) {
        let verifying = |runner: &Runner| matches!(runner.phase, Phase::Verifying { .. });
        let unsealed = self.runners.iter();
        let unsealed = unsealed.filter(|(_, runner)| verifying(runner));
        let unsealed: Vec<RunnerName> = unsealed.map(|(name, _)| name.clone()).collect();
        for name in unsealed {
            self.seal_if_confirmed(&name, context);
        }
        for (name, runner) in &mut self.runners {
            let orders = runner.due_orders(context.now, context.settings.order_retry);
            let sends = orders
                .into_iter()
                .map(|order| CoordinatorAction::SendOrder {
                    runner: name.clone(),
                    address: runner.address.clone(),
                    order,
                });
            self.actions.extend(sends);
            if runner.read_due(context.now, context.settings) {
                self.actions.push(CoordinatorAction::ReadInventory {
                    runner: name.clone(),
                    address: runner.address.clone(),
                });
            }
        }
    }

    fn seal_if_confirmed(&mut self, name: &RunnerName, context: &Context) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        let Phase::Verifying { boot, operation } = runner.phase else {
            return;
        };
        if !self.placement.fenced() {
            return;
        }
        if context.weakness == Weakness::NoSeal {
            runner.seal(boot);
            return;
        }
        let confirmed = self.placement.is_confirmed(operation);
        if confirmed || context.weakness == Weakness::UnverifiedBoot {
            runner.phase = Phase::Sealing { boot };
            self.add_order(name, boot, OrderAction::Seal);
        }
    }

    /// Whether loads may be ordered on a runner.
    pub(super) fn takes_loads(&self, name: &RunnerName, now: Timestamp) -> bool {
        let Some(runner) = self.runners.get(name) else {
            return false;
        };
        runner.sealed_boot().is_some() && self.serves(name, now)
    }

    /// Whether callers' requests may go to a runner.
    pub(super) fn serves(&self, name: &RunnerName, now: Timestamp) -> bool {
        let Some(runner) = self.runners.get(name) else {
            return false;
        };
        runner.serves(now) && !self.drained.contains(name)
    }

    /// Notes a term seen in a record or at a runner.
    pub(super) fn note_term(&mut self, term: Term) {
        self.highest = self.highest.max(term);
    }

    /// The term of a later coordinator, if one has been noticed.
    pub(super) fn overtaken_by(&self) -> Option<Term> {
        let highest = self.highest.max(self.quotas.highest_term());
        (highest > self.term).then_some(highest)
    }

    /// Forgets a load.
    pub(super) fn drop_load(&mut self, slot: &Slot) -> Option<Load> {
        let load = self.loads.remove(slot)?;
        self.touched.insert(slot.artifact.clone());
        Some(load)
    }

    /// Notes a decision.
    pub(super) fn record(&mut self, artifact: &ArtifactId, kind: DecisionKind) {
        self.actions.push(CoordinatorAction::Record(Decision {
            artifact: artifact.clone(),
            kind,
        }));
    }

    /// A load in progress on a runner that can still finish it.
    pub(super) fn live_load(&self, slot: &Slot, now: Timestamp) -> Option<&Load> {
        self.loads
            .get(slot)
            .filter(|_| self.takes_loads(&slot.runner, now))
    }
}

/// The slot of an artifact on a runner.
pub(super) fn slot(artifact: &ArtifactId, runner: &RunnerName) -> Slot {
    Slot {
        artifact: artifact.clone(),
        runner: runner.clone(),
    }
}
