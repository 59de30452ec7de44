//! One plan: what is wanted, what to load for it, what to unload, which records to write.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flaxward_types::engine::HeldState;
use flaxward_types::records::{QuotaSubject, Slot};
use flaxward_types::{ArtifactId, ConfigurationItem, ItemKey, ResultCode, RunnerName, Timestamp};

use super::choice::Choice;
use super::interface::DecisionKind;
use super::leading::{Block, Context, Leading, Wanted, slot};
use super::loads::{Load, Stage};
use super::placement::subject_of;
use super::quota::{QuotaRule, split_units};

/// Waiting for longer than this on a loaded model calls for one more replica.
const SCALE_OUT_AFTER: Duration = Duration::from_secs(1);
/// Requests running on each replica above which one more is called for.
const RUNNING_PER_REPLICA: u32 = 32;
/// Time between looks at what changes slowly: homes, rules, quotas of others.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

impl Leading {
    /// Decides all that can be decided now.
    pub(super) fn plan(&mut self, context: &Context) {
        self.placement.clear_wishes();
        self.give_up_gone(context);
        self.settle_loads(context);
        self.settle_unloads();
        self.build_index();
        let housekeeping = context.now >= self.next_housekeeping;
        if housekeeping {
            self.next_housekeeping = context.now + HOUSEKEEPING_INTERVAL;
            self.find_prewarmed(context);
        }
        self.wanted = self.collect_wanted(context);
        let mut subjects = self.subjects_due(housekeeping);
        // What must go first goes before anything is loaded, so that it is not loaded again.
        self.release_excess(&subjects, context);
        if housekeeping || !self.gone.is_empty() {
            self.release_slots(context);
        }
        self.pursue_all(context);
        self.advance_loads(context);
        self.unload_unneeded(context);
        if housekeeping {
            self.find_homes(context);
        }
        subjects.extend(self.homes_wanted.iter().cloned());
        self.step_quotas(&subjects, context);
    }

    fn build_index(&mut self) {
        let mut index: BTreeMap<ArtifactId, Vec<(RunnerName, HeldState)>> = BTreeMap::new();
        for (name, runner) in &self.runners {
            for held in runner.holdings() {
                let replicas = index.entry(held.artifact.clone()).or_default();
                replicas.push((name.clone(), held.state));
            }
        }
        self.index = index;
    }

