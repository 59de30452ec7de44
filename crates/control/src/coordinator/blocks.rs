//! Determines why a required replica is not being loaded, and where its callers are redirected.

use std::time::Duration;

use flaxward_types::engine::HeldState;
use flaxward_types::records::{QuotaSubject, Slot};
use flaxward_types::{ArtifactId, ResultCode, RunnerName, Timestamp, ZoneName};

use super::leading::{Block, Context, Leading};
use super::placement::subject_of;

/// Time after the start of a term during which runners may not have been sealed yet.
const SEALING_GRACE: Duration = Duration::from_secs(10);
/// Retry-after time of a refusal for lack of memory or quota.
pub(super) const REFUSAL_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Demand that has lasted this long is refused instead of redirected to other zones, for a period
/// of [`REFUSAL_RETRY_AFTER`]. Callers that wait for a requested unit are redirected again after
/// this time.
const REDIRECT_PERIOD: Duration = Duration::from_secs(10);

impl Leading {
    /// Starts a pause when loads have failed on every candidate; all are tried again after it.
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

    /// The reason why a replica that would fit has no slot.
    pub(super) fn block_without_slot(
        &mut self,
        artifact: &ArtifactId,
        subject: &QuotaSubject,
        context: &Context,
    ) -> Block {
        if context.in_outage {
            return self.block_without_slot_in_outage(subject);
        }
        let rule = self.rule(subject, context);
        if rule.limit == 0 {
            return Block::Refused(ResultCode::NoQuota, REFUSAL_RETRY_AFTER);
        }
        if !self.quotas.loaded() || self.quotas.record(subject).is_none() {
            return Block::Waiting;
        }
        let units = self.quotas.units(subject);
        if units == 0 {
            return self.block_without_units(artifact, subject, context);
        }
        if !context.may_record {
            // Until the lease is confirmed, no slot can be replaced by another.
            return Block::Waiting;
        }
        if self.quotas.claimed_units(subject) < units || self.will_have_free_slot(artifact, context)
        {
            return Block::Waiting;
        }
        let others = self.quotas.other_zones(subject);
        if others.is_empty() || is_in_refusal_period(artifact, context) {
            return Block::Refused(ResultCode::NoQuota, REFUSAL_RETRY_AFTER);
        }
        Block::Elsewhere(others)
    }

    /// Units cannot move while the store is down, so redirected callers find them in the zones that
    /// the last read record names. A zone with a unit of its own refuses, since other zones are no
    /// more likely to serve the request.
    fn block_without_slot_in_outage(&self, subject: &QuotaSubject) -> Block {
        let others = self.quotas.other_zones(subject);
        if self.quotas.units(subject) > 0 || others.is_empty() {
            return Block::Refused(ResultCode::NoSlotInOutage, REFUSAL_RETRY_AFTER);
        }
        Block::Elsewhere(others)
    }

    /// Callers are first redirected to the zones that have the units, since a replica may be ready
    /// there. Only those who keep coming back wait here for a requested unit.
    fn block_without_units(
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
        let is_requested = self
            .quotas
            .record(subject)
            .is_some_and(|quota| quota.wanted.contains_key(context.zone));
        if others.is_empty()
            || (is_requested && self.redirected_demand_age(artifact, context) < REDIRECT_PERIOD)
        {
            return Block::Waiting;
        }
        Block::Elsewhere(others)
    }

    /// How long a gateway has kept renewing its demand for an artifact after a redirect.
    pub(super) fn redirected_demand_age(
        &self,
        artifact: &ArtifactId,
        context: &Context,
    ) -> Duration {
        match self.redirected_since.get(artifact) {
            Some(redirected_since) => context.demands.max_renewal_age(artifact, *redirected_since),
            // There was no redirect for lack of units, so only memory can be missing.
            None if self.quotas.units(&subject_of(artifact)) == 0 => Duration::ZERO,
            None => demand_age(artifact, context),
        }
    }

    /// Whether a slot of the subject will be free soon: an unload or a write is in progress, a runner
    /// is not sealed yet, or an idle replica of another version can be evicted.
    fn will_have_free_slot(&mut self, artifact: &ArtifactId, context: &Context) -> bool {
        let subject = &subject_of(artifact);
        let slots = self.placement.slots().of_subject(subject);
        let of_subject: Vec<Slot> = slots.cloned().collect();
        let mut is_expected =
            self.placement.planned_slots(subject) != self.placement.max_slots(subject);
        // After a write with an unknown outcome the record is read before a request is refused.
        is_expected |= !self.placement.is_settled();
        for slot in of_subject {
            is_expected |=
                self.unloads.contains_key(&slot) || self.is_awaiting_seal(&slot.runner, context);
            let state = self.holdings.state(&slot.artifact, &slot.runner);
            is_expected |= state == Some(HeldState::Unloading);
            if !is_expected && self.may_be_evicted_for(&slot, artifact, context) {
                self.evict(&slot);
                self.replaced_at.insert(slot.artifact, context.now);
                is_expected = true;
            }
        }
        is_expected
    }

