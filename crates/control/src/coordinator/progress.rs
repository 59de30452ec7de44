//! Advances loads and unloads through their stages: slot, memory, base, permit, order, ready.

use std::time::Duration;

use flaxward_types::Timestamp;
use flaxward_types::engine::{HeldState, OrderAction};
use flaxward_types::records::{QuotaSubject, Slot};
use flaxward_types::time::millis;

use super::choice::SlotSource;
use super::interface::{DecisionKind, UnloadReason};
use super::leading::{Context, Leading, slot};
use super::loads::{Load, Stage, Tier, remote_in_progress};
use super::weakness::Weakness;

/// Permits for the weight store assumed while no quota record is known.
const PERMITS_WITHOUT_RECORD: u32 = 1;

/// Outcome of a load that was ordered.
enum LoadOutcome {
    InProgress,
    Ready,
    Failed,
    Stuck,
    /// Abandoned without an answer; only with [`Weakness::FreeOnTimeout`].
    Abandoned,
}

impl Leading {
    /// Settles ordered loads according to the inventories.
    pub(super) fn settle_loads(&mut self, context: &Context) {
        self.adopt_loads(context);
        let slots: Vec<Slot> = self.loads.keys().cloned().collect();
        for slot in slots {
            match self.outcome(&slot, context) {
                LoadOutcome::InProgress => {}
                LoadOutcome::Ready => self.load_ready(&slot, context),
                LoadOutcome::Failed => self.load_failed(&slot, context),
                LoadOutcome::Abandoned => {
                    self.load_failed(&slot, context);
                    if let Some(runner) = self.runners.get_mut(&slot.runner) {
                        runner.remove_orders(&slot.artifact);
                    }
                }
                LoadOutcome::Stuck => {
                    self.load_failed(&slot, context);
                    self.unload(&slot, UnloadReason::Evicted);
                }
            }
        }
    }

    /// Adopts loads that a former coordinator has ordered.
    fn adopt_loads(&mut self, context: &Context) {
        for (name, runner) in &self.runners {
            let Some(boot) = runner.sealed_boot().filter(|_| runner.is_in_transit()) else {
                continue;
            };
            for entry in runner.holdings() {
                let key = slot(&entry.artifact, name);
                let known = self.loads.contains_key(&key) || self.unloads.contains_key(&key);
                if entry.state != HeldState::Loading
                    || known
                    || runner.has_pending_order(&entry.artifact)
                {
                    continue;
                }
                let expected = self.speeds.duration(Tier::Remote, entry.bytes);
                let load = Load {
                    bytes: entry.bytes,
                    tier: Tier::Remote,
                    stage: Stage::Loading,
                    boot,
                    decided: context.now,
                    started: context.now,
                    expected,
                    priority: 0,
                    deadline: Timestamp(u64::MAX),
                };
                self.loads.insert(key, load);
            }
        }
    }

    fn outcome(&self, slot: &Slot, context: &Context) -> LoadOutcome {
        let (Some(load), Some(runner)) = (self.loads.get(slot), self.runners.get(&slot.runner))
        else {
            return LoadOutcome::Failed;
        };
        if !load.is_ordered() {
            return LoadOutcome::InProgress;
        }
        let Some(boot) = runner.sealed_boot() else {
            return LoadOutcome::InProgress;
        };
        if boot != load.boot {
            return LoadOutcome::Failed;
        }
        let waited = context.now.since(load.started);
        let awaited = runner.has_pending_order(&slot.artifact);
        if awaited && context.weakness == Weakness::FreeOnTimeout {
            let late = waited >= context.settings.order_retry * 2;
            return if late {
                LoadOutcome::Abandoned
            } else {
                LoadOutcome::InProgress
            };
        }
        match runner.held(&slot.artifact).map(|entry| entry.state) {
            Some(HeldState::Ready) if !awaited => LoadOutcome::Ready,
            Some(HeldState::Loading) if !awaited && waited >= context.settings.load_timeout => {
                LoadOutcome::Stuck
            }
            Some(HeldState::Ready | HeldState::Loading) => LoadOutcome::InProgress,
            _ if awaited => LoadOutcome::InProgress,
            _ => LoadOutcome::Failed,
        }
    }

    fn load_ready(&mut self, slot: &Slot, context: &Context) {
        let Some(load) = self.remove_load(slot) else {
            return;
        };
        let now = context.now;
        self.speeds
            .record(load.tier, load.bytes, now.since(load.started));
        self.failures.succeeded(&slot.artifact);
        self.ready_since.insert(slot.clone(), now);
        let took = now.since(load.decided);
        let kind = DecisionKind::Ready {
            runner: slot.runner.clone(),
            took_ms: millis(took),
        };
        self.record(&slot.artifact, kind);
    }

    /// Settles unloads according to the inventories.
    pub(super) fn settle_unloads(&mut self) {
        let slots: Vec<Slot> = self.unloads.keys().cloned().collect();
        for slot in slots {
            let (Some(unload), Some(runner)) =
                (self.unloads.get(&slot), self.runners.get(&slot.runner))
            else {
                self.unloads.remove(&slot);
                continue;
            };
            let Some(boot) = runner.sealed_boot() else {
                continue;
            };
            let state = runner.held(&slot.artifact).map(|entry| entry.state);
            let is_absent = runner.is_confirmed_absent(&slot.artifact);
            let ignored =
                unload.answered && matches!(state, Some(HeldState::Ready | HeldState::Loading));
            if is_absent || ignored || boot != unload.boot {
                self.unloads.remove(&slot);
            }
            if is_absent {
                let runner = slot.runner.clone();
                self.record(&slot.artifact, DecisionKind::Unloaded { runner });
            }
        }
    }

