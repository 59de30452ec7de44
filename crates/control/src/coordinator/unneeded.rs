//! Unloads replicas that are not needed and releases slots that are not allowed or not needed.

use std::collections::BTreeSet;

use flaxward_types::engine::HeldState;
use flaxward_types::records::{QuotaSubject, Slot};
use flaxward_types::{ArtifactId, RunnerName, Timestamp};

use super::interface::UnloadReason;
use super::leading::{Context, Leading, slot};
use super::loads::Tier;
use super::placement::subject_of;
use super::plan_scope::next_slice;
use crate::keep_alive::KeepAliveDecision;

impl Leading {
    /// Unloads replicas that are not allowed, on leaving runners, idle or surplus.
    pub(super) fn unload_unneeded(&mut self, scope: &BTreeSet<ArtifactId>, context: &Context) {
        let mut checked = self.held_slice(context);
        checked.extend(scope.iter().cloned());
        checked.sort();
        checked.dedup();
        let mut due = Vec::new();
        for artifact in &checked {
            for (name, state) in self.holdings.of(artifact) {
                let key = slot(artifact, name);
                let is_ready = state == HeldState::Ready && !self.unloads.contains_key(&key);
                if !is_ready {
                    continue;
                }
                if let Some(reason) = self.unload_reason(&key, context) {
                    due.push((key, reason));
                }
            }
        }
        for (key, reason) in due {
            self.unload_after_adapters(&key, reason);
        }
        self.unload_surplus(scope, context);
    }

    fn unload_reason(&self, key: &Slot, context: &Context) -> Option<UnloadReason> {
        let recorded = self.placement.slots().contains(key) || self.placement.is_being_added(key);
        if !recorded {
            return Some(UnloadReason::NoSlot);
        }
        if self.is_removed(&key.artifact, context) {
            return Some(UnloadReason::Rule);
        }
        let is_leaving = self.drained.contains(&key.runner)
            || self
                .runners
                .get(&key.runner)
                .is_some_and(super::runner::Runner::leaving);
        if is_leaving && !self.waits_for_replacement(&key.artifact, context) {
            return Some(UnloadReason::Leaving);
        }
        let idle = !is_leaving && self.is_idle(key, context);
        idle.then_some(UnloadReason::Idle)
    }

    /// Whether an artifact has been removed from the configuration, and is not merely missing because
    /// the local configuration is older than the quota record.
    fn is_removed(&self, artifact: &ArtifactId, context: &Context) -> bool {
        let record = self.quotas.record(&subject_of(artifact));
        let known = record.map(|quota| quota.rule).unwrap_or_default();
        let configuration = context.configuration;
        configuration.bytes(artifact).is_none() && known <= configuration.revision()
    }

    /// Whether a replica on a leaving runner is kept until its replacement is ready.
    fn waits_for_replacement(&self, artifact: &ArtifactId, context: &Context) -> bool {
        let Some(target) = self.wanted.get(artifact) else {
            return false;
        };
        let ready = self.ready_on(artifact, context.now).count();
        let live = self.live_replicas(artifact, context.now);
        live >= target.replicas && ready < usize::try_from(target.replicas).unwrap_or(usize::MAX)
    }

    fn is_idle(&self, key: &Slot, context: &Context) -> bool {
        if self.wanted.contains_key(&key.artifact) || self.carries_wanted_adapter(key) {
            return false;
        }
        let used = self.last_use(key, context);
        let decision = self.keep_alive(&key.artifact, context);
        !decision.wants_loaded(context.now.since(used))
    }

    /// When the artifact in a slot, or an adapter loaded on it, was last in use. A replica counts as
    /// in use when it becomes ready.
    pub(super) fn last_use(&self, key: &Slot, context: &Context) -> Timestamp {
        let ready = self.ready_since.get(key).copied().unwrap_or(self.since);
        let own = context.demands.last_active(&key.artifact);
        let adapters = self
            .adapters_on(key)
            .filter_map(|adapter| context.demands.last_active(&adapter))
            .max();
        ready
            .max(own.unwrap_or_default())
            .max(adapters.unwrap_or_default())
    }

    fn keep_alive(&self, artifact: &ArtifactId, context: &Context) -> KeepAliveDecision {
        let bytes = context.configuration.bytes(artifact).unwrap_or(0);
        let load_time = self.speeds.duration(self.nearest_tier(artifact), bytes);
        context
            .keep_alive
            .decide_for_size(artifact, context.now, &self.policy, load_time, bytes)
    }

    /// The fastest storage tier from which an artifact could be reloaded in this zone.
    fn nearest_tier(&self, artifact: &ArtifactId) -> Tier {
        let inventories = self
            .runners
            .values()
            .filter(|runner| !runner.leaving())
            .filter_map(|runner| runner.inventory.as_ref());
        inventories
            .map(|inventory| Tier::of(artifact, inventory))
            .min()
            .unwrap_or(Tier::Remote)
    }

    /// Updates the set of artifacts to prewarm, for a slice of the configured artifacts.
    pub(super) fn find_prewarmed(&mut self, context: &Context) {
        let slice = next_slice(
            &mut self.cursors.prewarmed,
            self.configured_artifacts.len(),
            context,
        );
        for index in slice {
            let artifact = self.configured_artifacts[index].clone();
            let changed = if self.is_prewarm_due(&artifact, context) {
                self.prewarmed.insert(artifact.clone())
            } else {
                self.prewarmed.remove(&artifact)
            };
            if changed {
                self.touched.insert(artifact);
            }
        }
    }

