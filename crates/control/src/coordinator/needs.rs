//! What the zone needs of each quota, and the operations that follow.

use std::collections::BTreeSet;
use std::time::Duration;

use flaxward_types::records::{QuotaSubject, Slot};
use flaxward_types::{ArtifactId, ResultCode, Timestamp};

use super::leading::{Block, Context, Leading, Wanted};
use super::loads::{remote_in_progress, remote_queued};
use super::quota_draft::QuotaNeed;

/// Gateways that are sent on and keep asking for this long make the zone ask other zones for units.
/// Most find a replica or a load where they were sent to and are not heard of again.
const ASK_AFTER: Duration = Duration::from_secs(2);
/// A replica that was used keeps its unit for this many times the life of a demand, so that a zone
/// whose callers have found the replica can withdraw what it has asked for.
const KEPT_DEMAND_LIVES: u32 = 2;

impl Leading {
    /// Reads and writes quotas as needed.
    pub(super) fn step_quotas(&mut self, subjects: &BTreeSet<QuotaSubject>, context: &Context) {
        let wanted = &self.wanted;
        self.redirected_since
            .retain(|artifact, _| wanted.contains_key(artifact));
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

    /// What the zone needs of a subject.
    pub(super) fn need(&self, subject: &QuotaSubject, context: &Context) -> QuotaNeed {
        if *subject == QuotaSubject::WeightStore {
            return self.weight_store_need(context);
        }
        let mut need = QuotaNeed {
            bound: self.placement.bound(subject),
            claims: self.homes_wanted.contains(subject),
            ..QuotaNeed::default()
        };
        if !self.is_of_use(subject) {
            return need;
        }
        for (artifact, wanted) in self.wanted.of_subject(subject) {
            let block = self.blocks.get(artifact);
            need.kept += self.kept_for(artifact, wanted, context);
            let hopeless = matches!(
                block,
                Some(Block::Refused(
                    ResultCode::NoMemory | ResultCode::LoadFailed,
                    _
                ))
            );
            if hopeless {
                continue;
            }
            need.needed += wanted.replicas;
            // Gateways cannot find an adapter elsewhere when its base is here.
            let base_is_here =
                artifact.is_adapter() && self.live_replicas(&artifact.base(), context.now) > 0;
            need.asks |= base_is_here || self.asking_age(artifact, context) >= ASK_AFTER;
            let unrecorded = self
                .loads
                .keys()
                .any(|slot| slot.artifact == *artifact && !self.placement.usable(slot));
            need.claims |= block.is_some() || unrecorded;
        }
        if self.quotas.asked_by_others(subject) > 0 {
            need.kept += self.recently_used(subject, context);
        }
        if need.needed > 0 {
            let locked = self.locked_slots(subject, context.now);
            need.needed += locked;
            need.kept += locked;
        }
        need
    }

    /// Units that the zone keeps for what is wanted of an artifact. Callers who are refused or sent
    /// on keep none but those in use: what the zone cannot serve must not be held back from one
    /// that can.
    fn kept_for(&self, artifact: &ArtifactId, wanted: &Wanted, context: &Context) -> u32 {
        match self.blocks.get(artifact) {
            None | Some(Block::Waiting) => wanted.replicas,
            Some(Block::Refused(..) | Block::Elsewhere(_)) => {
                self.live_replicas(artifact, context.now)
            }
        }
    }

    /// Replicas that are not wanted now but were used a moment ago. Callers of a zone that asks for a
    /// unit are better served by these than by a load over there.
    fn recently_used(&self, subject: &QuotaSubject, context: &Context) -> u32 {
        let grace = context.settings.demand_expiry * KEPT_DEMAND_LIVES;
        let is_recent = |key: &&Slot| {
            !self.wanted.contains_key(&key.artifact)
                && self.is_loaded(key, context.now)
                && context.now.since(self.last_use(key, context)) < grace
        };
        let slots = self.placement.slots().of_subject(subject);
        let count = slots.filter(is_recent).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Whether an artifact is held in its slot, or on its way there, and takes requests.
    fn is_loaded(&self, key: &Slot, now: Timestamp) -> bool {
        let mut staying = self.staying(&key.artifact, now);
        staying.any(|(name, _)| *name == key.runner) || self.active_load(key, now).is_some()
    }

    /// Whether the zone can do anything with units of a subject. Those of an adapter are of use only
    /// where its base may be loaded: elsewhere callers are sent on, and their demand must not hold
    /// the units back from the zone that they are sent to.
    fn is_of_use(&self, subject: &QuotaSubject) -> bool {
        match subject {
            QuotaSubject::Adapter(model, _) => {
                let base = QuotaSubject::Model(model.clone());
                self.quotas.units(&base) > 0
            }
            QuotaSubject::Model(_) | QuotaSubject::WeightStore => true,
        }
    }

    fn weight_store_need(&self, context: &Context) -> QuotaNeed {
        // Each zone keeps a permit for a wake in an outage, if there are enough for all.
        let zones = u32::try_from(context.zones.len()).unwrap_or(u32::MAX);
        let plenty = self.policy.weight_store_parallel >= zones;
        let used = remote_in_progress(&self.loads);
        let queued = remote_queued(&self.loads);
        QuotaNeed {
            needed: used + queued,
            kept: (used + queued).max(u32::from(plenty)),
            bound: used,
            asks: queued > 0,
            claims: queued > 0,
        }
    }
}
