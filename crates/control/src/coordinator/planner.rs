//! The planning pass: computes the required replicas, the loads and unloads that follow, and the
//! records to write.

use std::collections::BTreeSet;
use std::time::Duration;

use flaxward_types::engine::HeldState;
use flaxward_types::records::{QuotaSubject, Slot};
use flaxward_types::time::millis;
use flaxward_types::{ArtifactId, ResultCode, RunnerName, Timestamp};

use super::choice::Choice;
use super::demand::{DemandSummary, RUNNING_PER_REPLICA};
use super::interface::DecisionKind;
use super::leading::{Block, Context, Leading, ReplicaTarget, slot};
use super::loads::{Load, Stage};
use super::placement::subject_of;
use super::requirements::Requirement;

/// Requests that wait longer than this for a loaded model add one replica.
const SCALE_OUT_AFTER: Duration = Duration::from_secs(1);
/// Interval of housekeeping, which checks what changes slowly: homes, rules, quotas of other zones.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between full slices of the artifacts that no event has touched.
const SLICE_INTERVAL: Duration = Duration::from_millis(250);

impl Leading {
    /// Makes all decisions that are possible now for the artifacts in scope, and returns these.
    pub(super) fn plan(&mut self, context: &Context) -> BTreeSet<ArtifactId> {
        if !context.has_configuration() {
            self.touch_where(|_| true, context);
            return std::mem::take(&mut self.touched);
        }
        self.placement.clear_requested_changes();
        self.remove_departed(context);
        let housekeeping = context.now >= self.next_housekeeping;
        if housekeeping {
            self.next_housekeeping = context.now + HOUSEKEEPING_INTERVAL;
            self.find_prewarmed(context);
        }
        self.whole_slices = context.now >= self.next_slices;
        if self.whole_slices {
            self.next_slices = context.now + SLICE_INTERVAL;
        }
        let mut scope = self.take_scope(context);
        self.settle_loads(context);
        self.settle_unloads();
        self.update_requirements(&mut scope, context);
        let mut subjects = self.subjects_due(&scope, housekeeping, context);
        // Excess slots are released before loads are decided, so that they are not loaded again.
        self.release_excess(&subjects, context);
        if housekeeping {
            self.find_useless_slots(context);
        }
        self.release_slots(context);
        self.decide_loads(&scope, context);
        self.advance_loads(context);
        self.unload_unneeded(&scope, context);
        if housekeeping {
            self.find_homes(context);
        }
        subjects.extend(self.homes_wanted.iter().cloned());
        self.step_quotas(&subjects, context);
        scope.extend(self.touched.iter().cloned());
        scope
    }

    /// Recomputes the requirements of the artifacts in scope and of a slice of the others. Artifacts
    /// of the slice whose requirements have changed are added to the scope.
    fn update_requirements(&mut self, scope: &mut BTreeSet<ArtifactId>, context: &Context) {
        for artifact in scope.iter() {
            self.wanted
                .set(artifact, self.requirement(artifact, context));
        }
        for artifact in self.wanted_slice(context) {
            let requirement = self.requirement(&artifact, context);
            if self.wanted.set(&artifact, requirement) {
                scope.insert(artifact.base());
                scope.insert(artifact);
            }
        }
    }

    /// Runners that serve requests and hold an artifact that is not being unloaded.
    pub(super) fn retaining_runners(
        &self,
        artifact: &ArtifactId,
        now: Timestamp,
    ) -> impl Iterator<Item = (&RunnerName, HeldState)> {
        let is_unloading = self.unloads.keys().any(|slot| slot.artifact == *artifact);
        self.holdings.of(artifact).filter(move |(name, state)| {
            *state != HeldState::Unloading
                && self.serves(name, now)
                && !(is_unloading && self.unloads.contains_key(&slot(artifact, name)))
        })
    }

    /// Runners on which an artifact is ready to serve requests.
    pub(super) fn ready_on(
        &self,
        artifact: &ArtifactId,
        now: Timestamp,
    ) -> impl Iterator<Item = &RunnerName> {
        self.retaining_runners(artifact, now)
            .filter(|(_, state)| *state == HeldState::Ready)
            .map(|(name, _)| name)
    }

    /// Number of replicas that are ready or loading.
    pub(super) fn live_replicas(&self, artifact: &ArtifactId, now: Timestamp) -> u32 {
        let mut runners: BTreeSet<&RunnerName> = self
            .retaining_runners(artifact, now)
            .map(|(name, _)| name)
            .collect();
        let loading = self
            .loads
            .keys()
            .filter(|slot| slot.artifact == *artifact && self.active_load(slot, now).is_some());
        runners.extend(loading.map(|slot| &slot.runner));
        u32::try_from(runners.len()).unwrap_or(u32::MAX)
    }

    /// The requirement of an artifact from demand, from a rule, or from prewarming.
    fn requirement(&self, artifact: &ArtifactId, context: &Context) -> Option<Requirement> {
        let by_demand = self.requirement_by_demand(artifact, context);
        let kept = self.kept.get(artifact).map(|replicas| (*replicas, true));
        let prewarmed = self.prewarmed.contains(artifact).then_some((1, false));
        let others = kept.into_iter().chain(prewarmed);
        let others =
            others.map(|(replicas, required)| without_demand(artifact, replicas, required));
        by_demand
            .into_iter()
            .chain(others)
            .reduce(|all, requirement| all.merged(&requirement))
    }