    /// Runners on which an artifact is held and not on its way out.
    pub(super) fn staying(
        &self,
        artifact: &ArtifactId,
        now: Timestamp,
    ) -> impl Iterator<Item = (&RunnerName, HeldState)> {
        let replicas = self.index.get(artifact).into_iter().flatten();
        replicas
            .map(|(name, state)| (name, *state))
            .filter(move |(name, state)| {
                *state != HeldState::Unloading
                    && self.serves(name, now)
                    && !self.unloads.contains_key(&slot(artifact, name))
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
            .filter(|slot| slot.artifact == *artifact && self.live_load(slot, now).is_some());
        runners.extend(loading.map(|slot| &slot.runner));
        u32::try_from(runners.len()).unwrap_or(u32::MAX)
    }

    fn collect_wanted(&self, context: &Context) -> BTreeMap<ArtifactId, Wanted> {
        let mut wanted = BTreeMap::new();
        for artifact in context.demands.artifacts() {
            let Some(bytes) = context.configuration.bytes(artifact) else {
                continue;
            };
            let Some(want) = self.wanted_by_demand(artifact, context) else {
                continue;
            };
            if artifact.is_adapter() {
                let base = Wanted {
                    replicas: self.bases_for(artifact, context),
                    extra_bytes: bytes,
                    ..want.clone()
                };
                merge(&mut wanted, artifact.base(), &base);
            }
            merge(&mut wanted, artifact.clone(), &want);
        }
        let kept = self.kept.iter().cloned();
        let prewarmed = self.prewarmed.iter().cloned().map(|artifact| (artifact, 0));
        for (artifact, replicas) in kept.chain(prewarmed) {
            let want = Wanted {
                replicas: replicas.max(1),
                priority: 0,
                deadline: Timestamp(u64::MAX),
                extra_bytes: 0,
                firm: replicas > 0,
            };
            if artifact.is_adapter() {
                merge(&mut wanted, artifact.base(), &want);
            }
            merge(&mut wanted, artifact, &want);
        }
        wanted
    }

    fn wanted_by_demand(&self, artifact: &ArtifactId, context: &Context) -> Option<Wanted> {
        let summary = context.demands.summary(artifact)?;
        let model = context.configuration.model(&artifact.model)?;
        let is_gone = !self.index.contains_key(artifact);
        if is_gone && summary.waiting == 0 && model.serving != artifact.version {
            // What is left of the demand for a version that has made way for another one.
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

    /// Replicas that the rules keep loaded in this zone.
    pub(super) fn kept_by_rule(&self, context: &Context) -> Vec<(ArtifactId, u32)> {
        let mut kept = Vec::new();
        for (key, _, item) in context.configuration.items() {
            let (ItemKey::Model(model), ConfigurationItem::Model(spec)) = (key, item) else {
                continue;
            };
            if spec.copies.at_least == 0 {
                continue;
            }
            let subject = QuotaSubject::Model(model.clone());
            let rule = self.rule(&subject, context);
            let split = split_units(&subject, spec.copies.at_least.min(rule.limit), &rule.zones);
            let share = split.get(context.zone).copied().unwrap_or(0);
            let artifact = ArtifactId {
                model: model.clone(),
                version: spec.serving.clone(),
                adapter: None,
            };
            if share > 0 && context.configuration.bytes(&artifact).is_some() {
                kept.push((artifact, share));
            }
        }
        kept
    }

    /// What the configuration says about a subject.
    pub(super) fn rule(&self, subject: &QuotaSubject, context: &Context) -> QuotaRule {
        let configuration = context.configuration;
        let revision_of = |key: &ItemKey| configuration.item(key).map(|(revision, _)| *revision);
        let all_zones: BTreeSet<_> = context.zones.iter().cloned().collect();
        let (QuotaSubject::Model(model) | QuotaSubject::Adapter(model, _)) = subject else {
            return QuotaRule {
                limit: self.policy.weight_store_parallel,
                zones: all_zones,
                revision: revision_of(&ItemKey::Policy).unwrap_or_default(),
            };
        };
        let model_key = ItemKey::Model(model.clone());
        let mut revision = revision_of(&model_key);
        let copies = configuration.model(model).map(|spec| &spec.copies);
        let mut limit = copies.map_or(0, |copies| copies.at_most);
        if let QuotaSubject::Adapter(_, adapter) = subject {
            let key = ItemKey::Adapter(model.clone(), adapter.clone());
            revision = revision.max(revision_of(&key));
            limit = match configuration.item(&key) {
                Some((_, ConfigurationItem::Adapter(spec))) if copies.is_some() => spec.at_most,
                _ => 0,
            };
        }
        let chosen = copies
            .map(|copies| &copies.zones)
            .filter(|zones| !zones.is_empty());
        let zones = match chosen {
            Some(chosen) => all_zones.intersection(chosen).cloned().collect(),
            None => all_zones,
        };
        QuotaRule {
            limit,
            zones,
            // A removed item leaves no revision behind; the configuration's own is newer.
            revision: revision.unwrap_or(configuration.revision()),
        }
    }

    /// Decides loads for all that is wanted, the most urgent first.
    fn pursue_all(&mut self, context: &Context) {
        self.blocks.clear();
        self.drop_unwanted_loads();
        let mut queue: Vec<(ArtifactId, Wanted)> = self
            .wanted
            .iter()
            .map(|(artifact, wanted)| (artifact.clone(), wanted.clone()))
            .collect();
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
        self.loads.insert(slot(artifact, &runner), load);
        let estimate_ms = u64::try_from(choice.estimate.as_millis()).unwrap_or(u64::MAX);
        let kind = DecisionKind::Load {
            runner,
            estimate_ms,
        };
        self.record(artifact, kind);
    }

    /// Slots of a subject that are not of use where they are: their runner takes no loads and has
    /// not confirmed that it is empty.
    pub(super) fn locked_slots(&self, subject: &QuotaSubject, now: Timestamp) -> u32 {
        let locked = |slot: &&Slot| {
            subject_of(&slot.artifact) == *subject && !self.takes_loads(&slot.runner, now)
        };
        let count = self.placement.slots().iter().filter(locked).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

fn merge(all: &mut BTreeMap<ArtifactId, Wanted>, artifact: ArtifactId, wanted: &Wanted) {
    let entry = all.entry(artifact).or_insert_with(|| wanted.clone());
    entry.replicas = entry.replicas.max(wanted.replicas);
    entry.priority = entry.priority.max(wanted.priority);
    entry.deadline = entry.deadline.min(wanted.deadline);
    entry.extra_bytes = entry.extra_bytes.max(wanted.extra_bytes);
    entry.firm |= wanted.firm;
}
