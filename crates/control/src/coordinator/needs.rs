//! The units that the zone needs of each quota, and the resulting quota operations.

use std::collections::BTreeSet;
use std::time::Duration;

use flaxward_types::records::{QuotaSubject, Slot};
use flaxward_types::{ArtifactId, ResultCode, Timestamp};

use super::leading::{Block, Context, Leading, ReplicaTarget};
use super::loads::{remote_in_progress, remote_queued};
use super::quota_draft::QuotaNeed;

/// The zone requests units from other zones once a redirected gateway has kept renewing its demand
/// for this long. Most gateways find a replica or a load in the zone that they are redirected to and
/// renew nothing here.
const REQUEST_UNITS_AFTER: Duration = Duration::from_secs(2);
/// A used replica keeps its unit for this many times the demand expiry, so that a zone whose
/// callers have found the replica can withdraw its request for units.
const RETENTION_DEMAND_EXPIRIES: u32 = 2;

impl Leading {
    /// Starts the quota reads and writes that are due.
    pub(super) fn step_quotas(&mut self, subjects: &BTreeSet<QuotaSubject>, context: &Context) {
        let targets = &self.wanted;
        self.redirected_since
            .retain(|artifact, _| targets.contains_key(artifact));
        let reading = self.quotas.read_all(context.now);
        self.actions.extend(reading);
        if !context.may_record {
            self.unwritten_quotas.extend(subjects.iter().cloned());
            return;
        }
        for subject in subjects {
            let rule = self.rule(subject, context);
            let need = self.need(subject, context);
            let step = self
                .quotas
                .step(subject, &rule, &need, context.now, context.settings);
            self.actions.extend(step);
        }
    }

    /// The units that the zone needs of a subject.
    pub(super) fn need(&self, subject: &QuotaSubject, context: &Context) -> QuotaNeed {
        if *subject == QuotaSubject::WeightStore {
            return self.weight_store_need(context);
        }
        let mut need = QuotaNeed {
            committed: self.placement.max_slots(subject),
            requires_claim: self.homes_wanted.contains(subject),
            ..QuotaNeed::default()
        };
        if !self.can_use_units(subject) {
            return need;
        }
        for (artifact, target) in self.wanted.of_subject(subject) {
            let block = self.blocks.get(artifact);
            need.retained += self.units_retained_for(artifact, target, context);
            let cannot_load = matches!(
                block,
                Some(Block::Refused(
                    ResultCode::NoMemory | ResultCode::LoadFailed,
                    _
                ))
            );
            if cannot_load {
                continue;
            }
            need.needed += target.replicas;
            // Gateways are not redirected for an adapter whose base is loaded in this zone.
            let has_local_base =
                artifact.is_adapter() && self.live_replicas(&artifact.base(), context.now) > 0;
            need.requests_units |= has_local_base
                || self.redirected_demand_age(artifact, context) >= REQUEST_UNITS_AFTER;
            let unrecorded = self
                .loads
                .keys()
                .any(|slot| slot.artifact == *artifact && !self.placement.usable(slot));
            need.requires_claim |= block.is_some() || unrecorded;
        }
        if self.quotas.requested_by_others(subject) > 0 {
            need.retained += self.recently_used(subject, context);
        }
        if need.needed > 0 {
            let locked = self.locked_slots(subject, context.now);
            need.needed += locked;
            need.retained += locked;
        }
        need
    }

    /// Units that the zone retains for the required replicas of an artifact. If its callers are
    /// refused or redirected, only units in use are retained: a zone that cannot serve must not
    /// withhold units from one that can.
    fn units_retained_for(
        &self,
        artifact: &ArtifactId,
        target: &ReplicaTarget,
        context: &Context,
    ) -> u32 {
        match self.blocks.get(artifact) {
            None | Some(Block::Waiting) => target.replicas,
            Some(Block::Refused(..) | Block::Elsewhere(_)) => {
                self.live_replicas(artifact, context.now)
            }
        }
    }

    /// Number of loaded replicas that are not required now but were used recently. The callers of a
    /// zone that requests a unit are served sooner by these than by a load in their own zone.
    fn recently_used(&self, subject: &QuotaSubject, context: &Context) -> u32 {
        let retention = context.settings.demand_expiry * RETENTION_DEMAND_EXPIRIES;
        let is_recent = |key: &&Slot| {
            !self.wanted.contains_key(&key.artifact)
                && self.is_loaded(key, context.now)
                && context.now.since(self.last_use(key, context)) < retention
        };
        let slots = self.placement.slots().of_subject(subject);
        let count = slots.filter(is_recent).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Whether the artifact of a slot is held or being loaded there, on a runner that serves.
    fn is_loaded(&self, key: &Slot, now: Timestamp) -> bool {
        let mut retaining_runners = self.retaining_runners(&key.artifact, now);
        retaining_runners.any(|(name, _)| *name == key.runner)
            || self.active_load(key, now).is_some()
    }

    /// Whether the zone can use units of a subject. Units of an adapter are usable only where its base
    /// may be loaded: other zones redirect the callers, and their demand must not withhold the units
    /// from the zone that the callers are redirected to.
    fn can_use_units(&self, subject: &QuotaSubject) -> bool {
        match subject {
            QuotaSubject::Adapter(model, _) => {
                let base = QuotaSubject::Model(model.clone());
                self.quotas.units(&base) > 0
            }
            QuotaSubject::Model(_) | QuotaSubject::WeightStore => true,
        }
    }

    fn weight_store_need(&self, context: &Context) -> QuotaNeed {
        // Each zone retains one permit for a wake during an outage, if there are enough for all zones.
        let zones = u32::try_from(context.zones.len()).unwrap_or(u32::MAX);
        let has_one_per_zone = self.policy.weight_store_parallel >= zones;
        let used = remote_in_progress(&self.loads);
        let queued = remote_queued(&self.loads);
        QuotaNeed {
            needed: used + queued,
            retained: (used + queued).max(u32::from(has_one_per_zone)),
            committed: used,
            requests_units: queued > 0,
            requires_claim: queued > 0,
        }
    }
}