    /// Advances queued loads, the most urgent first.
    pub(super) fn advance_loads(&mut self, context: &Context) {
        let mut queued: Vec<(Slot, Load)> = self
            .loads
            .iter()
            .filter(|(_, load)| !load.is_ordered())
            .map(|(slot, load)| (slot.clone(), load.clone()))
            .collect();
        queued.sort_by_key(|(slot, load)| {
            (
                std::cmp::Reverse(load.priority),
                load.deadline,
                slot.artifact.is_adapter(),
                slot.clone(),
            )
        });
        for (slot, load) in queued {
            self.advance(&slot, &load, context);
        }
    }

    fn advance(&mut self, slot: &Slot, load: &Load, context: &Context) {
        let boot = self
            .runners
            .get(&slot.runner)
            .and_then(super::runner::Runner::sealed_boot);
        let has_base = !slot.artifact.is_adapter() || self.has_base(&slot.artifact, &slot.runner);
        if boot != Some(load.boot) || !has_base || !self.takes_loads(&slot.runner, context.now) {
            self.remove_load(slot);
            return;
        }
        let has_slot = self.placement.usable(slot);
        if !has_slot && !self.request_slot(slot, context) {
            self.remove_load(slot);
            return;
        }
        let fits = self.fits_now(slot, load.bytes);
        if !fits {
            self.free_memory(slot, load.bytes, context);
        }
        if !has_slot || !fits || !self.base_is_ready(slot) {
            return;
        }
        if load.tier == Tier::Remote && !self.take_permit(context) {
            return;
        }
        self.order_load(slot, load, context);
    }

    /// Requests the slot of a load. Returns false if none is available.
    fn request_slot(&mut self, slot: &Slot, context: &Context) -> bool {
        if self.placement.is_being_added(slot) || self.placement.is_addition_requested(slot) {
            return true;
        }
        if context.in_outage {
            return false;
        }
        // The load itself counts among those that have been promised a slot.
        let load = self.loads.remove(slot);
        let source = self.slot_source(&slot.artifact, context);
        if let Some(load) = load {
            self.loads.insert(slot.clone(), load);
        }
        match source {
            SlotSource::Unit => {}
            SlotSource::Replace(old) => self.placement.request_removal(&old),
            SlotSource::None => return false,
        }
        self.placement.request_addition(slot.clone());
        true
    }

    fn free_memory(&mut self, slot: &Slot, bytes: u64, context: &Context) {
        for victim in self.victims(slot, bytes, context) {
            self.evict(&victim);
        }
    }

    /// Evicts an idle replica; a base only after its adapters.
    pub(super) fn evict(&mut self, victim: &Slot) {
        self.unload_after_adapters(victim, UnloadReason::Evicted);
    }

    /// Unloads an artifact after its adapters.
    pub(super) fn unload_after_adapters(&mut self, victim: &Slot, reason: UnloadReason) {
        let adapters: Vec<_> = self.adapters_on(victim).collect();
        if adapters.is_empty() {
            self.unload(victim, reason);
        }
        for adapter in adapters {
            self.unload(&slot(&adapter, &victim.runner), reason);
        }
    }

    fn base_is_ready(&self, load: &Slot) -> bool {
        if !load.artifact.is_adapter() {
            return true;
        }
        let runner = self.runners.get(&load.runner);
        let base = runner.and_then(|runner| runner.held(&load.artifact.base()));
        base.is_some_and(|base| base.state == HeldState::Ready)
    }

    fn take_permit(&mut self, context: &Context) -> bool {
        let subject = QuotaSubject::WeightStore;
        let quota = self.quotas.record(&subject);
        let (permits, limit) = match quota {
            Some(quota) => (self.quotas.units(&subject), quota.limit),
            None => (PERMITS_WITHOUT_RECORD, self.policy.weight_store_parallel),
        };
        // In an outage no permit can be requested, so one is assumed.
        let permits = permits.max(u32::from(context.in_outage));
        if remote_in_progress(&self.loads) >= permits {
            return false;
        }
        let share = f64::from(permits) / f64::from(limit.max(1));
        let per_second = self.policy.weight_store_per_second * share;
        self.rate.take(per_second, context.now)
    }

    fn order_load(&mut self, slot: &Slot, load: &Load, context: &Context) {
        let Some(checkpoint) = context.configuration.checkpoint(&slot.artifact) else {
            self.remove_load(slot);
            return;
        };
        let action = OrderAction::Load {
            artifact: slot.artifact.clone(),
            checkpoint: checkpoint.to_owned(),
            bytes: load.bytes,
        };
        self.add_order(&slot.runner, load.boot, action);
        let expected = self.speeds.duration(load.tier, load.bytes);
        if let Some(load) = self.loads.get_mut(slot) {
            load.stage = Stage::Ordered;
            load.started = context.now;
            load.expected = expected.max(Duration::from_millis(1));
        }
    }
}
