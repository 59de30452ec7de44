//! Chooses where to load: the runner that should be ready first.

use std::time::Duration;

use flaxward_types::engine::HeldState;
use flaxward_types::records::{QuotaSubject, Slot};
use flaxward_types::{ArtifactId, BootId, ResultCode, RunnerName};
use xxhash_rust::xxh3::xxh3_64;

use super::leading::{Block, Context, Leading, Wanted, slot};
use super::ledger::Room;
use super::loads::{Tier, remote_queued};
use super::placement::subject_of;
use super::weakness::Weakness;

/// Time that recording a new slot is taken to cost.
const SLOT_WRITE: Duration = Duration::from_millis(100);
/// Time that unloading something idle is taken to cost.
const UNLOAD: Duration = Duration::from_secs(1);
/// Time after the start of a term in which runners may not have been sealed yet.
const SETTLING: Duration = Duration::from_secs(10);
/// When to ask again after a refusal for want of memory or quota.
const ASK_AGAIN: Duration = Duration::from_secs(5);
/// Demand that has lasted this long is not sent to other zones again for want of memory.
const ELSEWHERE_LIMIT: Duration = Duration::from_secs(10);

/// Where to load.
#[derive(Clone, Debug)]
pub(super) struct Choice {
    pub(super) runner: RunnerName,
    pub(super) boot: BootId,
    pub(super) tier: Tier,
    pub(super) estimate: Duration,
}

/// How a slot for a new replica can be had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SlotSource {
    /// The zone has a unit to spare.
    Unit,
    /// This slot is not in use and can be replaced.
    Replace(Slot),
    /// There is none.
    None,
}

impl Leading {
    /// The best runner for one more replica, or why there is none.
    pub(super) fn choose(
        &mut self,
        artifact: &ArtifactId,
        wanted: &Wanted,
        context: &Context,
    ) -> Result<Choice, Block> {
        let subject = subject_of(artifact);
        let source = self.slot_source(artifact, context);
        let may_add = source != SlotSource::None && !context.in_outage;
        let mut best: Option<(Duration, u64, Choice)> = None;
        let mut fits = false;
        let mut could_fit = false;
        let mut failed_before = false;
        for name in self.runners.keys() {
            if !self.is_candidate(artifact, name, context) {
                continue;
            }
            if self.failures.failed_on(artifact, name) {
                failed_before = true;
                continue;
            }
            let bytes = context.configuration.bytes(artifact).unwrap_or(0) + wanted.extra_bytes;
            could_fit |= self.could_fit(name, bytes);
            let room = self.room(name, bytes, context);
            if room == Room::None {
                continue;
            }
            fits = true;
            let recorded = self.placement.usable(&slot(artifact, name));
            if !recorded && !may_add {
                continue;
            }
            let Some(choice) = self.estimated(artifact, name, room, recorded, context) else {
                continue;
            };
            let key = (choice.estimate, rank(artifact, name));
            if best
                .as_ref()
                .is_none_or(|(time, hash, _)| key < (*time, *hash))
            {
                best = Some((key.0, key.1, choice));
            }
        }
        if let Some((_, _, choice)) = best {
            return Ok(choice);
        }
        let block = if fits {
            self.without_slot(artifact, &subject, context)
        } else if failed_before {
            Block::Refused(ResultCode::LoadFailed, ASK_AGAIN)
        } else {
            self.without_memory(artifact, &subject, could_fit, context)
        };
        if failed_before && matches!(block, Block::Refused(..)) {
            return Err(self.after_failures(artifact, context));
        }
        Err(block)
    }

    /// Failed loads have left nothing to try: a pause begins, and then all is tried again.
    fn after_failures(&mut self, artifact: &ArtifactId, context: &Context) -> Block {
        let until = self.failures.pause(artifact, context.now, context.settings);
        Block::Refused(ResultCode::LoadFailed, until.since(context.now))
    }

    fn is_candidate(&self, artifact: &ArtifactId, name: &RunnerName, context: &Context) -> bool {
        let wanted_slot = slot(artifact, name);
        let Some(runner) = self.runners.get(name) else {
            return false;
        };
        let free = runner.confirmed_without(artifact)
            && !self.loads.contains_key(&wanted_slot)
            && !self.unloads.contains_key(&wanted_slot);
        let has_base = !artifact.is_adapter() || self.has_base(artifact, name);
        free && has_base && self.takes_loads(name, context.now)
    }

    /// Whether the base of an adapter is on a runner, or on its way there.
    pub(super) fn has_base(&self, adapter: &ArtifactId, name: &RunnerName) -> bool {
        let base = slot(&adapter.base(), name);
        let held = self
            .runners
            .get(name)
            .and_then(|runner| runner.held(&base.artifact));
        let present =
            held.is_some_and(|held| matches!(held.state, HeldState::Ready | HeldState::Loading));
        (present || self.loads.contains_key(&base)) && !self.unloads.contains_key(&base)
    }

