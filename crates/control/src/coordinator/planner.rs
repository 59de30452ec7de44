//! One plan: what is wanted, what to load for it, what to unload, which records to write.

use std::collections::BTreeSet;
use std::time::Duration;

use flaxward_types::engine::HeldState;
use flaxward_types::records::{QuotaSubject, Slot};
use flaxward_types::time::millis;
use flaxward_types::{ArtifactId, ResultCode, RunnerName, Timestamp};

use super::choice::Choice;
use super::demand::{DemandSummary, RUNNING_PER_REPLICA};
use super::interface::DecisionKind;
use super::leading::{Block, Context, Leading, Wanted, slot};
use super::loads::{Load, Stage};
use super::placement::subject_of;
use super::wants::Want;

/// Waiting for longer than this on a loaded model calls for one more replica.
const SCALE_OUT_AFTER: Duration = Duration::from_secs(1);
/// Time between looks at what changes slowly: homes, rules, quotas of others.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
/// Time between whole slices of what no event has touched.
const SLICE_INTERVAL: Duration = Duration::from_millis(250);

impl Leading {
    /// Decides all that can be decided now about the artifacts in focus, which it returns.
    pub(super) fn plan(&mut self, context: &Context) -> BTreeSet<ArtifactId> {
        if !context.has_configuration() {
            self.touch_where(|_| true, context);
            return std::mem::take(&mut self.touched);
        }
        self.placement.clear_wishes();
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
        let mut focus = self.take_focus(context);
        self.settle_loads(context);
        self.settle_unloads();
        self.renew_wants(&mut focus, context);
        let mut subjects = self.subjects_due(&focus, housekeeping, context);
        // What must go first goes before anything is loaded, so that it is not loaded again.
        self.release_excess(&subjects, context);
        if housekeeping {
            self.find_useless_slots(context);
        }
        self.release_slots(context);
        self.pursue_all(&focus, context);
        self.advance_loads(context);
        self.unload_unneeded(&focus, context);
        if housekeeping {
            self.find_homes(context);
        }
        subjects.extend(self.homes_wanted.iter().cloned());
        self.step_quotas(&subjects, context);
        focus.extend(self.touched.iter().cloned());
        focus
    }

    /// Works out anew what is wanted of the artifacts in focus and of a slice of the others. Where
    /// that is something else than before, they come into focus as well.
    fn renew_wants(&mut self, focus: &mut BTreeSet<ArtifactId>, context: &Context) {
        for artifact in focus.iter() {
            self.wanted.set(artifact, self.want(artifact, context));
        }
        for artifact in self.wanted_slice(context) {
            let want = self.want(&artifact, context);
            if self.wanted.set(&artifact, want) {
                focus.insert(artifact.base());
                focus.insert(artifact);
            }
        }
    }

    /// Runners on which an artifact is held and not on its way out.
    pub(super) fn staying(
        &self,
        artifact: &ArtifactId,
        now: Timestamp,
    ) -> impl Iterator<Item = (&RunnerName, HeldState)> {
        let goes = self.unloads.keys().any(|slot| slot.artifact == *artifact);
        self.holdings.of(artifact).filter(move |(name, state)| {
            *state != HeldState::Unloading
                && self.serves(name, now)
                && !(goes && self.unloads.contains_key(&slot(artifact, name)))
        })
    }

    /// Runners on which an artifact takes requests.
    pub(super) fn ready_on(
        &self,
        artifact: &ArtifactId,
        now: Timestamp,
    ) -> impl Iterator<Item = &RunnerName> {
        self.staying(artifact, now)
            .filter(|(_, state)| *state == HeldState::Ready)
            .map(|(name, _)| name)
    }

    /// Replicas ready or on their way.
    pub(super) fn live_replicas(&self, artifact: &ArtifactId, now: Timestamp) -> u32 {
        let mut runners: BTreeSet<&RunnerName> =
            self.staying(artifact, now).map(|(name, _)| name).collect();
        let loading = self
            .loads
            .keys()
            .filter(|slot| slot.artifact == *artifact && self.active_load(slot, now).is_some());
        runners.extend(loading.map(|slot| &slot.runner));
        u32::try_from(runners.len()).unwrap_or(u32::MAX)
    }

    /// What is wanted for the sake of an artifact: by demand, by a rule, or ahead of need.
    fn want(&self, artifact: &ArtifactId, context: &Context) -> Option<Want> {
        let demanded = self.demanded(artifact, context);
        let kept = self.kept.get(artifact).map(|replicas| (*replicas, true));
        let prewarmed = self.prewarmed.contains(artifact).then_some((1, false));
        let others = kept.into_iter().chain(prewarmed);
        let others = others.map(|(replicas, firm)| unasked(artifact, replicas, firm));
        demanded
            .into_iter()
            .chain(others)
            .reduce(|all, want| all.merged(&want))
    }