    fn is_prewarm_due(&self, artifact: &ArtifactId, context: &Context) -> bool {
        let last_use = context.keep_alive.last_use(artifact);
        last_use.is_some_and(|last_use| {
            let idle = context.now.since(last_use);
            self.keep_alive(artifact, context).wants_prewarm(idle)
        })
    }

    /// Unloads one replica of each artifact that has had a surplus for its whole keep-alive time.
    fn unload_surplus(&mut self, scope: &BTreeSet<ArtifactId>, context: &Context) {
        let mut due = Vec::new();
        let mut surplus_since = std::mem::take(&mut self.surplus_since);
        surplus_since.retain(|artifact, _| self.has_surplus(artifact, context.now));
        let known: BTreeSet<ArtifactId> = surplus_since.keys().cloned().collect();
        for artifact in scope.union(&known) {
            if !self.has_surplus(artifact, context.now) {
                continue;
            }
            let since = *surplus_since.entry(artifact.clone()).or_insert(context.now);
            let surplus = context.now.since(since);
            if !self.keep_alive(artifact, context).wants_loaded(surplus) {
                due.extend(self.least_busy(artifact, context.now));
            }
        }
        self.surplus_since = surplus_since;
        for key in due {
            self.surplus_since.remove(&key.artifact);
            self.unload_after_adapters(&key, UnloadReason::Idle);
        }
    }

    fn has_surplus(&self, artifact: &ArtifactId, now: Timestamp) -> bool {
        let needed = self
            .wanted
            .get(artifact)
            .map_or(0, |target| target.replicas);
        let ready = self.ready_on(artifact, now).count();
        needed > 0 && ready > usize::try_from(needed).unwrap_or(usize::MAX)
    }

    fn least_busy(&self, artifact: &ArtifactId, now: Timestamp) -> Option<Slot> {
        let busy = |name: &RunnerName| {
            self.runners
                .get(name)
                .map_or(0, |runner| runner.report.running + runner.report.waiting)
        };
        let name = self
            .ready_on(artifact, now)
            .filter(|name| !self.carries_wanted_adapter(&slot(artifact, name)))
            .min_by_key(|name| busy(name))?;
        Some(slot(artifact, name))
    }

    /// Finds useless slots in a slice of all slots. They are remembered until they are released,
    /// because each plan requests its changes from scratch.
    pub(super) fn find_useless_slots(&mut self, context: &Context) {
        for key in self.slot_slice(context) {
            if self.is_useless(&key, context) {
                self.unused_slots.insert(key);
            }
        }
    }

    /// Requests removal of the useless slots and of those on machines that are gone.
    pub(super) fn release_slots(&mut self, context: &Context) {
        let mut useless = std::mem::take(&mut self.unused_slots);
        useless.retain(|key| self.placement.slots().contains(key) && self.is_useless(key, context));
        let gone = self.departed.iter();
        let of_gone = gone.flat_map(|name| self.placement.on_runner(name));
        let given_up: Vec<Slot> = of_gone.chain(&useless).cloned().collect();
        for key in given_up {
            self.placement.request_removal(&key);
        }
        self.unused_slots = useless;
    }

    /// Whether a slot is empty and either not allowed by the configuration or on a runner that does
    /// not serve.
    fn is_useless(&self, key: &Slot, context: &Context) -> bool {
        let useless =
            self.is_removed(&key.artifact, context) || !self.serves(&key.runner, context.now);
        useless && self.is_empty(key, context) && !self.loads.contains_key(key)
    }

    /// Releases slots of the given subjects down to the goals that their quotas set.
    pub(super) fn release_excess(&mut self, subjects: &BTreeSet<QuotaSubject>, context: &Context) {
        for subject in subjects {
            if self.quotas.record(subject).is_some() {
                self.release_down_to_goal(subject, context);
            }
        }
    }

    fn release_down_to_goal(&mut self, subject: &QuotaSubject, context: &Context) {
        let planned = self.placement.planned_slots(subject);
        let rule = self.rule(subject, context);
        let need = self.need(subject, context);
        let goal = self.quotas.goal(subject, &rule, &need);
        self.goals.insert(subject.clone(), goal);
        let mut excess = planned.saturating_sub(goal);
        // A replica can become releasable to requesting zones merely because time passes, without an
        // event, so the subject is checked again in each plan.
        let is_requested =
            self.quotas.requested_by_others(subject) > 0 && self.quotas.units(subject) > 0;
        if excess > 0 || is_requested {
            self.contested.insert(subject.clone());
        } else {
            self.contested.remove(subject);
        }
        if excess == 0 {
            return;
        }
        let slots = self.placement.slots().of_subject(subject);
        let mut slots: Vec<Slot> = slots.cloned().collect();
        slots.sort_by_key(|key| {
            (
                !self.is_empty(key, context),
                self.wanted.contains_key(&key.artifact),
                context.demands.last_active(&key.artifact),
            )
        });
        for key in slots {
            if excess == 0 {
                return;
            }
            excess -= u32::from(self.release(&key, context));
        }
    }

    /// Releases a slot or starts to unload it. Returns false if neither is possible now.
    fn release(&mut self, key: &Slot, context: &Context) -> bool {
        if self.placement.is_addition_requested(key) {
            return false;
        }
        if self.is_empty(key, context) {
            self.remove_load(key);
            self.placement.request_removal(key);
            return true;
        }
        self.unload_after_adapters(key, UnloadReason::Rule);
        self.unloads.contains_key(key)
    }
}