    fn estimated(
        &self,
        artifact: &ArtifactId,
        name: &RunnerName,
        room: Room,
        recorded: bool,
        context: &Context,
    ) -> Option<Choice> {
        let runner = self.runners.get(name)?;
        let inventory = runner.inventory.as_ref()?;
        let tier = if inventory.in_memory.contains(artifact) {
            Tier::Memory
        } else if inventory.on_disk.contains(artifact) {
            Tier::Disk
        } else {
            Tier::Remote
        };
        let bytes = context.configuration.bytes(artifact).unwrap_or(0);
        let mut estimate = self.speeds.duration(tier, bytes);
        if tier == Tier::Remote {
            estimate += self.permit_wait(estimate);
        }
        if !recorded {
            estimate += SLOT_WRITE;
        }
        if room == Room::AfterUnload {
            estimate += UNLOAD;
        }
        Some(Choice {
            runner: name.clone(),
            boot: runner.sealed_boot()?,
            tier,
            estimate,
        })
    }

    /// Time until the queue for the weight store is through, if each load takes as long as this.
    fn permit_wait(&self, one_load: Duration) -> Duration {
        let permits = self.quotas.units(&QuotaSubject::WeightStore).max(1);
        one_load * (remote_queued(&self.loads) / permits)
    }

    /// How a slot for one more replica can be had.
    pub(super) fn slot_source(&self, artifact: &ArtifactId, context: &Context) -> SlotSource {
        let subject = subject_of(artifact);
        let queued = self.loads.keys().filter(|slot| {
            subject_of(&slot.artifact) == subject
                && !self.placement.slots().contains(slot)
                && !self.placement.wished(slot)
                && !self.placement.adding(slot)
        });
        let promised = u32::try_from(queued.count()).unwrap_or(u32::MAX);
        let taken = self.placement.planned(&subject).saturating_add(promised);
        let goal = self.goals.get(&subject).copied().unwrap_or(u32::MAX);
        if taken < self.quotas.claimed_units(&subject).min(goal) {
            return SlotSource::Unit;
        }
        if promised > 0 {
            return SlotSource::None;
        }
        let mut slots = self.placement.slots().of_subject(&subject);
        let replaceable = slots.find(|slot| self.is_replaceable(slot, context));
        replaceable.map_or(SlotSource::None, |slot| SlotSource::Replace(slot.clone()))
    }

    /// Whether a recorded slot is certainly empty and not about to be used.
    pub(super) fn is_replaceable(&self, slot: &Slot, context: &Context) -> bool {
        let empty = self.is_empty(slot, context);
        let wanted_there = self.loads.contains_key(slot);
        empty && !wanted_there && self.placement.usable(slot) && context.may_record
    }

    /// Whether the runner of a slot has confirmed that it does not hold the artifact.
    pub(super) fn is_empty(&self, slot: &Slot, context: &Context) -> bool {
        if context.weakness == Weakness::EarlySlotRemoval && self.unloads.contains_key(slot) {
            return true;
        }
        let runner = self.runners.get(&slot.runner);
        runner.is_some_and(|runner| runner.confirmed_without(&slot.artifact))
            && !self.unloads.contains_key(slot)
    }

    /// Why a replica that would fit has no slot.
    fn without_slot(
        &mut self,
        artifact: &ArtifactId,
        subject: &QuotaSubject,
        context: &Context,
    ) -> Block {
        if context.in_outage {
            return self.without_slot_in_outage(subject);
        }
        let rule = self.rule(subject, context);
        if rule.limit == 0 {
            return Block::Refused(ResultCode::NoQuota, ASK_AGAIN);
        }
        if !self.quotas.loaded() || self.quotas.record(subject).is_none() {
            return Block::Waiting;
        }
        let units = self.quotas.units(subject);
        if units == 0 {
            return self.without_units(artifact, subject, context);
        }
        if !context.may_record {
            // Until the lease is confirmed, nothing can be put in the place of another slot.
            return Block::Waiting;
        }
        if self.quotas.claimed_units(subject) < units || self.slot_is_coming(artifact, context) {
            return Block::Waiting;
        }
        let others = self.quotas.other_zones(subject);
        let lasting = demand_age(artifact, context) >= ELSEWHERE_LIMIT;
        if others.is_empty() || lasting {
            return Block::Refused(ResultCode::NoQuota, ASK_AGAIN);
        }
        Block::Elsewhere(others)
    }