    fn demanded(&self, artifact: &ArtifactId, context: &Context) -> Option<Want> {
        let bytes = context.configuration.bytes(artifact)?;
        let own = self.wanted_by_demand(artifact, context)?;
        let of_base = artifact.is_adapter().then(|| Wanted {
            replicas: self.bases_for(artifact, context),
            extra_bytes: bytes,
            ..own.clone()
        });
        Some(Want { own, of_base })
    }

    fn wanted_by_demand(&self, artifact: &ArtifactId, context: &Context) -> Option<Wanted> {
        let summary = context.demands.summary(artifact)?;
        let model = context.configuration.model(&artifact.model)?;
        if model.serving != artifact.version && self.is_left_over(artifact, &summary) {
            return None;
        }
        let ready = u32::try_from(self.ready_on(artifact, context.now).count()).unwrap_or(u32::MAX);
        let latest = self
            .ready_on(artifact, context.now)
            .filter_map(|name| self.ready_since.get(&slot(artifact, name)));
        let latest = latest.max().copied().unwrap_or(self.since);
        let waits = summary
            .waiting_since
            .is_some_and(|since| context.now.since(since.max(latest)) >= SCALE_OUT_AFTER);
        let crowded = summary.running > RUNNING_PER_REPLICA.saturating_mul(ready);
        let more = ready > 0 && (waits || crowded);
        let limit = self.rule(&subject_of(artifact), context).limit.max(1);
        Some(Wanted {
            replicas: (ready.max(1) + u32::from(more)).min(limit),
            priority: summary.priority.max(model.priority),
            deadline: summary.deadline,
            extra_bytes: 0,
            firm: true,
        })
    }

    /// Whether demand for a version that is held nowhere is what is left from before it made way for
    /// another one: those who waited then were sent to the replica there was.
    fn is_left_over(&self, artifact: &ArtifactId, demand: &DemandSummary) -> bool {
        let is_gone = !self.holdings.contains(artifact);
        is_gone && demand.waiting_told <= self.replaced_at.get(artifact).copied()
    }

    /// Decides loads for all in focus that is wanted, the most urgent first. What was blocked is in
    /// focus.
    fn pursue_all(&mut self, focus: &BTreeSet<ArtifactId>, context: &Context) {
        self.blocks.clear();
        self.drop_unwanted_loads();
        let wanted =
            |artifact: &ArtifactId| Some((artifact.clone(), self.wanted.get(artifact)?.clone()));
        let mut queue: Vec<(ArtifactId, Wanted)> = focus.iter().filter_map(wanted).collect();
        queue.sort_by_key(|(artifact, wanted)| {
            (
                std::cmp::Reverse(wanted.priority),
                wanted.deadline,
                artifact.clone(),
            )
        });
        for (artifact, wanted) in queue {
            self.pursue(&artifact, &wanted, context);
        }
    }

    /// Drops loads that nobody wants any more and that have not been ordered.
    fn drop_unwanted_loads(&mut self) {
        let wanted = &self.wanted;
        self.loads
            .retain(|slot, load| load.is_ordered() || wanted.contains_key(&slot.artifact));
        for (slot, load) in &mut self.loads {
            if let Some(wanted) = wanted.get(&slot.artifact) {
                load.priority = wanted.priority;
                load.deadline = wanted.deadline;
            }
        }
    }

    fn pursue(&mut self, artifact: &ArtifactId, wanted: &Wanted, context: &Context) {
        let now = context.now;
        for _ in self.live_replicas(artifact, now)..wanted.replicas {
            if let Some(until) = self.failures.blocked_until(artifact, now) {
                let block = Block::Refused(ResultCode::LoadFailed, until.since(now));
                self.blocks.insert(artifact.clone(), block);
                return;
            }
            match self.choose(artifact, wanted, context) {
                Ok(choice) => self.begin(artifact, wanted, &choice, context),
                Err(block) => {
                    self.blocks.insert(artifact.clone(), block);
                    return;
                }
            }
        }
    }

    fn begin(
        &mut self,
        artifact: &ArtifactId,
        wanted: &Wanted,
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
            priority: wanted.priority,
            deadline: wanted.deadline,
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

    /// Slots of a subject that are not of use where they are: their runner takes no loads and has
    /// not confirmed that it is empty.
    pub(super) fn locked_slots(&self, subject: &QuotaSubject, now: Timestamp) -> u32 {
        let locked = |slot: &&Slot| !self.takes_loads(&slot.runner, now);
        let slots = self.placement.slots().of_subject(subject);
        let count = slots.filter(locked).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

/// What is wanted that nobody has asked for.
fn unasked(artifact: &ArtifactId, replicas: u32, firm: bool) -> Want {
    let own = Wanted {
        replicas: replicas.max(1),
        priority: 0,
        deadline: Timestamp(u64::MAX),
        extra_bytes: 0,
        firm,
    };
    Want {
        of_base: artifact.is_adapter().then(|| own.clone()),
        own,
    }
}
