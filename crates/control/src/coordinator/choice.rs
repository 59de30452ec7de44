//! Chooses the runner for a load: the one with the shortest estimated time until ready.

use std::time::Duration;

use flaxward_types::engine::HeldState;
use flaxward_types::records::{QuotaSubject, Slot};
use flaxward_types::{ArtifactId, BootId, ResultCode, RunnerName};
use xxhash_rust::xxh3::xxh3_64;

use super::blocks::REFUSAL_RETRY_AFTER;
use super::leading::{Block, Context, Leading, ReplicaTarget, slot};
use super::loads::{Tier, remote_queued};
use super::memory::Headroom;
use super::placement::subject_of;
use super::weakness::Weakness;

/// Assumed duration of recording a new slot.
const SLOT_WRITE_TIME: Duration = Duration::from_millis(100);
/// Assumed duration of unloading an idle artifact.
const UNLOAD_TIME: Duration = Duration::from_secs(1);

/// The runner chosen for a load, and the estimated load time there.
#[derive(Clone, Debug)]
pub(super) struct Choice {
    pub(super) runner: RunnerName,
    pub(super) boot: BootId,
    pub(super) tier: Tier,
    pub(super) estimate: Duration,
}

/// Source of the slot for a new replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SlotSource {
    /// The zone has an unused quota unit.
    Unit,
    /// This slot is unused and can be replaced.
    Replace(Slot),
    /// No slot is available.
    None,
}

impl Leading {
    /// The best runner for one more replica, or the reason why none can take it.
    pub(super) fn choose(
        &mut self,
        artifact: &ArtifactId,
        target: &ReplicaTarget,
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
            let bytes = context.configuration.bytes(artifact).unwrap_or(0) + target.extra_bytes;
            could_fit |= self.could_fit(name, bytes);
            let room = self.headroom(name, bytes, context);
            if room == Headroom::None {
                continue;
            }
            fits = true;
            let recorded = self.placement.usable(&slot(artifact, name));
            if !recorded && !may_add {
                continue;
            }
            let Some(choice) = self.choice_with_estimate(artifact, name, room, recorded, context)
            else {
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
            self.block_without_slot(artifact, &subject, context)
        } else if failed_before {
            Block::Refused(ResultCode::LoadFailed, REFUSAL_RETRY_AFTER)
        } else {
            self.block_without_memory(artifact, could_fit, context)
        };
        if failed_before && matches!(block, Block::Refused(..)) {
            return Err(self.pause_after_failures(artifact, context));
        }
        Err(block)
    }

    fn is_candidate(&self, artifact: &ArtifactId, name: &RunnerName, context: &Context) -> bool {
        let wanted_slot = slot(artifact, name);
        let Some(runner) = self.runners.get(name) else {
            return false;
        };
        let free = runner.is_confirmed_absent(artifact)
            && !self.loads.contains_key(&wanted_slot)
            && !self.unloads.contains_key(&wanted_slot);
        let has_base = !artifact.is_adapter() || self.has_base(artifact, name);
        free && has_base && self.takes_loads(name, context.now)
    }

    /// Whether a runner holds or loads the base of an adapter, and is not unloading it.
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

    fn choice_with_estimate(
        &self,
        artifact: &ArtifactId,
        name: &RunnerName,
        room: Headroom,
        recorded: bool,
        context: &Context,
    ) -> Option<Choice> {
        let runner = self.runners.get(name)?;
        let inventory = runner.inventory.as_ref()?;
        let tier = Tier::of(artifact, inventory);
        let bytes = context.configuration.bytes(artifact).unwrap_or(0);
        let mut estimate = self.speeds.duration(tier, bytes);
        if tier == Tier::Remote {
            estimate += self.permit_wait(estimate);
        }
        if !recorded {
            estimate += SLOT_WRITE_TIME;
        }
        if room == Headroom::AfterUnload {
            estimate += UNLOAD_TIME;
        }
        Some(Choice {
            runner: name.clone(),
            boot: runner.sealed_boot()?,
            tier,
            estimate,
        })
    }

    /// Estimated wait for a weight store permit, assuming that each queued load takes this long.
    fn permit_wait(&self, one_load: Duration) -> Duration {
        let permits = self.quotas.units(&QuotaSubject::WeightStore).max(1);
        one_load * (remote_queued(&self.loads) / permits)
    }

    /// The source of the slot for one more replica of an artifact.
    pub(super) fn slot_source(&self, artifact: &ArtifactId, context: &Context) -> SlotSource {
        let subject = subject_of(artifact);
        let queued = self.loads.keys().filter(|slot| {
            subject_of(&slot.artifact) == subject
                && !self.placement.slots().contains(slot)
                && !self.placement.is_addition_requested(slot)
                && !self.placement.is_being_added(slot)
        });
        let promised = u32::try_from(queued.count()).unwrap_or(u32::MAX);
        let taken = self
            .placement
            .planned_slots(&subject)
            .saturating_add(promised);
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

    /// Whether a recorded slot is certainly empty and has no load pending.
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
        runner.is_some_and(|runner| runner.is_confirmed_absent(&slot.artifact))
            && !self.unloads.contains_key(slot)
    }
}

/// Tie-breaking hash for equal estimates, different for each artifact.
pub(super) fn rank(artifact: &ArtifactId, name: &RunnerName) -> u64 {
    xxh3_64(format!("{artifact} {name}").as_bytes())
}