    fn is_awaiting_seal(&self, name: &RunnerName, context: &Context) -> bool {
        let Some(runner) = self.runners.get(name) else {
            return context.now.since(self.since) < SEALING_GRACE;
        };
        let sealed = runner.sealed_boot().is_some();
        !sealed && !runner.unreachable(context.now)
    }

    /// Whether a replica can be evicted for another artifact of the same subject, or to be reloaded
    /// on a runner that is not leaving or that has memory for its adapters.
    fn may_be_evicted_for(&self, slot: &Slot, artifact: &ArtifactId, context: &Context) -> bool {
        let ready = self.runners.get(&slot.runner).is_some_and(|runner| {
            let held = runner.held(&slot.artifact);
            held.is_some_and(|held| held.state == HeldState::Ready)
        });
        if !ready {
            return false;
        }
        if self.live_replicas(artifact, context.now) > 0 {
            let for_adapters = slot.artifact == *artifact && !artifact.is_adapter();
            return for_adapters && self.is_without_required_adapters(slot, context);
        }
        if !self.serves(&slot.runner, context.now) {
            return true;
        }
        let model = context.configuration.model(&artifact.model);
        let serving = model.map(|model| &model.serving);
        let newer = serving == Some(&artifact.version) && serving != Some(&slot.artifact.version);
        slot.artifact != *artifact && (newer || self.is_evictable(slot, context))
    }

    /// The reason why the artifact fits on no runner.
    pub(super) fn block_without_memory(
        &self,
        artifact: &ArtifactId,
        could_fit: bool,
        context: &Context,
    ) -> Block {
        let is_any_unsealed = self
            .runners
            .keys()
            .any(|name| self.is_awaiting_seal(name, context));
        let is_within_grace = context.now.since(self.since) < SEALING_GRACE;
        if (is_any_unsealed || self.runners.is_empty()) && is_within_grace {
            return Block::Waiting;
        }
        if artifact.is_adapter() && !could_fit {
            let base = self.blocks.get(&artifact.base()).cloned();
            return base.unwrap_or(Block::Waiting);
        }
        if self.is_being_unloaded(artifact) {
            return Block::Waiting;
        }
        let others = self.zones_with_memory(artifact, context);
        if others.is_empty() || is_in_refusal_period(artifact, context) {
            return Block::Refused(ResultCode::NoMemory, REFUSAL_RETRY_AFTER);
        }
        Block::Elsewhere(others)
    }

    /// Zones that may have the memory that is missing here: those with units, otherwise all zones that
    /// the rule allows, since units move to the zones with demand. For an adapter the units of its
    /// base count, since an adapter can be loaded only where its base is.
    fn zones_with_memory(&self, artifact: &ArtifactId, context: &Context) -> Vec<ZoneName> {
        let subject = subject_of(&artifact.base());
        let others = self.quotas.other_zones(&subject);
        if !others.is_empty() {
            return others;
        }
        let allowed = self.rule(&subject, context).zones.into_iter();
        allowed.filter(|zone| zone != context.zone).collect()
    }

    /// Whether the artifact is being unloaded on some runner and can be loaded again afterwards.
    fn is_being_unloaded(&self, artifact: &ArtifactId) -> bool {
        self.unloads.keys().any(|slot| slot.artifact == *artifact)
    }
}

/// How long a gateway has kept renewing its demand for an artifact.
fn demand_age(artifact: &ArtifactId, context: &Context) -> Duration {
    context.demands.max_renewal_age(artifact, Timestamp::ZERO)
}

/// Whether callers that keep renewing their demand, and so have found no replica elsewhere, are
/// refused now. Periods of redirection and refusal alternate, since other zones may have changed.
fn is_in_refusal_period(artifact: &ArtifactId, context: &Context) -> bool {
    let cycle = (REDIRECT_PERIOD + REFUSAL_RETRY_AFTER).as_millis();
    demand_age(artifact, context).as_millis() % cycle >= REDIRECT_PERIOD.as_millis()
}
