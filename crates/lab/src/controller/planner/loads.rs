//! What to load where, when to order it, and what to unload for it.

use std::time::Duration;

use flaxward_control::coordinator::{DecisionKind, UnloadReason};
use flaxward_types::engine::{Order, OrderAction};
use flaxward_types::{ArtifactId, OrderId, RunnerName, Timestamp};

use super::{Planner, RUNNING_PER_REPLICA, SCALE_OUT_AFTER, TERM, Wanted, millis};
use crate::controller::Command;
use crate::controller::choice::{PlannedLoad, choose};
use crate::simulation::{Source, physical_load_time};

impl Planner<'_> {
    /// Decides loads for what is wanted, the highest priority first, bases before adapters.
    pub(super) fn pursue_wanted(&mut self, now: Timestamp) {
        self.blocked.clear();
        let mut queue: Vec<(ArtifactId, u32)> = Vec::new();
        for (artifact, wanted) in &self.wanted {
            let replicas = self.replicas_wanted(artifact, wanted, now);
            if artifact.is_adapter() {
                queue.push((artifact.base(), 1));
            }
            queue.push((artifact.clone(), replicas));
        }
        queue.sort_by_key(|(artifact, _)| {
            let model = self.configuration.model(&artifact.model);
            let priority = model.map_or(0, |model| model.priority);
            let since = self.wanted.get(artifact).map(|wanted| wanted.since);
            (std::cmp::Reverse(priority), artifact.is_adapter(), since)
        });
        for (artifact, replicas) in queue {
            let live = self.runners.values().filter(|runner| runner.has(&artifact));
            let live = u32::try_from(live.count()).unwrap_or(u32::MAX);
            if live >= replicas || self.is_at_limit(&artifact) {
                continue;
            }
            if !self.decide_load(&artifact, true, now) && live == 0 {
                self.blocked.insert(artifact);
            }
        }
    }

    pub(super) fn replicas_wanted(
        &self,
        artifact: &ArtifactId,
        wanted: &Wanted,
        now: Timestamp,
    ) -> u32 {
        let ready = self
            .runners
            .values()
            .filter(|runner| runner.serves(artifact));
        let ready = u32::try_from(ready.count()).unwrap_or(u32::MAX);
        let running: u32 = wanted
            .gateways
            .values()
            .map(|(demand, _)| demand.running)
            .sum();
        let latest = self.ready_since.get(artifact).copied().unwrap_or_default();
        let waits = wanted
            .waiting_since
            .is_some_and(|since| now.since(since.max(latest)) >= SCALE_OUT_AFTER);
        let more = ready > 0 && (waits || running > RUNNING_PER_REPLICA * ready);
        let model = self.configuration.model(&artifact.model);
        let limit = model.map_or(1, |model| model.copies.at_most);
        (ready.max(1) + u32::from(more)).min(limit.max(1))
    }

    /// Whether as many replicas as allowed are anywhere, also those that are on their way out.
    pub(super) fn is_at_limit(&self, artifact: &ArtifactId) -> bool {
        let model = self.configuration.model(&artifact.model);
        let limit = model.map_or(1, |model| model.copies.at_most);
        let present = self.runners.values().filter(|runner| {
            runner.state(artifact).is_some() || runner.loads.contains_key(artifact)
        });
        present.count() >= limit as usize
    }

    /// Decides one load, making room if that is allowed. False if nothing fits.
    pub(super) fn decide_load(
        &mut self,
        artifact: &ArtifactId,
        evicts: bool,
        now: Timestamp,
    ) -> bool {
        let needed = self.configuration.bytes(artifact).unwrap_or(0);
        let wanted = &self.wanted;
        let in_use = |other: &ArtifactId| {
            wanted
                .keys()
                .any(|artifact| artifact == other || artifact.base() == *other)
        };
        let may_go = |other: &ArtifactId| evicts && !in_use(other);
        let scenario = self.scenario;
        let weights = self.weights(artifact);
        let load_time = |source| physical_load_time(scenario, source, weights);
        let Some(choice) = choose(&self.runners, artifact, needed, load_time, may_go) else {
            return false;
        };
        let Some(runner) = self.runners.get_mut(&choice.runner) else {
            return false;
        };
        let base = artifact.base();
        let mut going = runner.going_first(|other| *other != base && may_go(other));
        going.sort_by_key(|(other, _)| (self.last_use.get(other), !other.is_adapter()));
        let mut room = runner.memory().saturating_sub(runner.taken(false));
        let load = PlannedLoad {
            bytes: needed,
            source: choice.source,
            decided: now,
            ordered: false,
            expected: choice.expected,
            started: now,
        };
        runner.loads.insert(artifact.clone(), load);
        let kind = DecisionKind::Load {
            runner: choice.runner.clone(),
            estimate_ms: millis(choice.expected),
        };
        self.decided(artifact, kind);
        for (other, bytes) in going {
            if room >= needed {
                break;
            }
            room += bytes;
            self.unload(&choice.runner, &other, UnloadReason::Evicted, now);
        }
        true
    }

    pub(super) fn weights(&self, artifact: &ArtifactId) -> u64 {
        if artifact.is_adapter() {
            let adapter = self.configuration.adapter(artifact);
            return adapter.map_or(0, |spec| spec.weights.as_u64());
        }
        let version = self.configuration.version(artifact);
        version.map_or(0, |spec| spec.weights.as_u64())
    }

    pub(super) fn load_ahead(&mut self, now: Timestamp) {
        let due: Vec<ArtifactId> = self
            .load_ahead
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(artifact, _)| artifact.clone())
            .collect();
        for artifact in due {
            self.load_ahead.remove(&artifact);
            let present = self.runners.values().any(|runner| runner.has(&artifact));
            if !present && !self.is_at_limit(&artifact) {
                self.decide_load(&artifact, false, now);
            }
        }
        if let Some(next) = self.load_ahead.values().min() {
            self.next_tick = self.next_tick.min(*next);
        }
    }

    /// Orders the loads for which there is room, a base and a permit.
    pub(super) fn send_loads(&mut self, now: Timestamp) {
        let remote = |load: &&PlannedLoad| load.ordered && load.source == Source::WeightStore;
        let loads = self
            .runners
            .values()
            .flat_map(|runner| runner.loads.values());
        let mut in_progress = loads.filter(remote).count();
        let between = Duration::from_secs_f64(1.0 / self.scenario.weight_store.starts_per_second);
        let parallel = self.scenario.weight_store.parallel as usize;
        let mut queued: Vec<(Timestamp, ArtifactId, RunnerName)> = Vec::new();
        for (name, runner) in &self.runners {
            for (artifact, load) in runner.loads.iter().filter(|(_, load)| !load.ordered) {
                queued.push((load.decided, artifact.clone(), name.clone()));
            }
        }
        queued.sort();
        for (_, artifact, name) in queued {
            let Some(runner) = self.runners.get(&name) else {
                continue;
            };
            let Some(load) = runner.loads.get(&artifact) else {
                continue;
            };
            let fits = runner.taken(true) + load.bytes <= runner.memory();
            let has_base = !artifact.is_adapter() || runner.serves(&artifact.base());
            let from_store = load.source == Source::WeightStore;
            let permitted = !from_store || (in_progress < parallel && self.next_start <= now);
            if !fits || !has_base || !permitted {
                continue;
            }
            if from_store {
                in_progress += 1;
                self.next_start = now + between;
            }
            self.order_load(&name, &artifact, now);
        }
    }

    pub(super) fn order_load(&mut self, name: &RunnerName, artifact: &ArtifactId, now: Timestamp) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        let Some(load) = runner.loads.get_mut(artifact) else {
            return;
        };
        load.ordered = true;
        load.started = now;
        let action = OrderAction::Load {
            artifact: artifact.clone(),
            checkpoint: artifact.to_string(),
            bytes: load.bytes,
        };
        self.order(name, action);
    }

    pub(super) fn order(&mut self, name: &RunnerName, action: OrderAction) {
        let Some(inventory) = self
            .runners
            .get(name)
            .and_then(|known| known.inventory.as_ref())
        else {
            return;
        };
        let order = Order {
            id: OrderId(self.next_order),
            term: TERM,
            boot: inventory.boot,
            action,
        };
        self.next_order += 1;
        self.commands.push(Command::Order(name.clone(), order));
    }

    pub(super) fn unload(
        &mut self,
        name: &RunnerName,
        artifact: &ArtifactId,
        reason: UnloadReason,
        now: Timestamp,
    ) {
        if let Some(runner) = self.runners.get_mut(name) {
            runner.unloads.insert(artifact.clone(), now);
        }
        let action = OrderAction::Unload {
            artifact: artifact.clone(),
        };
        self.order(name, action);
        let kind = DecisionKind::Unload {
            runner: name.clone(),
            reason,
        };
        self.decided(artifact, kind);
        for gateway in self.informed.remove(artifact).unwrap_or_default() {
            self.answer(&gateway, artifact, now);
        }
    }
}