    /// Units cannot move while the store is down, so those who are sent on find them where they were
    /// last seen. A zone that has a unit itself has nothing better to hope for elsewhere.
    fn without_slot_in_outage(&self, subject: &QuotaSubject) -> Block {
        let others = self.quotas.other_zones(subject);
        if self.quotas.units(subject) > 0 || others.is_empty() {
            return Block::Refused(ResultCode::NoSlotInOutage, ASK_AGAIN);
        }
        Block::Elsewhere(others)
    }

    fn without_units(
        &self,
        artifact: &ArtifactId,
        subject: &QuotaSubject,
        context: &Context,
    ) -> Block {
        let others = self.quotas.other_zones(subject);
        let asked = self
            .quotas
            .record(subject)
            .is_some_and(|quota| quota.wanted.contains_key(context.zone));
        if others.is_empty() || (asked && demand_age(artifact, context) < ELSEWHERE_LIMIT) {
            return Block::Waiting;
        }
        Block::Elsewhere(others)
    }

    /// Whether a slot of the subject will be free soon: something is being unloaded or written, a
    /// runner is still to be sealed, or an idle replica of another version can go.
    fn slot_is_coming(&mut self, artifact: &ArtifactId, context: &Context) -> bool {
        let subject = &subject_of(artifact);
        let slots = self.placement.slots().of_subject(subject);
        let of_subject: Vec<Slot> = slots.cloned().collect();
        let mut coming = self.placement.planned(subject) != self.placement.bound(subject);
        // What a write of unknown outcome has left is read before anything is refused.
        coming |= !self.placement.is_settled();
        for slot in of_subject {
            coming |= self.unloads.contains_key(&slot) || self.is_settling(&slot.runner, context);
            let state = self.holdings.state(&slot.artifact, &slot.runner);
            coming |= state == Some(HeldState::Unloading);
            if !coming && self.may_yield(&slot, artifact, context) {
                self.evict(&slot);
                coming = true;
            }
        }
        coming
    }

    fn is_settling(&self, name: &RunnerName, context: &Context) -> bool {
        let Some(runner) = self.runners.get(name) else {
            return context.now.since(self.since) < SETTLING;
        };
        let sealed = runner.sealed_boot().is_some();
        !sealed && !runner.unreachable(context.now)
    }

    /// Whether a replica can make way for another artifact of the same subject, or for itself on
    /// a machine that stays.
    fn may_yield(&self, slot: &Slot, artifact: &ArtifactId, context: &Context) -> bool {
        let ready = self.runners.get(&slot.runner).is_some_and(|runner| {
            let held = runner.held(&slot.artifact);
            held.is_some_and(|held| held.state == HeldState::Ready)
        });
        if !ready || self.live_replicas(artifact, context.now) > 0 {
            return false;
        }
        if !self.serves(&slot.runner, context.now) {
            return true;
        }
        let model = context.configuration.model(&artifact.model);
        let serving = model.map(|model| &model.serving);
        let newer = serving == Some(&artifact.version) && serving != Some(&slot.artifact.version);
        slot.artifact != *artifact && (newer || self.is_evictable(slot, context))
    }

    /// Why nothing fits.
    fn without_memory(
        &self,
        artifact: &ArtifactId,
        subject: &QuotaSubject,
        could_fit: bool,
        context: &Context,
    ) -> Block {
        let settling = self
            .runners
            .keys()
            .any(|name| self.is_settling(name, context));
        let early = context.now.since(self.since) < SETTLING;
        if (settling || self.runners.is_empty()) && early {
            return Block::Waiting;
        }
        if artifact.is_adapter() && !could_fit {
            let base = self.blocks.get(&artifact.base()).cloned();
            return base.unwrap_or(Block::Waiting);
        }
        if self.leaves_soon(artifact) {
            return Block::Waiting;
        }
        let others = self.quotas.other_zones(subject);
        let lasting = demand_age(artifact, context) >= ELSEWHERE_LIMIT;
        if others.is_empty() || lasting {
            return Block::Refused(ResultCode::NoMemory, ASK_AGAIN);
        }
        Block::Elsewhere(others)
    }

    /// Whether the artifact itself is on its way out somewhere and can be loaded again after.
    fn leaves_soon(&self, artifact: &ArtifactId) -> bool {
        self.unloads.keys().any(|slot| slot.artifact == *artifact)
    }
}

/// How long an artifact has been wanted without a break.
pub(super) fn demand_age(artifact: &ArtifactId, context: &Context) -> Duration {
    let summary = context.demands.summary(artifact);
    let since = summary.map_or(context.now, |summary| summary.since);
    context.now.since(since)
}

/// Breaks ties between runners, differently for each artifact.
pub(super) fn rank(artifact: &ArtifactId, name: &RunnerName) -> u64 {
    xxh3_64(format!("{artifact} {name}").as_bytes())
}