    fn requirement_by_demand(
        &self,
        artifact: &ArtifactId,
        context: &Context,
    ) -> Option<Requirement> {
        let bytes = context.configuration.bytes(artifact)?;
        let own = self.target_by_demand(artifact, context)?;
        let of_base = artifact.is_adapter().then(|| ReplicaTarget {
            replicas: self.required_base_replicas(artifact, context),
            extra_bytes: bytes,
            ..own.clone()
        });
        Some(Requirement { own, of_base })
    }

    fn target_by_demand(&self, artifact: &ArtifactId, context: &Context) -> Option<ReplicaTarget> {
        let summary = context.demands.summary(artifact)?;
        let model = context.configuration.model(&artifact.model)?;
        if model.serving != artifact.version && self.is_stale_demand(artifact, &summary) {
            return None;
        }
        let ready = u32::try_from(self.ready_on(artifact, context.now).count()).unwrap_or(u32::MAX);
        let latest_ready = self
            .ready_on(artifact, context.now)
            .filter_map(|name| self.ready_since.get(&slot(artifact, name)));
        let latest_ready = latest_ready.max().copied().unwrap_or(self.since);
        let waits = summary
            .waiting_since
            .is_some_and(|since| context.now.since(since.max(latest_ready)) >= SCALE_OUT_AFTER);
        let crowded = summary.running > RUNNING_PER_REPLICA.saturating_mul(ready);
        let scale_out = ready > 0 && (waits || crowded);
        let limit = self.rule(&subject_of(artifact), context).limit.max(1);
        Some(ReplicaTarget {
            replicas: (ready.max(1) + u32::from(scale_out)).min(limit),
            priority: summary.priority.max(model.priority),
            deadline: summary.deadline,
            extra_bytes: 0,
            required: true,
        })
    }

    /// Whether demand for a version that no runner holds predates its replacement by another
    /// version: the requests that waited then were sent to the replica that existed.
    fn is_stale_demand(&self, artifact: &ArtifactId, demand: &DemandSummary) -> bool {
        let is_gone = !self.holdings.contains(artifact);
        is_gone && demand.waiting_reported_at <= self.replaced_at.get(artifact).copied()
    }

    /// Decides loads for the required artifacts in scope, in order of priority and deadline. The
    /// scope includes all artifacts that were blocked.
    fn decide_loads(&mut self, scope: &BTreeSet<ArtifactId>, context: &Context) {
        self.blocks.clear();
        self.drop_unrequired_loads();
        let target_of =
            |artifact: &ArtifactId| Some((artifact.clone(), self.wanted.get(artifact)?.clone()));
        let mut queue: Vec<(ArtifactId, ReplicaTarget)> =
            scope.iter().filter_map(target_of).collect();
        queue.sort_by_key(|(artifact, target)| {
            (
                std::cmp::Reverse(target.priority),
                target.deadline,
                artifact.clone(),
            )
        });
        for (artifact, target) in queue {
            self.decide_loads_of(&artifact, &target, context);
        }
    }

    /// Drops loads that are no longer required and have not been ordered.
    fn drop_unrequired_loads(&mut self) {
        let targets = &self.wanted;
        self.loads
            .retain(|slot, load| load.is_ordered() || targets.contains_key(&slot.artifact));
        for (slot, load) in &mut self.loads {
            if let Some(target) = targets.get(&slot.artifact) {
                load.priority = target.priority;
                load.deadline = target.deadline;
            }
        }
    }

    fn decide_loads_of(
        &mut self,
        artifact: &ArtifactId,
        target: &ReplicaTarget,
        context: &Context,
    ) {
        let now = context.now;
        for _ in self.live_replicas(artifact, now)..target.replicas {
            if let Some(until) = self.failures.blocked_until(artifact, now) {
                let block = Block::Refused(ResultCode::LoadFailed, until.since(now));
                self.blocks.insert(artifact.clone(), block);
                return;
            }
            match self.choose(artifact, target, context) {
                Ok(choice) => self.queue_load(artifact, target, &choice, context),
                Err(block) => {
                    self.blocks.insert(artifact.clone(), block);
                    return;
                }
            }
        }
    }

    fn queue_load(
        &mut self,
        artifact: &ArtifactId,
        target: &ReplicaTarget,
        choice: &Choice,
        context: &Context,
    ) {
        let load = Load {
            bytes: context.configuration.bytes(artifact).unwrap_or(0),
            tier: choice.tier,
            stage: Stage::Queued,
            boot: choice.boot,
            decided: context.now,
            started: context.now,
            expected: choice.estimate,
            priority: target.priority,
            deadline: target.deadline,
        };
        let runner = choice.runner.clone();
        self.replaced_at.remove(artifact);
        self.loads.insert(slot(artifact, &runner), load);
        let estimate_ms = millis(choice.estimate);
        let kind = DecisionKind::Load {
            runner,
            estimate_ms,
        };
        self.record(artifact, kind);
    }

    /// Number of slots of a subject that cannot be used: their runner takes no loads and has not
    /// confirmed that it is empty.
    pub(super) fn locked_slots(&self, subject: &QuotaSubject, now: Timestamp) -> u32 {
        let locked = |slot: &&Slot| !self.takes_loads(&slot.runner, now);
        let slots = self.placement.slots().of_subject(subject);
        let count = slots.filter(locked).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

/// A requirement that does not come from demand.
fn without_demand(artifact: &ArtifactId, replicas: u32, required: bool) -> Requirement {
    let own = ReplicaTarget {
        replicas: replicas.max(1),
        priority: 0,
        deadline: Timestamp(u64::MAX),
        extra_bytes: 0,
        required,
    };
    Requirement {
        of_base: artifact.is_adapter().then(|| own.clone()),
        own,
    }
}
