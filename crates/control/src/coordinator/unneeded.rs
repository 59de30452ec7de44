//! Unloads what is not needed and gives up slots that are not allowed or not needed.

use std::collections::BTreeSet;

use flaxward_types::engine::HeldState;
use flaxward_types::records::{QuotaSubject, Slot};
use flaxward_types::{ArtifactId, RunnerName, Timestamp};

use super::focus::next_slice;
use super::interface::UnloadReason;
use super::leading::{Context, Leading, slot};
use super::loads::Tier;
use super::placement::subject_of;
use crate::keep_alive::KeepAliveDecision;

impl Leading {
    /// Unloads replicas that are not allowed, leaving, idle or more than needed.
    pub(super) fn unload_unneeded(&mut self, focus: &BTreeSet<ArtifactId>, context: &Context) {
        let mut looked_at = self.held_slice(context);
        looked_at.extend(focus.iter().cloned());
        looked_at.sort();
        looked_at.dedup();
        let mut due = Vec::new();
        for artifact in &looked_at {
            for (name, state) in self.holdings.of(artifact) {
                let key = slot(artifact, name);
                let settled = state == HeldState::Ready && !self.unloads.contains_key(&key);
                if !settled {
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
        self.unload_surplus(focus, context);
    }

    fn unload_reason(&self, key: &Slot, context: &Context) -> Option<UnloadReason> {
        let recorded = self.placement.slots().contains(key) || self.placement.adding(key);
        if !recorded {
            return Some(UnloadReason::NoSlot);
        }
        if self.is_removed(&key.artifact, context) {
            return Some(UnloadReason::Rule);
        }
        let leaving = self.drained.contains(&key.runner)
            || self
                .runners
                .get(&key.runner)
                .is_some_and(super::runner::Runner::leaving);
        if leaving && !self.waits_for_replacement(&key.artifact, context) {
            return Some(UnloadReason::Leaving);
        }
        let idle = !leaving && self.is_idle(key, context);
        idle.then_some(UnloadReason::Idle)
    }

    /// Whether an artifact is configured no longer, and not only by an outdated configuration.
    fn is_removed(&self, artifact: &ArtifactId, context: &Context) -> bool {
        let record = self.quotas.record(&subject_of(artifact));
        let known = record.map(|quota| quota.rule).unwrap_or_default();
        let configuration = context.configuration;
        configuration.bytes(artifact).is_none() && known <= configuration.revision()
    }

    /// Whether a replica on a leaving runner stays until the one that replaces it is ready.
    fn waits_for_replacement(&self, artifact: &ArtifactId, context: &Context) -> bool {
        let Some(wanted) = self.wanted.get(artifact) else {
            return false;
        };
        let ready = self.ready_on(artifact, context.now).count();
        let live = self.live_replicas(artifact, context.now);
        live >= wanted.replicas && ready < usize::try_from(wanted.replicas).unwrap_or(usize::MAX)
    }

    fn is_idle(&self, key: &Slot, context: &Context) -> bool {
        if self.wanted.contains_key(&key.artifact) || self.carries_wanted_adapter(key) {
            return false;
        }
        let used = self.last_use(key, context);
        let decision = self.keep_alive(&key.artifact, context);
        !decision.wants_loaded(context.now.since(used))
    }

    /// When what is loaded in a slot was last wanted, by itself or for an adapter on it.
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

    /// The nearest place from which an artifact could be loaded again in this zone.
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

    /// Works out what to load ahead of need, for a slice of all that is configured.
    pub(super) fn find_prewarmed(&mut self, context: &Context) {
        let slice = next_slice(
            &mut self.cursors.prewarmed,
            self.configured_artifacts.len(),
            context,
        );
        for place in slice {
            let artifact = self.configured_artifacts[place].clone();
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

    /// Unloads one replica of what has had more than it needs for its whole keep-alive.
    fn unload_surplus(&mut self, focus: &BTreeSet<ArtifactId>, context: &Context) {
        let mut due = Vec::new();
        let mut surplus_since = std::mem::take(&mut self.surplus_since);
        surplus_since.retain(|artifact, _| self.has_surplus(artifact, context.now));
        let known: BTreeSet<ArtifactId> = surplus_since.keys().cloned().collect();
        for artifact in focus.union(&known) {
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
            .map_or(0, |wanted| wanted.replicas);
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

    /// Finds slots of no use in a slice of all. They are kept in mind until they are given up,
    /// because wishes are stated anew in each plan.
    pub(super) fn find_useless_slots(&mut self, context: &Context) {
        for key in self.slot_slice(context) {
            if self.is_useless(&key, context) {
                self.unused_slots.insert(key);
            }
        }
    }

    /// Gives up slots of machines that are gone, and those of no use.
    pub(super) fn release_slots(&mut self, context: &Context) {
        let mut useless = std::mem::take(&mut self.unused_slots);
        useless.retain(|key| self.placement.slots().contains(key) && self.is_useless(key, context));
        let gone = self.departed.iter();
        let of_gone = gone.flat_map(|name| self.placement.on_runner(name));
        let given_up: Vec<Slot> = of_gone.chain(&useless).cloned().collect();
        for key in given_up {
            self.placement.wish_removed(&key);
        }
        self.unused_slots = useless;
    }

    /// Whether a free slot is one that the configuration does not allow, or on a runner that does
    /// not serve.
    fn is_useless(&self, key: &Slot, context: &Context) -> bool {
        let useless =
            self.is_removed(&key.artifact, context) || !self.serves(&key.runner, context.now);
        useless && self.is_empty(key, context) && !self.loads.contains_key(key)
    }

    /// Frees slots of some subjects down to the goals that their quotas set.
    pub(super) fn release_excess(&mut self, subjects: &BTreeSet<QuotaSubject>, context: &Context) {
        for subject in subjects {
            if self.quotas.record(subject).is_some() {
                self.release_down_to_goal(subject, context);
            }
        }
    }

    fn release_down_to_goal(&mut self, subject: &QuotaSubject, context: &Context) {
        let planned = self.placement.planned(subject);
        let rule = self.rule(subject, context);
        let need = self.need(subject, context);
        let goal = self.quotas.goal(subject, &rule, &need);
        self.goals.insert(subject.clone(), goal);
        let mut excess = planned.saturating_sub(goal);
        // Time alone can make a replica one that may go to those who ask.
        let asked = self.quotas.asked_by_others(subject) > 0 && self.quotas.units(subject) > 0;
        if excess > 0 || asked {
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

    /// Gives up a slot, or begins to. False if nothing can be done about it now.
    fn release(&mut self, key: &Slot, context: &Context) -> bool {
        if self.placement.wished(key) {
            return false;
        }
        if self.is_empty(key, context) {
            self.remove_load(key);
            self.placement.wish_removed(key);
            return true;
        }
        self.unload_after_adapters(key, UnloadReason::Rule);
        self.unloads.contains_key(key)
    }
}
