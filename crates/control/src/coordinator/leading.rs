//! The state of a daemon while it coordinates the zone, and how events change it.

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

/// Time to wait for a machine that has not been listed under this term before its slots are given
/// up.
const UNLISTED_GRACE: Duration = Duration::from_secs(10);

/// Input of a step besides the coordinator's own state.
#[derive(Clone, Copy)]
pub(super) struct Context<'a> {
    pub(super) now: Timestamp,
    pub(super) settings: &'a CoordinatorSettings,
    pub(super) configuration: &'a Configuration,
    pub(super) zone: &'a ZoneName,
    pub(super) zones: &'a [ZoneName],
    pub(super) demands: &'a DemandTable,
    pub(super) keep_alive: &'a KeepAlive,
    /// Whether records may be written now: the lease is valid by this daemon's own clock.
    pub(super) may_record: bool,
    /// Whether the store counts as unavailable, so that no new record can be written.
    pub(super) in_outage: bool,
    pub(super) weakness: Weakness,
}

impl Context<'_> {
    /// Whether any configuration is in force. Without one, no artifact may be treated as
    /// unconfigured.
    pub(super) fn has_configuration(&self) -> bool {
        self.configuration.revision() > Revision(0)
    }
}

/// Why a wanted artifact is not being loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Block {
    /// Another operation must complete first: a read, a write or an unload.
    Waiting,
    /// Refused, with the time after which a caller may retry.
    Refused(ResultCode, Duration),
    /// Other zones have quota units for it.
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
    /// Machines that have been removed and still have slots.
    pub(super) departed: BTreeSet<RunnerName>,
    pub(super) loads: Loads,
    pub(super) unloads: BTreeMap<Slot, Unload>,
    pub(super) failures: Failures,
    pub(super) speeds: Speeds,
    pub(super) rate: RateLimit,
    pub(super) wanted: RequirementTable,
    /// Artifacts that events have touched since the last plan.
    pub(super) touched: BTreeSet<ArtifactId>,
    /// Positions of the incremental scans.
    pub(super) cursors: Cursors,
    /// The artifacts that requests name by default, models first.
    pub(super) configured_artifacts: Vec<ArtifactId>,
    /// Subjects whose rules or slots have changed since they were last processed.
    pub(super) quotas_due: BTreeSet<QuotaSubject>,
    /// Subjects with more slots than their goals, or with units that other zones request.
    pub(super) contested: BTreeSet<QuotaSubject>,
    /// Subjects whose quotas could not be written when they were last processed.
    pub(super) unwritten_quotas: BTreeSet<QuotaSubject>,
    /// Empty slots that serve no purpose; checked again in each plan.
    pub(super) unused_slots: BTreeSet<Slot>,
    pub(super) blocks: BTreeMap<ArtifactId, Block>,
    /// Since when callers of an artifact have been redirected to the zones that have its units.
    pub(super) redirected_since: BTreeMap<ArtifactId, Timestamp>,
    pub(super) ready_since: BTreeMap<Slot, Timestamp>,
    pub(super) surplus_since: BTreeMap<ArtifactId, Timestamp>,
    pub(super) answers: Answers,
    /// When a version was last unloaded in favour of another version of its model.
    pub(super) replaced_at: BTreeMap<ArtifactId, Timestamp>,
    pub(super) holdings: Holdings,
    pub(super) policy: PolicySpec,
    pub(super) drained: BTreeSet<RunnerName>,
    pub(super) configured: Option<Revision>,
    pub(super) next_housekeeping: Timestamp,
    pub(super) next_slices: Timestamp,
    /// Whether the current plan examines full slices.
    pub(super) whole_slices: bool,
    /// Replicas that the rules keep loaded in this zone.
    pub(super) kept: BTreeMap<ArtifactId, u32>,
    /// Artifacts to load ahead of need.
    pub(super) prewarmed: BTreeSet<ArtifactId>,
    /// Number of units to which the slots of a subject are being reduced.
    pub(super) goals: BTreeMap<QuotaSubject, u32>,
    /// Quotas to claim for the home replicas.
    pub(super) homes_wanted: BTreeSet<QuotaSubject>,
    /// Highest term seen anywhere; if it exceeds the own term, the own term has ended.
    max_term: Term,
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
            departed: BTreeSet::new(),
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
            unwritten_quotas: BTreeSet::new(),
            unused_slots: BTreeSet::new(),
            blocks: BTreeMap::new(),
            redirected_since: BTreeMap::new(),
            ready_since: BTreeMap::new(),
            surplus_since: BTreeMap::new(),
            answers: Answers::default(),
            replaced_at: BTreeMap::new(),
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
            max_term: term,
            actions: Vec::new(),
            generator,
        }
    }

    /// Applies the machine list.
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
        self.departed.retain(|name| !listed.contains(name));
        if now.since(self.since) >= UNLISTED_GRACE {
            let recorded = self.placement.slots().runners();
            let unknown = recorded.filter(|name| !self.runners.contains_key(*name));
            self.departed.extend(unknown.cloned());
        }
    }

    /// Removes machines that are no longer listed and no longer answer. A machine that still
    /// answers still has its artifacts, even if an outdated list does not show it.
    pub(super) fn remove_departed(&mut self, context: &Context) {
        let timeout = context.settings.order_retry * 2;
        let silent = |runner: &Runner| runner.silent_since_unlisted(context.now) >= Some(timeout);
        let departed: Vec<RunnerName> = self
            .runners
            .iter()
            .filter(|(_, runner)| silent(runner))
            .map(|(name, _)| name.clone())
            .collect();
        for name in departed {
            self.runners.remove(&name);
            self.touched.extend(self.holdings.remove_runner(&name));
            let slots = self.placement.on_runner(&name);
            self.touched.extend(slots.map(|slot| slot.artifact.clone()));
            self.loads.retain(|slot, _| slot.runner != name);
            self.unloads.retain(|slot, _| slot.runner != name);
            self.ready_since.retain(|slot, _| slot.runner != name);
            self.departed.insert(name);
        }
        let placement = &self.placement;
        self.departed
            .retain(|name| placement.on_runner(name).next().is_some());
    }

    /// Applies the result of an inventory read. Returns whether the inventory has changed.
    pub(super) fn apply_inventory(
        &mut self,
        name: &RunnerName,
        inventory: Result<Inventory, EngineFault>,
        now: Timestamp,
    ) -> bool {
        let Some(runner) = self.runners.get_mut(name) else {
            return false;
        };
        runner.record_read(inventory.is_ok(), now);
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
            Observation::Overtaken(term) => self.observe_term(term),
        }
    }

    /// Seals runners, sends due orders, and reads inventories.
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

    /// Records a term seen in a stored record or at a runner.
    pub(super) fn observe_term(&mut self, term: Term) {
        self.max_term = self.max_term.max(term);
    }

    /// The term of a later coordinator, if one has been seen.
    pub(super) fn superseded_by(&self) -> Option<Term> {
        let max_term = self.max_term.max(self.quotas.highest_term());
        (max_term > self.term).then_some(max_term)
    }

    /// Removes a load.
    pub(super) fn remove_load(&mut self, slot: &Slot) -> Option<Load> {
        let load = self.loads.remove(slot)?;
        self.touched.insert(slot.artifact.clone());
        Some(load)
    }

    /// Records a decision.
    pub(super) fn record(&mut self, artifact: &ArtifactId, kind: DecisionKind) {
        self.actions.push(CoordinatorAction::Record(Decision {
            artifact: artifact.clone(),
            kind,
        }));
    }

    /// A load in progress on a runner that can still finish it.
    pub(super) fn active_load(&self, slot: &Slot, now: Timestamp) -> Option<&Load> {
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
