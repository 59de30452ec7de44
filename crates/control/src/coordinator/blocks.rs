//! Why a replica that is wanted is not being loaded, and where its callers are sent.

use std::time::Duration;

use flaxward_types::engine::HeldState;
use flaxward_types::records::{QuotaSubject, Slot};
use flaxward_types::{ArtifactId, ResultCode, RunnerName, Timestamp, ZoneName};

use super::leading::{Block, Context, Leading};
use super::placement::subject_of;

/// Time after the start of a term in which runners may not have been sealed yet.
const SETTLING: Duration = Duration::from_secs(10);
/// When to ask again after a refusal for want of memory or quota.
pub(super) const ASK_AGAIN: Duration = Duration::from_secs(5);
/// Demand that has lasted this long is not sent to other zones again, for as long as
/// [`ASK_AGAIN`].
const ELSEWHERE_LIMIT: Duration = Duration::from_secs(10);

impl Leading {
    /// Failed loads have left nothing to try: a pause begins, and then all is tried again.
    pub(super) fn pause_after_failures(
        &mut self,
        artifact: &ArtifactId,
        context: &Context,
    ) -> Block {
        let until = self
            .failures
            .back_off(artifact, context.now, context.settings);
        Block::Refused(ResultCode::LoadFailed, until.since(context.now))
    }

    /// Why a replica that would fit has no slot.
    pub(super) fn without_slot(
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
        if others.is_empty() || is_refused_now(artifact, context) {
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

    /// Callers are first sent to the zones that have the units, since a replica may be ready there.
    /// Only those who keep coming back wait here for a unit that was asked for.
    fn without_units(
        &mut self,
        artifact: &ArtifactId,
        subject: &QuotaSubject,
        context: &Context,
    ) -> Block {
        let others = self.quotas.other_zones(subject);
        if !others.is_empty() {
            let redirected_since = self.redirected_since.entry(artifact.clone());
            redirected_since.or_insert(context.now);
        }
        let asked = self
            .quotas
            .record(subject)
            .is_some_and(|quota| quota.wanted.contains_key(context.zone));
        if others.is_empty() || (asked && self.asking_age(artifact, context) < ELSEWHERE_LIMIT) {
            return Block::Waiting;
        }
        Block::Elsewhere(others)
    }

    /// How long a gateway has kept on asking for an artifact after having been sent on.
    pub(super) fn asking_age(&self, artifact: &ArtifactId, context: &Context) -> Duration {
        match self.redirected_since.get(artifact) {
            Some(redirected_since) => context.demands.persistence(artifact, *redirected_since),
            // Nothing was missing here but memory.
            None if self.quotas.units(&subject_of(artifact)) == 0 => Duration::ZERO,
            None => demand_age(artifact, context),
        }
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
                self.replaced_at.insert(slot.artifact, context.now);
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
    /// a machine that stays or has room for its adapters.
    fn may_yield(&self, slot: &Slot, artifact: &ArtifactId, context: &Context) -> bool {
        let ready = self.runners.get(&slot.runner).is_some_and(|runner| {
            let held = runner.held(&slot.artifact);
            held.is_some_and(|held| held.state == HeldState::Ready)
        });
        if !ready {
            return false;
        }
        if self.live_replicas(artifact, context.now) > 0 {
            let for_adapters = slot.artifact == *artifact && !artifact.is_adapter();
            return for_adapters && self.is_stranded(slot, context);
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
    pub(super) fn without_memory(
        &self,
        artifact: &ArtifactId,
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
        let others = self.zones_with_memory(artifact, context);
        if others.is_empty() || is_refused_now(artifact, context) {
            return Block::Refused(ResultCode::NoMemory, ASK_AGAIN);
        }
        Block::Elsewhere(others)
    }

    /// Zones that may have the memory that is missing here: those with units; else all that the rule
    /// allows, since units follow the callers. The units of an adapter go to where its base may be.
    fn zones_with_memory(&self, artifact: &ArtifactId, context: &Context) -> Vec<ZoneName> {
        let subject = subject_of(&artifact.base());
        let others = self.quotas.other_zones(&subject);
        if !others.is_empty() {
            return others;
        }
        let allowed = self.rule(&subject, context).zones.into_iter();
        allowed.filter(|zone| zone != context.zone).collect()
    }

    /// Whether the artifact itself is on its way out somewhere and can be loaded again after.
    fn leaves_soon(&self, artifact: &ArtifactId) -> bool {
        self.unloads.keys().any(|slot| slot.artifact == *artifact)
    }
}

/// How long a gateway has kept on asking for an artifact.
fn demand_age(artifact: &ArtifactId, context: &Context) -> Duration {
    context.demands.persistence(artifact, Timestamp::ZERO)
}

/// Whether those who have kept on asking, and so found nothing elsewhere, are refused now. After a
/// while they are sent on again, since another zone may have changed.
fn is_refused_now(artifact: &ArtifactId, context: &Context) -> bool {
    let turn = (ELSEWHERE_LIMIT + ASK_AGAIN).as_millis();
    demand_age(artifact, context).as_millis() % turn >= ELSEWHERE_LIMIT.as_millis()
}
